//! At most once, with hand-off, restarts, lost, duplicated and late messages and a bundle change.
//!
//! One key, a few agents and a few attempts. The agents are the real
//! [`admission::at_most_once::AtMostOnceState`]; the specification adds callers, the network and
//! faults, and says what must hold. The search visits every state within the limits, breadth
//! first, so a counterexample is a shortest one.

mod world;

use std::cell::Cell;

use pathfinding::directed::bfs::bfs;

pub use world::{Mutation, Violation, World};

/// How far the search goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limits {
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

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// States visited.
    pub states: u64,
    /// The first violation and the number of steps to it.
    pub violation: Option<(Violation, usize)>,
}

/// Visits every state within the limits, or those up to the first violation.
#[must_use]
pub fn search(limits: Limits, mutation: Mutation) -> Found {
    let states = Cell::new(0);
    let start = World::new(limits, mutation);
    let is_violated = |world: &World| {
        states.set(states.get() + 1);
        world.violation().is_some()
    };
    let path = bfs(&start, World::successors, is_violated);
    let violation = path.and_then(|path| {
        let violation = path.last()?.violation()?;
        Some((violation, path.len() - 1))
    });
    Found {
        states: states.get(),
        violation,
    }
}
