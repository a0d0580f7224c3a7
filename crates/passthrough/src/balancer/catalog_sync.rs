//! Distributes the catalog among balancers.
//!
//! A change goes as a delta from the balancer that read it to all others of a small fleet. In a
//! large fleet it goes to the relays of each availability zone, and from these to their zone. What
//! is lost on the way is pulled: a balancer that hears of a newer revision asks whoever told it.
//!
//! Invariants: neither the revision nor the settings' version of the catalog in force ever
//! decreases. A delta that doesn't lead to the sender's content is not applied; a whole catalog is
//! asked for instead.

use std::{net::Ipv4Addr, sync::Arc};

use units::{Millis, Revision};

use super::{Balancer, CONFIRMATION_INTERVAL_MIN_MS};
use crate::{
    Catalog, Event, Outbox, PacketFormat, StoreState,
    catalog_transfer::{EncodedTransfer, TransferContent},
    clock_echo::ClockMark,
    message::{
        AgedFormerTarget, Chunk, Digest, DigestRequest, Member, PeerStatus, write_catalog_chunk,
        write_digest,
    },
};

/// Period after startup in which a balancer asks its peers for the retired endpoints, which the
/// store does not hold.
///
/// The period is long enough for a digest to reach balancers whose addresses are learned only from
/// agents' load reports.
pub(super) const STARTUP_PERIOD_MS: Millis = Millis::new(3_000);

/// Maximum interval between two requests to the store to confirm the catalog.
///
/// The interval doubles with each request (exponential backoff), so that a failure that ends many
/// flows causes few calls to the store. Between requests, a second failed lookup also proves that a
/// flow has no holder.
const CONFIRMATION_INTERVAL_MAX_MS: Millis = Millis::new(1_600);

/// Age of the latest store confirmation above which the store counts as having had an outage.
///
/// The threshold is below the three heartbeats after which the store's entries lapse, and above the
/// interval between two reads of the store.
const STORE_OUTAGE_MIN_MS: Millis = Millis::new(1_900);

/// Time after the store's recovery from an outage in which an endpoint without a store entry may
/// still be running.
pub(super) const ENTRY_RENEWAL_MS: Millis = Millis::new(2_000);

/// Time after a request for the changes of the catalog until the balancer asks again, possibly
/// another balancer.
const PULL_RETRY_MS: Millis = Millis::new(200);

/// Minimum interval between two digests that a relay sends to its zone because the store confirmed
/// the catalog.
const RELAY_INTERVAL_MS: Millis = Millis::new(300);

/// Why a digest is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DigestPurpose {
    /// The regular digest, which a balancer with a newer catalog answers.
    Regular,
    /// An answer, or news that need no answer.
    Reply,
    /// A request for the changes since the sender's revision.
    Pull,
    /// News of the store's confirmation, without other balancers.
    Confirmation,
    /// A request for a confirmation that can be dated.
    EchoRequest,
    /// A starting balancer's first question to another one, without other balancers.
    Introduction,
    /// A request for the receiver's retired endpoints.
    RetiredRequest,
    /// An answer to a starting balancer, which has been sent this many retired endpoints.
    RetiredTold(u16),
}

impl DigestPurpose {
    /// Returns whether the digest lists neither other balancers nor former targets.
    const fn is_short(self) -> bool {
        matches!(
            self,
            Self::Pull
                | Self::Confirmation
                | Self::EchoRequest
                | Self::Introduction
                | Self::RetiredRequest
        )
    }
}

/// Origin of a catalog: the store or another balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CatalogOrigin {
    Store,
    Peer,
}

impl<F: PacketFormat> Balancer<F> {
    /// Returns the catalog revision that the store should be asked to confirm, if a request is due.
    ///
    /// A lookup that finds no holder of a flow proves that the flow has no holder only if the
    /// catalog listed all endpoints.
    pub fn take_confirmation_request(&mut self, now: Millis) -> Option<Revision> {
        if now < self.next_confirmation || !self.lookups.has_failed_lookups() {
            return None;
        }
        let is_first = now.since(self.next_confirmation) > CONFIRMATION_INTERVAL_MAX_MS;
        self.confirmation_interval = if is_first {
            CONFIRMATION_INTERVAL_MIN_MS
        } else {
            self.confirmation_interval
                .plus(self.confirmation_interval)
                .min(CONFIRMATION_INTERVAL_MAX_MS)
        };
        self.next_confirmation = now.plus(self.confirmation_interval);
        Some(self.view.catalog().revision)
    }

