//! Implements the balancer's state machine: it routes packets, looks up the holders of flows and
//! distributes the catalog.

mod agents;
mod catalog_sync;
mod confirmation;
mod counters;
mod duties;
mod early_packets;
mod extra_openings;
mod flows;
mod former_targets;
mod lookups;
mod notices;
mod openings;
mod peers;
mod placement_report;
mod retired_answers;
mod retired_sync;
mod routing;
mod store_eras;
mod transfers;
mod uploads;
mod zones;

use std::{marker::PhantomData, net::Ipv4Addr};

use units::Millis;

pub use counters::BalancerCounters;
pub use placement_report::{
    CandidateReport, LeftOutEndpoint, LeftOutReason, LimitsReport, PlacementOutcome,
    PlacementReport, ServiceRule, ZonePlan,
};

use crate::{
    CatalogView, DropReason, Endpoint, Event, Flow, Message, Outbox, PacketFormat, ResetReason,
    Segment, ServiceKey, ZoneKey,
    catalog_transfer::TransferAssembler,
    flow_identity::OpeningId,
    message::{Body, Candidate, Candidates, Forward, PacketClass, write_forwarded_packet},
};
use agents::Agents;
use confirmation::MessageClock;
use duties::Takeover;
use early_packets::EarlyPackets;
use extra_openings::ExtraOffers;
use flows::FlowCache;
use former_targets::FormerTargetSync;
use lookups::Lookups;
use openings::{PendingOpening, PendingOpenings};
use peers::Peers;
use retired_answers::RetiredAnswers;
use retired_sync::RetiredSync;
use store_eras::EraTracker;
use transfers::TransferQueue;
use uploads::UploadLimiter;
use zones::ZonesOutOfUse;

/// Interval between two state notices to an agent. An agent counts as lost when it leaves three
/// notices in a row unanswered.
const NOTICE_INTERVAL_MS: Millis = Millis::new(1_000);

/// Interval between two status digests to the other balancers.
///
/// The interval is well below the three seconds within which a change must take effect, so that the
/// loss of a balancer that reads the store is detected and the reader replaced in time.
const DIGEST_INTERVAL_MS: Millis = Millis::new(500);

/// Minimum interval between two requests to the store to confirm that the current catalog is the
/// newest.
///
/// One confirmation covers all lookups that failed before the confirmation was requested.
const CONFIRMATION_INTERVAL_MIN_MS: Millis = Millis::new(100);

/// Time for which a balancer that stood still waits for news of the catalog.
///
/// The store's answers are confirmed once a second; a confirmation that is younger than the stall
/// arrives within that time, or with the answer to a digest.
const VERIFICATION_TIMEOUT_MS: Millis = Millis::new(300);

/// Time after which an opening that is held for news of the catalog is looked at again.
const HOLD_STEP_MS: Millis = Millis::new(10);

/// Configuration of a balancer.
#[derive(Debug, Clone)]
pub struct BalancerConfig {
    /// The IP address of the balancer's instance.
    pub address: Ipv4Addr,
    /// The availability zone that the balancer runs in.
    pub zone: ZoneKey,
    /// Capacity of the balancer's network link in Mbit/s; greater than zero.
    pub link_mbps: u32,
    /// Addresses of other balancers that may be running, which this balancer asks for the catalog.
    pub seeds: Vec<Ipv4Addr>,
}

