//! Specification: acceptance and spread of bundles, with stale reads, late messages, restarts, a
//! partition, a version signed twice and services that claim the same endpoint.
//!
//! A few processes read any published document at any time, old ones included, and pass on what
//! they hold; messages may come late, again or never. What a process does with an offered document
//! is the real `bundle::Store`'s decision, looked up in a table of all its answers.
//!
//! Assumptions, which the steps encode:
//! - A process that starts asks one serving process of its side, whichever answers, or none if its
//!   side has none; then it may read the platform; then it serves.
//! - A process that serves exchanges with every other of its side again and again.

mod decisions;
mod documents;
mod steps;

use std::cell::Cell;

use pathfinding::prelude::bfs;

use self::decisions::Decisions;
pub use self::steps::{Bounds, Violation};

/// Which mutation the specification runs with: the sound one, or one broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// What the program does.
    None,
    /// A lower version takes the place of a higher one.
    AcceptLowerVersion,
    /// Of two documents of one version, the first to come stays.
    KeepFirstFork,
    /// What compares with the bundles held is checked of peers' bundles too.
    CheckPeersAgainstHeld,
    /// Processes compare versions without digests.
    IgnoreDigests,
    /// A process that starts reads the platform and serves without asking a peer.
    StartWithoutPeers,
}

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Distinct states whose steps were all taken.
    pub states: usize,
    /// The violation that the fewest steps lead to.
    pub violation: Option<Violation>,
    /// The states on the way to it, one line each.
    pub trace: Vec<String>,
}

/// Searches every state reachable within `bounds`.
#[must_use]
pub fn search(mutation: Mutation, bounds: Bounds) -> SearchOutcome {
    let decisions = Decisions::new(mutation);
    let states = Cell::new(0);
    let successors = |state: &steps::State| {
        states.set(states.get() + 1);
        state.successors(mutation, &decisions)
    };
    let start = steps::State::new(bounds);
    let path = bfs(&start, successors, |it| it.violation(&decisions).is_some());
    let path = path.unwrap_or_default();
    SearchOutcome {
        states: states.get(),
        violation: path.last().and_then(|it| it.violation(&decisions)),
        trace: path.iter().map(|it| format!("{it:?}")).collect(),
    }
}
