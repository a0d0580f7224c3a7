//! Distributes the catalog among balancers and decides which of them read the store.

use std::net::Ipv4Addr;

use units::{Millis, Revision};

use super::{Balancer, CONFIRMATION_INTERVAL_MIN_MS, peers::PeerStatus};
use crate::{
    Catalog, DropReason, Event, Outbox, PacketFormat, ResetReason, StoreState,
    catalog_transfer::{RetiredList, write_catalog_chunks, write_retired_messages},
    message::{Chunk, Digest, INSTANCES_MAX, Instances, write_digest},
};

/// Age of the latest store confirmation above which every balancer reads the store itself.
///
/// Balancers that read the store renew the confirmation once a second, so an older confirmation
/// means that these readers failed or are partitioned.
const CONFIRMATION_STALE_MS: Millis = Millis::new(1_700);

/// Period after startup in which a balancer asks its peers for the retired endpoints, which the
/// store does not hold.
///
/// The period is long enough for a digest to reach balancers whose addresses are learned only from
/// agents' load reports.
const STARTUP_PERIOD_MS: Millis = Millis::new(3_000);

/// Time from the first digest of an established balancer until that balancer's list of retired
/// endpoints has arrived.
///
/// An established balancer sends the list as soon as it receives a digest from a starting balancer,
/// a few milliseconds away.
const RETIRED_LIST_DELIVERY_MS: Millis = Millis::new(10);

/// Time after startup from which a balancer no longer waits for the retired endpoints of its peers,
/// although no established balancer has answered.
///
/// Seed balancers answer within milliseconds. If all seeds are down, a balancer learns of others
/// from agents' load reports, within a second.
const SYNC_TIMEOUT_MS: Millis = Millis::new(1_300);

/// Replaces [`SYNC_TIMEOUT_MS`] if no other balancer is known, or if only balancers that just
/// started have answered, as after an outage of all balancers.
const NO_SOURCE_SYNC_TIMEOUT_MS: Millis = Millis::new(60);

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
const ENTRY_RENEWAL_MS: Millis = Millis::new(2_000);

/// Number of balancers that read the store in normal operation. With two readers, the loss of one
/// has no effect.
const STORE_READERS: usize = 2;

