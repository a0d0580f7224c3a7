//! At most once, with hand-off, restarts, lost, duplicated and late messages and a bundle change.
//!
//! One key, a few agents and a few attempts. The agents are the real
//! [`admission::at_most_once::AtMostOnceState`]; the specification adds callers, the network and
//! faults, and says what must hold. The search visits every state within the bounds, breadth
//! first, so a counterexample is a shortest one.

mod state;

use std::cell::Cell;

use pathfinding::directed::bfs::bfs;

pub use state::{Mutation, State, Violation};

/// How far the search goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Agents of the service.
    pub agents: u8,
    /// Attempts of the key.
    pub attempts: u8,
    /// Faults: lost or duplicated messages, timeouts, restarts, forgotten keys, retries before
    /// an answer.
    pub faults: u8,
    /// Hand-offs of an attempt.
    pub hand_offs: u8,
    /// Agents that adopt the second bundle, which drops the first endpoint.
    pub adoptions: u8,
}

/// What a search outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchOutcome {
    /// States visited.
    pub states: u64,
    /// The first violation and the number of steps to it.
    pub violation: Option<(Violation, usize)>,
}

/// Visits every state within the bounds, or those up to the first violation.
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
