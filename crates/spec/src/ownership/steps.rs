//! States of the fleet and the steps between them.

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

/// Bytes of a caller's datagram that travel: agents read no further.
const PAYLOAD_BYTES: usize = 32;

/// How often each thing may happen in a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Packets that the caller sends to open the flow.
    pub openings: u8,
    /// Packets that the caller sends on the flow once open.
    pub established: u8,
    /// Restarts of agents.
    pub restarts: u8,
    /// Datagrams that arrive at an address they were not sent to.
    pub misroutes: u8,
}

/// What must never happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Violation {
    /// A packet reached the QUIC library of an agent that didn't mint its connection id.
    Misdelivered,
    /// Two running agents hold the same flow.
    OpenedTwice,
    /// Nothing was lost or restarted, but an opening opened nothing or a packet was dropped.
    Lost,
    /// A flow was reset whose agent runs.
    LiveFlowReset,
}

/// A state of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct State {
    views: [View; 2],
    agents: [Agent; 4],
    /// Sorted: datagrams in flight have no order.
    flight: Vec<Datagram>,
    openings_left: u8,
    established_left: u8,
    restarts_left: u8,
    misroutes_left: u8,
    /// Whether a balancer with only the old bundle has routed an opening.
    was_opened_by_old: bool,
    /// Whether a datagram strayed or found nobody, or an agent ended a run.
    is_disturbed: bool,
    /// Who minted the connection id that the caller uses.
    minted: Option<CidOwner>,
    violation: Option<Violation>,
}

