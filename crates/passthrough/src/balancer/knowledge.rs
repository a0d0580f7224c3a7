//! What a balancer knows of the list in force, and how balancers tell each other.

use std::net::Ipv4Addr;

use units::{Millis, Revision};

use super::{Balancer, CONFIRMATION_MIN_MS, peers::Standing};
use crate::{
    Catalog, DropReason, Event, Outbox, PacketFormat, ResetReason, StoreState,
    message::{Chunk, Digest, INSTANCES_MAX, Instances, write_digest},
    snapshot::{RetiredList, write_chunks, write_retired_lists},
};

/// Age of the store's last confirmation from which every balancer reads the store itself.
///
/// Readers renew it once a second; what is older means that they are gone or cut off.
const CONFIRMATION_STALE_MS: Millis = Millis::new(1_700);

/// Time after its start for which a balancer asks the others what the store doesn't know.
///
/// Long enough for a digest to reach balancers that it learns of from agents' answers.
const YOUNG_MS: Millis = Millis::new(3_000);

/// Time from an older balancer's digest until what it knows of endpoints that left is here, too: they are
/// sent when it hears of this one, a few milliseconds away.
const LISTS_UNDER_WAY_MS: Millis = Millis::new(10);

/// Time after its start from which a balancer goes by what it knows although no older one was heard:
/// seeds answer in milliseconds, and agents name other balancers within a second only if seeds are down.
const UNINFORMED_MAX_MS: Millis = Millis::new(1_300);

/// The same if only balancers were heard that started lately, as after an outage of all, or none is known.
const NOBODY_KNOWS_MS: Millis = Millis::new(60);

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

/// Who told this balancer which endpoints left the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Informant {
    Nobody,
    /// Balancers that started lately, too, and know no more.
    Young,
    /// An older balancer, whose lists are here from that moment on.
    Older(Millis),
}

/// Where a list comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    Store,
    Peer,
}

impl<F: PacketFormat> Balancer<F> {
    /// Returns the revision that the store should be asked to confirm, if any.
    ///
    /// A lookup in which no agent holds the flow proves that nobody does only if the list of endpoints
    /// was the newest.
    pub fn take_confirmation_request(&mut self, now: Millis) -> Option<Revision> {
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
        if !self.is_informed(now) {
            return;
        }
        let generation = self.view.generation();
        for (flow, sequence) in self.lookups.take_failed(asked_at, generation) {
            self.reset(flow, sequence, ResetReason::HeldByNone, out);
        }
    }

    /// Takes what the store holds; `None` if it confirmed that nothing changed.
    ///
    /// Returns whether something newer came into force.
    pub fn on_store_read(
        &mut self,
        now: Millis,
        catalog: Option<Catalog>,
        out: &mut impl Outbox,
    ) -> bool {
        self.note_store_back(now);
        let replaced = catalog.is_some_and(|it| self.put_in_force(now, it, Source::Store, out));
        self.confirmed_at = Some(now);
        if replaced {
            self.send_catalog(now, out);
        }
        replaced
    }