/// The state machine of a balancer.
#[derive(Debug)]
pub struct Balancer<F> {
    config: BalancerConfig,
    view: CatalogView,
    flows: FlowCache,
    uploads: UploadLimiter,
    early_packets: EarlyPackets,
    openings: PendingOpenings,
    extra_offers: ExtraOffers,
    lookups: Lookups,
    agents: Agents,
    peers: Peers,
    assembler: TransferAssembler,
    transfers: TransferQueue,
    message_clock: MessageClock,
    next_pull: Millis,
    next_relay: Millis,
    /// Time at or before the store's latest confirmation, to this or another balancer, that the
    /// current catalog is the newest.
    confirmed_at: Option<Millis>,
    started: Millis,
    /// Time of the latest stall of the process.
    stalled_at: Millis,
    /// Time for which the process stood still since the latest confirmation of the catalog, which is
    /// no outage of the store.
    stalled_since_confirmation: Millis,
    /// Time until which openings are held because the catalog may be outdated after a stall.
    unverified_until: Option<Millis>,
    retired_sync: RetiredSync,
    retired_answers: RetiredAnswers,
    former_target_sync: FormerTargetSync,
    zones_out_of_use: ZonesOutOfUse,
    eras: EraTracker,
    stopping: bool,
    is_standby: bool,
    /// Time at which the store became reachable again after an outage.
    store_recovered_at: Option<Millis>,
    reads_store: bool,
    /// The takeover by which this balancer began to read the store, or `None` if it doesn't read the
    /// store or has read it since its start.
    takeover: Option<Takeover>,
    /// Rank among the live balancers as a reader of the store, as of the latest regular digest.
    reader_rank: usize,
    next_notice: Millis,
    next_digest: Millis,
    next_confirmation: Millis,
    /// Current backoff between two confirmation requests to the store.
    confirmation_interval: Millis,
    /// Buffer for the endpoints that may hold the current flow.
    subset: Vec<Endpoint>,
    /// Buffer for the message being encoded.
    scratch: Vec<u8>,
    counters: BalancerCounters,
    format: PhantomData<F>,
}

impl<F: PacketFormat> Balancer<F> {
    /// Creates a balancer with an empty catalog.
    #[must_use]
    pub fn new(config: BalancerConfig, now: Millis) -> Self {
        let seeds = config.seeds.clone();
        let uploads = UploadLimiter::new(config.link_mbps);
        let transfers = TransferQueue::new(now, config.link_mbps);
        let message_clock = MessageClock::new(config.address, now);
        let mut balancer = Self {
            config,
            view: CatalogView::default(),
            flows: FlowCache::default(),
            uploads,
            early_packets: EarlyPackets::default(),
            openings: PendingOpenings::default(),
            extra_offers: ExtraOffers::default(),
            lookups: Lookups::default(),
            agents: Agents::default(),
            peers: Peers::default(),
            assembler: TransferAssembler::default(),
            transfers,
            message_clock,
            next_pull: now,
            next_relay: now,
            confirmed_at: None,
            started: now,
            stalled_at: now,
            stalled_since_confirmation: Millis::new(0),
            unverified_until: None,
            retired_sync: RetiredSync::default(),
            retired_answers: RetiredAnswers::default(),
            former_target_sync: FormerTargetSync::default(),
            zones_out_of_use: ZonesOutOfUse::default(),
            eras: EraTracker::default(),
            stopping: false,
            is_standby: false,
            store_recovered_at: None,
            reads_store: true,
            takeover: None,
            reader_rank: 0,
            next_notice: now,
            next_digest: now,
            next_confirmation: now,
            confirmation_interval: CONFIRMATION_INTERVAL_MIN_MS,
            subset: Vec::new(),
            scratch: Vec::new(),
            counters: BalancerCounters::default(),
            format: PhantomData,
        };
        balancer.add_seed_balancers(now, &seeds);
        balancer
    }

    /// Returns the balancer's counters.
    #[must_use]
    pub const fn counters(&self) -> &BalancerCounters {
        &self.counters
    }

    /// Returns how often a limit on the number of tracked items was exceeded: known balancers,
    /// queued transfers, retired endpoints, former targets of routes and cached flows, and the size of
    /// a catalog.
    #[must_use]
    pub const fn limits_exceeded_count(&self) -> u64 {
        self.counters.limits_exceeded
            + self.peers.ignored_count()
            + self.transfers.dropped_count()
            + self.retired_answers.dropped_count()
            + self.flows.uncached_count()
            + self.view.ignored_retired_count()
            + self.view.former_targets().ignored_count()
    }

    /// Returns the current catalog with the recently retired endpoints.
    #[must_use]
    pub const fn catalog_view(&self) -> &CatalogView {
        &self.view
    }