    /// Handles the store's confirmation that `revision` was still the newest at `asked_at`, and
    /// resets the flows that thereby are known to have no holder.
    pub fn on_store_confirmation(
        &mut self,
        now: Millis,
        asked_at: Millis,
        revision: Revision,
        out: &mut impl Outbox,
    ) {
        if revision != self.view.catalog().revision || self.is_era_left() {
            return;
        }
        self.record_confirmation(asked_at);
        self.stalled_since_confirmation = Millis::new(0);
        let generation = self.view.endpoint_generation();
        for (flow, sequence) in self.lookups.confirmed_failures(asked_at, generation) {
            if !self.knows_all_holders(now, flow) {
                continue;
            }
            self.reset_unheld_flow(flow, sequence, out);
        }
    }

    /// Handles the result of a read from the store that is known at once.
    pub fn on_store_read(
        &mut self,
        now: Millis,
        catalog: Option<Catalog>,
        out: &mut impl Outbox,
    ) -> bool {
        self.on_store_answer(now, now, catalog, out)
    }

    /// Handles the result of a read from the store, which answered at `answered_at` or later;
    /// `catalog` is `None` if the store had no change.
    ///
    /// Returns whether a newer catalog was applied.
    pub fn on_store_answer(
        &mut self,
        now: Millis,
        answered_at: Millis,
        catalog: Option<Catalog>,
        out: &mut impl Outbox,
    ) -> bool {
        self.detect_store_recovery(now);
        self.record_store_answer(now);
        let base = self.view.catalog().revision;
        let replaced =
            catalog.is_some_and(|it| self.apply_catalog(now, it, CatalogOrigin::Store, out));
        if self.is_era_left() {
            return replaced;
        }
        let is_awaited = self.is_confirmation_awaited(answered_at);
        self.record_confirmation(answered_at);
        let targets = self.forwarding_targets(now, CatalogOrigin::Store);
        // When all balancers start, each reads the store, and needs no copy from every other one.
        let is_first_read = base == Revision::default();
        if replaced && !is_first_read {
            self.push_changes(now, base, &targets, out);
        } else if is_awaited || !self.peers.is_small_fleet() {
            self.send_confirmation(now, &targets, out);
        }
        replaced
    }

