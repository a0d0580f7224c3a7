//! Waiting times, the call budget and pauses, without a clock.

use control::{Backoff, CallBudget, PauseDetector};
use rand::{SeedableRng as _, rngs::StdRng};
use units::Millis;

const fn ms(raw: u64) -> Millis {
    Millis::new(raw)
}

#[test]
fn backoff_bounds() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(ms(100), ms(1_000));
    for bound in [100, 200, 400, 800, 1_000, 1_000] {
        let wait = backoff.next_delay(&mut rng).get();
        assert!((bound / 2..=bound).contains(&wait), "{wait} of {bound}");
    }
    backoff.reset();
    assert!(backoff.next_delay(&mut rng) <= ms(100));
}

#[test]
fn endless_failures() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(ms(100), ms(1_000));
    assert!((0..1_000).all(|_| backoff.next_delay(&mut rng) <= ms(1_000)));
}

/// Calls that one of `fleet_size` greedy processes makes in `seconds`.
fn greedy(fleet_size: u64, seconds: u64) -> u64 {
    let mut budget = CallBudget::new(ms(0), fleet_size);
    let mut now = ms(0);
    let mut calls = 0;
    while now < ms(seconds * 1_000) {
        match budget.try_acquire(now, fleet_size) {
            Ok(()) => calls += 1,
            Err(wait) => now = now.plus(wait),
        }
    }
    calls
}

#[test]
fn fleet_calls() {
    for fleet_size in [1, 8, 32, 64, 620] {
        let calls = greedy(fleet_size, 100) * fleet_size;
        let bound = 400 * 100 + fleet_size.max(400) * 3;
        assert!(calls <= bound, "{fleet_size} processes: {calls} calls");
        assert!(calls >= 400 * 90, "{fleet_size} processes: {calls} calls");
    }
}

#[test]
fn pauses() {
    let detector = PauseDetector::new(ms(1_000), ms(0));
    assert_eq!(detector.tick(ms(900)), None);
    assert!(detector.is_fresh(ms(1_500)));
    assert!(
        !detector.is_fresh(ms(5_000)),
        "before the late beat is noted"
    );
    assert_eq!(detector.tick(ms(5_000)), Some(ms(4_100)));
    assert!(!detector.is_fresh(ms(5_000)), "until peers confirm");
    let asked_at = detector.pause_count();
    assert_eq!(detector.tick(ms(7_000)), Some(ms(2_000)));
    detector.confirm(asked_at);
    assert!(
        !detector.is_fresh(ms(7_000)),
        "asked before the second pause"
    );
    detector.confirm(detector.pause_count());
    assert!(detector.is_fresh(ms(7_000)));
}
