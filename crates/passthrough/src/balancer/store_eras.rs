//! Follows the eras of the store, which rise when it comes back from an older copy of its data.
//!
//! Balancers tell each other the latest era that any of them has seen. A balancer whose list is of
//! an older era neither confirms it nor resets flows by it, and takes no further list of that era.

use std::net::Ipv4Addr;

use units::{Millis, Revision, StoreEra};

use super::Balancer;
use crate::{
    Event, Outbox, PacketFormat, ServiceKey, former_targets::FORMER_TARGET_RETENTION_MS,
    message::Digest, store_era,
};

/// What a balancer knows about the eras of the store.
#[derive(Debug, Default)]
pub(super) struct EraTracker {
    /// The latest era that this or another balancer has seen.
    newest: StoreEra,
    /// Time at which the first list of a later era replaced one of an earlier era.
    rose_at: Option<Millis>,
}

impl<F: PacketFormat> Balancer<F> {
    /// Returns the latest era of the store that this or another balancer has seen.
    #[must_use]
    pub const fn newest_era(&self) -> StoreEra {
        self.eras.newest
    }

    /// Records that the store answered in an era, and returns whether it is still in that era.
    ///
    /// An answer of an era that the store has left proves nothing.
    pub fn observe_era(&mut self, era: StoreEra) -> bool {
        self.eras.newest = self.eras.newest.max(era);
        era == self.eras.newest
    }

    /// Returns whether the store has left the era of the list in force.
    pub(super) fn is_era_left(&self) -> bool {
        self.view.catalog().revision.era() < self.eras.newest
    }

    /// Returns whether a list must not be taken, since the store has left its era. A balancer
    /// without any list serves callers by an old one.
    pub(super) fn is_of_left_era(&self, revision: Revision) -> bool {
        revision.era() < self.eras.newest && self.view.catalog().revision != Revision::default()
    }

    /// Counts the first list of a later era as the store's recovery from an outage, and returns
    /// whether it is one.
    pub(super) fn detect_new_era(&mut self, now: Millis, revision: Revision) -> bool {
        self.observe_era(revision.era());
        let in_force = self.view.catalog().revision;
        let rises = in_force != Revision::default() && revision.era() > in_force.era();
        if rises {
            self.store_recovered_at = Some(now);
            self.eras.rose_at = Some(now);
        }
        rises
    }

    /// Reports that the first list of a later era came into force.
    pub(super) fn report_new_era(&self, from: Revision, out: &mut impl Outbox) {
        let in_force = self.view.catalog().revision;
        out.report_event(Event::StoreEraRose {
            from: from.era().get(),
            to: in_force.era().get(),
            former_revision: from.number(),
            revision: in_force.number(),
            held_back: self.view.held_back_count(),
        });
    }

    /// Tells other balancers the entries that are held back. Answers balancers that were cut off or
    /// not running when the lost writes were made.
    pub(super) fn tell_held_entries(
        &mut self,
        now: Millis,
        targets: &[Ipv4Addr],
        out: &mut impl Outbox,
    ) {
        if self.view.held_back_count() == 0 {
            return;
        }
        for target in targets {
            self.tell_retired_endpoints(now, *target, out);
        }
    }

    /// Returns whether another balancer has later settings for a list that is no newer, so that its
    /// whole list is needed: this balancer started from a copy with older settings.
    pub(super) fn lacks_settings_of(&self, digest: &Digest<'_>) -> bool {
        let catalog = self.view.catalog();
        digest.revision <= catalog.revision.get()
            && digest.settings_version > catalog.settings_version.get()
    }

    /// Returns whether no endpoint of another service than `services` can hold a flow of a route
    /// that isn't known to have led to its service.
    pub(super) fn routes_are_known_outside(&self, now: Millis, services: &[ServiceKey]) -> bool {
        let rose_lately = self
            .eras
            .rose_at
            .is_some_and(|it| now.since(it) <= FORMER_TARGET_RETENTION_MS);
        // An endpoint that registers again after a loss may hold flows by lost settings.
        let routes_known_since = if rose_lately {
            store_era::NEVER
        } else {
            self.view.routes_known_since()
        };
        self.agents
            .routes_are_known_outside(now, services, routes_known_since)
    }
}
