//! Implements the agent's state machine: it admits opening packets and tracks the flows that the
//! endpoint beside the agent holds.

mod cold_start;
mod counters;
mod deliveries;
mod drain_guard;
mod endpoint_answers;
mod health;
mod held_flow;
mod held_flows;
mod held_openings;
mod lookups;
mod notices;
mod outlier;
mod usage;

use std::{marker::PhantomData, net::Ipv4Addr};

use placement::WaitingRoom;
use units::{Millis, Slots};

pub use counters::AgentCounters;

use crate::{
    DropReason, EndpointState, Event, Flow, Message, Outbox, PacketFormat, ResetReason, Segment,
    ServiceKey,
    flow_identity::OpeningId,
    message::{
        Body, FlowHeld, FlowNotHeld, Forward, PacketClass, Returned, UTILIZATION_CLOSED,
        UTILIZATION_FULL, Utilization, write_flow_held, write_flow_not_held,
        write_forwarded_packet, write_returned_packet,
    },
};
use cold_start::ColdStartPacer;
use deliveries::{Delivery, PendingDeliveries};
use drain_guard::DrainGuard;
use health::EndpointHealth;
use held_flows::{HeldFlows, HeldMatch};
use held_openings::HeldOpening;
use outlier::OutlierDetector;

/// Interval between two sweeps that remove unused flows and silent balancers.
const SWEEP_INTERVAL_MS: Millis = Millis::new(1_000);

/// Time without a state notice from a balancer after which load reports no longer list the
/// balancer: three notice intervals.
const BALANCER_TTL_MS: Millis = Millis::new(3_000);

/// Configuration of an agent.
#[derive(Debug, Clone, Copy)]
pub struct AgentConfig {
    /// The service of the endpoint beside the agent.
    pub service: ServiceKey,
    /// The IP address of the agent's instance.
    pub address: Ipv4Addr,
}

/// The state machine of an agent.
#[derive(Debug)]
pub struct Agent<F> {
    config: AgentConfig,
    flows: HeldFlows,
    deliveries: PendingDeliveries,
    held_openings: WaitingRoom<HeldOpening>,
    /// Time of the latest packet from the endpoint.
    endpoint_heard_at: Millis,
    /// Time at which the openings that wait are looked at again, if there are any.
    next_release: Millis,
    health: EndpointHealth,
    outliers: OutlierDetector,
    cold_start: ColdStartPacer,
    /// Concurrency slots of the endpoint, zero until a balancer has stated their number.
    slots: Slots,
    state: EndpointState,
    /// Whether the operator has taken the endpoint's availability zone out of use.
    is_evacuated: bool,
    /// Catalog revision that `state` comes from; state notices of older revisions are ignored.
    revision: u64,
    drain_guard: DrainGuard,
    /// Whether the agent's process is shutting down.
    stopping: bool,
    /// Time of the latest state notice from each balancer, sorted by the balancer's address.
    balancers: Vec<(Ipv4Addr, Millis)>,
    /// Index of the balancer with which the next load report begins its list, modulo their number.
    report_turn: usize,
    next_sweep: Millis,
    /// Buffer for the message being encoded.
    scratch: Vec<u8>,
    counters: AgentCounters,
    format: PhantomData<F>,
}

impl<F: PacketFormat> Agent<F> {
    /// Creates an agent that knows no flows of the endpoint.
    #[must_use]
    pub fn new(config: AgentConfig) -> Self {
        Self {
            config,
            flows: HeldFlows::default(),
            deliveries: PendingDeliveries::default(),
            held_openings: WaitingRoom::default(),
            endpoint_heard_at: Millis::new(0),
            next_release: Millis::new(0),
            health: EndpointHealth::default(),
            outliers: OutlierDetector::default(),
            cold_start: ColdStartPacer::default(),
            slots: Slots::new(0),
            state: EndpointState::Ready,
            is_evacuated: false,
            revision: 0,
            drain_guard: DrainGuard::default(),
            stopping: false,
            balancers: Vec::new(),
            report_turn: 0,
            next_sweep: Millis::new(0),
            scratch: Vec::new(),
            counters: AgentCounters::default(),
            format: PhantomData,
        }
    }

