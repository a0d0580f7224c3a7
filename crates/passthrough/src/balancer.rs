//! Decisions of a balancer.

mod agents;
mod counters;
mod flows;
mod lookups;
mod openings;
mod peers;

use std::{marker::PhantomData, net::Ipv4Addr};

use units::{Millis, Revision};

pub use counters::BalancerCounters;

use crate::{
    Catalog, CatalogView, DropReason, Endpoint, EndpointState, Event, Flow, Message, Outbox,
    PacketFormat, ResetReason, Segment, ServiceKey, StoreState, ZoneKey,
    message::{
        Body, Bound, Candidate, Candidates, Carried, Carry, Chunk, Digest, INSTANCES_MAX,
        Instances, Notice, Report, Returned, SEARCHED_MAX, Search, write_carry, write_digest,
        write_notice, write_search,
    },
    snapshot::{Assembly, RetiredList, write_chunks, write_retired_lists},
};
use agents::Agents;
use flows::FlowCache;
use lookups::Lookups;
use openings::{Opening, Openings};
use peers::{Peers, Standing};

/// Time between two notices to an agent; three unanswered ones are needed to call it lost.
const NOTICE_INTERVAL_MS: Millis = Millis::new(1_000);

/// Time between two digests to the other balancers.
///
/// Well below the users' three seconds for a change to hold, so that a lost reader of the store is
/// noticed, and replaced, in time.
const DIGEST_INTERVAL_MS: Millis = Millis::new(500);

/// Age of the store's last confirmation from which every balancer reads the store itself.
///
/// Readers renew it once a second; what is older means that they are gone or cut off.
const CONFIRMATION_STALE_MS: Millis = Millis::new(1_700);

/// Time after its start for which a balancer asks the others what the store doesn't know.
///
/// Long enough for a digest to reach balancers that it learns of from agents' answers.
const YOUNG_MS: Millis = Millis::new(3_000);

/// Shortest time between two questions to the store whether the list in force is the newest.
///
/// One answer serves all lookups that failed before.
const CONFIRMATION_MIN_MS: Millis = Millis::new(100);

/// Longest time between two such questions; each one doubles the time to the next, so that a fault that
/// ended many flows costs few calls. Lookups are proved by a second failure meanwhile.
const CONFIRMATION_MAX_MS: Millis = Millis::new(1_600);

/// Age of the last confirmation from which the store counts as having been away: less than the three
/// heartbeats after which entries lapse, and more than the readers' pauses.
const STORE_AWAY_MS: Millis = Millis::new(1_900);

/// Time after the store's return in which missing entries may belong to living endpoints.
const LAPSE_MS: Millis = Millis::new(2_000);

/// Balancers that read the store while all is well; two, so that losing one costs nothing.
const READERS: usize = 2;

/// Age of the store's last confirmation up to which a failed lookup may end in a reset.
const RESET_CONFIRMATION_MS: Millis = Millis::new(3_000);

