//! Counts become events when a state changes, and only then.

use agent::{RequestMonitor, RequestSample};
use timeline::Event;
use units::{Millis, ServiceId};

const CALM: RequestSample = RequestSample {
    refused: 0,
    outcomes_unknown: 0,
    waiting: 0,
    limit: 5,
    slots: 5,
};

/// Takes a sample each second; returns the texts of the events.
fn check(samples: &[RequestSample], expect: &[&str]) {
    let mut watch = RequestMonitor::new(ServiceId::new(3));
    let mut events = Vec::new();
    for (idx, sample) in samples.iter().enumerate() {
        let now = Millis::new(1_000 * idx as u64);
        events.extend(watch.observe(now, *sample).iter().map(Event::to_string));
    }
    assert_eq!(events, expect);
}

#[test]
fn calm() {
    check(&[CALM; 20], &[]);
}

#[test]
fn overload() {
    let refusing = |refused| RequestSample {
        refused,
        waiting: 7,
        ..CALM
    };
    let after = RequestSample {
        refused: 30,
        ..CALM
    };
    let mut samples = vec![CALM, refusing(10), refusing(30)];
    samples.extend([after; 10]);
    let expect = [
        "refusing requests, 7 waiting",
        "no longer refusing, 30 were refused",
    ];
    check(&samples, &expect);
    check(&samples[..6], &expect[..1]);
}

#[test]
fn concurrency() {
    let lowered = |limit| RequestSample { limit, ..CALM };
    let samples = [CALM, lowered(3), lowered(2), lowered(4), CALM, CALM];
    check(
        &samples,
        &["concurrency lowered to 3", "concurrency recovered to 5"],
    );
}

#[test]
fn unknown_outcomes() {
    let unknown = |outcomes_unknown| RequestSample {
        outcomes_unknown,
        ..CALM
    };
    let first = "service 3: outcome unknown: 2 since the last sample; the responses give the cause";
    let second =
        "service 3: outcome unknown: 1 since the last sample; the responses give the cause";
    check(
        &[CALM, unknown(2), unknown(2), unknown(3)],
        &[first, second],
    );
}
