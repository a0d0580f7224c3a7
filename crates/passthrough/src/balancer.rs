//! Decisions of a balancer.

mod agents;
mod counters;
mod flows;
mod knowledge;
mod lookups;
mod notices;
mod openings;
mod peers;
mod routing;
mod uploads;

use std::{marker::PhantomData, net::Ipv4Addr};

use units::Millis;

pub use counters::BalancerCounters;

use crate::{
    CatalogView, DropReason, Endpoint, Event, Flow, Message, Outbox, PacketFormat, ResetReason,
    Segment, ServiceKey, ZoneKey,
    message::{Body, Candidate, Candidates, Carried, Carry, write_carry},
    snapshot::Assembly,
};
use agents::Agents;
use flows::FlowCache;
use knowledge::Informant;
use lookups::Lookups;
use openings::{Opening, Openings};
use peers::Peers;
use uploads::UploadGate;

/// Time between two notices to an agent; three unanswered ones are needed to call it lost.
const NOTICE_INTERVAL_MS: Millis = Millis::new(1_000);

/// Time between two digests to the other balancers.
///
/// Well below the users' three seconds for a change to hold, so that a lost reader of the store is
/// noticed, and replaced, in time.
const DIGEST_INTERVAL_MS: Millis = Millis::new(500);

/// Shortest time between two questions to the store whether the list in force is the newest.
///
/// One answer serves all lookups that failed before.
const CONFIRMATION_MIN_MS: Millis = Millis::new(100);

/// What a balancer is told at its start.
#[derive(Debug, Clone)]
pub struct BalancerConfig {
    /// Its own address.
    pub address: Ipv4Addr,
    /// The availability zone it runs in.
    pub zone: ZoneKey,
    /// What its link carries, in Mbit/s; above zero.
    pub link_mbps: u32,
    /// Balancers that may be running, to ask for what they know.
    pub seeds: Vec<Ipv4Addr>,
}

/// The decisions of a balancer.
#[derive(Debug)]
pub struct Balancer<F> {
    config: BalancerConfig,
    view: CatalogView,
    flows: FlowCache,
    uploads: UploadGate,
    openings: Openings,
    lookups: Lookups,
    agents: Agents,
    peers: Peers,
    assembly: Assembly,
    /// When the store last confirmed to some balancer that the catalog in force is the newest.
    confirmed_at: Option<Millis>,
    started: Millis,
    informed_by: Informant,
    stopping: bool,
    stands_by: bool,
    /// When the store answered again after it had been away.
    store_back_at: Option<Millis>,
    reads_store: bool,
    next_notice: Millis,
    next_digest: Millis,
    next_confirmation: Millis,
    /// Time from the last question to the store to the next.
    confirmation_pause: Millis,
    /// Holds the endpoints that may hold a flow.
    window: Vec<Endpoint>,
    /// Holds the message being written.
    scratch: Vec<u8>,
    counters: BalancerCounters,
    format: PhantomData<F>,
}

impl<F: PacketFormat> Balancer<F> {
    /// Starts with nothing in force.
    #[must_use]
    pub fn new(config: BalancerConfig, now: Millis) -> Self {
        let seeds = config.seeds.clone();
        let uploads = UploadGate::new(config.link_mbps);
        let mut balancer = Self {
            config,
            view: CatalogView::default(),
            flows: FlowCache::default(),
            uploads,
            openings: Openings::default(),
            lookups: Lookups::default(),
            agents: Agents::default(),
            peers: Peers::default(),
            assembly: Assembly::default(),
            confirmed_at: None,
            started: now,
            informed_by: Informant::Nobody,
            stopping: false,
            stands_by: false,
            store_back_at: None,
            reads_store: true,
            next_notice: now,
            next_digest: now,
            next_confirmation: now,
            confirmation_pause: CONFIRMATION_MIN_MS,
            window: Vec::new(),
            scratch: Vec::new(),
            counters: BalancerCounters::default(),
            format: PhantomData,
        };
        balancer.add_seeds(now, &seeds);
        balancer
    }

    /// Returns what has been counted.
    #[must_use]
    pub const fn counters(&self) -> &BalancerCounters {
        &self.counters
    }

    /// Returns the routes and endpoints in force.
    #[must_use]
    pub const fn view(&self) -> &CatalogView {
        &self.view
    }

