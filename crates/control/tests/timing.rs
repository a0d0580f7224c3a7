//! Backoff, call budget and pause detection, with simulated time.

use control::{Backoff, CallBudget, PauseDetector};
use rand::{SeedableRng as _, rngs::StdRng};
use units::Millis;

const fn ms(raw: u64) -> Millis {
    Millis::new(raw)
}

#[test]
fn backoff_doubles_up_to_maximum() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(ms(100), ms(1_000));
    for bound in [100, 200, 400, 800, 1_000, 1_000] {
        let wait = backoff.next_delay(&mut rng).get();
        assert!((bound / 2..=bound).contains(&wait), "{wait} of {bound}");
    }
    backoff.record_success();
    assert!(backoff.next_delay(&mut rng) <= ms(100));
}

#[test]
fn backoff_never_exceeds_maximum() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(ms(100), ms(1_000));
    assert!((0..1_000).all(|_| backoff.next_delay(&mut rng) <= ms(1_000)));
}

/// Returns how many calls one of `fleet_size` processes makes in `seconds` if it calls whenever its
/// budget allows.
fn count_calls_within_budget(fleet_size: u64, seconds: u64) -> u64 {
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
fn fleet_stays_within_call_rate() {
    for fleet_size in [1, 8, 32, 64, 620] {
        let calls = count_calls_within_budget(fleet_size, 100) * fleet_size;
        let bound = 400 * 100 + fleet_size.max(400) * 3;
        assert!(calls <= bound, "{fleet_size} processes: {calls} calls");
        assert!(calls >= 400 * 90, "{fleet_size} processes: {calls} calls");
    }
}

#[test]
fn state_is_stale_until_peers_confirm() {
    let detector = PauseDetector::new(ms(1_000), ms(0));
    assert_eq!(detector.record_tick(ms(900)), None);
    assert!(detector.is_state_fresh(ms(1_500)));
    assert!(
        !detector.is_state_fresh(ms(5_000)),
        "stale before the late tick is recorded"
    );
    assert_eq!(detector.record_tick(ms(5_000)), Some(ms(4_100)));
    assert!(
        !detector.is_state_fresh(ms(5_000)),
        "stale until peers confirm"
    );
    let asked_at = detector.pause_count();
    assert_eq!(detector.record_tick(ms(7_000)), Some(ms(2_000)));
    detector.confirm_state(asked_at);
    assert!(
        !detector.is_state_fresh(ms(7_000)),
        "the confirmation began before the second pause"
    );
    detector.confirm_state(detector.pause_count());
    assert!(detector.is_state_fresh(ms(7_000)));
}