    /// Returns the number of other balancers that this balancer knows of.
    #[must_use]
    pub const fn known_balancer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of flows in the flow cache.
    #[must_use]
    pub fn cached_flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether the balancer should receive callers' packets.
    ///
    /// A ready balancer has the operator's settings, is not shutting down, and is not on standby
    /// for balancers with faster links.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        !self.stopping && !self.is_standby && self.has_settings()
    }

    /// Returns whether the current catalog contains the operator's settings, without which no
    /// packet can be routed.
    const fn has_settings(&self) -> bool {
        self.view.catalog().settings_version.get() > 0
    }

    /// Tells the other balancers that this balancer is shutting down. Packets are still forwarded.
    pub fn begin_shutdown(&mut self, now: Millis, out: &mut impl Outbox) {
        self.stopping = true;
        self.send_digest_to_all(now, out);
    }

    /// Returns whether this balancer should currently read the platform's store itself.
    #[must_use]
    pub const fn should_read_store(&self) -> bool {
        self.reads_store
    }

    /// Handles a packet received from a caller.
    pub fn on_caller_packet(&mut self, now: Millis, packet: &mut [u8], out: &mut impl Outbox) {
        let Ok(segment) = F::decode_segment(packet) else {
            return self.drop_packet(DropReason::Malformed, out);
        };
        self.counters.packets += 1;
        self.route_caller_packet(now, &segment, packet, out);
    }

    /// Handles a message received from a balancer or an agent.
    pub fn on_datagram(
        &mut self,
        now: Millis,
        sender: Ipv4Addr,
        datagram: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let (returned, packet_bytes) = match crate::decode_message(datagram) {
            Ok(Message(Body::Returned(returned, packet))) => (returned, packet.len()),
            Ok(Message(Body::FlowHeld(flow_held))) => {
                return self.on_flow_held(now, sender, flow_held, out);
            }
            Ok(Message(Body::OpeningHeld(it))) => {
                return self.openings.mark_held(now, sender, it);
            }
            Ok(Message(Body::LoadReport(report))) => {
                return self.on_load_report(now, sender, report, out);
            }
            Ok(Message(Body::Digest(digest))) => return self.on_digest(now, sender, digest, out),
            Ok(Message(Body::Chunk(chunk))) => {
                return self.on_catalog_chunk(now, sender, chunk, out);
            }
            Ok(Message(Body::FlowNotHeld(it))) => {
                return self.on_chain_exhausted(now, sender, it, out);
            }
            Ok(Message(Body::Retired(list))) => {
                return self.on_retired_list(now, sender, list, out);
            }
            Ok(_) | Err(_) => return self.drop_packet(DropReason::Malformed, out),
        };
        let at = datagram.len() - packet_bytes;
        self.on_returned_packet(now, sender, returned, &mut datagram[at..], out);
    }

    /// Performs the balancer's timed actions that are due at `now`.
    pub fn on_timer(&mut self, now: Millis, out: &mut impl Outbox) {
        while let Some(opening) = self.openings.take_overdue_opening(now) {
            self.counters.openings_repeated += 1;
            self.offer_opening(now, opening, out);
        }
        self.offer_late_openings(now, out);
        while let Some((flow, packet)) = self.lookups.take_due_retry(now) {
            self.retry_lookup(now, flow, &packet, out);
        }
        if now >= self.next_notice {
            self.next_notice = now.plus(NOTICE_INTERVAL_MS);
            self.flows
                .remove_expired_flows(now, self.view.catalog().idle_timeout_ms);
            self.lookups.remove_expired_lookups(now);
            self.extra_offers.remove_expired(now);
            self.view.remove_expired_former_targets(now);
            let is_released = self
                .confirmed_at
                .is_some_and(|it| self.view.release_held_entries(now, it));
            if self.view.prune_retired_endpoints(now) || is_released {
                self.agents.update_endpoints(now, &self.view);
            }
            self.send_state_notices(now, out);
        }
        if now >= self.next_digest {
            self.next_digest = now.plus(DIGEST_INTERVAL_MS);
            self.peers.remove_silent_peers(now, out);
            self.send_digests(now, out);
            self.update_standby(now, out);
            self.update_reader_rank(now);
        }
        self.ask_for_retired_endpoints(now, out);
        self.send_retired_answers(now, out);
        self.send_queued_transfers(now, out);
        self.update_store_reader(now, out);
    }

    /// Drops the packets that the balancer retains, and holds openings until another balancer or the
    /// store has told it what changed, after its process stood still.
    ///
    /// The callers of retained packets have sent newer copies or have given up. A balancer that is
    /// told nothing goes on with its catalog after a moment, since the store may be down.
    pub fn on_stall(&mut self, now: Millis, stalled: Millis, out: &mut impl Outbox) {
        self.early_packets.clear();
        self.openings = PendingOpenings::default();
        self.extra_offers.clear();
        self.lookups.forget_packets();
        // The silence of others during the stall is this balancer's own.
        self.agents.forgive_silence();
        self.peers.forgive_silence(stalled);
        self.next_notice = now;
        self.unverified_until = Some(now.plus(VERIFICATION_TIMEOUT_MS));
        self.stalled_at = now;
        self.stalled_since_confirmation = self.stalled_since_confirmation.plus(stalled);
        self.next_digest = now;
        self.next_pull = now;
        self.on_timer(now, out);
    }

    /// Returns whether the catalog may be outdated since the process stood still, and news of it
    /// are awaited.
    fn is_awaiting_news(&mut self, now: Millis) -> bool {
        let held_until = self.held_until(now);
        self.unverified_until = held_until;
        held_until.is_some()
    }

    /// Returns the time until which openings are held at most, if they are held now.
    fn held_until(&self, now: Millis) -> Option<Millis> {
        let is_verified = self.confirmed_at.is_some_and(|it| it >= self.stalled_at);
        self.unverified_until
            .filter(|until| !is_verified && now < *until)
    }

    /// Returns the time at which `on_timer` must be called next.
    #[must_use]
    pub fn next_deadline(&mut self) -> Millis {
        let mut regular = self.next_notice.min(self.next_digest);
        if !self.reads_store {
            regular = regular.min(self.takeover_at().unwrap_or(regular));
        }
        regular = regular.min(self.next_question_at().unwrap_or(regular));
        regular = regular.min(self.next_retired_answer_at().unwrap_or(regular));
        regular = regular.min(self.extra_offers.next_deadline().unwrap_or(regular));
        let opening = self.openings.next_deadline().unwrap_or(regular);
        let lookup = self.lookups.next_retry_at().unwrap_or(regular);
        let transfer = self.transfers.next_send_at().unwrap_or(regular);
        regular.min(opening).min(lookup).min(transfer)
    }

    fn route_caller_packet(
        &mut self,
        now: Millis,
        segment: &Segment,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let flow = segment.caller_flow();
        if !self.has_settings() {
            return self.hold_early_packet(now, segment, packet, out);
        }
        let Some(route) = self.view.catalog().find_route(flow.service_address) else {
            return self.drop_packet(DropReason::NoRoute, out);
        };
        let known = self.flows.look_up_flow(now, flow, segment);
        // An opening is placed by the route in force. The rest of a flow stays where it was opened.
        let known = known.filter(|it| !segment.is_opening_packet() || route.leads_to(it.service));
        if let Some(known) = known {
            if segment.fin || segment.rst {
                self.uploads.release_upload(flow);
            } else if known.is_upload && !self.uploads.admit_upload_packet(now, flow) {
                self.counters.uploads_held_back += 1;
                return;
            }
            let class = PacketClass::for_known_agent(segment);
            return self.forward_to_agent(known.service, class, known.agent, packet, out);
        }
        if segment.is_opening_packet() {
            // What is known of the addresses and ports is of an earlier flow.
            self.flows.remove_flow(flow);
            self.lookups.finish_lookup(flow);
            let id = OpeningId::of_packet(segment);
            if let Some((agent, service)) = self.openings.holder(now, flow, id) {
                return self.forward_to_agent(service, PacketClass::Opening, agent, packet, out);
            }
            let opening = self
                .openings
                .take_opening(flow)
                .filter(|it| it.id == id)
                .unwrap_or_else(|| PendingOpening::new(now, flow, id, packet));
            return self.offer_opening(now, opening, out);
        }
        self.start_lookup(now, flow, segment, packet, None, out);
    }

    /// Forwards a packet to the agent whose endpoint holds the packet's flow.
    fn forward_to_agent(
        &mut self,
        service: ServiceKey,
        class: PacketClass,
        agent: Ipv4Addr,
        packet: &[u8],
        out: &mut impl Outbox,
    ) {
        let mut candidates = Candidates::default();
        let slots = self.agents.endpoint_slots(agent, service);
        candidates.push_candidate(Candidate::new(agent, slots));
        let forward = Forward::new(service, self.config.address, class, candidates);
        write_forwarded_packet(&forward, packet, &mut self.scratch);
        out.send_to_peer(agent, &self.scratch);
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

    fn drop_packet(&mut self, reason: DropReason, out: &mut impl Outbox) {
        self.counters.dropped += 1;
        let count = self.counters.dropped;
        out.report_event(Event::Dropped { reason, count });
    }
}
