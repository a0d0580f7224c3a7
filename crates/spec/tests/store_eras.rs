//! Exhaustive searches of the model of a store that comes back from copies, without and with
//! deliberate defects.

use spec::store_eras::{Bounds, Mutation, Violation, search};

const fn bounds(returns: u8, restarts: u8, versions: u8) -> Bounds {
    Bounds {
        returns,
        restarts,
        versions,
    }
}

#[test]
fn no_violation() {
    for bounds in [bounds(1, 1, 1), bounds(2, 0, 0), bounds(2, 1, 0)] {
        let outcome = search(Mutation::None, bounds);
        assert_eq!(outcome.violation, None, "{:#?}", outcome.trace);
        assert!(outcome.states > 1_000, "{outcome:?}");
        println!("{bounds:?}: {} states", outcome.states);
    }
}

#[test]
fn every_mutation_violates_an_invariant() {
    for (mutation, expected) in [
        (Mutation::OrderByNumber, Violation::NotConverged),
        (Mutation::WatchAcrossEras, Violation::MixedHistories),
        (Mutation::TakeOlderSettings, Violation::SettingsReverted),
        (Mutation::BelieveOldEntry, Violation::Reopened),
        (Mutation::ReleaseUnconfirmed, Violation::Reopened),
    ] {
        let outcome = search(mutation, bounds(1, 1, 1));
        assert_eq!(
            outcome.violation,
            Some(expected),
            "{mutation:?}: {:#?}",
            outcome.trace
        );
    }
}
