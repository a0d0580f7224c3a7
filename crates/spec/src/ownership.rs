//! Specification: who owns a flow, while bundles land unevenly, addresses are reused, agents
//! restart and datagrams stray.
//!
//! One flow of service 1 is opened and used through two balancers. The bundle changes from
//! endpoints A, B to B, C; A drains, stops, and an agent of service 2 takes its address. Every
//! datagram in flight may arrive in any order or never. Routing, the tunnel's bytes, the agent's
//! checks and its opening table are the real code of `flow`.
//!
//! Assumptions, which the steps encode:
//! - A balancer opens flows at endpoints that only the newer bundle names when every balancer has
//!   it and no datagram is in flight that the older one routed.
//! - While a bundle spreads, some endpoint of both bundles takes flows.
//! - A balancer ends the overlap of two bundles only when every balancer has the newer one and no
//!   opening routed by the older one alone is still under way.
//! - A run of an agent starts only when every opening that agents pass on has arrived or is lost:
//!   a process takes longer to start than a datagram to travel.
//! - An opening is over before the tables forget it and before a restarted agent stops asking.

mod agent;
mod fleet;
mod steps;

use std::cell::Cell;

use pathfinding::prelude::bfs;

use self::fleet::Fleet;
pub use self::{
    fleet::{DeciderPair, decider_pairs},
    steps::{Bounds, Violation},
};

/// Which mutation the specification runs with: the sound one, or one broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// What the program does.
    None,
    /// Balancers send openings straight to the endpoint they prefer.
    NoDecider,
    /// Balancers open flows at endpoints that other balancers don't know yet.
    NoPropagationPhase,
    /// Balancers forget the previous bundle's homes as soon as they have the next.
    NoOverlapPhase,
    /// Restarted agents decide at once instead of asking.
    NoWarmup,
    /// Agents drop openings that another should decide on or open.
    NoForwarding,
    /// Agents give every datagram of an established flow to the QUIC library.
    NoOwnerCheck,
    /// Agents answer every connection id that is not theirs with a reset.
    ResetForeignCids,
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

/// Searches every state reachable within `bounds` for a flow of the given deciders.
#[must_use]
pub fn search(mutation: Mutation, deciders: DeciderPair, bounds: Bounds) -> SearchOutcome {
    let fleet = Fleet::new(mutation, deciders);
    let states = Cell::new(0);
    let successors = |state: &steps::State| {
        states.set(states.get() + 1);
        state.successors(&fleet)
    };
    let start = steps::State::new(&fleet, bounds);
    let path = bfs(&start, successors, |it| it.violation().is_some());
    let path = path.unwrap_or_default();
    SearchOutcome {
        states: states.get(),
        violation: path.last().and_then(steps::State::violation),
        trace: path.iter().map(|it| it.summary(&fleet)).collect(),
    }
}
