//! The schedule of the calls that read the catalog source.

use std::time::Duration;

use passthrough_node::{ChangeSeen, ReadSchedule};

const NO_WAIT_MS: u64 = 0;
const WATCH_WAIT_MS: u64 = 1_000;

#[test]
fn calls_wait_only_after_an_answer() {
    let mut schedule = ReadSchedule::default();
    assert_eq!(schedule.wait().get(), NO_WAIT_MS);
    assert_eq!(schedule.on_answer(ChangeSeen::No), Duration::ZERO);
    assert_eq!(schedule.wait().get(), WATCH_WAIT_MS);
    assert!(schedule.on_answer(ChangeSeen::Yes) > Duration::ZERO);
    assert_eq!(schedule.wait().get(), WATCH_WAIT_MS);
    let _delay = schedule.on_failure();
    assert_eq!(schedule.wait().get(), NO_WAIT_MS);
}

#[test]
fn delays_grow_with_failures_up_to_a_limit() {
    for has_read in [false, true] {
        let mut schedule = ReadSchedule::default();
        if has_read {
            let _delay = schedule.on_answer(ChangeSeen::No);
        }
        let delays: Vec<Duration> = (0..30).map(|_| schedule.on_failure()).collect();
        assert!(delays.is_sorted(), "{delays:?}");
        assert!(delays[0] < Duration::from_millis(100), "{delays:?}");
        // A recovered store is noticed well within the three seconds for a change.
        assert!(delays[29] < Duration::from_secs(1), "{delays:?}");
        assert_eq!(schedule.failed_calls(), 30);
    }
}

/// Guards against a balancer that takes over reading and still waits for as long as calls that failed
/// before it last stopped reading.
#[test]
fn failures_before_a_pause_delay_nothing_after_it() {
    let mut schedule = ReadSchedule::default();
    let _delay = schedule.on_answer(ChangeSeen::No);
    let first = schedule.on_failure();
    for _ in 0..10 {
        let _delay = schedule.on_failure();
    }
    schedule.resume();
    assert_eq!(schedule.failed_calls(), 0);
    assert_eq!(schedule.wait().get(), NO_WAIT_MS);
    assert_eq!(schedule.on_failure(), first);
}
