//! Model of flow ownership during an uneven bundle rollout, with reused addresses, agent restarts
//! and misrouted datagrams.
//!
//! Two balancers route one flow of service 1. The bundle changes from endpoints A and B to B and C;
//! A drains and stops, and an agent of service 2 takes over its address. Datagrams in flight may be
//! reordered or lost. Routing, the tunnel encoding, the agent's checks and its opening table are
//! the production code of `flow`.
//!
//! The transitions encode these assumptions:
//! - A balancer opens flows at endpoints that only the newer bundle lists once every balancer has
//!   that bundle and no datagram routed by the older one is in flight.
//! - While a bundle propagates, at least one endpoint of both bundles accepts flows.
//! - A balancer ends the overlap of two bundles only when every balancer has the newer one and no
//!   opening routed by the older one alone is in progress.
//! - An agent restarts only when every opening forwarded by an agent has arrived or is lost,
//!   because a process takes longer to start than a datagram takes to arrive.
//! - An opening ends before its record expires and before a restarted agent's warmup ends.

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

/// A deliberate defect in the protocol, for which the search must find a counterexample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The protocol as implemented.
    None,
    /// Balancers send openings directly to their target, without a decider.
    NoDecider,
    /// Balancers open flows at endpoints that other balancers may not know yet.
    NoPropagationPhase,
    /// Balancers drop the previous bundle's deciders as soon as they have the next bundle.
    NoOverlapPhase,
    /// Restarted agents decide at once instead of querying the other candidates first.
    NoWarmup,
    /// Agents drop openings that another agent should decide on or open.
    NoForwarding,
    /// Agents pass every datagram of an established flow to the QUIC library without checking who
    /// issued its connection id.
    NoOwnerCheck,
    /// Agents answer every connection id that they didn't issue with a reset.
    ResetForeignCids,
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Number of distinct states whose successors were visited.
    pub states: usize,
    /// The violation that the fewest transitions lead to.
    pub violation: Option<Violation>,
    /// The states that lead to the violation, one line each.
    pub trace: Vec<String>,
}

/// Searches every state reachable within `bounds`, for a flow with the given deciders.
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