    /// Changes the service of the endpoint beside the agent. Packets for other services are not
    /// delivered to the endpoint.
    pub fn set_service(&mut self, service: ServiceKey) {
        if self.config.service != service {
            self.cold_start = ColdStartPacer::default();
        }
        self.config.service = service;
    }

    /// Returns the agent's counters.
    #[must_use]
    pub const fn counters(&self) -> &AgentCounters {
        &self.counters
    }

    /// Returns the number of flows that the endpoint is known to hold.
    #[must_use]
    pub fn held_flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns the number of requests that the endpoint runs, has queued or is about to receive on
    /// a new flow.
    #[must_use]
    pub const fn running_request_count(&self) -> u32 {
        self.flows.working_flow_count()
    }

    /// Returns the number of openings that wait at the agent for a slot.
    #[must_use]
    pub const fn waiting_opening_count(&self) -> usize {
        self.held_openings.len()
    }

    /// Stops accepting new flows; running requests continue, and openings that wait go elsewhere.
    pub const fn begin_shutdown(&mut self) {
        self.stopping = true;
        self.next_release = Millis::new(0);
    }

    /// Drops the packets that the agent would forward to other agents, after its process stood still.
    ///
    /// Their callers have sent newer copies or have given up. What the endpoint returns of them is
    /// dropped, too.
    pub fn on_stall(&mut self) {
        self.deliveries.clear();
        self.counters.held_dropped += self.held_openings.take_all().len() as u64;
    }

    /// Returns whether the endpoint runs any request or is about to receive one.
    #[must_use]
    pub const fn has_running_requests(&self) -> bool {
        self.flows.working_flow_count() > 0
    }

    /// Handles a message from a balancer or another agent.
    ///
    /// A packet within `datagram` is modified in place.
    pub fn on_datagram(
        &mut self,
        now: Millis,
        sender: Ipv4Addr,
        datagram: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let (forward, packet_bytes) = match crate::decode_message(datagram) {
            Ok(Message(Body::Forward(forward, packet))) => (forward, packet.len()),
            Ok(Message(Body::LookupRequest(request, packet))) => {
                return self.on_lookup_request(now, &request, packet, out);
            }
            Ok(Message(Body::StateNotice(notice))) => {
                return self.on_state_notice(now, sender, notice, out);
            }
            Ok(Message(Body::FlowGivenUp(flow, opening))) => {
                return self.on_flow_given_up(flow, opening);
            }
            Ok(_) | Err(_) => return self.drop_packet(DropReason::Malformed, out),
        };
        let at = datagram.len() - packet_bytes;
        self.on_forwarded_packet(now, forward, &mut datagram[at..], out);
    }

    /// Handles a packet that the endpoint beside the agent sent.
    pub fn on_endpoint_packet(&mut self, now: Millis, packet: &mut [u8], out: &mut impl Outbox) {
        let Ok(segment) = F::decode_segment(packet) else {
            return self.drop_packet(DropReason::Malformed, out);
        };
        self.endpoint_heard_at = now;
        if segment.returned {
            self.on_returned_packet(now, &segment, packet, out);
            return self.release_held_openings(now, out);
        }
        if self.take_answer_for_ended_flow(now, &segment, out) {
            return self.release_held_openings(now, out);
        }
        out.send_to_caller(*segment.destination.ip(), packet);
        self.counters.answers += 1;
        self.on_endpoint_answer(now, &segment, out);
        self.release_held_openings(now, out);
    }

    /// Handles the result of a probe that [`Outbox::probe_endpoint`] started; `refused` tells that
    /// the endpoint refused the connection.
    pub fn on_endpoint_probed(&mut self, now: Millis, refused: bool, out: &mut impl Outbox) {
        if !self.health.on_probe_result(refused) {
            return;
        }
        let lost_flows = self.flows.take_open_flows();
        out.report_event(Event::EndpointGone {
            flows: lost_flows.len(),
        });
        self.record_crash(now, out);
        for (flow, sequence) in lost_flows {
            self.send_reset(flow, sequence, ResetReason::EndpointGone, out);
        }
    }

