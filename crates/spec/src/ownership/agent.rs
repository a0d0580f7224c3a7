//! The flow ownership model's agent, which runs the production checks and table of opening packets.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
};

use flow::{
    cid::{self, CidOwner},
    opening::{Limits, OpeningAction, OpeningTable},
    quic::Packet as Quic,
    reset::{DatagramOwner, datagram_owner},
    tunnel::{self, Header, Kind, Opening, Reject, SingleServiceKeys},
};
use units::{Incarnation, Millis};

use super::{
    Mutation,
    fleet::{ENDPOINTS, Fleet, OTHER_SERVICE, SERVICE},
};

/// Time at which every transition of the model takes place.
const NOW: Millis = Millis::new(1_000_000);

/// Incarnation of every agent in the initial state.
const FIRST_INCARNATION: u32 = 1;

/// One modelled agent process.
#[derive(Debug, Clone)]
pub(super) struct Agent {
    idx: usize,
    pub(super) is_up: bool,
    pub(super) incarnation: u32,
    pub(super) has_flow: bool,
    table: OpeningTable,
}

/// What an agent did with a received datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Effect {
    /// The agent passed a packet that opens the flow to its QUIC library.
    Opened,
    /// The agent passed a further opening packet of a flow that it holds to its QUIC library.
    Delivered,
    /// The agent passed a packet of an established flow to its QUIC library. This owner issued the
    /// packet's connection id.
    ToQuic(Option<CidOwner>),
    /// The agent forwarded the packet to another agent.
    Forwarded(SocketAddr, Box<Header>),
    /// The agent sent the caller a reset for the flow of this connection id owner.
    Reset(CidOwner),
    /// The agent dropped the datagram and counted it.
    Dropped,
}

impl Agent {
    /// Creates the agent of an endpoint, with its warmup already over.
    pub(super) fn new(fleet: &Fleet, idx: usize) -> Self {
        Self {
            idx,
            is_up: idx != 3,
            incarnation: FIRST_INCARNATION,
            has_flow: false,
            table: new_opening_table(fleet, idx, Millis::new(0)),
        }
    }

    pub(super) fn owner(&self) -> CidOwner {
        CidOwner {
            endpoint: ENDPOINTS[self.idx],
            incarnation: Incarnation::new(self.incarnation),
        }
    }

    /// Starts the agent's next incarnation, without its flow and its records of opening packets.
    pub(super) fn restart(&mut self, fleet: &Fleet) {
        self.incarnation += 1;
        self.has_flow = false;
        self.table = new_opening_table(fleet, self.idx, NOW);
    }

    /// Handles a tunnel datagram and returns what the agent did with its packet.
    pub(super) fn handle_datagram(&mut self, fleet: &Fleet, datagram: &[u8]) -> Effect {
        if fleet.mutation == Mutation::NoOwnerCheck {
            let key_ring = SingleServiceKeys::new(SERVICE, Arc::clone(&fleet.keys));
            if let Ok((Header { opening: None, .. }, payload)) = tunnel::decode(datagram, &key_ring)
            {
                return Effect::ToQuic(cid_owner(fleet, payload));
            }
        }
        let (service, keys) = match self.idx {
            3 => (OTHER_SERVICE, &fleet.other_keys),
            _ => (SERVICE, &fleet.keys),
        };
        let key_ring = SingleServiceKeys::new(service, Arc::clone(keys));
        let Ok((header, payload)) = tunnel::decode(datagram, &key_ring) else {
            return Effect::Dropped;
        };
        let me = self.owner();
        match header.check_recipient(me.endpoint, me.incarnation) {
            Ok(()) => {}
            Err(_) if fleet.mutation == Mutation::ResetForeignCids => {
                return reset_effect(fleet, payload);
            }
            Err(Reject::Incarnation) => {
                return match datagram_owner(keys, me.endpoint, me.incarnation, payload) {
                    DatagramOwner::EarlierIncarnation(_) => reset_effect(fleet, payload),
                    _ => Effect::Dropped,
                };
            }
            Err(_) => return Effect::Dropped,
        }
        match header.opening {
            Some(opening) => self.handle_opening(fleet, &header, &opening, payload),
            None => match datagram_owner(keys, me.endpoint, me.incarnation, payload) {
                DatagramOwner::CurrentIncarnation => Effect::ToQuic(cid_owner(fleet, payload)),
                _ => Effect::Dropped,
            },
        }
    }

    fn handle_opening(
        &mut self,
        fleet: &Fleet,
        header: &Header,
        opening: &Opening,
        payload: &[u8],
    ) -> Effect {
        let Some(packet) = Quic::parse(payload) else {
            return Effect::Dropped;
        };
        let key = self.table.key(header.caller, packet.dcid());
        match self.table.decide(NOW, key, opening) {
            OpeningAction::Open => Effect::Opened,
            OpeningAction::Deliver => Effect::Delivered,
            OpeningAction::Forward { .. } if fleet.mutation == Mutation::NoForwarding => {
                Effect::Dropped
            }
            OpeningAction::Forward { to, opening } => {
                let header = Header {
                    kind: Kind::ForwardedOpening,
                    endpoint: to.endpoint,
                    opening: Some(opening),
                    ..*header
                };
                Effect::Forwarded(to.address, Box::new(header))
            }
            OpeningAction::Refuse(_) => Effect::Dropped,
        }
    }
}

impl PartialEq for Agent {
    fn eq(&self, other: &Self) -> bool {
        (self.is_up, self.incarnation, self.has_flow)
            == (other.is_up, other.incarnation, other.has_flow)
            && self.table.state() == other.table.state()
    }
}

impl Eq for Agent {}

impl Hash for Agent {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.is_up, self.incarnation, self.has_flow).hash(state);
        self.table.state().hash(state);
    }
}

fn new_opening_table(fleet: &Fleet, idx: usize, started: Millis) -> OpeningTable {
    let mut limits = Limits::new();
    if fleet.mutation == Mutation::NoWarmup {
        limits.warmup_ms = Millis::new(0);
    }
    OpeningTable::new(ENDPOINTS[idx], started, limits, 1)
}

fn reset_effect(fleet: &Fleet, payload: &[u8]) -> Effect {
    cid_owner(fleet, payload).map_or(Effect::Dropped, Effect::Reset)
}

fn cid_owner(fleet: &Fleet, payload: &[u8]) -> Option<CidOwner> {
    cid::decode(&fleet.keys, Quic::parse(payload)?.dcid())
}
