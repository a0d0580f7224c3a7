//! Exhaustive search of the at-most-once protocol.

use spec::once::{Limits, Mutation, Violation, search};

const FAULT_FREE: Limits = Limits {
    agents: 3,
    attempts: 3,
    faults: 0,
    hand_offs: 1,
    adoptions: 0,
};

const FAULTY: Limits = Limits {
    agents: 2,
    attempts: 2,
    faults: 2,
    hand_offs: 1,
    adoptions: 0,
};

#[test]
fn holds_everywhere() {
    let check = |limits| {
        let found = search(limits, Mutation::None);
        println!("{limits:?}: {} states", found.states);
        assert_eq!(found.violation, None, "{limits:?}");
    };
    check(FAULT_FREE);
    check(FAULTY);
    check(Limits {
        agents: 2,
        attempts: 2,
        faults: 1,
        hand_offs: 1,
        adoptions: 1,
    });
    check(Limits {
        agents: 2,
        attempts: 3,
        faults: 2,
        hand_offs: 0,
        adoptions: 0,
    });
    check(Limits {
        agents: 3,
        attempts: 2,
        faults: 2,
        hand_offs: 0,
        adoptions: 0,
    });
}

#[test]
fn broken_rules() {
    let check = |mutation, limits, expect: &[Violation]| {
        let found = search(limits, mutation);
        let (violation, steps) = found.violation.expect("the broken rule is found");
        println!(
            "{mutation:?}: {violation:?} after {steps} steps, {} states",
            found.states
        );
        assert!(
            expect.contains(&violation),
            "{mutation:?} gives {violation:?}"
        );
    };
    let ran = [Violation::RanTwice, Violation::NotRunButRan];
    check(Mutation::SilenceIsNotRun, FAULTY, &ran);
    check(Mutation::RestartClaimsMemory, FAULTY, &ran);
    check(Mutation::FenceNotKept, FAULTY, &[Violation::FencedRan]);
    check(
        Mutation::NotRunWithoutPromise,
        FAULTY,
        &[Violation::NotRunButRan],
    );
    check(
        Mutation::OfferDecidedTwice,
        FAULTY,
        &[Violation::NotRunButRan],
    );
    check(
        Mutation::RunIsUnknown,
        FAULT_FREE,
        &[Violation::UnknownWithoutFault],
    );
}
