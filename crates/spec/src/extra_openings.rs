//! Model of a flow whose opening packet reaches two endpoints.
//!
//! One caller opens a flow. Every packet that was ever sent may reach any endpoint, or the caller, at
//! any later time, any number of times or never. That covers lost, delayed and repeated packets, a
//! balancer that offers the opening to both endpoints, and balancers and agents that forget a flow
//! when they restart and look it up again. Endpoints restart, too, and then forget the flow.

use std::{cell::Cell, collections::BTreeSet};

use pathfinding::directed::bfs::bfs;

/// A deliberate defect in the protocol, for which the search must find a counterexample.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// No defect: the protocol as implemented.
    None,
    /// An endpoint takes data on its flow whatever the caller acknowledged.
    TakeAnyData,
    /// A balancer sends the data to both agents, and each rewrites the acknowledged number to the one
    /// of its endpoint.
    RewriteForBoth,
    /// An agent that is told to give an opening up removes the flow from its endpoint.
    GiveUpCloses,
}

/// An invariant that doesn't hold in a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Violation {
    /// Two endpoints, or two runs of one, got the caller's data.
    RanTwice,
    /// The endpoint at which the caller opened the flow has not restarted, but doesn't hold the flow.
    Stranded,
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Number of states that the search visited.
    pub states: u64,
    /// The first violated invariant.
    pub violation: Option<Violation>,
    /// The states on the path to the violation, one line each.
    pub trace: Vec<String>,
}

const ENDPOINTS: u8 = 2;

/// A sequence number of an endpoint, which no other endpoint and no other run uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Sequence {
    endpoint: u8,
    run: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Packet {
    Opening,
    /// An endpoint's answer to the opening packet.
    Answer(Sequence),
    /// The caller's request, which acknowledges a sequence number.
    Data(Sequence),
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Endpoint {
    run: u8,
    holds_flow: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    endpoints: [Endpoint; ENDPOINTS as usize],
    /// Every packet that was sent.
    sent: BTreeSet<Packet>,
    /// The sequence number with which the caller's flow opened.
    opened_at: Option<Sequence>,
    /// The runs of endpoints that got the caller's data.
    ran_at: BTreeSet<Sequence>,
    restarts_left: u8,
}

impl State {
    fn new(restarts: u8) -> Self {
        Self {
            endpoints: [Endpoint::default(); ENDPOINTS as usize],
            sent: BTreeSet::from([Packet::Opening]),
            opened_at: None,
            ran_at: BTreeSet::new(),
            restarts_left: restarts,
        }
    }

    fn endpoint(&self, number: u8) -> Endpoint {
        self.endpoints[usize::from(number)]
    }

    const fn endpoint_mut(&mut self, number: u8) -> &mut Endpoint {
        &mut self.endpoints[number as usize]
    }

    fn deliver_to_endpoint(&mut self, number: u8, packet: Packet, mutation: Mutation) {
        let Endpoint { run, holds_flow } = self.endpoint(number);
        let own = Sequence {
            endpoint: number,
            run,
        };
        match packet {
            Packet::Opening => {
                self.endpoint_mut(number).holds_flow = true;
                self.sent.insert(Packet::Answer(own));
            }
            Packet::Data(acknowledged) => {
                let acknowledged = match mutation {
                    Mutation::RewriteForBoth => own,
                    _ => acknowledged,
                };
                let is_own = acknowledged == own || mutation == Mutation::TakeAnyData;
                if holds_flow && is_own {
                    self.ran_at.insert(own);
                }
            }
            Packet::Answer(_) => {}
        }
    }

    fn successors(&self, mutation: Mutation) -> Vec<Self> {
        let mut next = Vec::new();
        let mut add = |change: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            change(&mut state);
            next.push(state);
        };
        for packet in &self.sent {
            if let (Packet::Answer(sequence), None) = (packet, self.opened_at) {
                add(&|it| {
                    it.opened_at = Some(*sequence);
                    it.sent.insert(Packet::Data(*sequence));
                });
            }
            for number in 0..ENDPOINTS {
                add(&|it| it.deliver_to_endpoint(number, *packet, mutation));
            }
        }
        for number in 0..ENDPOINTS {
            if self.restarts_left > 0 {
                add(&|it| {
                    it.restarts_left -= 1;
                    let endpoint = it.endpoint_mut(number);
                    endpoint.run += 1;
                    endpoint.holds_flow = false;
                });
            }
            // An agent that gives an opening up only stops expecting a request, which is no part of
            // this model.
            if mutation == Mutation::GiveUpCloses {
                add(&|it| it.endpoint_mut(number).holds_flow = false);
            }
        }
        next.retain(|it| it != self);
        next
    }

    fn violation(&self) -> Option<Violation> {
        if self.ran_at.len() > 1 {
            return Some(Violation::RanTwice);
        }
        let opened = self.opened_at?;
        let endpoint = self.endpoint(opened.endpoint);
        let is_stranded = endpoint.run == opened.run && !endpoint.holds_flow;
        is_stranded.then_some(Violation::Stranded)
    }
}

/// Searches all states of the model with at most `restarts` restarts of endpoints until an invariant is
/// violated.
#[must_use]
pub fn search(mutation: Mutation, restarts: u8) -> SearchOutcome {
    let states = Cell::new(0);
    let is_violated = |state: &State| {
        states.set(states.get() + 1);
        state.violation().is_some()
    };
    let start = State::new(restarts);
    let path = bfs(&start, |it| it.successors(mutation), is_violated).unwrap_or_default();
    SearchOutcome {
        states: states.get(),
        violation: path.last().and_then(State::violation),
        trace: path.iter().map(|it| format!("{it:?}")).collect(),
    }
}
