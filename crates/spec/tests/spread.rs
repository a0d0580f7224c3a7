//! Exhaustive searches of the bundle propagation model, without and with deliberate defects.

use spec::spread::{Bounds, Mutation, Violation, search};

const fn bounds(processes: u8, restarts: u8, partition_moves: u8) -> Bounds {
    Bounds {
        processes,
        restarts,
        partition_moves,
    }
}

fn check_no_violation(bounds: Bounds, states: usize) {
    let outcome = search(Mutation::None, bounds);
    assert_eq!(outcome.violation, None, "{:#?}", outcome.trace);
    assert_eq!(outcome.states, states, "every state within the bounds");
}

fn check_mutation_found(mutation: Mutation, expected: Violation) {
    let outcome = search(mutation, bounds(3, 1, 1));
    assert_eq!(outcome.violation, Some(expected), "{:#?}", outcome.trace);
}

#[test]
fn no_violation_with_two_processes() {
    check_no_violation(bounds(2, 2, 2), 63_743);
}

#[test]
fn no_violation_with_three_processes() {
    check_no_violation(bounds(3, 1, 0), 125_638);
}

#[test]
fn every_mutation_violates_an_invariant() {
    check_mutation_found(Mutation::AcceptLowerVersion, Violation::Reverted);
    check_mutation_found(Mutation::KeepFirstFork, Violation::Diverged);
    check_mutation_found(Mutation::CheckPeersAgainstHeld, Violation::Diverged);
    check_mutation_found(Mutation::IgnoreDigests, Violation::Diverged);
    check_mutation_found(Mutation::StartWithoutPeers, Violation::ServedStale);
}
