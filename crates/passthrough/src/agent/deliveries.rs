//! Tracks packets delivered to the endpoint until the endpoint accepts or returns them.

use std::collections::VecDeque;

use units::Millis;

use crate::{
    Flow, Segment,
    flow_identity::{OpeningId, may_answer_for_ended_flow},
    message::{Forward, PacketClass},
};

/// Maximum number of tracked deliveries; a power of two. A new delivery replaces the oldest one.
const DELIVERIES_MAX: usize = 512;

/// Time within which a running endpoint answers an opening packet, or returns a packet of a flow
/// that it doesn't hold.
///
/// Either takes the endpoint well below a millisecond; the rest of the timeout allows for an agent
/// that waits for CPU time.
const ANSWER_TIMEOUT_MS: Millis = Millis::new(30);

/// A packet delivered to the endpoint, with the packet's forwarding state.
#[derive(Debug, Clone)]
pub(crate) struct Delivery {
    /// Tag of the delivery, zero until it is tracked.
    pub(crate) tag: u32,
    /// Header of the delivered packet.
    pub(crate) segment: Segment,
    pub(crate) forward: Forward,
    pub(crate) sent_at: Millis,
    /// Copy of the packet if it must be forwarded to another agent when the endpoint doesn't
    /// answer; otherwise empty.
    pub(crate) packet: Vec<u8>,
    /// Whether no further agent needs the packet: another one has accepted the opening, or has been
    /// sent the packet of a lookup.
    pub(crate) is_given_up: bool,
    deadline: Option<Millis>,
}

impl Delivery {
    pub(crate) const fn new(now: Millis, segment: Segment, forward: Forward) -> Self {
        Self {
            tag: 0,
            segment,
            forward,
            sent_at: now,
            packet: Vec::new(),
            is_given_up: false,
            deadline: None,
        }
    }

    pub(crate) const fn flow(&self) -> Flow {
        self.segment.caller_flow()
    }

    /// Retains a copy of the packet and sets the deadline for the endpoint's answer.
    pub(crate) fn with_packet(mut self, now: Millis, packet: &[u8]) -> Self {
        self.packet = packet.to_vec();
        self.deadline = Some(now.plus(ANSWER_TIMEOUT_MS));
        self
    }

    /// Returns the delivery with its packet, and leaves one whose packet no further agent needs.
    pub(crate) fn take_for_next_agent(&mut self) -> Self {
        let taken = Self {
            packet: std::mem::take(&mut self.packet),
            ..*self
        };
        self.is_given_up = true;
        self.deadline = None;
        taken
    }
}

/// Deliveries that the endpoint has neither answered nor returned.
#[derive(Debug, Default)]
pub(crate) struct PendingDeliveries {
    /// Deliveries with their tags, at most `DELIVERIES_MAX`. A delivery's index is its tag modulo
    /// `DELIVERIES_MAX`.
    slots: Vec<Option<(u32, Delivery)>>,
    last_tag: u32,
    /// Answer deadlines with the tags of their deliveries, earliest first.
    deadlines: VecDeque<(Millis, u32)>,
}

impl PendingDeliveries {
    /// Starts tracking a delivery and returns the delivery's tag, which is never zero, and the
    /// delivery that made room if too many were tracked.
    pub(crate) fn track_delivery(&mut self, mut delivery: Delivery) -> (u32, Option<Delivery>) {
        self.last_tag = self.last_tag.wrapping_add(1).max(1);
        let tag = self.last_tag;
        delivery.tag = tag;
        if let Some(deadline) = delivery.deadline {
            self.deadlines.push_back((deadline, tag));
        }
        let delivery_index = Self::delivery_index(tag);
        if delivery_index >= self.slots.len() {
            self.slots.resize_with(delivery_index + 1, || None);
        }
        let replaced = self.slots[delivery_index].replace((tag, delivery));
        (tag, replaced.map(|it| it.1))
    }

    /// Stops tracking all deliveries. Tags are not used again.
    pub(crate) fn clear(&mut self) {
        self.slots.clear();
        self.deadlines.clear();
    }