    /// Performs the agent's timed actions that are due at `now`.
    pub fn on_timer(&mut self, now: Millis, out: &mut impl Outbox) {
        while let Some(delivery) = self.deliveries.take_overdue_delivery(now) {
            if delivery.forward.class == PacketClass::Opening {
                self.flows.remove_unconfirmed(delivery.flow(), delivery.tag);
                if let Some(misses) = self.health.on_opening_timeout(now) {
                    out.report_event(Event::EndpointSilent { misses });
                }
                self.counters.unanswered += 1;
            }
            self.pass_on_unanswered(now, delivery, out);
        }
        if self.health.take_due_probe(now) {
            out.probe_endpoint();
        }
        self.release_held_openings(now, out);
        if now >= self.next_sweep {
            self.flows.remove_unused_flows(now);
            self.balancers
                .retain(|it| now.since(it.1) <= BALANCER_TTL_MS);
            self.report_warmth(now, out);
            self.next_sweep = now.plus(SWEEP_INTERVAL_MS);
        }
    }

    /// Returns the time at which `on_timer` must be called next.
    #[must_use]
    pub fn next_deadline(&mut self) -> Millis {
        let sweep = self.next_sweep;
        let deliveries = self.deliveries.next_deadline().unwrap_or(sweep);
        let probe = self.health.next_probe_at().unwrap_or(sweep);
        let release = self.next_release_at().unwrap_or(sweep);
        sweep.min(deliveries).min(probe).min(release)
    }

    /// Handles a caller's packet that a balancer or another agent forwarded.
    fn on_forwarded_packet(
        &mut self,
        now: Millis,
        forward: Forward,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let Ok(segment) = F::decode_segment(packet) else {
            return self.drop_packet(DropReason::Malformed, out);
        };
        if forward.service != self.config.service {
            self.counters.other_service += 1;
            return self.forward_to_next_candidate(now, forward, UTILIZATION_CLOSED, packet, out);
        }
        if forward.class == PacketClass::Opening && segment.is_opening_packet() {
            return self.on_opening_packet(now, &segment, forward, packet, out);
        }
        self.on_flow_segment(now, forward, &segment, packet, out);
    }

    /// Handles a balancer's message that another agent has accepted the opening of a flow.
    ///
    /// The caller may still open the flow here, if this endpoint's answer reached it first. Nothing is
    /// taken from the endpoint therefore; its answer to a pending delivery still tells of its health.
    fn on_flow_given_up(&mut self, flow: Flow, opening: Option<OpeningId>) {
        // A balancer of an earlier release doesn't name the opening.
        let known = self.held_opening(flow).or(self.flows.opening(flow));
        let Some(opening) = opening.or(known) else {
            return;
        };
        if self.drop_held_opening(flow, opening) {
            return;
        }
        if let Some(tag) = self.flows.stop_expecting_request(flow, opening) {
            self.deliveries.give_up_delivery(tag, flow, opening);
        }
    }

    fn on_opening_packet(
        &mut self,
        now: Millis,
        segment: &Segment,
        forward: Forward,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let flow = segment.caller_flow();
        if let Some(candidate) = forward.current_candidate() {
            self.slots = Slots::new(u16::from(candidate.slots));
            self.flows.set_slots(self.slots);
        }
        if self.flows.is_copy(flow, OpeningId::of_packet(segment)) {
            self.flows.set_origin_balancer(flow, forward.origin);
            return Self::deliver_to_endpoint(packet, 0, out);
        }
        if self.refresh_held_opening(segment, &forward) {
            return;
        }
        let utilization = self.utilization_for_openings(now);
        let is_within_limits = utilization <= forward.limits.utilization
            && self.idle_utilization() <= forward.limits.idle;
        let is_accepted =
            forward.must_accept || (is_within_limits && self.has_slot_for_opening(now));
        if utilization != UTILIZATION_CLOSED && is_accepted {
            return self.deliver_or_hold(now, segment, forward, packet, out);
        }
        out.report_event(Event::OpeningPassed {
            flow,
            load: self.load_for_event(),
            slots: self.slots.get(),
            position: forward.position,
            leaving: !self.is_in_use(),
            silent: self.health.is_silent(),
            penalty: self.outliers.utilization_penalty(now),
        });
        self.forward_to_next_candidate(now, forward, utilization, packet, out);
    }

