//! The concurrency limit adapts to shed requests and ramps up from a cold start.

use admission::{ConcurrencyLimit, LoadSignal};
use units::{Millis, Slots};

fn limit(concurrency: &ConcurrencyLimit, now_ms: u64) -> u32 {
    concurrency.limit(Millis::new(now_ms))
}

#[test]
fn limit_falls_on_shed_and_recovers() {
    let mut concurrency = ConcurrencyLimit::new(Millis::new(0), Slots::new(10), Millis::new(0));
    let shed = |it: &mut ConcurrencyLimit, now_ms, started_ms| {
        it.record_signal(
            Millis::new(now_ms),
            Millis::new(started_ms),
            LoadSignal::Shed,
        );
    };
    shed(&mut concurrency, 100, 50);
    assert_eq!(limit(&concurrency, 100), 7);
    shed(&mut concurrency, 110, 60);
    assert_eq!(
        limit(&concurrency, 110),
        7,
        "a request that started before the decrease is ignored"
    );
    for now_ms in 200..300 {
        shed(&mut concurrency, now_ms, now_ms);
    }
    assert_eq!(
        limit(&concurrency, 300),
        1,
        "the limit never falls below one slot"
    );
    for _ in 0..60 {
        concurrency.record_signal(Millis::new(400), Millis::new(390), LoadSignal::Answered);
    }
    assert_eq!(limit(&concurrency, 400), 10);
}

#[test]
fn cold_start_ramps_up_limit() {
    fn check(slots: u16, now_ms: u64, expect: u32) {
        let concurrency =
            ConcurrencyLimit::new(Millis::new(0), Slots::new(slots), Millis::new(8_000));
        assert_eq!(
            limit(&concurrency, now_ms),
            expect,
            "{slots} slots after {now_ms} ms"
        );
    }
    check(8, 0, 2);
    check(8, 4_000, 5);
    check(8, 8_000, 8);
    check(2, 0, 1);
    check(2, 8_000, 2);
}
