//! Detection of a process that stood still.

use passthrough_node::StallDetector;
use units::Millis;

/// Checks what a loop reports that planned to wait for `planned_ms` and began its next turn after
/// `elapsed_ms`.
fn check(planned_ms: u64, elapsed_ms: u64, expected: Option<u64>) {
    let start = Millis::new(50_000);
    let mut stalls = StallDetector::new(start);
    stalls.plan_wait(start, start.plus(Millis::new(planned_ms)));
    let found = stalls.begin_turn(start.plus(Millis::new(elapsed_ms)));
    assert_eq!(
        found,
        expected.map(Millis::new),
        "{planned_ms}, {elapsed_ms}"
    );
}

#[test]
fn only_time_beyond_the_planned_wait_counts() {
    check(500, 0, None);
    check(500, 500, None);
    // A process that is scheduled late, as with a processor quota or on a slow machine.
    check(0, 100, None);
    check(500, 1_500, None);
    check(500, 1_501, Some(1_001));
    check(0, 4_000, Some(4_000));
}

#[test]
fn each_turn_is_judged_by_itself() {
    let mut stalls = StallDetector::new(Millis::new(0));
    assert!(stalls.begin_turn(Millis::new(9_000)).is_some());
    stalls.plan_wait(Millis::new(9_000), Millis::new(9_500));
    assert!(stalls.begin_turn(Millis::new(9_400)).is_none());
}