    /// Returns how many flows are remembered.
    #[must_use]
    pub fn cached_flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether callers should be sent here: settings and endpoints are known, the process isn't
    /// about to end, and no faster instances can do without it.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        !self.stopping && !self.stands_by && self.is_able()
    }

    /// Returns whether callers can be served.
    const fn is_able(&self) -> bool {
        self.view.catalog().settings_version.get() > 0
    }

    /// Announces that the process will end; what arrives is still forwarded.
    pub fn begin_shutdown(&mut self, now: Millis, out: &mut impl Outbox) {
        self.stopping = true;
        self.send_digests(now, out);
    }

    /// Returns whether this balancer should read the platform's store now.
    #[must_use]
    pub const fn should_read_store(&self) -> bool {
        self.reads_store
    }

    /// Takes a packet that a caller sent, with the address it came from.
    pub fn on_caller_packet(&mut self, now: Millis, packet: &mut [u8], out: &mut impl Outbox) {
        let Ok(segment) = F::decode(packet) else {
            return self.drop(DropReason::Malformed, out);
        };
        self.counters.packets += 1;
        self.route(now, &segment, packet, out);
    }

    /// Takes a message from another process of ours.
    pub fn on_datagram(
        &mut self,
        now: Millis,
        sender: Ipv4Addr,
        datagram: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let (returned, packet_bytes) = match crate::decode(datagram) {
            Ok(Message(Body::Returned(returned, packet))) => (returned, packet.len()),
            Ok(Message(Body::Bound(bound))) => return self.on_bound(now, sender, bound, out),
            Ok(Message(Body::Report(report))) => return self.on_report(now, sender, report, out),
            Ok(Message(Body::Digest(digest))) => return self.on_digest(now, sender, digest, out),
            Ok(Message(Body::Chunk(chunk))) => return self.on_chunk(now, chunk, out),
            Ok(Message(Body::NotHeld(it))) => {
                return self.on_chain_end(now, it.flow, it.ticket, out);
            }
            Ok(Message(Body::Retired(list))) => return self.on_retired(now, list, out),
            Ok(_) | Err(_) => return self.drop(DropReason::Malformed, out),
        };
        let at = datagram.len() - packet_bytes;
        self.on_returned(now, sender, returned, &mut datagram[at..], out);
    }

    /// Does what is due by `now`.
    pub fn on_timer(&mut self, now: Millis, out: &mut impl Outbox) {
        while let Some(opening) = self.openings.take_overdue(now) {
            self.counters.openings_repeated += 1;
            self.place(now, opening, out);
        }
        while let Some((flow, packet)) = self.lookups.take_repeat(now) {
            self.repeat_lookup(now, flow, &packet, out);
        }
        if now >= self.next_notice {
            self.next_notice = now.plus(NOTICE_INTERVAL_MS);
            self.flows.sweep(now, self.view.catalog().idle_timeout_ms);
            self.lookups.sweep(now);
            if self.view.prune(now) {
                self.agents.update(now, &self.view);
            }
            self.send_notices(now, out);
        }
        if now >= self.next_digest {
            self.next_digest = now.plus(DIGEST_INTERVAL_MS);
            self.peers.sweep(now, out);
            self.send_digests(now, out);
            self.decide_standby(now, out);
        }
        self.decide_store_duty(now, out);
    }

    /// Returns when `on_timer` is next needed.
    #[must_use]
    pub fn next_deadline(&mut self) -> Millis {
        let regular = self.next_notice.min(self.next_digest);
        let opening = self.openings.next_deadline().unwrap_or(regular);
        let lookup = self.lookups.next_repeat().unwrap_or(regular);
        regular.min(opening).min(lookup)
    }

    fn route(&mut self, now: Millis, segment: &Segment, packet: &mut [u8], out: &mut impl Outbox) {
        let flow = segment.caller_flow();
        if self.view.catalog().settings_version.get() == 0 {
            return self.drop(DropReason::NoSettings, out);
        }
        let hash = flow.hash();
        let route = self.view.catalog().route(flow.service_address);
        let Some(service) = route.and_then(|it| it.target(hash)) else {
            return self.drop(DropReason::NoRoute, out);
        };
        if let Some(known) = self.flows.get(now, flow, segment) {
            if segment.fin || segment.rst {
                self.uploads.release(flow);
            } else if known.is_upload && !self.uploads.admits(now, flow) {
                self.counters.uploads_held_back += 1;
                return;
            }
            let carried = Carried::known(segment);
            return self.carry_to(service, carried, known.agent, packet, out);
        }
        if segment.is_opening() {
            let opening = self
                .openings
                .take(flow)
                .unwrap_or_else(|| Opening::new(now, flow, service, packet));
            return self.place(now, opening, out);
        }
        self.look_up(now, flow, service, segment, packet, None, out);
    }

    fn carry_to(
        &mut self,
        service: ServiceKey,
        carried: Carried,
        agent: Ipv4Addr,
        packet: &[u8],
        out: &mut impl Outbox,
    ) {
        let mut candidates = Candidates::default();
        candidates.push(Candidate::new(agent, self.agents.slots(agent)));
        let carry = Carry::new(service, self.config.address, carried, candidates);
        write_carry(&carry, packet, &mut self.scratch);
        out.send_peer(agent, &self.scratch);
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

    fn drop(&mut self, reason: DropReason, out: &mut impl Outbox) {
        self.counters.dropped += 1;
        let count = self.counters.dropped;
        out.event(Event::Dropped { reason, count });
    }
}
