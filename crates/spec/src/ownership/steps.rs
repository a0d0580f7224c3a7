//! State of the flow ownership model and its transitions.

use std::{net::SocketAddr, sync::Arc};

use flow::{
    cid::{self, CidOwner},
    table::Decision,
    tunnel::{self, Ecn, Header, OPENING_OVERHEAD_BYTES, Opening, SingleServiceKeys, Stage},
};

use units::BundleVersion;

use super::{
    Mutation,
    agent::{Agent, Effect},
    fleet::{Fleet, SERVICE, View, agent_address},
};

/// Length to which the callers' datagrams are truncated, because agents read no further.
const PAYLOAD_BYTES: usize = 32;

/// Bounds of the search of the flow ownership model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of packets that the caller sends to open the flow.
    pub openings: u8,
    /// Maximum number of packets that the caller sends on the established flow.
    pub established: u8,
    /// Maximum number of agent restarts.
    pub restarts: u8,
    /// Maximum number of datagrams that arrive at an address they were not sent to.
    pub misroutes: u8,
}

/// An invariant of flow ownership that a state violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Violation {
    /// A packet reached the QUIC library of an agent that didn't issue its connection id.
    Misdelivered,
    /// Two running agents hold the same flow.
    OpenedTwice,
    /// Without any fault, an opening packet opened no flow or a packet was dropped.
    Lost,
    /// A flow was reset although its agent is running.
    LiveFlowReset,
}

/// A state of the modelled balancers, agents and datagrams in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct State {
    views: [View; 2],
    agents: [Agent; 4],
    /// Datagrams in flight, sorted because they may arrive in any order.
    in_flight: Vec<Datagram>,
    openings_left: u8,
    established_left: u8,
    restarts_left: u8,
    misroutes_left: u8,
    /// Whether a balancer that has only the old bundle has routed an opening packet.
    has_old_opening: bool,
    /// Whether a datagram was misrouted or reached no agent, or an agent restarted or stopped.
    has_fault: bool,
    /// The agent that issued the connection id that the caller uses.
    flow_owner: Option<CidOwner>,
    violation: Option<Violation>,
}

/// A tunnel datagram in flight.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Datagram {
    to: SocketAddr,
    sender: Sender,
    /// Version of the bundle by which a balancer routed the datagram.
    version: BundleVersion,
    bytes: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Sender {
    Balancer,
    Agent,
}

impl State {
    pub(super) fn new(fleet: &Fleet, bounds: Bounds) -> Self {
        Self {
            views: [View::Old; 2],
            agents: [0, 1, 2, 3].map(|it| Agent::new(fleet, it)),
            in_flight: Vec::new(),
            openings_left: bounds.openings,
            established_left: bounds.established,
            restarts_left: bounds.restarts,
            misroutes_left: bounds.misroutes,
            has_old_opening: false,
            has_fault: false,
            flow_owner: None,
            violation: None,
        }
    }

    pub(super) const fn violation(&self) -> Option<Violation> {
        self.violation
    }

    /// Formats the state as one line of a counterexample trace.
    pub(super) fn format_trace_line(&self, fleet: &Fleet) -> String {
        let agents = self.agents.iter().filter(|it| it.is_up);
        let agents: Vec<_> = agents.map(|it| (it.owner(), it.has_flow)).collect();
        let key_ring = SingleServiceKeys::new(SERVICE, Arc::clone(&fleet.keys));
        let headers = self.in_flight.iter().map(|it| {
            let header = tunnel::decode(&it.bytes, &key_ring).map(|it| it.0);
            (it.to, header.ok().map(|it| (it.endpoint, it.opening)))
        });
        let in_flight: Vec<_> = headers.collect();
        let Self {
            views, violation, ..
        } = self;
        format!("{views:?} {agents:?} {in_flight:?} {violation:?}")
    }

    /// Returns every state that one transition of the model leads to.
    pub(super) fn successors(&self, fleet: &Fleet) -> Vec<Self> {
        let mut next = Vec::new();
        if self.violation.is_some() {
            return next;
        }
        self.add_rollout_steps(&mut next);
        self.add_opening_steps(fleet, &mut next);
        self.add_established_steps(fleet, &mut next);
        self.add_delivery_steps(fleet, &mut next);
        self.add_misroute_steps(&mut next);
        self.add_restart_steps(fleet, &mut next);
        self.add_address_reuse_steps(&mut next);
        next
    }

