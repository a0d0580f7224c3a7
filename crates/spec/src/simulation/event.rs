//! Events of the simulation in the order of time.

use std::{cmp::Reverse, collections::BinaryHeap};

use admission::{
    RequestId,
    at_most_once::{
        Agent, Attempt, BundleEndpoints, FenceReply, FenceRequest, GrantRequest, RequestKey,
        Verdict,
    },
    handoff::OfferId,
};
use units::{EndpointId, Incarnation, Millis};

use super::caller::Heard;

/// Something that happens.
#[derive(Debug, Clone)]
pub(super) enum Event {
    NewKey,
    Attempt {
        key: usize,
    },
    Heard {
        key: usize,
        attempt: Attempt,
        heard: Heard,
    },
    Deliver {
        to: EndpointId,
        message: Message,
    },
    Timer {
        to: EndpointId,
        timer: Timer,
    },
    Adopt {
        to: EndpointId,
        view: BundleEndpoints,
    },
    Restart,
    Pause,
    Part,
    Roll,
}

/// A message to an agent.
#[derive(Debug, Clone)]
pub(super) enum Message {
    Request(Request),
    Ask(GrantRequest),
    Verdict {
        key: RequestKey,
        attempt: Attempt,
        verdict: Verdict,
        to: Agent,
    },
    Fence {
        request: FenceRequest,
        owner: Agent,
    },
    Fenced {
        key: RequestKey,
        below: Attempt,
        reply: FenceReply,
        to: Agent,
    },
    Offer {
        request: Request,
        offer: OfferId,
        from: Agent,
        to: Agent,
    },
    OfferRefused {
        offer: OfferId,
        to: Agent,
    },
}

/// An attempt as its caller sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Request {
    /// Index of the key.
    pub(super) key: usize,
    pub(super) attempt: Attempt,
    pub(super) first_sent_ms: Millis,
}

/// A timer of one run of an agent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Timer {
    pub(super) incarnation: Incarnation,
    pub(super) due: Due,
}

/// What a timer is for.
#[derive(Debug, Clone, Copy)]
pub(super) enum Due {
    /// No verdict, or no word on an offer, came in time.
    GiveUp(RequestId),
    /// No more fences are waited for.
    Conclude { key: RequestKey, attempt: Attempt },
    /// The upstream's answer.
    RunEnds(RequestId),
    /// The slots' clock.
    Tick,
}

impl Request {
    pub(super) fn request_key(&self) -> RequestKey {
        request_key(self.key)
    }
}

/// Spreads indices over the space of digests.
pub(super) fn request_key(key: usize) -> RequestKey {
    let raw = u64::try_from(key).unwrap_or(u64::MAX);
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&raw.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes());
    bytes[8..].copy_from_slice(&raw.wrapping_mul(0xbf58_476d_1ce4_e5b9).to_be_bytes());
    RequestKey::new(bytes)
}

/// Events by time, those of one moment in the order they were pushed.
#[derive(Debug, Default)]
pub(super) struct Queue {
    order: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// Events by slot; a slot is free once its event was popped.
    slots: Vec<Option<Event>>,
    free: Vec<usize>,
    pushed: u64,
}

impl Queue {
    pub(super) fn push(&mut self, at_ms: u64, event: Event) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.order.push(Reverse((at_ms, self.pushed, slot)));
        self.pushed += 1;
    }

    pub(super) fn pop(&mut self) -> Option<(u64, Event)> {
        let Reverse((at_ms, _, slot)) = self.order.pop()?;
        let event = self.slots[slot]
            .take()
            .expect("a slot in order holds an event");
        self.free.push(slot);
        Some((at_ms, event))
    }
}
