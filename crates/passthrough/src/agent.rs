//! Decisions of an agent beside one endpoint.

mod counters;
mod health;
mod held;
mod held_flow;
mod record;
mod usage;
mod visits;

use std::{marker::PhantomData, net::Ipv4Addr};

use units::{Millis, Slots};

pub use counters::AgentCounters;

use crate::{
    DropReason, EndpointState, Event, Flow, Message, Outbox, PacketFormat, ResetReason, Segment,
    ServiceKey,
    message::{
        Body, Bound, Candidate, Candidates, Carried, Carry, FULL, FULLNESS_CLOSED, Fullness,
        INSTANCES_MAX, Instances, NotHeld, Notice, Report, Returned, Search, write_bound,
        write_carry, write_not_held, write_report, write_returned,
    },
};
use health::EndpointHealth;
use held::HeldFlows;
use held_flow::Phase;
use record::{EndpointRecord, Outcome};
use visits::{Visit, Visits};

/// Time between two looks at flows that nobody uses any more.
const SWEEP_INTERVAL_MS: Millis = Millis::new(1_000);

/// Time without a notice after which a balancer is no longer named to others: three notices.
const BALANCER_HEARD_MS: Millis = Millis::new(3_000);

/// What an agent is told at its start.
#[derive(Debug, Clone, Copy)]
pub struct AgentConfig {
    /// The service of the endpoint beside it.
    pub service: ServiceKey,
    /// Its own address.
    pub address: Ipv4Addr,
}

/// The decisions of an agent.
#[derive(Debug)]
pub struct Agent<F> {
    config: AgentConfig,
    held: HeldFlows,
    visits: Visits,
    health: EndpointHealth,
    record: EndpointRecord,
    /// Requests that the endpoint runs at once, zero before anybody said so.
    slots: Slots,
    state: EndpointState,
    /// The list that `state` comes from; older ones are ignored.
    revision: u64,
    /// The process has been asked to stop.
    stopping: bool,
    /// When each balancer was last heard, sorted by address.
    balancers: Vec<(Ipv4Addr, Millis)>,
    next_sweep: Millis,
    /// Holds the message being written.
    scratch: Vec<u8>,
    counters: AgentCounters,
    format: PhantomData<F>,
}

impl<F: PacketFormat> Agent<F> {
    /// Starts knowing nothing about the endpoint's flows.
    #[must_use]
    pub fn new(config: AgentConfig) -> Self {
        Self {
            config,
            held: HeldFlows::default(),
            visits: Visits::default(),
            health: EndpointHealth::default(),
            record: EndpointRecord::default(),
            slots: Slots::new(0),
            state: EndpointState::Ready,
            revision: 0,
            stopping: false,
            balancers: Vec::new(),
            next_sweep: Millis::new(0),
            scratch: Vec::new(),
            counters: AgentCounters::default(),
            format: PhantomData,
        }
    }

    /// Changes the service of the endpoint beside the agent; packets of another are not delivered.
    pub const fn set_service(&mut self, service: ServiceKey) {
        self.config.service = service;
    }

    /// Returns what has been counted.
    #[must_use]
    pub const fn counters(&self) -> &AgentCounters {
        &self.counters
    }

    /// Returns how many flows the endpoint is known to hold.
    #[must_use]
    pub fn held_flows(&self) -> usize {
        self.held.len()
    }

    /// Returns the requests that wait for an answer of the endpoint.
    #[must_use]
    pub const fn running_requests(&self) -> u32 {
        self.held.load()
    }

    /// Stops taking openings; what is in flight goes on.
    pub const fn begin_shutdown(&mut self) {
        self.stopping = true;
    }

    /// Returns whether a request is in flight.
    #[must_use]
    pub const fn has_running_requests(&self) -> bool {
        self.held.load() > 0
    }

    /// Takes a message from another process of ours.
    ///
    /// `datagram` is what `message` was decoded from; its packet is changed in place.
    pub fn on_datagram(
        &mut self,
        now: Millis,
        sender: Ipv4Addr,
        datagram: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let (carry, packet_bytes) = match crate::decode(datagram) {
            Ok(Message(Body::Carry(carry, packet))) => (carry, packet.len()),
            Ok(Message(Body::Search(search, packet))) => {
                return self.on_search(now, &search, packet, out);
            }
            Ok(Message(Body::Notice(notice))) => return self.on_notice(now, sender, notice, out),
            Ok(_) | Err(_) => return self.drop(DropReason::Malformed, out),
        };
        let at = datagram.len() - packet_bytes;
        self.on_carry(now, carry, &mut datagram[at..], out);
    }