    fn add_rollout_steps(&self, next: &mut Vec<Self>) {
        for (idx, view) in self.views.iter().enumerate() {
            let all_have_new_bundle = !self.views.contains(&View::Old);
            let to = match view {
                View::Old => View::Propagating,
                View::Propagating if all_have_new_bundle && !self.has_old_in_flight() => {
                    View::Overlapping
                }
                View::Overlapping if all_have_new_bundle && !self.has_old_opening => View::New,
                View::Propagating | View::Overlapping | View::New => continue,
            };
            let mut state = self.clone();
            state.views[idx] = to;
            // Balancers differ only in their view, so sorting the views merges symmetric states.
            state.views.sort_unstable();
            next.push(state);
        }
    }

    fn add_opening_steps(&self, fleet: &Fleet, next: &mut Vec<Self>) {
        if self.openings_left == 0 {
            return;
        }
        for view in self.distinct_views() {
            for &opening in fleet.openings_by_view(view) {
                let mut state = self.clone();
                state.openings_left -= 1;
                state.has_old_opening |= view == View::Old;
                state.send_from_balancer(
                    fleet,
                    view,
                    Decision::Opening(skip_decider_if_mutated(fleet.mutation, opening)),
                );
                next.push(state);
            }
        }
    }

    fn add_established_steps(&self, fleet: &Fleet, next: &mut Vec<Self>) {
        if self.established_left == 0 || self.flow_owner.is_none() {
            return;
        }
        for view in self.distinct_views() {
            let mut state = self.clone();
            state.established_left -= 1;
            let decision = fleet.routing_table(view).route(
                fleet.local,
                fleet.caller,
                &state.build_established_packet(fleet),
            );
            state.send_from_balancer(fleet, view, decision);
            next.push(state);
        }
    }

    /// Sends a caller's datagram as a balancer with the given view routes it.
    fn send_from_balancer(&mut self, fleet: &Fleet, view: View, decision: Decision) {
        let service = fleet
            .routing_table(view)
            .service_at(fleet.local)
            .expect("the balancers serve the local address");
        let header = service.tunnel_header(&decision, fleet.caller, fleet.local, Ecn::default());
        match header {
            Some((header, to)) => self.send_datagram(fleet, Sender::Balancer, to, &header),
            None => self.violation = Some(Violation::Lost),
        }
    }

    fn send_datagram(&mut self, fleet: &Fleet, sender: Sender, to: SocketAddr, header: &Header) {
        let payload = match header.opening {
            Some(_) => fleet.initial[..PAYLOAD_BYTES].to_vec(),
            None => self.build_established_packet(fleet),
        };
        let mut bytes = vec![0; OPENING_OVERHEAD_BYTES + payload.len()];
        let len = tunnel::encode(header, &fleet.keys, &payload, &mut bytes)
            .expect("the buffer has room for header and payload");
        bytes.truncate(len);
        let datagram = Datagram {
            to,
            sender,
            version: header.bundle_version,
            bytes,
        };
        let at = self.in_flight.partition_point(|it| *it < datagram);
        self.in_flight.insert(at, datagram);
    }

    fn add_delivery_steps(&self, fleet: &Fleet, next: &mut Vec<Self>) {
        for idx in 0..self.in_flight.len() {
            if idx > 0 && self.in_flight[idx] == self.in_flight[idx - 1] {
                continue;
            }
            let mut state = self.clone();
            let datagram = state.in_flight.remove(idx);
            match state.agent_at(datagram.to) {
                Some(agent) => state.handle_datagram(fleet, agent, &datagram.bytes),
                None => state.has_fault = true,
            }
            state.check_quiescent_state();
            next.push(state);
        }
    }

    fn handle_datagram(&mut self, fleet: &Fleet, idx: usize, bytes: &[u8]) {
        match self.agents[idx].handle_datagram(fleet, bytes) {
            Effect::Opened => self.record_opened_flow(idx),
            Effect::Delivered if self.agents[idx].has_flow => {}
            Effect::ToQuic(owner) if owner == Some(self.agents[idx].owner()) => {}
            Effect::ToQuic(_) => self.violation = Some(Violation::Misdelivered),
            Effect::Forwarded(to, header) => self.send_datagram(fleet, Sender::Agent, to, &header),
            Effect::Reset(owner) if self.is_running(owner) => {
                self.violation = Some(Violation::LiveFlowReset);
            }
            Effect::Reset(_) => {}
            Effect::Delivered | Effect::Dropped => self.record_loss(),
        }
    }

