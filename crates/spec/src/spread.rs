//! Model of bundle acceptance and propagation, with stale reads, late messages, restarts, a network
//! partition, two documents of one version and two services that claim the same endpoint.
//!
//! Processes read any published document at any time, old ones included, and send the documents
//! they hold to each other; messages may be delayed, duplicated or lost. The production
//! `bundle::Store` decides whether a process accepts a document. The store's decisions are
//! precomputed.
//!
//! The transitions encode these assumptions:
//! - A starting process exchanges documents with any one serving process on its side of the
//!   partition, if there is one. The starting process may then read the platform before it begins
//!   to serve.
//! - A serving process periodically exchanges documents with every other process on its side.

mod decisions;
mod documents;
mod steps;

use std::cell::Cell;

use pathfinding::prelude::bfs;

use self::decisions::Decisions;
pub use self::steps::{Bounds, Violation};

/// A deliberate defect in the protocol, for which the search must find a counterexample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// No defect: the protocol as implemented.
    None,
    /// A process replaces a document by one with a lower version.
    AcceptLowerVersion,
    /// Of two documents with the same version, a process keeps the one that it received first.
    KeepFirstFork,
    /// A process checks documents from peers against the bundles that it holds, like documents from
    /// the platform.
    CheckPeersAgainstHeld,
    /// Processes compare documents by version alone, without the digest.
    IgnoreDigests,
    /// A starting process reads the platform and serves without an exchange with a peer.
    StartWithoutPeers,
}

/// Result of a search of the bundle propagation model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Number of distinct states whose successors were visited.
    pub states: usize,
    /// The violated invariant that the fewest transitions lead to.
    pub violation: Option<Violation>,
    /// The states on the path to the violation, one line each.
    pub trace: Vec<String>,
}

/// Searches every state of the bundle propagation model that is reachable within `bounds`.
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