/// Whether this balancer has received the retired endpoints from its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetiredSync {
    NotSynced,
    /// The only balancers that have answered started recently themselves and know no more retired
    /// endpoints.
    StartingPeersOnly,
    /// An established balancer has answered; its list of retired endpoints has arrived from this
    /// time on.
    SyncedAt(Millis),
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
        if revision != self.view.catalog().revision {
            return;
        }
        self.confirmed_at = Some(now);
        if !self.knows_retired_endpoints(now) {
            return;
        }
        let generation = self.view.endpoint_generation();
        for (flow, sequence) in self.lookups.take_confirmed_failures(asked_at, generation) {
            self.send_reset(flow, sequence, ResetReason::HeldByNone, out);
        }
    }

    /// Handles the result of a read from the store; `catalog` is `None` if the store had no change.
    ///
    /// Returns whether a newer catalog was applied.
    pub fn on_store_read(
        &mut self,
        now: Millis,
        catalog: Option<Catalog>,
        out: &mut impl Outbox,
    ) -> bool {
        self.detect_store_recovery(now);
        let replaced =
            catalog.is_some_and(|it| self.apply_catalog(now, it, CatalogOrigin::Store, out));
        self.confirmed_at = Some(now);
        if replaced {
            self.send_catalog_to_peers(now, out);
        }
        replaced
    }

    /// Applies a catalog that is newer than the current one, and returns whether it was newer.
    pub(super) fn apply_catalog(
        &mut self,
        now: Millis,
        catalog: Catalog,
        source: CatalogOrigin,
        out: &mut impl Outbox,
    ) -> bool {
        let revision = catalog.revision;
        let store = match self.store_recovered_at {
            Some(at) if now.since(at) <= ENTRY_RENEWAL_MS => StoreState::RecoveredAt(at),
            _ => StoreState::Available,
        };
        if !self.view.replace_catalog(now, catalog, store) {
            let in_force = self.view.catalog().revision;
            if revision < in_force {
                out.report_event(Event::CatalogIgnored {
                    revision: revision.get(),
                    in_force: in_force.get(),
                });
            }
            return false;
        }
        let catalog = self.view.catalog();
        out.report_event(Event::CatalogInForce {
            revision: catalog.revision.get(),
            settings_version: catalog.settings_version.get(),
            routes: catalog.routes.len(),
            endpoints: catalog.endpoints.len(),
            from_peer: source == CatalogOrigin::Peer,
        });
        self.agents.update_endpoints(now, &self.view);
        self.lookups
            .schedule_outdated_retries(now, self.view.endpoint_generation());
        self.send_state_change_notices(out);
        true
    }

    /// Returns whether other balancers have sent their retired endpoints, or no balancer can
    /// provide them.
    ///
    /// Until then, an endpoint that holds a flow may be unknown to this balancer.
    pub(super) fn knows_retired_endpoints(&self, now: Millis) -> bool {
        let age = now.since(self.started);
        match self.retired_sync {
            RetiredSync::SyncedAt(at) => now >= at,
            RetiredSync::StartingPeersOnly => age >= NO_SOURCE_SYNC_TIMEOUT_MS,
            RetiredSync::NotSynced if self.peers.peer_addresses().is_empty() => {
                age >= NO_SOURCE_SYNC_TIMEOUT_MS
            }
            RetiredSync::NotSynced => age >= SYNC_TIMEOUT_MS,
        }
    }

    pub(super) fn send_digests(&mut self, now: Millis, out: &mut impl Outbox) {
        let addresses = self.peers.peer_addresses();
        for peer in &addresses {
            self.send_digest(now, *peer, &addresses, true, out);
        }
    }

    pub(super) fn send_digest(
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
            is_starting: now.since(self.started) < STARTUP_PERIOD_MS,
            zone: self.config.zone,
            link_mbps: if self.has_settings() {
                self.config.link_mbps
            } else {
                0
            },
            balancers: Instances::new(&others[..len]),
        };
        write_digest(digest, &mut self.scratch);
        out.send_to_peer(peer, &self.scratch);
    }

    pub(super) fn on_digest(
        &mut self,
        now: Millis,
        peer: Ipv4Addr,
        digest: Digest<'_>,
        out: &mut impl Outbox,
    ) {
        let status = PeerStatus {
            zone: digest.zone,
            link_mbps: digest.link_mbps,
            has_settings: digest.link_mbps > 0,
        };
        self.peers
            .record_digest(now, peer, digest.stopping, status, out);
        self.retired_sync = match self.retired_sync {
            RetiredSync::SyncedAt(at) => RetiredSync::SyncedAt(at),
            _ if digest.is_starting => RetiredSync::StartingPeersOnly,
            _ => RetiredSync::SyncedAt(now.plus(RETIRED_LIST_DELIVERY_MS)),
        };
        if digest.is_starting {
            // The store keeps no record of recently retired endpoints, so a starting balancer gets
            // them from its peers.
            write_retired_messages(
                now,
                self.view.retired_endpoints(),
                &mut self.scratch,
                |list| {
                    out.send_to_peer(peer, list);
                },
            );
        }
        for balancer in digest.balancers.iter() {
            if balancer != self.config.address {
                self.peers.add_peer(balancer, now);
            }
        }
        let own = self.view.catalog().revision.get();
        self.adopt_confirmation(now, Revision::new(digest.revision), digest.confirmed_age_ms);
        if digest.revision < own && self.peers.claim_catalog_send(now, peer) {
            self.send_catalog_to(now, peer, out);
        } else if digest.wants_answer && (digest.revision > own || digest.is_starting) {
            // The digest in reply tells the peer that this balancer needs the newer catalog, or
            // that the peer has received all retired endpoints.
            self.send_digest(now, peer, &[], false, out);
        }
    }

    pub(super) fn on_catalog_chunk(
        &mut self,
        now: Millis,
        chunk: Chunk<'_>,
        out: &mut impl Outbox,
    ) {
        let revision = Revision::new(chunk.revision);
        if revision <= self.view.catalog().revision {
            return;
        }
        let Some(catalog) = self.assembler.add_catalog_chunk(&chunk) else {
            return;
        };
        self.detect_store_recovery(now);
        if self.apply_catalog(now, catalog, CatalogOrigin::Peer, out) {
            self.confirmed_at = None;
            self.adopt_confirmation(now, revision, chunk.confirmed_age_ms);
        }
    }

    pub(super) fn on_retired_list(&mut self, now: Millis, list: &[u8], out: &mut impl Outbox) {
        let Ok(RetiredList(list)) = postcard::from_bytes(list) else {
            return self.drop_packet(DropReason::Malformed, out);
        };
        if self.view.add_retired_endpoints(now, &list) {
            self.agents.update_endpoints(now, &self.view);
            self.lookups
                .schedule_outdated_retries(now, self.view.endpoint_generation());
            self.send_state_change_notices(out);
        }
    }

    /// Adopts a store confirmation that another balancer received, if it confirms the revision of
    /// this balancer's catalog.
    pub(super) fn adopt_confirmation(&mut self, now: Millis, revision: Revision, age_ms: u32) {
        if revision != self.view.catalog().revision || age_ms == u32::MAX {
            return;
        }
        let age = u64::from(age_ms);
        if age > now.get() {
            return;
        }
        let at = Millis::new(now.get() - age);
        if self.confirmed_at.is_none_or(|it| it < at) {
            self.detect_store_recovery(at);
            self.confirmed_at = Some(at);
        }
    }

    /// Records the store's recovery if the store's response at `at` is the first after an outage.
    pub(super) fn detect_store_recovery(&mut self, at: Millis) {
        let was_unavailable = self
            .confirmed_at
            .is_some_and(|it| at.since(it) > STORE_OUTAGE_MIN_MS);
        if was_unavailable {
            self.store_recovered_at = Some(at);
        }
    }

    /// Returns the age of the latest store confirmation in milliseconds, or `u32::MAX` without a
    /// confirmation.
    pub(super) fn confirmed_age_ms(&self, now: Millis) -> u32 {
        let age = self.confirmed_at.map(|it| now.since(it).get());
        age.and_then(|it| u32::try_from(it).ok())
            .unwrap_or(u32::MAX)
    }

    pub(super) fn send_catalog_to_peers(&mut self, now: Millis, out: &mut impl Outbox) {
        for peer in self.peers.peer_addresses() {
            self.peers.record_catalog_sent(now, peer);
            self.send_catalog_to(now, peer, out);
        }
    }

    pub(super) fn send_catalog_to(&mut self, now: Millis, peer: Ipv4Addr, out: &mut impl Outbox) {
        let age = self.confirmed_age_ms(now);
        write_catalog_chunks(self.view.catalog(), age, &mut self.scratch, |chunk| {
            out.send_to_peer(peer, chunk);
        });
    }

    /// Enters standby if enough balancers of the zone have much faster links, or leaves standby.
    pub(super) fn update_standby(&mut self, now: Millis, out: &mut impl Outbox) {
        let status = PeerStatus {
            zone: self.config.zone,
            link_mbps: self.config.link_mbps,
            has_settings: true,
        };
        let stands_by = self.peers.should_stand_by(now, self.config.address, status);
        if stands_by == self.is_standby {
            return;
        }
        self.is_standby = stands_by;
        out.report_event(Event::Standby {
            stands_by,
            link_mbps: self.config.link_mbps,
            peers: self.peers.peer_addresses().len(),
        });
    }

    /// Starts or stops reading the store, depending on the age of the latest store confirmation and
    /// on this balancer's rank among the readers.
    pub(super) fn update_store_reader(&mut self, now: Millis, out: &mut impl Outbox) {
        let is_stale = self
            .confirmed_at
            .is_none_or(|it| now.since(it) > CONFIRMATION_STALE_MS);
        let rank = self.peers.store_reader_rank(now, self.config.address);
        let reads = is_stale || (rank < STORE_READERS && !self.stopping);
        if reads == self.reads_store {
            return;
        }
        self.reads_store = reads;
        out.report_event(Event::StoreDuty {
            reads,
            peers: self.peers.peer_addresses().len(),
            freshest_age_ms: u64::from(self.confirmed_age_ms(now)),
        });
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
    }
}
