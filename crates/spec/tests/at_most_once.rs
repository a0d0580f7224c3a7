//! Exhaustive searches of the at-most-once model, without and with deliberate defects.

use spec::at_most_once::{Bounds, Mutation, Violation, search};

const FAULT_FREE: Bounds = Bounds {
    agents: 3,
    attempts: 3,
    faults: 0,
    hand_offs: 1,
    adoptions: 0,
};

const FAULTY: Bounds = Bounds {
    agents: 2,
    attempts: 2,
    faults: 2,
    hand_offs: 1,
    adoptions: 0,
};

#[test]
fn implemented_protocol_violates_no_invariant() {
    let check = |bounds| {
        let outcome = search(bounds, Mutation::None);
        println!("{bounds:?}: {} states", outcome.states);
        assert_eq!(outcome.violation, None, "{bounds:?}");
    };
    check(FAULT_FREE);
    check(FAULTY);
    check(Bounds {
        agents: 2,
        attempts: 2,
        faults: 1,
        hand_offs: 1,
        adoptions: 1,
    });
    check(Bounds {
        agents: 2,
        attempts: 3,
        faults: 2,
        hand_offs: 0,
        adoptions: 0,
    });
    check(Bounds {
        agents: 3,
        attempts: 2,
        faults: 2,
        hand_offs: 0,
        adoptions: 0,
    });
}

#[test]
fn every_mutation_violates_an_invariant() {
    let check = |mutation, bounds, expected: &[Violation]| {
        let outcome = search(bounds, mutation);
        let (violation, steps) = outcome.violation.expect("the search finds the mutation");
        println!(
            "{mutation:?}: {violation:?} after {steps} steps, {} states",
            outcome.states
        );
        assert!(
            expected.contains(&violation),
            "{mutation:?} leads to {violation:?}"
        );
    };
    let ran_violations = [Violation::RanTwice, Violation::NotRunButRan];
    check(Mutation::TimeoutCountsAsNotRun, FAULTY, &ran_violations);
    check(Mutation::RestartClaimsFullHistory, FAULTY, &ran_violations);
    check(
        Mutation::FenceNotStored,
        FAULTY,
        &[Violation::RanAfterFence],
    );
    check(
        Mutation::NotRunWithoutAbandon,
        FAULTY,
        &[Violation::NotRunButRan],
    );
    check(
        Mutation::DuplicateOfferAccepted,
        FAULTY,
        &[Violation::NotRunButRan],
    );
    check(
        Mutation::PastRunAnsweredUnknown,
        FAULT_FREE,
        &[Violation::UnknownWithoutFault],
    );
}
