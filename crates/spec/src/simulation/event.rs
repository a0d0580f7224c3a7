//! Events of the simulation and their queue.

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

use super::caller::Outcome;

/// An event of the simulation.
#[derive(Debug, Clone)]
pub(super) enum Event {
    NewKey,
    Attempt {
        key: usize,
    },
    OutcomeReceived {
        key: usize,
        attempt: Attempt,
        outcome: Outcome,
    },
    Deliver {
        to: EndpointId,
        message: Message,
    },
    Timer {
        to: EndpointId,
        timer: Timer,
    },
    AdoptBundle {
        to: EndpointId,
        bundle: BundleEndpoints,
    },
    Restart,
    Pause,
    Partition,
    PublishBundle,
}

/// A message to an agent.
#[derive(Debug, Clone)]
pub(super) enum Message {
    Request(Request),
    GrantRequest(GrantRequest),
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
    FenceReply {
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

/// A timer of one incarnation of an agent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Timer {
    pub(super) incarnation: Incarnation,
    pub(super) kind: TimerKind,
}

/// Purpose of a timer.
#[derive(Debug, Clone, Copy)]
pub(super) enum TimerKind {
    /// The wait for a verdict or for an answer to an offer has timed out.
    ReplyTimeout(RequestId),
    /// The wait for fence replies has timed out.
    FenceTimeout { key: RequestKey, attempt: Attempt },
    /// The upstream answers.
    RunFinished(RequestId),
    /// The admission control's next tick is due.
    AdmissionTick,
}

impl Request {
    pub(super) fn request_key(&self) -> RequestKey {
        request_key(self.key)
    }
}

/// Returns the request key of a key's index; the multiplications spread keys over all digests.
pub(super) fn request_key(key: usize) -> RequestKey {
    let raw = u64::try_from(key).unwrap_or(u64::MAX);
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&raw.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes());
    bytes[8..].copy_from_slice(&raw.wrapping_mul(0xbf58_476d_1ce4_e5b9).to_be_bytes());
    RequestKey::new(bytes)
}

/// Queue of events by time; events of the same time keep the order in which they were pushed.
#[derive(Debug, Default)]
pub(super) struct Queue {
    order: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// Storage of the events in `order`; a slot is free after its event was popped.
    slots: Vec<Option<Event>>,
    free_slots: Vec<usize>,
    pushed: u64,
}

impl Queue {
    pub(super) fn push(&mut self, at_ms: u64, event: Event) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
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
            .expect("a queued slot holds an event");
        self.free_slots.push(slot);
        Some((at_ms, event))
    }
}
