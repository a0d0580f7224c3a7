//! Tracks opening packets of flows that no endpoint has accepted yet.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::Ipv4Addr,
};

use units::Millis;

use crate::{Flow, ServiceKey, flow_identity::OpeningId, message::OpeningHeld};

/// Time after which an unaccepted opening packet is offered again, first to another endpoint.
///
/// The delay is longer than the packet takes along a chain of candidates across availability zones
/// with one silent endpoint among them, and well below the 200 ms after which callers retransmit.
const FIRST_RETRY_MS: Millis = Millis::new(70);

/// Time from the first retry of an opening packet until the second, which is the last retry without
/// a retransmission by the caller.
///
/// No more retries follow: if replies are late because a link is saturated, more retries would
/// delay the replies further.
const LAST_RETRY_MS: Millis = Millis::new(330);

/// Time after which the caller has given up opening the flow.
const EXPIRY_MS: Millis = Millis::new(1_400);

/// An opening packet of a flow, with the agent that received the packet first in each attempt.
#[derive(Debug)]
pub(crate) struct PendingOpening {
    pub(crate) flow: Flow,
    pub(crate) id: OpeningId,
    pub(crate) packet: Vec<u8>,
    pub(crate) received_at: Millis,
    retry_at: Millis,
    offered_to: Vec<Ipv4Addr>,
    /// The service to whose endpoints the opening packet was offered last.
    offered_service: Option<ServiceKey>,
    /// The agent at which the opening packet waits for a slot, until `retry_at`.
    held_by: Option<Ipv4Addr>,
    /// The agent that got the opening packet as an extra opening, which is no attempt of its own.
    pub(crate) extra_agent: Option<Ipv4Addr>,
}

impl PendingOpening {
    pub(crate) fn new(now: Millis, flow: Flow, id: OpeningId, packet: &[u8]) -> Self {
        Self {
            flow,
            id,
            packet: packet.to_vec(),
            received_at: now,
            retry_at: now,
            offered_to: Vec::new(),
            offered_service: None,
            held_by: None,
            extra_agent: None,
        }
    }

    pub(crate) fn is_opening_expired(&self, now: Millis) -> bool {
        now.since(self.received_at) > EXPIRY_MS
    }

    /// Returns the time since the opening packet's first copy arrived, in milliseconds.
    pub(crate) fn age_ms(&self, now: Millis) -> u16 {
        u16::try_from(now.since(self.received_at).get()).unwrap_or(u16::MAX)
    }

    pub(crate) fn was_offered_to(&self, agent: Ipv4Addr) -> bool {
        self.offered_to.contains(&agent) || self.extra_agent == Some(agent)
    }

    /// Returns the agents that received the opening packet first in each attempt.
    pub(crate) fn offered_agents(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.offered_to.iter().copied()
    }

    /// Returns how many times the opening packet has been offered.
    pub(crate) fn offer_count(&self) -> u8 {
        u8::try_from(self.offered_to.len()).unwrap_or(u8::MAX)
    }

    /// Postpones the next offer of the opening packet.
    pub(crate) const fn hold_until(&mut self, time: Millis) {
        self.retry_at = time;
    }

    pub(crate) fn record_offer(&mut self, now: Millis, agent: Ipv4Addr, service: ServiceKey) {
        self.offered_to.push(agent);
        self.offered_service = Some(service);
        self.held_by = None;
        self.retry_at = now.plus(match self.offered_to.len() {
            1 => FIRST_RETRY_MS,
            2 => LAST_RETRY_MS,
            _ => EXPIRY_MS,
        });
    }
}

/// The opening packets that no endpoint has accepted yet, by flow.
#[derive(Debug, Default)]
pub(crate) struct PendingOpenings {
    openings: HashMap<Flow, PendingOpening>,
    /// Retry deadlines with their flows, earliest first. The deadline of an opening that is no
    /// longer pending remains until it is due.
    deadlines: BinaryHeap<Reverse<(Millis, Flow)>>,
}

impl PendingOpenings {
    pub(crate) fn insert_opening(&mut self, opening: PendingOpening) {
        self.deadlines
            .push(Reverse((opening.retry_at, opening.flow)));
        self.openings.insert(opening.flow, opening);
    }

    pub(crate) fn take_opening(&mut self, flow: Flow) -> Option<PendingOpening> {
        self.openings.remove(&flow)
    }

    /// Returns which opening of a flow is pending, if one is.
    pub(crate) fn pending_id(&self, flow: Flow) -> Option<OpeningId> {
        self.openings.get(&flow).map(|it| it.id)
    }

    /// Records that an opening packet waits at an agent, so that it isn't offered to another one
    /// meanwhile.
    pub(crate) fn mark_held(&mut self, now: Millis, agent: Ipv4Addr, held: OpeningHeld) {
        if held.opening.is_some() && self.pending_id(held.flow) != held.opening {
            return;
        }
        let Some(mut opening) = self.openings.remove(&held.flow) else {
            return;
        };
        let stay = Millis::new(held.stay_ms.into()).min(EXPIRY_MS);
        opening.retry_at = now.plus(stay).plus(FIRST_RETRY_MS);
        opening.held_by = Some(agent);
        if !opening.was_offered_to(agent) {
            opening.offered_to.push(agent);
        }
        self.insert_opening(opening);
    }

    /// Returns the agent at which an opening packet waits, and the agent's service.
    pub(crate) fn holder(
        &self,
        now: Millis,
        flow: Flow,
        id: OpeningId,
    ) -> Option<(Ipv4Addr, ServiceKey)> {
        let opening = self.openings.get(&flow).filter(|it| it.id == id)?;
        let is_current = now < opening.retry_at && !opening.is_opening_expired(now);
        opening
            .held_by
            .zip(opening.offered_service)
            .filter(|_| is_current)
    }

    /// Removes and returns an opening packet that an agent held and has sent back.
    pub(crate) fn take_opening_held_by(
        &mut self,
        flow: Flow,
        id: OpeningId,
        agent: Ipv4Addr,
    ) -> Option<PendingOpening> {
        let is_held = self
            .openings
            .get(&flow)
            .is_some_and(|it| it.id == id && it.held_by == Some(agent));
        is_held.then(|| self.openings.remove(&flow)).flatten()
    }

    pub(crate) fn take_overdue_opening(&mut self, now: Millis) -> Option<PendingOpening> {
        while let Some(Reverse((retry_at, flow))) = self.deadlines.peek().copied() {
            if retry_at > now {
                return None;
            }
            self.deadlines.pop();
            if self
                .openings
                .get(&flow)
                .is_some_and(|it| it.retry_at == retry_at)
            {
                return self.openings.remove(&flow);
            }
        }
        None
    }

    pub(crate) fn next_deadline(&mut self) -> Option<Millis> {
        while let Some(Reverse((retry_at, flow))) = self.deadlines.peek().copied() {
            if self
                .openings
                .get(&flow)
                .is_some_and(|it| it.retry_at == retry_at)
            {
                return Some(retry_at);
            }
            self.deadlines.pop();
        }
        None
    }
}