    /// Delivers an opening packet to the endpoint and tracks the delivery until the endpoint
    /// answers.
    fn offer_to_endpoint(
        &mut self,
        now: Millis,
        segment: &Segment,
        forward: Forward,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let delivery = Delivery::new(now, *segment, forward).with_packet(now, packet);
        let tag = self.track_delivery(now, delivery, out);
        self.flows
            .insert_unconfirmed(now, segment, forward.origin, tag);
        self.health.on_opening_offered(now);
        self.outliers.on_opening_offered(now);
        self.cold_start.record_delivery(now);
        self.counters.offered += 1;
        Self::deliver_to_endpoint(packet, tag, out);
    }

    fn on_flow_segment(
        &mut self,
        now: Millis,
        forward: Forward,
        segment: &Segment,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let flow = segment.caller_flow();
        self.counters.segments += 1;
        match self.flows.match_caller_packet(flow, segment) {
            HeldMatch::Held => {
                let outcome = self
                    .flows
                    .on_caller_segment(now, flow, forward.origin, segment);
                self.record_request_outcome(now, outcome, out);
                if forward.class == PacketClass::Lookup {
                    self.send_flow_held(now, forward.origin, flow, out);
                }
                return Self::deliver_to_endpoint(packet, 0, out);
            }
            HeldMatch::OtherFlow => {
                self.counters.other_flow += 1;
                return self.forward_to_next_candidate(
                    now,
                    forward,
                    UTILIZATION_CLOSED,
                    packet,
                    out,
                );
            }
            HeldMatch::Unknown => {}
        }
        let mut delivery = Delivery::new(now, *segment, forward);
        if forward.class == PacketClass::Lookup {
            delivery = delivery.with_packet(now, packet);
        }
        if self.health.is_silent() {
            let unanswered = delivery.take_for_next_agent();
            self.pass_on_unanswered(now, unanswered, out);
        }
        let tag = self.track_delivery(now, delivery, out);
        self.flows
            .insert_unconfirmed(now, segment, forward.origin, tag);
        let _outcome = self
            .flows
            .on_caller_segment(now, flow, forward.origin, segment);
        Self::deliver_to_endpoint(packet, tag, out);
    }

    /// Forwards a packet to the next candidate agent. After the last candidate, the packet returns
    /// to the balancer that sent it.
    ///
    /// If no candidate accepted an opening packet, the least utilized candidate is told to accept
    /// it.
    fn forward_to_next_candidate(
        &mut self,
        now: Millis,
        mut forward: Forward,
        utilization: Utilization,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        self.counters.passed_on += 1;
        if forward.must_accept {
            return self.return_packet_to_balancer(&forward, packet, out);
        }
        if utilization < forward.best_utilization {
            forward.best_position = forward.position;
            forward.best_utilization = utilization;
        }
        forward.position = forward.position.saturating_add(1);
        if forward.current_candidate().is_none() {
            if forward.class != PacketClass::Opening
                || forward.best_utilization == UTILIZATION_CLOSED
            {
                return self.return_packet_to_balancer(&forward, packet, out);
            }
            forward.position = forward.best_position;
            forward.must_accept = true;
        }
        let Some(next) = forward.current_candidate() else {
            return self.drop_packet(DropReason::Malformed, out);
        };
        if next.agent_address() == self.config.address && forward.must_accept {
            if let Ok(segment) = F::decode_segment(packet) {
                self.deliver_or_hold(now, &segment, forward, packet, out);
            }
            return;
        }
        write_forwarded_packet(&forward, packet, &mut self.scratch);
        out.send_to_peer(next.agent_address(), &self.scratch);
    }

