//! Openings that no endpoint has accepted yet.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::Ipv4Addr,
};

use units::Millis;

use crate::{Flow, ServiceKey};

/// Time after which an opening is offered again, beginning at another endpoint.
///
/// Longer than a chain of candidates takes across availability zones, with one silent endpoint among
/// them, and well below the 200 ms after which callers send a copy.
const REPEAT_MS: Millis = Millis::new(70);

/// Time after which an opening that was repeated once is offered a last time without the caller's
/// help. Repeats stop there: answers that are late because a link is full would only get later.
const LAST_REPEAT_MS: Millis = Millis::new(330);

/// Time after which the caller has given the opening up.
const EXPIRY_MS: Millis = Millis::new(1_400);

/// An opening with the agents that it was first offered to.
#[derive(Debug)]
pub(crate) struct Opening {
    pub(crate) flow: Flow,
    pub(crate) service: ServiceKey,
    pub(crate) packet: Vec<u8>,
    pub(crate) first_at: Millis,
    due: Millis,
    tried: Vec<Ipv4Addr>,
}

impl Opening {
    pub(crate) fn new(now: Millis, flow: Flow, service: ServiceKey, packet: &[u8]) -> Self {
        Self {
            flow,
            service,
            packet: packet.to_vec(),
            first_at: now,
            due: now,
            tried: Vec::new(),
        }
    }

    pub(crate) fn is_expired(&self, now: Millis) -> bool {
        now.since(self.first_at) > EXPIRY_MS
    }

    pub(crate) fn has_tried(&self, agent: Ipv4Addr) -> bool {
        self.tried.contains(&agent)
    }

    /// Returns how often the opening has been offered.
    pub(crate) fn attempts(&self) -> u8 {
        u8::try_from(self.tried.len()).unwrap_or(u8::MAX)
    }

    pub(crate) fn offered_to(&mut self, now: Millis, agent: Ipv4Addr) {
        self.tried.push(agent);
        self.due = now.plus(match self.tried.len() {
            1 => REPEAT_MS,
            2 => LAST_REPEAT_MS,
            _ => EXPIRY_MS,
        });
    }
}

/// The openings under way.
#[derive(Debug, Default)]
pub(crate) struct Openings {
    openings: HashMap<Flow, Opening>,
    /// When each falls due, the earliest on top; entries of openings that ended stay until then.
    due: BinaryHeap<Reverse<(Millis, Flow)>>,
}

impl Openings {
    pub(crate) fn insert(&mut self, opening: Opening) {
        self.due.push(Reverse((opening.due, opening.flow)));
        self.openings.insert(opening.flow, opening);
    }

    pub(crate) fn take(&mut self, flow: Flow) -> Option<Opening> {
        self.openings.remove(&flow)
    }

    pub(crate) fn take_overdue(&mut self, now: Millis) -> Option<Opening> {
        while let Some(Reverse((due, flow))) = self.due.peek().copied() {
            if due > now {
                return None;
            }
            self.due.pop();
            if self.openings.get(&flow).is_some_and(|it| it.due == due) {
                return self.openings.remove(&flow);
            }
        }
        None
    }

    pub(crate) fn next_deadline(&mut self) -> Option<Millis> {
        while let Some(Reverse((due, flow))) = self.due.peek().copied() {
            if self.openings.get(&flow).is_some_and(|it| it.due == due) {
                return Some(due);
            }
            self.due.pop();
        }
        None
    }
}
