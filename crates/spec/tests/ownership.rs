//! The search finds no violation of the protocol as implemented, and one for every mutation.

use spec::ownership::{Bounds, Mutation, Violation, decider_pairs, search};

const SMALL: Bounds = Bounds {
    openings: 2,
    established: 1,
    restarts: 1,
    misroutes: 1,
};

/// More opening packets, without misrouted datagrams.
const LONG_OPENING: Bounds = Bounds {
    openings: 3,
    established: 0,
    restarts: 1,
    misroutes: 0,
};

/// More established packets, and two restarts.
const TWO_RESTARTS: Bounds = Bounds {
    openings: 2,
    established: 2,
    restarts: 2,
    misroutes: 0,
};

fn check_no_violation(bounds: Bounds) {
    for deciders in decider_pairs() {
        let outcome = search(Mutation::None, deciders, bounds);
        println!("{deciders:?}, {bounds:?}: {} states", outcome.states);
        let trace = outcome.trace.join("\n");
        assert_eq!(outcome.violation, None, "{deciders:?}:\n{trace}");
    }
}

#[test]
fn small() {
    check_no_violation(SMALL);
}

#[test]
fn long_opening() {
    check_no_violation(LONG_OPENING);
}

#[test]
fn two_restarts() {
    check_no_violation(TWO_RESTARTS);
}

#[test]
fn mutations_are_found() {
    let check = |mutation, expected| {
        let mut violations = decider_pairs()
            .into_iter()
            .filter_map(|it| search(mutation, it, SMALL).violation);
        assert_eq!(violations.next(), Some(expected), "{mutation:?}");
    };
    check(Mutation::NoDecider, Violation::OpenedTwice);
    check(Mutation::NoPropagationPhase, Violation::Lost);
    check(Mutation::NoOverlapPhase, Violation::OpenedTwice);
    check(Mutation::NoWarmup, Violation::OpenedTwice);
    check(Mutation::NoForwarding, Violation::Lost);
    check(Mutation::NoOwnerCheck, Violation::Misdelivered);
    check(Mutation::ResetForeignCids, Violation::LiveFlowReset);
}
