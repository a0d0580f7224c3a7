//! The search finds no violation of the sound mutation, and one of every broken mutation.

use spec::ownership::{Bounds, Mutation, Violation, decider_pairs, search};

const SMALL: Bounds = Bounds {
    openings: 2,
    established: 1,
    restarts: 1,
    misroutes: 1,
};

/// More packets of the opening, without misroutes.
const LONG_OPENING: Bounds = Bounds {
    openings: 3,
    established: 0,
    restarts: 1,
    misroutes: 0,
};

/// More packets of the open flow, and two restarts.
const TWO_RESTARTS: Bounds = Bounds {
    openings: 2,
    established: 2,
    restarts: 2,
    misroutes: 0,
};

fn check_sound(bounds: Bounds) {
    for deciders in decider_pairs() {
        let outcome = search(Mutation::None, deciders, bounds);
        println!("{deciders:?}, {bounds:?}: {} states", outcome.states);
        let trace = outcome.trace.join("\n");
        assert_eq!(outcome.violation, None, "{deciders:?}:\n{trace}");
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
    let check = |mutation, expect| {
        let mut found = decider_pairs()
            .into_iter()
            .filter_map(|it| search(mutation, it, SMALL).violation);
        assert_eq!(found.next(), Some(expect), "{mutation:?}");
    };
    check(Mutation::NoDecider, Violation::OpenedTwice);
    check(Mutation::NoPropagationPhase, Violation::Lost);
    check(Mutation::NoOverlapPhase, Violation::OpenedTwice);
    check(Mutation::NoWarmup, Violation::OpenedTwice);
    check(Mutation::NoForwarding, Violation::Lost);
    check(Mutation::NoOwnerCheck, Violation::Misdelivered);
    check(Mutation::ResetForeignCids, Violation::LiveFlowReset);
}
