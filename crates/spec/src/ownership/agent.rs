//! An agent: the real checks and the real opening table.

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

/// The moment at which the whole search takes place.
const NOW: Millis = Millis::new(1_000_000);

/// The run of every agent at the start.
const FIRST_RUN: u32 = 1;

/// One agent process.
#[derive(Debug, Clone)]
pub(super) struct Agent {
    idx: usize,
    pub(super) is_up: bool,
    pub(super) run: u32,
    pub(super) has_flow: bool,
    table: OpeningTable,
}

/// What came of a datagram at an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Effect {
    /// The QUIC library got a packet that opens the flow.
    Opened,
    /// The QUIC library got a packet of a flow opened before.
    Delivered,
    /// The QUIC library got a packet minted by this owner.
    Library(Option<CidOwner>),
    /// A packet went on to another agent.
    Passed(SocketAddr, Box<Header>),
    /// The caller got a reset of this owner's flow.
    Reset(CidOwner),
    /// Dropped and counted.
    Dropped,
}

impl Agent {
    /// Makes an agent that has run for long.
    pub(super) fn new(fleet: &Fleet, idx: usize) -> Self {
        Self {
            idx,
            is_up: idx != 3,
            run: FIRST_RUN,
            has_flow: false,
            table: opening_table(fleet, idx, Millis::new(0)),
        }
    }

    pub(super) fn owner(&self) -> CidOwner {
        CidOwner {
            endpoint: ENDPOINTS[self.idx],
            incarnation: Incarnation::new(self.run),
        }
    }

    /// Starts the next run, which has forgotten everything.
    pub(super) fn restart(&mut self, fleet: &Fleet) {
        self.run += 1;
        self.has_flow = false;
        self.table = opening_table(fleet, self.idx, NOW);
    }

    /// Handles a datagram from the tunnel.
    pub(super) fn receive(&mut self, fleet: &Fleet, datagram: &[u8]) -> Effect {
        if fleet.mutation == Mutation::NoOwnerCheck {
            let ring = SingleServiceKeys::new(SERVICE, Arc::clone(&fleet.keys));
            if let Ok((Header { opening: None, .. }, payload)) = tunnel::decode(datagram, &ring) {
                return Effect::Library(minted_by(fleet, payload));
            }
        }
        let (service, keys) = match self.idx {
            3 => (OTHER_SERVICE, &fleet.other_keys),
            _ => (SERVICE, &fleet.keys),
        };
        let ring = SingleServiceKeys::new(service, Arc::clone(keys));
        let Ok((header, payload)) = tunnel::decode(datagram, &ring) else {
            return Effect::Dropped;
        };
        let me = self.owner();
        match header.check_recipient(me.endpoint, me.incarnation) {
            Ok(()) => {}
            Err(_) if fleet.mutation == Mutation::ResetForeignCids => return reset(fleet, payload),
            Err(Reject::Incarnation) => {
                return match datagram_owner(keys, me.endpoint, me.incarnation, payload) {
                    DatagramOwner::EarlierIncarnation(_) => reset(fleet, payload),
                    _ => Effect::Dropped,
                };
            }
            Err(_) => return Effect::Dropped,
        }
        match header.opening {
            Some(opening) => self.decide(fleet, &header, &opening, payload),
            None => match datagram_owner(keys, me.endpoint, me.incarnation, payload) {
                DatagramOwner::CurrentIncarnation => Effect::Library(minted_by(fleet, payload)),
                _ => Effect::Dropped,
            },
        }
    }

    fn decide(
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
                Effect::Passed(to.address, Box::new(header))
            }
            OpeningAction::Refuse(_) => Effect::Dropped,
        }
    }
}

impl PartialEq for Agent {
    fn eq(&self, other: &Self) -> bool {
        (self.is_up, self.run, self.has_flow) == (other.is_up, other.run, other.has_flow)
            && self.table.state() == other.table.state()
    }
}

impl Eq for Agent {}

impl Hash for Agent {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.is_up, self.run, self.has_flow).hash(state);
        self.table.state().hash(state);
    }
}

fn opening_table(fleet: &Fleet, idx: usize, started: Millis) -> OpeningTable {
    let mut limits = Limits::new();
    if fleet.mutation == Mutation::NoWarmup {
        limits.warmup_ms = Millis::new(0);
    }
    OpeningTable::new(ENDPOINTS[idx], started, limits, 1)
}

fn reset(fleet: &Fleet, payload: &[u8]) -> Effect {
    minted_by(fleet, payload).map_or(Effect::Dropped, Effect::Reset)
}

fn minted_by(fleet: &Fleet, payload: &[u8]) -> Option<CidOwner> {
    cid::decode(&fleet.keys, Quic::parse(payload)?.dcid())
}
