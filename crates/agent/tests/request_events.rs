//! The request monitor emits an event only when a state changes.

use agent::{RequestMonitor, RequestSample};
use timeline::Event;
use units::{Millis, ServiceId};

const BASELINE: RequestSample = RequestSample {
    refused: 0,
    outcomes_unknown: 0,
    waiting: 0,
    limit: 5,
    slots: 5,
};

/// Passes one sample per second to a monitor and compares the texts of its events.
fn check_events(samples: &[RequestSample], expect: &[&str]) {
    let mut monitor = RequestMonitor::new(ServiceId::new(3));
    let mut events = Vec::new();
    for (idx, sample) in samples.iter().enumerate() {
        let now = Millis::new(1_000 * idx as u64);
        events.extend(monitor.observe(now, *sample).iter().map(Event::to_string));
    }
    assert_eq!(events, expect);
}

#[test]
fn unchanged_samples_emit_no_event() {
    check_events(&[BASELINE; 20], &[]);
}

#[test]
fn overload_emits_start_and_end() {
    let refusing = |refused| RequestSample {
        refused,
        waiting: 7,
        ..BASELINE
    };
    let after = RequestSample {
        refused: 30,
        ..BASELINE
    };
    let mut samples = vec![BASELINE, refusing(10), refusing(30)];
    samples.extend([after; 10]);
    let expect = [
        "refusing requests, 7 waiting",
        "no longer refusing, 30 were refused",
    ];
    check_events(&samples, &expect);
    check_events(&samples[..6], &expect[..1]);
}

#[test]
fn lowered_concurrency_emits_start_and_end() {
    let lowered = |limit| RequestSample { limit, ..BASELINE };
    let samples = [
        BASELINE,
        lowered(3),
        lowered(2),
        lowered(4),
        BASELINE,
        BASELINE,
    ];
    check_events(
        &samples,
        &["concurrency lowered to 3", "concurrency recovered to 5"],
    );
}

#[test]
fn new_unknown_outcomes_emit_event() {
    let unknown = |outcomes_unknown| RequestSample {
        outcomes_unknown,
        ..BASELINE
    };
    let first = "service 3: outcome unknown: 2 since the last sample; the responses give the cause";
    let second =
        "service 3: outcome unknown: 1 since the last sample; the responses give the cause";
    check_events(
        &[BASELINE, unknown(2), unknown(2), unknown(3)],
        &[first, second],
    );
}