    /// Takes a packet that the endpoint sent.
    pub fn on_endpoint_packet(&mut self, now: Millis, packet: &mut [u8], out: &mut impl Outbox) {
        let Ok(segment) = F::decode(packet) else {
            return self.drop(DropReason::Malformed, out);
        };
        if segment.returned {
            return self.on_returned(now, &segment, packet, out);
        }
        out.send_caller(*segment.destination.ip(), packet);
        self.counters.answers += 1;
        self.note_answer(now, &segment, out);
    }

    /// Takes the result of [`Outbox::probe_endpoint`].
    pub fn on_endpoint_probed(&mut self, now: Millis, refused: bool, out: &mut impl Outbox) {
        if !self.health.checked(refused) {
            return;
        }
        let gone = self.held.take_open();
        out.event(Event::EndpointGone { flows: gone.len() });
        self.note_crash(now, out);
        for (flow, sequence) in gone {
            self.reset(flow, sequence, ResetReason::EndpointGone, out);
        }
    }

    /// Does what is due by `now`.
    pub fn on_timer(&mut self, now: Millis, out: &mut impl Outbox) {
        while let Some((flow, visit)) = self.visits.take_overdue(now) {
            self.held.remove_unanswered(flow);
            if let Some(misses) = self.health.missed(now) {
                out.event(Event::EndpointSilent { misses });
            }
            self.counters.unanswered += 1;
            let mut packet = visit.packet;
            let carry = visit.carry;
            self.pass_on(now, carry, FULLNESS_CLOSED, &mut packet, out);
        }
        if self.health.wants_check(now) {
            out.probe_endpoint();
        }
        if now >= self.next_sweep {
            self.held.sweep(now);
            self.balancers
                .retain(|it| now.since(it.1) <= BALANCER_HEARD_MS);
            self.next_sweep = now.plus(SWEEP_INTERVAL_MS);
        }
    }

    /// Returns when `on_timer` is next needed.
    #[must_use]
    pub fn next_deadline(&mut self) -> Millis {
        let sweep = self.next_sweep;
        let visits = self.visits.next_deadline().unwrap_or(sweep);
        let check = self.health.next_check().unwrap_or(sweep);
        sweep.min(visits).min(check)
    }

    fn on_carry(&mut self, now: Millis, carry: Carry, packet: &mut [u8], out: &mut impl Outbox) {
        let Ok(segment) = F::decode(packet) else {
            return self.drop(DropReason::Malformed, out);
        };
        if carry.service != self.config.service {
            self.counters.other_service += 1;
            return self.pass_on(now, carry, FULLNESS_CLOSED, packet, out);
        }
        let flow = segment.caller_flow();
        if carry.carried == Carried::Opening && segment.is_opening() {
            return self.on_opening(now, flow, carry, packet, out);
        }
        self.on_segment(now, flow, carry, &segment, packet, out);
    }

    /// Sends copies of a packet along the chains that a balancer named.
    fn on_search(
        &mut self,
        now: Millis,
        search: &Search<'_>,
        packet: &[u8],
        out: &mut impl Outbox,
    ) {
        self.counters.searches += 1;
        let sure = search.sure.chains(search.chain_len);
        for chain in sure.chain(search.doubtful.chains(1)) {
            let mut candidates = Candidates::default();
            for agent in chain.iter() {
                candidates.push(Candidate::new(agent, 0));
            }
            let Some(first) = candidates.as_slice().first().copied() else {
                continue;
            };
            let carry = Carry::new(search.service, search.origin, Carried::Lookup, candidates)
                .with_ticket(search.ticket);
            if first.agent() == self.config.address {
                self.on_carry(now, carry, &mut packet.to_vec(), out);
                continue;
            }
            write_carry(&carry, packet, &mut self.scratch);
            out.send_peer(first.agent(), &self.scratch);
        }
    }

    fn on_opening(
        &mut self,
        now: Millis,
        flow: Flow,
        carry: Carry,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        if let Some(candidate) = carry.current() {
            self.slots = Slots::new(u16::from(candidate.slots));
        }
        if self.held.is_known(flow) {
            self.held.note_origin(flow, carry.origin);
            return Self::deliver(packet, 0, out);
        }
        let fullness = self.fullness_to_openings(now);
        let is_light =
            fullness <= carry.limits.fullness && self.idle_fullness() <= carry.limits.idle;
        if fullness != FULLNESS_CLOSED && (is_light || carry.forced) {
            return self.offer(now, flow, carry, packet, out);
        }
        out.event(Event::OpeningPassed {
            flow,
            load: self.load(),
            slots: self.slots.get(),
            position: carry.position,
            leaving: self.state != EndpointState::Ready || self.stopping,
            silent: self.health.is_silent(),
            penalty: self.record.penalty(now),
        });
        self.pass_on(now, carry, fullness, packet, out);
    }

