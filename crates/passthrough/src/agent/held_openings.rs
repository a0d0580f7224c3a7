//! Holds openings at the agent until the endpoint has a slot for them.
//!
//! An endpoint queues a few requests and rejects more, in order of arrival. An opening that waits at
//! the agent instead has provably not run: it can go by urgency, or elsewhere.

use placement::{Wish, expected_wait};
use units::Millis;

use super::Agent;
use crate::{
    Event, Flow, Outbox, PacketFormat, Segment,
    flow_identity::OpeningId,
    message::{Forward, OpeningHeld, UTILIZATION_CLOSED, write_opening_held},
};

/// Number of requests beyond the endpoint's slots up to which openings are delivered.
///
/// A request that waits in the endpoint's queue starts without a handshake, so the queue is used as
/// far as endpoints are known to queue requests; the rest of it is left to requests on open flows.
const DELIVERED_AHEAD: u32 = 6;

/// Time without a packet from the endpoint after which an opening is delivered even if all slots seem
/// taken, since the endpoint may be gone: the opening shows it within 30 ms.
const QUIET_AFTER_MS: Millis = Millis::new(60);

/// Time after which an opening goes back to its balancer, which offers it to other endpoints.
///
/// A caller retransmits after 200 ms.
const STAY_MAX_MS: Millis = Millis::new(150);

/// Time after which a caller has given up opening the flow, less the time of a handshake.
const CALLER_GIVES_UP_MS: Millis = Millis::new(1_350);

/// Time after which it is looked again for a slot whose request ended without a packet.
const RELEASE_INTERVAL_MS: Millis = Millis::new(10);

/// An opening that waits at the agent.
#[derive(Debug)]
pub(super) struct HeldOpening {
    segment: Segment,
    forward: Forward,
    packet: Vec<u8>,
    expected_ms: Millis,
}

impl HeldOpening {
    fn is_of(&self, flow: Flow) -> bool {
        self.segment.caller_flow() == flow
    }

    const fn opening(&self) -> OpeningId {
        OpeningId::of_packet(&self.segment)
    }
}

impl<F: PacketFormat> Agent<F> {
    /// Delivers an opening packet if the endpoint has a slot for it or soon will have; otherwise the
    /// opening waits.
    pub(super) fn deliver_or_hold(
        &mut self,
        now: Millis,
        segment: &Segment,
        forward: Forward,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let flow = segment.caller_flow();
        let is_next = self.held_openings.is_empty() && self.has_slot_for_opening(now);
        if is_next || self.held_openings.is_full() {
            self.counters.not_held += u64::from(!is_next);
            return self.offer_to_endpoint(now, segment, forward, packet, out);
        }
        let age = Millis::new(forward.age_ms.into());
        let remaining = CALLER_GIVES_UP_MS.since(age);
        let timeout = forward.requests.timeout_ms;
        let remaining = if timeout == Millis::new(0) {
            remaining
        } else {
            remaining.min(timeout.since(age))
        };
        let stay = remaining.min(STAY_MAX_MS);
        let goal = forward.requests.goal_ms.since(age);
        let waiting = u32::try_from(self.held_openings.len()).unwrap_or(u32::MAX);
        let requests_ahead = self
            .flows
            .working_flow_count()
            .saturating_add(waiting)
            .saturating_sub(DELIVERED_AHEAD);
        let expected_ms = expected_wait(requests_ahead, self.flows.mean_work(), self.slots);
        let wish = Wish::new(
            u64::from(flow.service_address.port()) << 32
                | u64::from(flow.service_address.ip().to_bits()),
            forward.requests.priority,
            now,
            now.plus(goal),
            now.plus(stay),
        );
        let held = HeldOpening {
            segment: *segment,
            forward,
            packet: packet.to_vec(),
            expected_ms,
        };
        if self.held_openings.insert(wish, held).is_err() {
            return;
        }
        self.counters.held += 1;
        self.next_release = self.next_release.min(now.plus(RELEASE_INTERVAL_MS));
        out.report_event(Event::OpeningWaits {
            flow,
            waiting: u16::try_from(self.held_openings.len()).unwrap_or(u16::MAX),
            expected_ms: expected_ms.get(),
        });
        self.send_opening_held(segment, &forward, stay, out);
    }

