//! The search of acceptance and spread: sound rules hold, broken ones are found.

use spec::spread::{Bounds, Mutation, Violation, search};

const fn bounds(processes: u8, restarts: u8, partition_moves: u8) -> Bounds {
    Bounds {
        processes,
        restarts,
        partition_moves,
    }
}

fn check_sound(bounds: Bounds, states: usize) {
    let outcome = search(Mutation::None, bounds);
    assert_eq!(outcome.violation, None, "{:#?}", outcome.trace);
    assert_eq!(outcome.states, states, "every state within the bounds");
}

fn check_broken(mutation: Mutation, expect: Violation) {
    let outcome = search(mutation, bounds(3, 1, 1));
    assert_eq!(outcome.violation, Some(expect), "{:#?}", outcome.trace);
}

#[test]
fn two_processes() {
    check_sound(bounds(2, 2, 2), 63_743);
}

#[test]
fn three_processes() {
    check_sound(bounds(3, 1, 0), 125_638);
}

#[test]
fn broken_rules() {
    check_broken(Mutation::AcceptLowerVersion, Violation::Reverted);
    check_broken(Mutation::KeepFirstFork, Violation::Diverged);
    check_broken(Mutation::CheckPeersAgainstHeld, Violation::Diverged);
    check_broken(Mutation::IgnoreDigests, Violation::Diverged);
    check_broken(Mutation::StartWithoutPeers, Violation::ServedStale);
}
