//! Model of flow ownership during an uneven bundle rollout, with reused addresses, agent restarts
//! and misrouted datagrams.
//!
//! Two balancers route one flow of service 1. The bundle changes from endpoints A and B to B and C;
//! A drains and stops, and an agent of service 2 takes over its address. Datagrams in flight may be
//! reordered or lost. Routing, the tunnel encoding, the agent's checks and its table of opening
//! packets are the production code of `flow`.
//!
//! The transitions encode these assumptions:
//! - A balancer opens flows at endpoints that only the newer bundle lists once every balancer has
//!   that bundle and no datagram routed by the older bundle is in flight.
//! - While a bundle propagates, at least one endpoint of both bundles accepts flows.
//! - A balancer ends the overlap of two bundles only when every balancer has the newer bundle and
//!   no opening packet routed by the older bundle alone is in progress.
//! - An agent restarts only when every opening packet forwarded by an agent has arrived or is lost,
//!   because a process takes longer to start than a datagram takes to arrive.
//! - The opening of a flow ends before its record expires and before a restarted agent's warmup
//!   ends.

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
    /// No defect: the protocol as implemented.
    None,
    /// Balancers send opening packets directly to the target endpoint, without a deciding agent.
    NoDecider,
    /// Balancers open flows at endpoints that other balancers may not know yet.
    NoPropagationPhase,
    /// Balancers stop asking the previous bundle's deciding agents as soon as they have the next
    /// bundle.
    NoOverlapPhase,
    /// Restarted agents decide on opening packets at once, without querying the other candidate
    /// agents first.
    NoWarmup,
    /// Agents drop opening packets that another agent should decide on or accept, instead of
    /// forwarding them.
    NoForwarding,
    /// Agents pass every datagram of an established flow to the QUIC library without checking who
    /// issued its connection id.
    NoOwnerCheck,
    /// Agents send a reset for every connection id that they didn't issue.
    ResetForeignCids,
}

/// Result of a search of the flow ownership model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Number of distinct states whose successors were visited.
    pub states: usize,
    /// The violated invariant that the fewest transitions lead to.
    pub violation: Option<Violation>,
    /// The states on the path to the violation, one line each.
    pub trace: Vec<String>,
}

/// Searches every fleet state reachable within `bounds`, for a flow whose opening packets the given
/// agents decide on.
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
        trace: path.iter().map(|it| it.format_trace_line(&fleet)).collect(),
    }
}
