//! Model of at-most-once execution with hand-offs, restarts, lost, duplicated and late messages
//! and a bundle change.
//!
//! The model has one idempotency key, a few agents and a few attempts. Its agents are the
//! production type [`admission::at_most_once::AtMostOnceState`]; the model adds callers, the
//! network, faults and the invariants. A breadth-first search visits every state within the bounds,
//! so the first counterexample found is a shortest one.

mod state;

use std::cell::Cell;

use pathfinding::directed::bfs::bfs;

pub use state::{Mutation, State, Violation};

/// Bounds of the exhaustive search of the at-most-once model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Number of agents in the model.
    pub agents: u8,
    /// Maximum number of attempts of the request under its idempotency key.
    pub attempts: u8,
    /// Maximum number of faults: lost or duplicated messages, timeouts, agent restarts, evicted
    /// keys and retries before an answer.
    pub faults: u8,
    /// Maximum number of hand-offs of attempts from one agent to another.
    pub hand_offs: u8,
    /// Maximum number of adoptions by agents of the second bundle, which removes the first
    /// endpoint.
    pub adoptions: u8,
}

/// Result of an exhaustive search of the at-most-once model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Number of model states that the search visited.
    pub states: u64,
    /// The first violated invariant and the number of transitions that lead to the violation.
    pub violation: Option<(Violation, usize)>,
}

/// Searches all states of the model within the bounds until an invariant is violated.
#[must_use]
pub fn search(bounds: Bounds, mutation: Mutation) -> SearchOutcome {
    let states = Cell::new(0);
    let start = State::new(bounds, mutation);
    let is_violated = |state: &State| {
        states.set(states.get() + 1);
        state.violation().is_some()
    };
    let path = bfs(&start, State::successors, is_violated);
    let violation = path.and_then(|path| {
        let violation = path.last()?.violation()?;
        Some((violation, path.len() - 1))
    });
    SearchOutcome {
        states: states.get(),
        violation,
    }
}