/// Agents that one chain of a lookup visits; bounds how long a chain takes and what a lost one hides.
const CHAIN_MAX: usize = 6;

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
    openings: Openings,
    lookups: Lookups,
    agents: Agents,
    peers: Peers,
    assembly: Assembly,
    /// When the store last confirmed to some balancer that the catalog in force is the newest.
    confirmed_at: Option<Millis>,
    started: Millis,
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
        let mut balancer = Self {
            config,
            view: CatalogView::default(),
            flows: FlowCache::default(),
            openings: Openings::default(),
            lookups: Lookups::default(),
            agents: Agents::default(),
            peers: Peers::default(),
            assembly: Assembly::default(),
            confirmed_at: None,
            started: now,
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

    /// Adds balancers that may be running.
    pub fn add_seeds(&mut self, now: Millis, seeds: &[Ipv4Addr]) {
        for seed in seeds.iter().filter(|it| **it != self.config.address) {
            self.peers.add(*seed, now);
        }
    }

    /// Changes what the instance's link carries, in Mbit/s; above zero.
    pub const fn set_link(&mut self, link_mbps: u32) {
        self.config.link_mbps = link_mbps;
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
    pub fn stop(&mut self, now: Millis, out: &mut impl Outbox) {
        self.stopping = true;
        self.send_digests(now, out);
    }

    /// Returns whether this balancer should read the platform's store now.
    #[must_use]
    pub const fn reads_store(&self) -> bool {
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

    /// Takes what the store holds; `None` if it confirmed that nothing changed.
    ///
    /// Returns whether something newer came into force.
    pub fn on_store(
        &mut self,
        now: Millis,
        catalog: Option<Catalog>,
        out: &mut impl Outbox,
    ) -> bool {
        self.note_store_back(now);
        let replaced = catalog.is_some_and(|it| self.put_in_force(now, it, None, out));
        self.confirmed_at = Some(now);
        if replaced {
            self.send_catalog(now, out);
        }
        replaced
    }

    /// Returns the revision that the store should be asked to confirm, if any.
    ///
    /// A lookup in which no agent holds the flow proves that nobody does only if the list of endpoints
    /// was the newest.
    pub fn take_confirmation_wish(&mut self, now: Millis) -> Option<Revision> {
        if now < self.next_confirmation || !self.lookups.awaits_confirmation() {
            return None;
        }
        let is_first = now.since(self.next_confirmation) > CONFIRMATION_MAX_MS;
        self.confirmation_pause = if is_first {
            CONFIRMATION_MIN_MS
        } else {
            self.confirmation_pause
                .plus(self.confirmation_pause)
                .min(CONFIRMATION_MAX_MS)
        };
        self.next_confirmation = now.plus(self.confirmation_pause);
        Some(self.view.catalog().revision)
    }

    /// Takes the store's answer that nothing newer than `revision` existed after `asked_at`.
    pub fn on_confirmed(
        &mut self,
        now: Millis,
        asked_at: Millis,
        revision: Revision,
        out: &mut impl Outbox,
    ) {
        if revision != self.view.catalog().revision {
            return;
        }
        self.confirmed_at = Some(now);
        for (flow, sequence) in self.lookups.take_failed(asked_at) {
            self.reset(flow, sequence, ResetReason::HeldByNone, out);
        }
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
        let flow = Flow {
            caller: segment.source,
            service_address: segment.destination,
        };
        if self.view.catalog().settings_version.get() == 0 {
            return self.drop(DropReason::NoSettings, out);
        }
        let hash = flow.hash();
        let route = self.view.catalog().route(flow.service_address);
        let Some(service) = route.and_then(|it| it.target(hash)) else {
            return self.drop(DropReason::NoRoute, out);
        };
        if let Some(agent) = self.flows.get(now, flow, segment) {
            let carried = if segment.is_opening() {
                Carried::Opening
            } else {
                Carried::Established
            };
            return self.carry_to(service, carried, agent, packet, out);
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

    /// Offers an opening to the endpoints that may take it, in the order it prefers them.
    fn place(&mut self, now: Millis, mut opening: Opening, out: &mut impl Outbox) {
        if opening.is_expired(now) {
            self.counters.openings_expired += 1;
            return;
        }
        let flow = opening.flow;
        self.view
            .window(opening.service, flow.hash(), &mut self.window);
        self.window.retain(|it| it.state == EndpointState::Ready);
        let (zone, agents) = (self.config.zone, &self.agents);
        self.window.sort_by_key(|it| {
            (
                opening.has_tried(it.agent()),
                agents.is_avoided(now, it.agent()),
                it.zone != zone,
            )
        });
        // An endpoint that started anew under another id shares its agent with the old entry.
        let mut candidates = Candidates::default();
        for endpoint in &self.window {
            if candidates
                .as_slice()
                .iter()
                .any(|it| it.agent() == endpoint.agent())
            {
                continue;
            }
            let slots = u8::try_from(endpoint.slots.get()).unwrap_or(u8::MAX);
            if !candidates.push(Candidate::new(endpoint.agent(), slots)) {
                break;
            }
        }
        let Some(first) = candidates.as_slice().first().copied() else {
            return self.drop(DropReason::NoEndpoint, out);
        };
        let carry = Carry::new(
            opening.service,
            self.config.address,
            Carried::Opening,
            candidates,
        );
        write_carry(&carry, &opening.packet, &mut self.scratch);
        out.send_peer(first.agent(), &self.scratch);
        out.event(Event::OpeningPlaced {
            flow,
            agent: first.agent(),
            candidates: candidates.len(),
            attempt: opening.attempts(),
            catalog_revision: self.view.catalog().revision.get(),
        });
        self.counters.openings += 1;
        opening.offered_to(now, first.agent());
        self.openings.insert(opening);
    }

    /// Asks every endpoint that may hold a flow, all but the one that just said no.
    #[expect(
        clippy::too_many_arguments,
        reason = "a packet with its decoded header"
    )]
    fn look_up(
        &mut self,
        now: Millis,
        flow: Flow,
        service: ServiceKey,
        segment: &Segment,
        packet: &[u8],
        except: Option<Ipv4Addr>,
        out: &mut impl Outbox,
    ) {
        self.view.window(service, flow.hash(), &mut self.window);
        let agents = &self.agents;
        self.window.retain(|it| {
            Some(it.agent()) != except
                && !(it.state == EndpointState::Retired && agents.is_lost(now, it.agent()))
        });
        let (zone, agents) = (self.config.zone, &self.agents);
        // Who may be gone gets a chain alone: a chain ends at the first agent that is.
        let is_doubtful = |it: &Endpoint| {
            it.state == EndpointState::Retired || agents.is_doubtful(now, it.agent())
        };
        // Entries of an endpoint that started anew, or whose address was used again, share an agent.
        self.window
            .sort_unstable_by_key(|it| (it.agent(), it.state == EndpointState::Retired));
        self.window.dedup_by_key(|it| it.agent());
        self.window
            .sort_by_key(|it| (is_doubtful(it), it.zone != zone));
        if self.window.is_empty() {
            return self.drop(DropReason::NoEndpoint, out);
        }
        let sure = self.window.partition_point(|it| !is_doubtful(it));
        let is_complete = self.window.len() <= SEARCHED_MAX;
        self.window.truncate(SEARCHED_MAX);
        let sure = sure.min(self.window.len());
        let chains = sure.div_ceil(CHAIN_MAX);
        let chain_len = sure.div_ceil(chains.max(1)).max(1);
        let count = sure.div_ceil(chain_len) + self.window.len() - sure;
        let (ticket, round) = self
            .lookups
            .start(now, flow, count, segment.acknowledged, packet);
        // Without every endpoint's word nothing is proved, and nobody needs to count.
        let ticket = if is_complete { ticket } else { 0 };
        // Each round begins at another agent, so that a gone one hides others only once.
        self.window[..sure].rotate_left(round % sure.max(1));
        let mut agents = [[0; 4]; SEARCHED_MAX];
        for (octets, endpoint) in agents.iter_mut().zip(&self.window) {
            *octets = endpoint.agent().octets();
        }
        let (sure, doubtful) = agents[..self.window.len()].split_at(sure);
        let search = Search {
            service,
            origin: self.config.address,
            ticket,
            chain_len: u8::try_from(chain_len).unwrap_or(u8::MAX),
            sure: Instances::new(sure),
            doubtful: Instances::new(doubtful),
        };
        write_search(&search, packet, &mut self.scratch);
        out.send_peer(self.window[0].agent(), &self.scratch);
        self.counters.lookups += 1;
        if ticket != 0 {
            out.event(Event::LookupStarted {
                flow,
                asked: u8::try_from(self.window.len()).unwrap_or(u8::MAX),
                catalog_revision: self.view.catalog().revision.get(),
            });
        }
    }

    /// Asks all endpoints once more with a packet that nobody wanted.
    fn repeat_lookup(&mut self, now: Millis, flow: Flow, packet: &[u8], out: &mut impl Outbox) {
        let route = self.view.catalog().route(flow.service_address);
        let service = route.and_then(|it| it.target(flow.hash()));
        if let (Some(service), Ok(segment)) = (service, F::decode(packet)) {
            self.look_up(now, flow, service, &segment, packet, None, out);
        }
    }

    fn on_bound(&mut self, now: Millis, agent: Ipv4Addr, bound: Bound, out: &mut impl Outbox) {
        let flow = bound.flow;
        self.agents.note_answer(now, agent, bound.fullness, out);
        if self.lookups.finish(flow) {
            out.event(Event::HolderFound { flow, agent });
        }
        if let Some(opening) = self.openings.take(flow) {
            self.counters.note_opening(now.since(opening.first_at));
        }
        self.flows.insert(now, flow, agent);
    }

    fn on_returned(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        returned: Returned,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let Ok(segment) = F::decode(packet) else {
            return self.drop(DropReason::Malformed, out);
        };
        F::set_tag(packet, 0);
        let flow = Flow {
            caller: segment.source,
            service_address: segment.destination,
        };
        let route = self.view.catalog().route(flow.service_address);
        let Some(service) = route.and_then(|it| it.target(flow.hash())) else {
            return self.drop(DropReason::NoRoute, out);
        };
        match returned.carried {
            Carried::Opening => self.flows.remove_if(flow, agent),
            Carried::Established => {
                self.flows.remove_if(flow, agent);
                self.look_up(now, flow, service, &segment, packet, Some(agent), out);
            }
            Carried::Lookup => {}
        }
    }

    /// One chain of a lookup ended without a holder.
    fn on_chain_end(&mut self, now: Millis, flow: Flow, ticket: u16, out: &mut impl Outbox) {
        let Some(failed) = self.lookups.chain_ended(now, flow, ticket) else {
            return;
        };
        self.counters.lookups_failed += 1;
        let rounds = failed.rounds;
        out.event(Event::LookupFailed { flow, rounds });
        let is_fresh = self
            .confirmed_at
            .is_some_and(|it| now.since(it) <= RESET_CONFIRMATION_MS);
        if !failed.is_certain || !is_fresh {
            return;
        }
        self.lookups.finish(flow);
        self.reset(flow, failed.acknowledged, ResetReason::HeldByNone, out);
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

    fn put_in_force(
        &mut self,
        now: Millis,
        catalog: Catalog,
        peer: Option<Ipv4Addr>,
        out: &mut impl Outbox,
    ) -> bool {
        let revision = catalog.revision;
        let store = match self.store_back_at {
            Some(at) if now.since(at) <= LAPSE_MS => StoreState::BackSince(at),
            _ => StoreState::Steady,
        };
        if !self.view.replace(now, catalog, store) {
            let in_force = self.view.catalog().revision;
            if revision < in_force {
                out.event(Event::CatalogIgnored {
                    revision: revision.get(),
                    in_force: in_force.get(),
                });
            }
            return false;
        }
        let catalog = self.view.catalog();
        out.event(Event::CatalogInForce {
            revision: catalog.revision.get(),
            settings_version: catalog.settings_version.get(),
            routes: catalog.routes.len(),
            endpoints: catalog.endpoints.len(),
            from_peer: peer.is_some(),
        });
        self.agents.update(now, &self.view);
        self.send_changed_notices(now, out);
        true
    }

    fn send_notices(&mut self, now: Millis, out: &mut impl Outbox) {
        self.agents.sweep(now, out);
        let due = self.agents.all();
        for endpoint in due {
            self.send_notice(now, &endpoint, out);
        }
    }

    fn send_changed_notices(&mut self, now: Millis, out: &mut impl Outbox) {
        let changed = self.agents.changed();
        for endpoint in changed {
            self.send_notice(now, &endpoint, out);
        }
    }

    fn send_notice(&mut self, now: Millis, endpoint: &Endpoint, out: &mut impl Outbox) {
        let catalog = self.view.catalog();
        let notice = Notice {
            service: endpoint.service,
            revision: catalog.revision.get(),
            state: endpoint.state,
            slots: endpoint.slots.get(),
            idle_timeout_ms: u32::try_from(catalog.idle_timeout_ms.get()).unwrap_or(u32::MAX),
        };
        write_notice(notice, &mut self.scratch);
        out.send_peer(endpoint.agent(), &self.scratch);
        self.agents.told(now, endpoint.agent());
    }

    fn on_report(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        report: Report<'_>,
        out: &mut impl Outbox,
    ) {
        self.agents.note_answer(now, agent, report.fullness, out);
        for balancer in report.balancers.iter() {
            if balancer != self.config.address {
                self.peers.add(balancer, now);
            }
        }
    }

    fn send_digests(&mut self, now: Millis, out: &mut impl Outbox) {
        let addresses = self.peers.addresses();
        for peer in &addresses {
            self.send_digest(now, *peer, &addresses, true, out);
        }
    }

    fn send_digest(
        &mut self,
        now: Millis,
        peer: Ipv4Addr,
        addresses: &[Ipv4Addr],
        wants_answer: bool,
        out: &mut impl Outbox,
    ) {
        let mut others = [[0; 4]; INSTANCES_MAX];
        let mut len = 0;
        for address in addresses
            .iter()
            .filter(|it| **it != peer)
            .take(INSTANCES_MAX)
        {
            others[len] = address.octets();
            len += 1;
        }
        let digest = Digest {
            revision: self.view.catalog().revision.get(),
            confirmed_age_ms: self.confirmed_age_ms(now),
            wants_answer,
            stopping: self.stopping,
            is_young: now.since(self.started) < YOUNG_MS,
            zone: self.config.zone,
            link_mbps: if self.is_able() {
                self.config.link_mbps
            } else {
                0
            },
            balancers: Instances::new(&others[..len]),
        };
        write_digest(digest, &mut self.scratch);
        out.send_peer(peer, &self.scratch);
    }

    fn on_digest(
        &mut self,
        now: Millis,
        peer: Ipv4Addr,
        digest: Digest<'_>,
        out: &mut impl Outbox,
    ) {
        let standing = Standing {
            zone: digest.zone,
            link_mbps: digest.link_mbps,
            is_able: digest.link_mbps > 0,
        };
        self.peers.heard(now, peer, digest.stopping, standing, out);
        if digest.is_young {
            // The store doesn't know who left lately.
            write_retired_lists(now, self.view.retired(), &mut self.scratch, |list| {
                out.send_peer(peer, list);
            });
        }
        for balancer in digest.balancers.iter() {
            if balancer != self.config.address {
                self.peers.add(balancer, now);
            }
        }
        let own = self.view.catalog().revision.get();
        self.adopt_confirmation(now, Revision::new(digest.revision), digest.confirmed_age_ms);
        if digest.revision < own && self.peers.may_send_catalog(now, peer) {
            self.send_catalog_to(now, peer, out);
        } else if digest.wants_answer && digest.revision > own {
            // The answer shows the peer that this balancer is behind.
            self.send_digest(now, peer, &[], false, out);
        }
    }

    fn on_chunk(&mut self, now: Millis, chunk: Chunk<'_>, out: &mut impl Outbox) {
        let revision = Revision::new(chunk.revision);
        if revision <= self.view.catalog().revision {
            return;
        }
        let Some(catalog) = self.assembly.take(&chunk) else {
            return;
        };
        self.note_store_back(now);
        if self.put_in_force(now, catalog, Some(self.config.address), out) {
            self.confirmed_at = None;
            self.adopt_confirmation(now, revision, chunk.confirmed_age_ms);
        }
    }

    fn on_retired(&mut self, now: Millis, list: &[u8], out: &mut impl Outbox) {
        let Ok(RetiredList(list)) = postcard::from_bytes(list) else {
            return self.drop(DropReason::Malformed, out);
        };
        if self.view.add_retired(now, &list) {
            self.agents.update(now, &self.view);
            self.send_changed_notices(now, out);
        }
    }

    /// Believes a peer that the store confirmed the revision that is in force here too.
    fn adopt_confirmation(&mut self, now: Millis, revision: Revision, age_ms: u32) {
        if revision != self.view.catalog().revision || age_ms == u32::MAX {
            return;
        }
        let age = u64::from(age_ms);
        if age > now.get() {
            return;
        }
        let at = Millis::new(now.get() - age);
        if self.confirmed_at.is_none_or(|it| it < at) {
            self.note_store_back(at);
            self.confirmed_at = Some(at);
        }
    }

    /// The store's word came at `at`; remembers it if the store had been away before.
    fn note_store_back(&mut self, at: Millis) {
        let was_away = self
            .confirmed_at
            .is_some_and(|it| at.since(it) > STORE_AWAY_MS);
        if was_away {
            self.store_back_at = Some(at);
        }
    }

    fn confirmed_age_ms(&self, now: Millis) -> u32 {
        let age = self.confirmed_at.map(|it| now.since(it).get());
        age.and_then(|it| u32::try_from(it).ok())
            .unwrap_or(u32::MAX)
    }

    fn send_catalog(&mut self, now: Millis, out: &mut impl Outbox) {
        for peer in self.peers.addresses() {
            self.peers.note_catalog_sent(now, peer);
            self.send_catalog_to(now, peer, out);
        }
    }

    fn send_catalog_to(&mut self, now: Millis, peer: Ipv4Addr, out: &mut impl Outbox) {
        let age = self.confirmed_age_ms(now);
        write_chunks(self.view.catalog(), age, &mut self.scratch, |chunk| {
            out.send_peer(peer, chunk);
        });
    }

    fn decide_standby(&mut self, now: Millis, out: &mut impl Outbox) {
        let standing = Standing {
            zone: self.config.zone,
            link_mbps: self.config.link_mbps,
            is_able: true,
        };
        let stands_by = self.peers.stands_by(now, self.config.address, standing);
        if stands_by == self.stands_by {
            return;
        }
        self.stands_by = stands_by;
        out.event(Event::Standby {
            stands_by,
            link_mbps: self.config.link_mbps,
            peers: self.peers.addresses().len(),
        });
    }

    fn decide_store_duty(&mut self, now: Millis, out: &mut impl Outbox) {
        let is_stale = self
            .confirmed_at
            .is_none_or(|it| now.since(it) > CONFIRMATION_STALE_MS);
        let rank = self.peers.rank_of(now, self.config.address);
        let reads = is_stale || (rank < READERS && !self.stopping);
        if reads == self.reads_store {
            return;
        }
        self.reads_store = reads;
        out.event(Event::StoreDuty {
            reads,
            peers: self.peers.addresses().len(),
            freshest_age_ms: u64::from(self.confirmed_age_ms(now)),
        });
    }

    fn drop(&mut self, reason: DropReason, out: &mut impl Outbox) {
        self.counters.dropped += 1;
        let count = self.counters.dropped;
        out.event(Event::Dropped { reason, count });
    }
}
