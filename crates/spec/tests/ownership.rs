//! The search finds no violation of the sound rule, and one of every broken rule.

use spec::ownership::{Rule, Size, Violation, flow_classes, search};

const SMALL: Size = Size {
    openings: 2,
    established: 1,
    restarts: 1,
    strays: 1,
};

/// More packets of the opening, without strays.
const LONG_OPENING: Size = Size {
    openings: 3,
    established: 0,
    restarts: 1,
    strays: 0,
};

/// More packets of the open flow, and two restarts.
const TWO_RESTARTS: Size = Size {
    openings: 2,
    established: 2,
    restarts: 2,
    strays: 0,
};

fn check_sound(size: Size) {
    for class in flow_classes() {
        let outcome = search(Rule::Sound, class, size);
        println!("{class:?}, {size:?}: {} states", outcome.states);
        let trail = outcome.trail.join("\n");
        assert_eq!(outcome.violation, None, "{class:?}:\n{trail}");
    }
}

#[test]
fn sound_rule() {
    check_sound(SMALL);
}

#[test]
fn long_opening() {
    check_sound(LONG_OPENING);
}

#[test]
fn two_restarts() {
    check_sound(TWO_RESTARTS);
}

#[test]
fn broken_rules() {
    let check = |rule, expect| {
        let mut found = flow_classes()
            .into_iter()
            .filter_map(|it| search(rule, it, SMALL).violation);
        assert_eq!(found.next(), Some(expect), "{rule:?}");
    };
    check(Rule::WithoutHome, Violation::OpenedTwice);
    check(Rule::WithoutSpread, Violation::Lost);
    check(Rule::WithoutOverlap, Violation::OpenedTwice);
    check(Rule::WithoutAsking, Violation::OpenedTwice);
    check(Rule::WithoutPassing, Violation::Lost);
    check(Rule::WithoutCheck, Violation::Misdelivered);
    check(Rule::ResetUnknown, Violation::LiveFlowReset);
}