    /// Handles another copy of an opening that waits, and returns whether the opening waits.
    ///
    /// Drops an earlier opening of the same addresses and ports, which its caller has given up.
    pub(super) fn refresh_held_opening(&mut self, segment: &Segment, forward: &Forward) -> bool {
        let flow = segment.caller_flow();
        let Some(held) = self.held_openings.find_mut(|it| it.is_of(flow)) else {
            return false;
        };
        if held.opening() == OpeningId::of_packet(segment) {
            held.forward.origin = forward.origin;
            return true;
        }
        self.held_openings.remove(|it| it.is_of(flow));
        self.counters.held_dropped += 1;
        false
    }

    /// Returns which opening of a flow waits, if one does.
    pub(super) fn held_opening(&mut self, flow: Flow) -> Option<OpeningId> {
        let waiting = self.held_openings.find_mut(|it| it.is_of(flow))?;
        Some(waiting.opening())
    }

    /// Drops an opening that waits, since another agent has accepted it, and returns whether it waited.
    pub(super) fn drop_held_opening(&mut self, flow: Flow, opening: OpeningId) -> bool {
        let is_meant = |it: &HeldOpening| it.is_of(flow) && it.opening() == opening;
        self.held_openings.remove(is_meant).is_some()
    }

    /// Delivers the openings for which the endpoint has a slot, and sends those back to their
    /// balancers that would wait for too long or whose endpoint takes none any more.
    pub(super) fn release_held_openings(&mut self, now: Millis, out: &mut impl Outbox) {
        if self.held_openings.is_empty() {
            return;
        }
        if self.reported_utilization(now) == UTILIZATION_CLOSED {
            for held in self.held_openings.take_all() {
                self.hand_on(&held, out);
            }
            return;
        }
        for held in self.held_openings.take_expired(now) {
            self.hand_on(&held, out);
        }
        while self.has_slot_for_opening(now) {
            let Some((wait, mut held)) = self.held_openings.take_next(now, self.flows.mean_work())
            else {
                return;
            };
            self.counters.record_opening_wait(wait);
            out.report_event(Event::OpeningReleased {
                flow: held.segment.caller_flow(),
                wait_ms: wait.get(),
                expected_ms: held.expected_ms.get(),
            });
            self.offer_to_endpoint(now, &held.segment, held.forward, &mut held.packet, out);
        }
        self.next_release = now.plus(RELEASE_INTERVAL_MS);
    }

    /// Returns the time at which the openings that wait must be looked at.
    pub(super) fn next_release_at(&self) -> Option<Millis> {
        (!self.held_openings.is_empty()).then_some(self.next_release)
    }

    fn hand_on(&mut self, held: &HeldOpening, out: &mut impl Outbox) {
        self.counters.handed_on += 1;
        self.return_packet_to_balancer(&held.forward, &held.packet, out);
    }

    /// Returns whether the endpoint has a slot for another request, or soon will have, and may be
    /// given an opening at its pace after a cold start.
    pub(super) fn has_slot_for_opening(&mut self, now: Millis) -> bool {
        if !self.cold_start.may_deliver(now, self.slots) {
            return false;
        }
        let limit = u32::from(self.slots.get().max(1)) + DELIVERED_AHEAD;
        if self.flows.busy_count(now) < limit {
            return true;
        }
        let is_quiet = now.since(self.endpoint_heard_at) >= QUIET_AFTER_MS;
        is_quiet && !self.deliveries.has_pending_opening()
    }

    fn send_opening_held(
        &mut self,
        segment: &Segment,
        forward: &Forward,
        stay: Millis,
        out: &mut impl Outbox,
    ) {
        let opening_held = OpeningHeld {
            flow: segment.caller_flow(),
            opening: Some(OpeningId::of_packet(segment)),
            stay_ms: u16::try_from(stay.get()).unwrap_or(u16::MAX),
        };
        write_opening_held(opening_held, &mut self.scratch);
        out.send_to_peer(forward.origin, &self.scratch);
    }
}