    /// Hands an opening to the endpoint.
    fn offer(
        &mut self,
        now: Millis,
        flow: Flow,
        carry: Carry,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let tag = self
            .visits
            .insert(Visit::new(now, flow, carry).with_packet(now, packet));
        self.held.insert_asked(now, flow, carry.origin, tag);
        self.health.asked(now);
        self.record.offered(now);
        self.counters.offered += 1;
        Self::deliver(packet, tag, out);
    }

    fn on_segment(
        &mut self,
        now: Millis,
        flow: Flow,
        carry: Carry,
        segment: &Segment,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        self.counters.segments += 1;
        if self.held.is_known(flow) {
            let outcome = self.held.note_caller(now, flow, carry.origin, segment);
            self.note_outcome(now, outcome, out);
            if carry.carried == Carried::Lookup {
                self.send_bound(now, carry.origin, flow, out);
            }
            return Self::deliver(packet, 0, out);
        }
        let tag = self.visits.insert(Visit::new(now, flow, carry));
        self.held.insert_asked(now, flow, carry.origin, tag);
        let _fresh = self.held.note_caller(now, flow, carry.origin, segment);
        Self::deliver(packet, tag, out);
    }

    /// Learns from what the endpoint sends which flows it holds and which requests it answered.
    fn note_answer(&mut self, now: Millis, segment: &Segment, out: &mut impl Outbox) {
        let flow = Flow {
            caller: segment.destination,
            service_address: segment.source,
        };
        if let Some(silent_ms) = self.health.answered(now) {
            let silent_ms = silent_ms.get();
            out.event(Event::EndpointAnswers { silent_ms });
            self.note_crash(now, out);
        }
        let told = self.held.note_endpoint(now, flow, segment);
        self.note_outcome(now, told.outcome, out);
        let Some(asked) = told.asked else {
            return;
        };
        let wait = self
            .visits
            .release(asked.tag, flow)
            .map(|it| now.since(it.since));
        if segment.syn {
            out.event(Event::OpeningAccepted {
                flow,
                load: self.load(),
                slots: self.slots.get(),
                wait_ms: wait.unwrap_or_default().get(),
            });
        }
        self.send_bound(now, asked.origin, flow, out);
    }

    fn note_outcome(&mut self, now: Millis, outcome: Option<Outcome>, out: &mut impl Outbox) {
        if outcome.is_some_and(|it| self.record.note(now, it)) {
            let failures = self.record.failures();
            out.event(Event::EndpointRecordChanged { failures });
        }
    }

    /// The endpoint lost its flows.
    fn note_crash(&mut self, now: Millis, out: &mut impl Outbox) {
        if let Some(hold_off) = self.record.crashed(now) {
            let hold_off_ms = hold_off.get();
            out.event(Event::EndpointCrashed { hold_off_ms });
        }
    }

    /// Takes back a packet that the endpoint doesn't want.
    fn on_returned(
        &mut self,
        now: Millis,
        segment: &Segment,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let flow = segment.caller_flow();
        let _silence = self.health.answered(now);
        self.counters.returned += 1;
        F::set_tag(packet, 0);
        if segment.tag != 0 {
            let Some(visit) = self.visits.release(segment.tag, flow) else {
                return self.drop(DropReason::UnknownReturn, out);
            };
            self.held.remove_unanswered(flow);
            return self.pass_on(now, visit.carry, FULLNESS_CLOSED, packet, out);
        }
        let Some(held) = self.held.remove(flow) else {
            return self.drop(DropReason::UnknownReturn, out);
        };
        if held.is_closed() || segment.rst {
            return;
        }
        if held.phase == Phase::Open && !segment.syn {
            // Only one endpoint ever holds a flow, and this one held it.
            out.event(Event::EndpointForgotFlow { flow });
            self.note_crash(now, out);
            return self.reset(flow, segment.acknowledged, ResetReason::EndpointForgot, out);
        }
        let carried = Carried::known(segment);
        self.send_back(held.origin, carried, 0, packet, out);
    }

    /// Sends a packet to the next candidate, or at the end back to its balancer.
    fn pass_on(
        &mut self,
        now: Millis,
        mut carry: Carry,
        fullness: Fullness,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        self.counters.passed_on += 1;
        if carry.forced {
            return self.send_back(carry.origin, carry.carried, carry.ticket, packet, out);
        }
        if fullness < carry.best_fullness {
            carry.best = carry.position;
            carry.best_fullness = fullness;
        }
        carry.position = carry.position.saturating_add(1);
        if carry.current().is_none() {
            if carry.carried != Carried::Opening || carry.best_fullness == FULLNESS_CLOSED {
                return self.send_back(carry.origin, carry.carried, carry.ticket, packet, out);
            }
            carry.position = carry.best;
            carry.forced = true;
        }
        let Some(next) = carry.current() else {
            return self.drop(DropReason::Malformed, out);
        };
        if next.agent() == self.config.address && carry.forced {
            if let Ok(segment) = F::decode(packet) {
                let flow = segment.caller_flow();
                self.offer(now, flow, carry, packet, out);
            }
            return;
        }
        write_carry(&carry, packet, &mut self.scratch);
        out.send_peer(next.agent(), &self.scratch);
    }