/// A datagram in the tunnel.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Datagram {
    to: SocketAddr,
    sender: Sender,
    /// The bundle by which it was routed first.
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
            flight: Vec::new(),
            openings_left: bounds.openings,
            established_left: bounds.established,
            restarts_left: bounds.restarts,
            misroutes_left: bounds.misroutes,
            was_opened_by_old: false,
            is_disturbed: false,
            minted: None,
            violation: None,
        }
    }

    pub(super) const fn violation(&self) -> Option<Violation> {
        self.violation
    }

    /// Describes the state in one line.
    pub(super) fn summary(&self, fleet: &Fleet) -> String {
        let agents = self.agents.iter().filter(|it| it.is_up);
        let agents: Vec<_> = agents.map(|it| (it.owner(), it.has_flow)).collect();
        let ring = SingleServiceKeys::new(SERVICE, Arc::clone(&fleet.keys));
        let headers = self.flight.iter().map(|it| {
            let header = tunnel::decode(&it.bytes, &ring).map(|it| it.0);
            (it.to, header.ok().map(|it| (it.endpoint, it.opening)))
        });
        let flight: Vec<_> = headers.collect();
        let Self {
            views, violation, ..
        } = self;
        format!("{views:?} {agents:?} {flight:?} {violation:?}")
    }

    /// Takes every step that may come next.
    pub(super) fn successors(&self, fleet: &Fleet) -> Vec<Self> {
        let mut next = Vec::new();
        if self.violation.is_some() {
            return next;
        }
        self.change_views(&mut next);
        self.send_openings(fleet, &mut next);
        self.send_established(fleet, &mut next);
        self.deliver(fleet, &mut next);
        self.stray(&mut next);
        self.restart(fleet, &mut next);
        self.replace(&mut next);
        next
    }

    fn change_views(&self, next: &mut Vec<Self>) {
        for (idx, view) in self.views.iter().enumerate() {
            let all_have_new = !self.views.contains(&View::Old);
            let to = match view {
                View::Old => View::Spreading,
                View::Spreading if all_have_new && !self.carries_old() => View::Overlap,
                View::Overlap if all_have_new && !self.was_opened_by_old => View::New,
                View::Spreading | View::Overlap | View::New => continue,
            };
            let mut state = self.clone();
            state.views[idx] = to;
            // Balancers with the same view are alike.
            state.views.sort_unstable();
            next.push(state);
        }
    }

    fn send_openings(&self, fleet: &Fleet, next: &mut Vec<Self>) {
        if self.openings_left == 0 {
            return;
        }
        for view in self.distinct_views() {
            for &opening in fleet.openings(view) {
                let mut state = self.clone();
                state.openings_left -= 1;
                state.was_opened_by_old |= view == View::Old;
                state.route(
                    fleet,
                    view,
                    Decision::Opening(adjust(fleet.mutation, opening)),
                );
                next.push(state);
            }
        }
    }

    fn send_established(&self, fleet: &Fleet, next: &mut Vec<Self>) {
        if self.established_left == 0 || self.minted.is_none() {
            return;
        }
        for view in self.distinct_views() {
            let mut state = self.clone();
            state.established_left -= 1;
            let decision =
                fleet
                    .table(view)
                    .route(fleet.local, fleet.caller, &state.established(fleet));
            state.route(fleet, view, decision);
            next.push(state);
        }
    }

    /// Puts what a balancer makes of a caller's datagram into flight.
    fn route(&mut self, fleet: &Fleet, view: View, decision: Decision) {
        let service = fleet
            .table(view)
            .service_at(fleet.local)
            .expect("one service");
        let header = service.header(&decision, fleet.caller, fleet.local, Ecn::default());
        match header {
            Some((header, to)) => self.send(fleet, Sender::Balancer, to, &header),
            None => self.violation = Some(Violation::Lost),
        }
    }

    fn send(&mut self, fleet: &Fleet, sender: Sender, to: SocketAddr, header: &Header) {
        let payload = match header.opening {
            Some(_) => fleet.initial[..PAYLOAD_BYTES].to_vec(),
            None => self.established(fleet),
        };
        let mut bytes = vec![0; OPENING_OVERHEAD_BYTES + payload.len()];
        let len = tunnel::encode(header, &fleet.keys, &payload, &mut bytes).expect("fits");
        bytes.truncate(len);
        let datagram = Datagram {
            to,
            sender,
            version: header.bundle_version,
            bytes,
        };
        let at = self.flight.partition_point(|it| *it < datagram);
        self.flight.insert(at, datagram);
    }

    fn deliver(&self, fleet: &Fleet, next: &mut Vec<Self>) {
        for idx in 0..self.flight.len() {
            if idx > 0 && self.flight[idx] == self.flight[idx - 1] {
                continue;
            }
            let mut state = self.clone();
            let datagram = state.flight.remove(idx);
            match state.agent_at(datagram.to) {
                Some(agent) => state.receive(fleet, agent, &datagram.bytes),
                None => state.is_disturbed = true,
            }
            state.check_rest();
            next.push(state);
        }
    }

    fn receive(&mut self, fleet: &Fleet, idx: usize, bytes: &[u8]) {
        match self.agents[idx].receive(fleet, bytes) {
            Effect::Opened => self.open(idx),
            Effect::Delivered if self.agents[idx].has_flow => {}
            Effect::Library(owner) if owner == Some(self.agents[idx].owner()) => {}
            Effect::Library(_) => self.violation = Some(Violation::Misdelivered),
            Effect::Passed(to, header) => self.send(fleet, Sender::Agent, to, &header),
            Effect::Reset(owner) if self.is_running(owner) => {
                self.violation = Some(Violation::LiveFlowReset);
            }
            Effect::Reset(_) => {}
            Effect::Delivered | Effect::Dropped => self.lose(),
        }
    }

    fn open(&mut self, idx: usize) {
        if idx == 3 {
            self.violation = Some(Violation::Misdelivered);
            return;
        }
        self.agents[idx].has_flow = true;
        let is_holder = |it: &&Agent| it.is_up && it.has_flow;
        if self.agents.iter().filter(is_holder).count() > 1 {
            self.violation = Some(Violation::OpenedTwice);
        }
        self.minted = Some(self.agents[idx].owner());
    }

    /// A datagram was dropped, which only a disturbance excuses.
    fn lose(&mut self) {
        if !self.is_disturbed {
            self.violation = Some(Violation::Lost);
        }
    }

    /// Once nothing is in flight, an undisturbed opening has opened the flow.
    fn check_rest(&mut self) {
        let has_opened = self.agents.iter().any(|it| it.has_flow);
        if self.flight.is_empty() && !has_opened {
            self.lose();
        }
    }

    fn stray(&self, next: &mut Vec<Self>) {
        if self.misroutes_left == 0 {
            return;
        }
        for idx in 0..self.flight.len() {
            for to in [0, 1, 2].map(agent_address) {
                let mut state = self.clone();
                state.misroutes_left -= 1;
                state.is_disturbed = true;
                state.flight[idx].to = to;
                state.flight.sort_unstable();
                next.push(state);
            }
        }
    }

    fn restart(&self, fleet: &Fleet, next: &mut Vec<Self>) {
        if self.restarts_left == 0 {
            return;
        }
        let is_passing = self.flight.iter().any(|it| it.sender == Sender::Agent);
        if is_passing {
            return;
        }
        for idx in 0..self.agents.len() {
            if !self.agents[idx].is_up {
                continue;
            }
            let mut state = self.clone();
            state.restarts_left -= 1;
            state.is_disturbed = true;
            state.agents[idx].restart(fleet);
            next.push(state);
        }
    }

    /// A has drained; an agent of another service takes its address.
    fn replace(&self, next: &mut Vec<Self>) {
        if self.views != [View::New; 2] || !self.agents[0].is_up {
            return;
        }
        let mut state = self.clone();
        state.is_disturbed = true;
        state.agents[0].is_up = false;
        state.agents[0].has_flow = false;
        state.agents[3].is_up = true;
        next.push(state);
    }

    /// Tells whether a datagram is in flight that the old bundle routed.
    fn carries_old(&self) -> bool {
        let mut flight = self.flight.iter();
        flight.any(|it| it.version == BundleVersion::new(1))
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

    /// Makes a datagram of the flow as the caller knows it.
    fn established(&self, fleet: &Fleet) -> Vec<u8> {
        let owner = self.minted.expect("the flow was opened");
        let cid = cid::encode(&fleet.keys, owner.endpoint, owner.incarnation, [0; 6]);
        let mut datagram = vec![0x40];
        datagram.extend(cid);
        datagram
    }
}

fn adjust(mutation: Mutation, opening: Opening) -> Opening {
    if mutation != Mutation::NoDecider {
        return opening;
    }
    Opening::new(&[opening.target()], 1, 0)
        .expect("one candidate")
        .with_stage(Stage::Decided)
}