    fn record_opened_flow(&mut self, idx: usize) {
        if idx == 3 {
            self.violation = Some(Violation::Misdelivered);
            return;
        }
        self.agents[idx].has_flow = true;
        let is_holder = |it: &&Agent| it.is_up && it.has_flow;
        if self.agents.iter().filter(is_holder).count() > 1 {
            self.violation = Some(Violation::OpenedTwice);
        }
        self.flow_owner = Some(self.agents[idx].owner());
    }

    /// Records the loss of a datagram, which violates an invariant unless a fault occurred.
    fn record_loss(&mut self) {
        if !self.has_fault {
            self.violation = Some(Violation::Lost);
        }
    }

    /// Checks that a fault-free opening packet has opened the flow once no datagram is in flight.
    fn check_quiescent_state(&mut self) {
        let has_opened = self.agents.iter().any(|it| it.has_flow);
        if self.in_flight.is_empty() && !has_opened {
            self.record_loss();
        }
    }

    fn add_misroute_steps(&self, next: &mut Vec<Self>) {
        if self.misroutes_left == 0 {
            return;
        }
        for idx in 0..self.in_flight.len() {
            for to in [0, 1, 2].map(agent_address) {
                let mut state = self.clone();
                state.misroutes_left -= 1;
                state.has_fault = true;
                state.in_flight[idx].to = to;
                state.in_flight.sort_unstable();
                next.push(state);
            }
        }
    }

    fn add_restart_steps(&self, fleet: &Fleet, next: &mut Vec<Self>) {
        if self.restarts_left == 0 {
            return;
        }
        let is_forwarding = self.in_flight.iter().any(|it| it.sender == Sender::Agent);
        if is_forwarding {
            return;
        }
        for idx in 0..self.agents.len() {
            if !self.agents[idx].is_up {
                continue;
            }
            let mut state = self.clone();
            state.restarts_left -= 1;
            state.has_fault = true;
            state.agents[idx].restart(fleet);
            next.push(state);
        }
    }

    /// Adds the state in which endpoint A has drained and an agent of another service has taken
    /// over A's address.
    fn add_address_reuse_steps(&self, next: &mut Vec<Self>) {
        if self.views != [View::New; 2] || !self.agents[0].is_up {
            return;
        }
        let mut state = self.clone();
        state.has_fault = true;
        state.agents[0].is_up = false;
        state.agents[0].has_flow = false;
        state.agents[3].is_up = true;
        next.push(state);
    }

    /// Returns whether a datagram routed by the old bundle is in flight.
    fn has_old_in_flight(&self) -> bool {
        let mut in_flight = self.in_flight.iter();
        in_flight.any(|it| it.version == BundleVersion::new(1))
    }

    fn distinct_views(&self) -> impl Iterator<Item = View> {
        let [first, second] = self.views;
        let second = (second != first).then_some(second);
        std::iter::once(first).chain(second)
    }

    fn agent_at(&self, address: SocketAddr) -> Option<usize> {
        (0..self.agents.len()).find(|&it| self.agents[it].is_up && agent_address(it) == address)
    }

    fn is_running(&self, owner: CidOwner) -> bool {
        let mut agents = self.agents.iter();
        agents.any(|it| it.is_up && it.has_flow && it.owner() == owner)
    }

    /// Creates a packet of the established flow with the connection id that the caller uses.
    fn build_established_packet(&self, fleet: &Fleet) -> Vec<u8> {
        let owner = self.flow_owner.expect("the flow is open");
        let cid = cid::encode(&fleet.keys, owner.endpoint, owner.incarnation, [0; 6]);
        let mut datagram = vec![0x40];
        datagram.extend(cid);
        datagram
    }
}

fn skip_decider_if_mutated(mutation: Mutation, opening: Opening) -> Opening {
    if mutation != Mutation::NoDecider {
        return opening;
    }
    Opening::new(&[opening.target()], 1, 0)
        .expect("a single candidate is valid")
        .with_stage(Stage::Decided)
}
