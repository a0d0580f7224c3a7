//! Events of the request simulation and their queue.

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

/// A scheduled event of the simulation.
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

/// A message that is delivered to an agent.
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

/// A request's attempt as its caller sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Request {
    /// Index of the idempotency key, in the order of creation.
    pub(super) key: usize,
    pub(super) attempt: Attempt,
    pub(super) first_sent_ms: Millis,
}

/// A timer of one agent incarnation; later incarnations ignore it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Timer {
    pub(super) incarnation: Incarnation,
    pub(super) kind: TimerKind,
}

/// What happens when a timer fires.
#[derive(Debug, Clone, Copy)]
pub(super) enum TimerKind {
    /// The wait for an owner's verdict or for the answer to a hand-off offer has timed out.
    ReplyTimeout(RequestId),
    /// The owner's wait for replies to a fence has timed out.
    FenceTimeout { key: RequestKey, attempt: Attempt },
    /// The upstream answers the request.
    RunFinished(RequestId),
    /// The admission control's next tick is due.
    AdmissionTick,
}

impl Request {
    pub(super) fn request_key(&self) -> RequestKey {
        request_key(self.key)
    }
}

/// Returns the idempotency key with the given index. The multiplications spread the keys over all
/// digests.
pub(super) fn request_key(key: usize) -> RequestKey {
    let raw = u64::try_from(key).unwrap_or(u64::MAX);
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&raw.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes());
    bytes[8..].copy_from_slice(&raw.wrapping_mul(0xbf58_476d_1ce4_e5b9).to_be_bytes());
    RequestKey::new(bytes)
}

/// Priority queue of events by time. Events of the same time keep the order in which they were
/// pushed.
#[derive(Debug, Default)]
pub(super) struct Queue {
    order: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// Storage of the events in `order`; a slot becomes free when its event is popped.
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
