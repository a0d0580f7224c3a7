//! Searches of the flow ownership model: the implemented protocol violates no invariant, and every
//! mutation violates one.

use spec::ownership::{Bounds, Mutation, Violation, decider_pairs, search};

const SMALL: Bounds = Bounds {
    openings: 2,
    established: 1,
    restarts: 1,
    misroutes: 1,
};

/// Bounds with more opening packets, but without misrouted datagrams.
const LONG_OPENING: Bounds = Bounds {
    openings: 3,
    established: 0,
    restarts: 1,
    misroutes: 0,
};

/// Bounds with more packets of the established flow and two agent restarts.
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
fn no_violation_within_small_bounds() {
    check_no_violation(SMALL);
}

#[test]
fn no_violation_with_repeated_opening_packets() {
    check_no_violation(LONG_OPENING);
}

#[test]
fn no_violation_with_two_agent_restarts() {
    check_no_violation(TWO_RESTARTS);
}

#[test]
fn every_mutation_violates_an_invariant() {
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