    /// Returns the balancers to which this balancer forwards what it learns about the catalog.
    ///
    /// All balancers of a small fleet hear from the balancer that reads the store. In a large fleet
    /// a store reader tells the relays of all zones, and a relay tells its own zone.
    fn forwarding_targets(&self, now: Millis, origin: CatalogOrigin) -> Vec<Ipv4Addr> {
        if self.peers.is_small_fleet() {
            return match origin {
                CatalogOrigin::Store => self.peers.peer_addresses(),
                CatalogOrigin::Peer => Vec::new(),
            };
        }
        let (own, status) = (self.config.address, self.status());
        let mut targets = match origin {
            CatalogOrigin::Store => self.peers.relay_addresses(now, own, status),
            CatalogOrigin::Peer => Vec::new(),
        };
        if self.peers.is_relay(now, own, status) {
            targets.extend(self.peers.addresses_in_zone(status.zone));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Sends the changes since `base` to other balancers.
    fn push_changes(
        &mut self,
        now: Millis,
        base: Revision,
        targets: &[Ipv4Addr],
        out: &mut impl Outbox,
    ) {
        if targets.is_empty() {
            return;
        }
        let Some(transfer) = self.encode_transfer(base) else {
            return;
        };
        let transfer = Arc::new(transfer);
        for target in targets {
            self.transfers.push_transfer(*target, Arc::clone(&transfer));
        }
        self.send_queued_transfers(now, out);
    }

    /// Encodes the changes since `base`, or the whole catalog if the changes are no longer known.
    fn encode_transfer(&mut self, base: Revision) -> Option<EncodedTransfer> {
        let revision = self.view.catalog().revision;
        let content = self.view.delta_since(base).map_or_else(
            || TransferContent::Whole(self.view.listed().clone()),
            TransferContent::Delta,
        );
        match &content {
            TransferContent::Whole(_) => self.counters.catalogs_sent += 1,
            TransferContent::Delta(_) => self.counters.deltas_sent += 1,
        }
        let transfer = EncodedTransfer::new(revision, &content);
        if transfer.is_none() {
            self.counters.limits_exceeded += 1;
        }
        transfer
    }

    /// Sends the chunks of queued transfers for which the link has capacity.
    pub(super) fn send_queued_transfers(&mut self, now: Millis, out: &mut impl Outbox) {
        let confirmed_age_ms = self.confirmed_age_ms(now);
        let revision = self.view.catalog().revision;
        let (stamp, peers) = (self.message_clock.stamps().stamp(now), &self.peers);
        let scratch = &mut self.scratch;
        self.transfers
            .send_due_chunks(now, |target, transfer, idx| {
                let age = if transfer.revision == revision {
                    confirmed_age_ms
                } else {
                    u32::MAX
                };
                let echo = peers.echo(now, target);
                if let Some(chunk) = transfer.chunk(idx, age, ClockMark { stamp, echo }) {
                    write_catalog_chunk(chunk, scratch);
                    out.send_to_peer(target, scratch);
                }
            });
    }

    /// Tells other balancers that the store has confirmed the catalog.
    fn send_confirmation(&mut self, now: Millis, targets: &[Ipv4Addr], out: &mut impl Outbox) {
        for target in targets {
            self.send_digest(now, *target, DigestPurpose::Confirmation, out);
        }
    }

    /// Applies a catalog that is newer than the current one, and returns whether it was newer.
    pub(super) fn apply_catalog(
        &mut self,
        now: Millis,
        catalog: Catalog,
        source: CatalogOrigin,
        out: &mut impl Outbox,
    ) -> bool {
        let (revision, base) = (catalog.revision, self.view.catalog().revision);
        if self.is_of_left_era(revision) {
            return false;
        }
        let is_new_era = self.detect_new_era(now, revision);
        let store = match self.store_recovered_at {
            Some(at) if now.since(at) <= ENTRY_RENEWAL_MS => StoreState::RecoveredAt(at),
            _ => StoreState::Available,
        };
        if !self.view.replace_catalog(now, catalog, store) {
            let in_force = self.view.catalog().revision;
            if revision < in_force {
                out.report_event(Event::CatalogIgnored {
                    revision: revision.number(),
                    in_force: in_force.number(),
                    era: revision.era().get(),
                    era_in_force: in_force.era().get(),
                });
            }
            return false;
        }
        if self.has_settings() {
            self.record_settings(now);
        }
        if is_new_era {
            self.report_new_era(base, out);
            let targets = self.forwarding_targets(now, source);
            self.tell_held_entries(now, &targets, out);
        }
        let catalog = self.view.catalog();
        out.report_event(Event::CatalogInForce {
            revision: catalog.revision.number(),
            settings_version: catalog.settings_version.get(),
            routes: catalog.routes.len(),
            endpoints: catalog.endpoints.len(),
            from_peer: source == CatalogOrigin::Peer,
        });
        self.agents.update_endpoints(now, &self.view);
        self.update_zones_out_of_use(now, out);
        self.lookups
            .schedule_outdated_retries(now, self.view.endpoint_generation());
        self.send_state_change_notices(now, out);
        if self.has_settings() {
            self.route_early_packets(now, out);
        }
        true
    }

    /// Sends this round's regular digests.
    pub(super) fn send_digests(&mut self, now: Millis, out: &mut impl Outbox) {
        let partners = self
            .peers
            .choose_partners(self.config.address, self.config.zone);
        for peer in partners {
            self.send_digest(now, peer, DigestPurpose::Regular, out);
        }
    }

    /// Sends a digest to every known balancer.
    pub(super) fn send_digest_to_all(&mut self, now: Millis, out: &mut impl Outbox) {
        for peer in self.peers.peer_addresses() {
            self.send_digest(now, peer, DigestPurpose::Reply, out);
        }
    }

    /// Returns what this balancer announces about itself.
    pub(super) const fn status(&self) -> PeerStatus {
        PeerStatus {
            zone: self.config.zone,
            link_mbps: self.config.link_mbps,
            has_settings: self.has_settings(),
            stopping: self.stopping,
        }
    }

    pub(super) fn send_digest(
        &mut self,
        now: Millis,
        peer: Ipv4Addr,
        purpose: DigestPurpose,
        out: &mut impl Outbox,
    ) {
        let members: Vec<Member> = match purpose {
            purpose if purpose.is_short() => Vec::new(),
            _ => self.peers.choose_members(now, self.config.address, peer),
        };
        let wants_whole = purpose == DigestPurpose::Pull && self.assembler.needs_whole_catalog;
        let revision = if wants_whole {
            Revision::default()
        } else {
            self.view.catalog().revision
        };
        let former_targets: Vec<AgedFormerTarget> = match purpose {
            purpose if purpose.is_short() => Vec::new(),
            _ => self.choose_former_targets(now),
        };
        let all_listed = former_targets.len() == self.view.former_targets().as_slice().len();
        let digest = Digest {
            revision: revision.get(),
            newest_era: self.newest_era(),
            settings_version: self.view.catalog().settings_version.get(),
            confirmed_age_ms: self.confirmed_age_ms(now),
            mark: self.clock_mark(now, peer),
            request: match purpose {
                DigestPurpose::Regular | DigestPurpose::Introduction => DigestRequest::Answer,
                DigestPurpose::RetiredRequest => DigestRequest::Retired,
                DigestPurpose::Pull => DigestRequest::Changes,
                DigestPurpose::EchoRequest => DigestRequest::Echo,
                DigestPurpose::Reply
                | DigestPurpose::Confirmation
                | DigestPurpose::RetiredTold(_) => DigestRequest::Nothing,
            },
            is_starting: now.since(self.started) < STARTUP_PERIOD_MS,
            wants_retired: self.wants_retired_endpoints(now),
            retired_told: match purpose {
                DigestPurpose::RetiredTold(count) => Some(count),
                _ => None,
            },
            status: self.status(),
            lists_former_targets: all_listed && self.knows_former_targets(now),
            members: &members,
            former_targets: &former_targets,
        };
        write_digest(digest, &mut self.scratch);
        out.send_to_peer(peer, &self.scratch);
        if matches!(
            purpose,
            DigestPurpose::Regular | DigestPurpose::Introduction
        ) {
            self.record_question(now, peer);
        }
    }

    pub(super) fn on_digest(
        &mut self,
        now: Millis,
        peer: Ipv4Addr,
        digest: Digest<'_>,
        out: &mut impl Outbox,
    ) {
        self.peers.record_status(now, peer, now, digest.status, out);
        self.peers.record_stamp(now, peer, digest.mark.stamp);
        self.observe_era(digest.newest_era);
        for member in digest.members {
            if member.address() != self.config.address {
                self.peers.record_member(now, *member, out);
            }
        }
        self.adopt_former_targets(now, &digest, out);
        let is_answered = self.sync_retired_endpoints(now, peer, &digest, out);
        let own = self.view.catalog().revision.get();
        let revision = Revision::new(digest.revision);
        let at = self.date_confirmation(now, revision, digest.confirmed_age_ms, digest.mark);
        let is_news = self.adopt_confirmation(at);
        if digest.request == DigestRequest::Echo {
            self.send_digest(now, peer, DigestPurpose::Confirmation, out);
        } else {
            self.request_echo(now, peer, &digest, out);
        }
        if is_news && now >= self.next_relay {
            self.next_relay = now.plus(RELAY_INTERVAL_MS);
            let targets = self.forwarding_targets(now, CatalogOrigin::Peer);
            self.send_confirmation(now, &targets, out);
        }
        let wants_answer = digest.request == DigestRequest::Answer;
        if digest.request == DigestRequest::Changes && digest.revision < own {
            let base = Revision::new(digest.revision);
            self.push_changes(now, base, &[peer], out);
            if base.era() < self.view.catalog().revision.era() {
                self.tell_held_entries(now, &[peer], out);
            }
        } else if digest.revision > own {
            self.pull_changes(now, peer, out);
        } else if self.lacks_settings_of(&digest) {
            self.assembler.needs_whole_catalog = true;
            self.pull_changes(now, peer, out);
        } else if wants_answer && !is_answered && digest.revision < own {
            self.send_digest(now, peer, DigestPurpose::Confirmation, out);
        }
    }

    /// Asks a balancer for the changes since this balancer's revision, unless they are under way.
    fn pull_changes(&mut self, now: Millis, peer: Ipv4Addr, out: &mut impl Outbox) {
        let since = Millis::new(now.get().saturating_sub(PULL_RETRY_MS.get()));
        let own = self.view.catalog().revision;
        if now < self.next_pull || self.assembler.is_receiving(own, since) {
            return;
        }
        self.next_pull = now.plus(PULL_RETRY_MS);
        self.send_digest(now, peer, DigestPurpose::Pull, out);
    }

    pub(super) fn on_catalog_chunk(
        &mut self,
        now: Millis,
        peer: Ipv4Addr,
        chunk: Chunk<'_>,
        out: &mut impl Outbox,
    ) {
        self.peers.record_stamp(now, peer, chunk.mark.stamp);
        let revision = Revision::new(chunk.revision);
        let base = self.view.catalog().revision;
        if revision <= base && !self.assembler.needs_whole_catalog {
            return;
        }
        let Some(content) = self.assembler.add_chunk(now, &chunk) else {
            return;
        };
        let Some(catalog) = self.resulting_catalog(revision, content) else {
            return;
        };
        let own_stalls = self.stalled_since_confirmation;
        self.detect_store_recovery(now);
        if !self.apply_catalog(now, catalog, CatalogOrigin::Peer, out) {
            return;
        }
        self.assembler.needs_whole_catalog = false;
        let in_force = self.view.catalog().revision;
        self.assembler.drop_outdated(in_force);
        if in_force == base {
            self.stalled_since_confirmation = own_stalls;
            return;
        }
        // The store's answer with this revision is younger than its confirmation of an earlier one, so
        // the latest confirmation's age holds for a chunk that can't be dated, too.
        match self.date_confirmation(now, revision, chunk.confirmed_age_ms, chunk.mark) {
            Some(at) => self.record_confirmation(at),
            None => self.stalled_since_confirmation = own_stalls,
        }
        let targets = self.forwarding_targets(now, CatalogOrigin::Peer);
        self.push_changes(now, base, &targets, out);
    }

    /// Returns the catalog that a complete transfer leads to, or `None` if it doesn't fit the
    /// catalog in force.
    fn resulting_catalog(
        &mut self,
        revision: Revision,
        content: TransferContent,
    ) -> Option<Catalog> {
        let catalog = match content {
            TransferContent::Whole(mut catalog) => {
                catalog.sort_entries();
                Some(catalog)
            }
            TransferContent::Delta(delta) => {
                let applies = delta.applies_to(self.view.catalog().revision);
                let catalog = delta.apply(self.view.listed());
                if applies && catalog.is_none() {
                    self.counters.deltas_diverged += 1;
                    self.assembler.needs_whole_catalog = true;
                }
                catalog
            }
        };
        catalog.filter(|it| it.revision == revision)
    }

    /// Records the store's recovery if the store's response at `at` is the first after an outage.
    pub(super) fn detect_store_recovery(&mut self, at: Millis) {
        let own_stalls = std::mem::take(&mut self.stalled_since_confirmation);
        let was_unavailable = self
            .confirmed_at
            .is_some_and(|it| at.since(it).since(own_stalls) > STORE_OUTAGE_MIN_MS);
        if was_unavailable {
            self.store_recovered_at = Some(at);
            self.view.extend_held_entries(at);
        }
    }

    /// Returns the age of the latest store confirmation in milliseconds, or `u32::MAX` without a
    /// confirmation.
    pub(super) fn confirmed_age_ms(&self, now: Millis) -> u32 {
        let age = self.confirmed_at.map(|it| now.since(it).get());
        age.and_then(|it| u32::try_from(it).ok())
            .unwrap_or(u32::MAX)
    }

    /// Adds seed addresses, at which other balancers may be running.
    pub fn add_seed_balancers(&mut self, now: Millis, seeds: &[Ipv4Addr]) {
        for seed in seeds.iter().filter(|it| **it != self.config.address) {
            self.peers.add_peer(*seed, now);
        }
    }

    /// Changes the capacity of the balancer's network link, in Mbit/s; greater than zero.
    pub fn set_link_mbps(&mut self, link_mbps: u32) {
        self.config.link_mbps = link_mbps;
        self.uploads.set_link_mbps(link_mbps);
        self.transfers.set_link_mbps(link_mbps);
    }
}
