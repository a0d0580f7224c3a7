//! The search of acceptance and spread: sound rules hold, broken ones are found.

use spec::spread::{Rule, Size, Violation, search};

const fn size(processes: u8, restarts: u8, moves: u8) -> Size {
    Size {
        processes,
        restarts,
        moves,
    }
}

fn check_sound(size: Size, states: usize) {
    let outcome = search(Rule::Sound, size);
    assert_eq!(outcome.violation, None, "{:#?}", outcome.trail);
    assert_eq!(outcome.states, states, "every state within the bounds");
}

fn check_broken(rule: Rule, expect: Violation) {
    let outcome = search(rule, size(3, 1, 1));
    assert_eq!(outcome.violation, Some(expect), "{:#?}", outcome.trail);
}

#[test]
fn two_processes() {
    check_sound(size(2, 2, 2), 63_743);
}

#[test]
fn three_processes() {
    check_sound(size(3, 1, 0), 125_638);
}

#[test]
fn broken_rules() {
    check_broken(Rule::AcceptLower, Violation::Reverted);
    check_broken(Rule::KeepFirst, Violation::Diverged);
    check_broken(Rule::CheckPeers, Violation::Diverged);
    check_broken(Rule::CompareVersions, Violation::Diverged);
    check_broken(Rule::StartAlone, Violation::ServedOld);
}
