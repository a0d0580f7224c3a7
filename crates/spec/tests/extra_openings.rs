//! Exhaustive searches of the model of an opening that reaches two endpoints, without and with
//! deliberate defects.

use spec::extra_openings::{Mutation, Violation, search};

#[test]
fn no_violation() {
    for restarts in 0..4 {
        let outcome = search(Mutation::None, restarts);
        assert_eq!(outcome.violation, None, "{:#?}", outcome.trace);
        assert!(outcome.states > 10, "{outcome:?}");
        println!("{restarts} restarts: {} states", outcome.states);
    }
}

#[test]
fn every_mutation_violates_an_invariant() {
    for (mutation, expected) in [
        (Mutation::TakeAnyData, Violation::RanTwice),
        (Mutation::RewriteForBoth, Violation::RanTwice),
        (Mutation::GiveUpCloses, Violation::Stranded),
    ] {
        let outcome = search(mutation, 0);
        assert_eq!(
            outcome.violation,
            Some(expected),
            "{mutation:?}: {:#?}",
            outcome.trace
        );
    }
}