    pub(super) fn put_in_force(
        &mut self,
        now: Millis,
        catalog: Catalog,
        source: Source,
        out: &mut impl Outbox,
    ) -> bool {
        let revision = catalog.revision;
        let store = match self.store_back_at {
            Some(at) if now.since(at) <= LAPSE_MS => StoreState::RecoveredAt(at),
            _ => StoreState::Available,
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
            from_peer: source == Source::Peer,
        });
        self.agents.update(now, &self.view);
        self.lookups.repeat_outdated(now, self.view.generation());
        self.send_changed_notices(out);
        true
    }

    /// Returns whether the other balancers have told which endpoints left the list, or have nothing to
    /// tell. Before, an endpoint that holds a flow may be unknown here.
    pub(super) fn is_informed(&self, now: Millis) -> bool {
        let age = now.since(self.started);
        match self.informed_by {
            Informant::Older(at) => now >= at,
            Informant::Young => age >= NOBODY_KNOWS_MS,
            Informant::Nobody if self.peers.addresses().is_empty() => age >= NOBODY_KNOWS_MS,
            Informant::Nobody => age >= UNINFORMED_MAX_MS,
        }
    }

    pub(super) fn send_digests(&mut self, now: Millis, out: &mut impl Outbox) {
        let addresses = self.peers.addresses();
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

    pub(super) fn on_digest(
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
        self.informed_by = match self.informed_by {
            Informant::Older(at) => Informant::Older(at),
            _ if digest.is_young => Informant::Young,
            _ => Informant::Older(now.plus(LISTS_UNDER_WAY_MS)),
        };
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
        } else if digest.wants_answer && (digest.revision > own || digest.is_young) {
            // The answer shows the peer that this balancer is behind, or that it has told all it knows.
            self.send_digest(now, peer, &[], false, out);
        }
    }

    pub(super) fn on_chunk(&mut self, now: Millis, chunk: Chunk<'_>, out: &mut impl Outbox) {
        let revision = Revision::new(chunk.revision);
        if revision <= self.view.catalog().revision {
            return;
        }
        let Some(catalog) = self.assembly.take(&chunk) else {
            return;
        };
        self.note_store_back(now);
        if self.put_in_force(now, catalog, Source::Peer, out) {
            self.confirmed_at = None;
            self.adopt_confirmation(now, revision, chunk.confirmed_age_ms);
        }
    }

    pub(super) fn on_retired(&mut self, now: Millis, list: &[u8], out: &mut impl Outbox) {
        let Ok(RetiredList(list)) = postcard::from_bytes(list) else {
            return self.drop(DropReason::Malformed, out);
        };
        if self.view.add_retired(now, &list) {
            self.agents.update(now, &self.view);
            self.lookups.repeat_outdated(now, self.view.generation());
            self.send_changed_notices(out);
        }
    }

    /// Believes a peer that the store confirmed the revision that is in force here too.
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
            self.note_store_back(at);
            self.confirmed_at = Some(at);
        }
    }

    /// The store's word came at `at`; remembers it if the store had been away before.
    pub(super) fn note_store_back(&mut self, at: Millis) {
        let was_away = self
            .confirmed_at
            .is_some_and(|it| at.since(it) > STORE_AWAY_MS);
        if was_away {
            self.store_back_at = Some(at);
        }
    }

    pub(super) fn confirmed_age_ms(&self, now: Millis) -> u32 {
        let age = self.confirmed_at.map(|it| now.since(it).get());
        age.and_then(|it| u32::try_from(it).ok())
            .unwrap_or(u32::MAX)
    }

    pub(super) fn send_catalog(&mut self, now: Millis, out: &mut impl Outbox) {
        for peer in self.peers.addresses() {
            self.peers.note_catalog_sent(now, peer);
            self.send_catalog_to(now, peer, out);
        }
    }

    pub(super) fn send_catalog_to(&mut self, now: Millis, peer: Ipv4Addr, out: &mut impl Outbox) {
        let age = self.confirmed_age_ms(now);
        write_chunks(self.view.catalog(), age, &mut self.scratch, |chunk| {
            out.send_peer(peer, chunk);
        });
    }

    pub(super) fn decide_standby(&mut self, now: Millis, out: &mut impl Outbox) {
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

    pub(super) fn decide_store_duty(&mut self, now: Millis, out: &mut impl Outbox) {
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

    /// Adds balancers that may be running.
    pub fn add_seeds(&mut self, now: Millis, seeds: &[Ipv4Addr]) {
        for seed in seeds.iter().filter(|it| **it != self.config.address) {
            self.peers.add(*seed, now);
        }
    }

    /// Changes what the instance's link carries, in Mbit/s; above zero.
    pub fn set_link_mbps(&mut self, link_mbps: u32) {
        self.config.link_mbps = link_mbps;
        self.uploads.set_link(link_mbps);
    }
}