    /// Removes and returns the delivery with the given tag if it belongs to `flow`.
    pub(crate) fn take_delivery(&mut self, tag: u32, flow: Flow) -> Option<Delivery> {
        let slot = self.slots.get_mut(Self::delivery_index(tag))?;
        if !slot
            .as_ref()
            .is_some_and(|it| it.0 == tag && it.1.flow() == flow)
        {
            return None;
        }
        slot.take().map(|it| it.1)
    }

    /// Removes and returns the earliest delivery of a lookup that the endpoint's packet may answer on
    /// behalf of an earlier flow, which has ended.
    pub(crate) fn take_answered_for_ended_flow(
        &mut self,
        flow: Flow,
        answer: &Segment,
    ) -> Option<Delivery> {
        let is_answered = |it: &(u32, Delivery)| {
            it.1.forward.class == PacketClass::Lookup
                && it.1.flow() == flow
                && may_answer_for_ended_flow(answer, &it.1.segment)
        };
        let slots = self.slots.iter_mut();
        let answered = slots.filter(|slot| slot.as_ref().is_some_and(is_answered));
        let earliest = answered.min_by_key(|slot| slot.as_ref().map(|it| it.0))?;
        earliest.take().map(|it| it.1)
    }

    /// Returns whether a packet of the flow awaits the endpoint's answer.
    pub(crate) fn has_delivery(&self, flow: Flow) -> bool {
        self.slots.iter().flatten().any(|it| it.1.flow() == flow)
    }

    /// Marks the delivery with the given tag as given up if it belongs to the opening.
    pub(crate) fn give_up_delivery(&mut self, tag: u32, flow: Flow, opening: OpeningId) {
        let slot = self.slots.get_mut(Self::delivery_index(tag));
        if let Some(Some((slot_tag, delivery))) = slot
            && *slot_tag == tag
            && delivery.flow() == flow
            && delivery.segment.is_opening_packet()
            && OpeningId::of_packet(&delivery.segment) == opening
        {
            delivery.is_given_up = true;
        }
    }

    /// Returns a delivery that the endpoint did not answer by the delivery's deadline.
    ///
    /// An opening's delivery is no longer tracked. That of a lookup remains tracked without its
    /// packet: the endpoint may hold the flow and answer later.
    pub(crate) fn take_overdue_delivery(&mut self, now: Millis) -> Option<Delivery> {
        while let Some((deadline, tag)) = self.deadlines.front().copied() {
            if deadline > now {
                return None;
            }
            self.deadlines.pop_front();
            let slot = self.slots.get_mut(Self::delivery_index(tag))?;
            let Some((_, delivery)) = slot.as_mut().filter(|it| it.0 == tag) else {
                continue;
            };
            if delivery.deadline.is_none() {
                continue;
            }
            let unanswered = delivery.take_for_next_agent();
            if unanswered.forward.class == PacketClass::Opening {
                *slot = None;
            }
            return Some(unanswered);
        }
        None
    }

    pub(crate) fn next_deadline(&mut self) -> Option<Millis> {
        while let Some((deadline, tag)) = self.deadlines.front().copied() {
            let slot = self.slots.get(Self::delivery_index(tag))?;
            let is_due = |it: &(u32, Delivery)| it.0 == tag && it.1.deadline.is_some();
            if slot.as_ref().is_some_and(is_due) {
                return Some(deadline);
            }
            self.deadlines.pop_front();
        }
        None
    }

    /// Returns whether an opening awaits the endpoint's answer.
    pub(crate) fn has_pending_opening(&self) -> bool {
        let is_pending = |(_, tag): &(Millis, u32)| {
            let slot = self.slots.get(Self::delivery_index(*tag));
            let delivery = slot.and_then(Option::as_ref).filter(|it| it.0 == *tag);
            delivery.is_some_and(|it| it.1.forward.class == PacketClass::Opening)
        };
        self.deadlines.iter().any(is_pending)
    }

    const fn delivery_index(tag: u32) -> usize {
        tag as usize % DELIVERIES_MAX
    }
}