    fn send_back(
        &mut self,
        origin: Ipv4Addr,
        carried: Carried,
        ticket: u16,
        packet: &[u8],
        out: &mut impl Outbox,
    ) {
        self.counters.sent_back += 1;
        if carried == Carried::Lookup {
            // The balancer keeps the packet of a lookup.
            let Ok(segment) = F::decode(packet) else {
                return;
            };
            let flow = segment.caller_flow();
            write_not_held(NotHeld { flow, ticket }, &mut self.scratch);
        } else {
            write_returned(Returned { carried }, packet, &mut self.scratch);
        }
        out.send_peer(origin, &self.scratch);
    }

    fn send_bound(&mut self, now: Millis, origin: Ipv4Addr, flow: Flow, out: &mut impl Outbox) {
        let fullness = self.fullness(now);
        write_bound(Bound { flow, fullness }, &mut self.scratch);
        out.send_peer(origin, &self.scratch);
    }

    fn on_notice(&mut self, now: Millis, sender: Ipv4Addr, notice: Notice, out: &mut impl Outbox) {
        self.note_balancer(now, sender);
        if notice.service == self.config.service && notice.revision >= self.revision {
            let changed = self.state != notice.state;
            self.revision = notice.revision;
            self.state = notice.state;
            self.slots = Slots::new(notice.slots);
            self.held
                .set_idle_timeout(Millis::new(u64::from(notice.idle_timeout_ms)));
            if changed {
                out.event(Event::EndpointStateChanged {
                    state: notice.state,
                    slots: notice.slots,
                    revision: notice.revision,
                });
            }
        }
        let mut others = [[0; 4]; INSTANCES_MAX];
        let mut len = 0;
        for (address, _) in self.balancers.iter().filter(|it| it.0 != sender) {
            if len < others.len() {
                others[len] = address.octets();
                len += 1;
            }
        }
        let report = Report {
            fullness: self.fullness(now),
            idle_fullness: self.idle_fullness(),
            balancers: Instances::new(&others[..len]),
        };
        write_report(report, &mut self.scratch);
        out.send_peer(sender, &self.scratch);
    }

    fn note_balancer(&mut self, now: Millis, balancer: Ipv4Addr) {
        match self.balancers.binary_search_by_key(&balancer, |it| it.0) {
            Ok(idx) => self.balancers[idx].1 = now,
            Err(idx) => self.balancers.insert(idx, (balancer, now)),
        }
    }

    fn reset(&mut self, flow: Flow, sequence: u32, reason: ResetReason, out: &mut impl Outbox) {
        self.scratch.clear();
        F::write_reset(
            flow.service_address,
            flow.caller,
            sequence,
            &mut self.scratch,
        );
        out.send_caller(*flow.caller.ip(), &self.scratch);
        self.counters.resets += 1;
        out.event(Event::ResetSent { flow, reason });
    }

    fn fullness(&mut self, now: Millis) -> Fullness {
        self.held.expire_expected(now);
        if self.stopping || self.state != EndpointState::Ready || self.health.is_closed(now) {
            return FULLNESS_CLOSED;
        }
        let slots = u32::from(self.slots.get().max(1));
        let load = self.held.load().saturating_mul(u32::from(FULL));
        let fullness = load.saturating_add(self.held.idle_load()) / slots;
        u16::try_from(fullness).unwrap_or(FULLNESS_CLOSED - 1)
    }

    /// Returns the fullness by which openings choose: endpoints with a bad record come last.
    fn fullness_to_openings(&mut self, now: Millis) -> Fullness {
        let fullness = self.fullness(now);
        if fullness == FULLNESS_CLOSED {
            return FULLNESS_CLOSED;
        }
        let penalty = self.record.penalty(now);
        fullness.saturating_add(penalty).min(FULLNESS_CLOSED - 1)
    }

    /// Returns the part of the fullness that idle flows have.
    fn idle_fullness(&self) -> Fullness {
        let slots = u32::from(self.slots.get().max(1));
        Fullness::try_from(self.held.idle_load() / slots).unwrap_or(FULLNESS_CLOSED - 1)
    }

    fn load(&self) -> u16 {
        u16::try_from(self.held.load()).unwrap_or(u16::MAX)
    }

    fn deliver(packet: &mut [u8], tag: u32, out: &mut impl Outbox) {
        F::set_tag(packet, tag);
        out.send_endpoint(packet);
    }

    fn drop(&mut self, reason: DropReason, out: &mut impl Outbox) {
        self.counters.dropped += 1;
        let count = self.counters.dropped;
        out.event(Event::Dropped { reason, count });
    }
}