    fn return_packet_to_balancer(
        &mut self,
        forward: &Forward,
        packet: &[u8],
        out: &mut impl Outbox,
    ) {
        self.counters.sent_back += 1;
        if forward.class == PacketClass::Lookup {
            // Without a report the chain counts as lost, and the lookup is repeated.
            if forward.has_silent_endpoint {
                return;
            }
            // The balancer has retained the packet whose lookup it started.
            let Ok(segment) = F::decode_segment(packet) else {
                return;
            };
            let flow_not_held = FlowNotHeld {
                flow: segment.caller_flow(),
                lookup_id: forward.lookup_id,
                service: forward.service,
            };
            write_flow_not_held(flow_not_held, &mut self.scratch);
        } else {
            let class = forward.class;
            write_returned_packet(Returned { class }, packet, &mut self.scratch);
        }
        out.send_to_peer(forward.origin, &self.scratch);
    }

    fn send_flow_held(&mut self, now: Millis, origin: Ipv4Addr, flow: Flow, out: &mut impl Outbox) {
        let utilization = self.reported_utilization(now);
        let flow_held = FlowHeld {
            flow,
            service: self.config.service,
            utilization,
            opening: self.flows.opening(flow),
            endpoint_position: self.flows.endpoint_position(flow),
        };
        write_flow_held(flow_held, &mut self.scratch);
        out.send_to_peer(origin, &self.scratch);
    }

    fn send_reset(
        &mut self,
        flow: Flow,
        sequence: u32,
        reason: ResetReason,
        out: &mut impl Outbox,
    ) {
        self.scratch.clear();
        F::write_reset(
            flow.service_address,
            flow.caller,
            sequence,
            &mut self.scratch,
        );
        out.send_to_caller(*flow.caller.ip(), &self.scratch);
        self.counters.resets += 1;
        out.report_event(Event::ResetSent { flow, reason });
    }

    /// Returns whether the endpoint may be given new flows, by the operator's wish and its own.
    fn is_in_use(&self) -> bool {
        !self.stopping && self.state == EndpointState::Ready && !self.is_evacuated
    }

    /// Returns the endpoint's utilization that the agent reports to balancers.
    fn reported_utilization(&mut self, now: Millis) -> Utilization {
        self.flows.expire_expected_requests(now);
        if !self.is_in_use() || self.health.is_closed_to_openings(now) {
            return UTILIZATION_CLOSED;
        }
        let slots = u32::from(self.slots.get().max(1));
        let load = self
            .flows
            .working_flow_count()
            .saturating_add(u32::try_from(self.held_openings.len()).unwrap_or(u32::MAX))
            .saturating_mul(u32::from(UTILIZATION_FULL));
        let utilization = load.saturating_add(self.flows.idle_load_thousandths()) / slots;
        u16::try_from(utilization).unwrap_or(UTILIZATION_CLOSED - 1)
    }

    /// Returns the utilization that decides whether the endpoint accepts a new flow.
    ///
    /// This utilization includes the outlier penalty, so that endpoints that fail requests are
    /// chosen last.
    fn utilization_for_openings(&mut self, now: Millis) -> Utilization {
        let utilization = self.reported_utilization(now);
        if utilization == UTILIZATION_CLOSED {
            return UTILIZATION_CLOSED;
        }
        if !self.cold_start.may_deliver(now, self.slots) {
            self.counters.paced += 1;
            return UTILIZATION_CLOSED;
        }
        let penalty = self.outliers.utilization_penalty(now);
        utilization
            .saturating_add(penalty)
            .min(UTILIZATION_CLOSED - 1)
    }

    /// Returns the share of the endpoint's utilization that is due to idle flows.
    fn idle_utilization(&self) -> Utilization {
        let slots = u32::from(self.slots.get().max(1));
        Utilization::try_from(self.flows.idle_load_thousandths() / slots)
            .unwrap_or(UTILIZATION_CLOSED - 1)
    }

    /// Returns the number of running and expected requests, capped for use in events.
    fn load_for_event(&self) -> u16 {
        u16::try_from(self.flows.working_flow_count()).unwrap_or(u16::MAX)
    }

    fn deliver_to_endpoint(packet: &mut [u8], tag: u32, out: &mut impl Outbox) {
        F::set_tag(packet, tag);
        out.send_endpoint(packet);
    }

    fn drop_packet(&mut self, reason: DropReason, out: &mut impl Outbox) {
        self.counters.dropped += 1;
        let count = self.counters.dropped;
        out.report_event(Event::Dropped { reason, count });
    }
}
