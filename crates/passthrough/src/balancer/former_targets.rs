//! Learns which services routes led to before, from agents and other balancers.
//!
//! A balancer remembers the targets that routes lose while it runs. What a route led to before it
//! started, and in revisions that it skipped, it learns from the agents, whose reports list the
//! routes of the flows that their endpoints hold, and from the digests of other balancers.
//!
//! Invariant: a flow that no endpoint of its route's known services holds is reset only if no other
//! service can hold it.

use std::net::SocketAddrV4;

use units::{Millis, Revision};

use super::Balancer;
use crate::{
    Event, Flow, Outbox, PacketFormat, ServiceKey,
    former_targets::{FORMER_TARGET_RETENTION_MS, FormerTarget},
    message::{AgedFormerTarget, DIGEST_FORMER_TARGETS_MAX, Digest},
};

/// What tells whether a balancer knows all services that routes led to before.
#[derive(Debug, Default)]
pub(super) struct FormerTargetSync {
    /// Time at which the first catalog with the operator's settings came into force.
    pub(super) settings_since: Option<Millis>,
    /// Time since which this balancer has seen all settings in force; later than `settings_since` if it
    /// missed settings in between.
    seen_since: Option<Millis>,
    /// Store revision since which this balancer has seen all settings in force.
    known_since: Revision,
    /// Whether another balancer has told which services routes led to before `known_since`.
    was_told: bool,
}

impl FormerTargetSync {
    /// Records that a catalog with settings came into force. Settings that were missed leave only what
    /// was learned since.
    fn record_catalog(&mut self, now: Millis, known_since: Revision) {
        self.settings_since.get_or_insert(now);
        if self.seen_since.is_none() || self.known_since != known_since {
            self.seen_since = Some(now);
            self.known_since = known_since;
            self.was_told = false;
        }
    }
}

impl<F: PacketFormat> Balancer<F> {
    /// Records that a catalog with the operator's settings came into force.
    pub(super) fn record_settings(&mut self, now: Millis) {
        self.former_target_sync
            .record_catalog(now, self.view.routes_known_since());
    }

    /// Records that endpoints of a service hold flows of a route.
    pub(super) fn record_served_route(
        &mut self,
        now: Millis,
        address: SocketAddrV4,
        service: ServiceKey,
        out: &mut impl Outbox,
    ) {
        let former = FormerTarget {
            address,
            service,
            seen_at: now,
        };
        if self.view.add_former_targets([former]) {
            self.on_former_targets_added(now, out);
        }
    }

    /// Adopts the former targets that another balancer's digest lists.
    pub(super) fn adopt_former_targets(
        &mut self,
        now: Millis,
        digest: &Digest<'_>,
        out: &mut impl Outbox,
    ) {
        let former = digest
            .former_targets
            .iter()
            .filter_map(|it| it.to_former_target(now));
        if self.view.add_former_targets(former) {
            self.on_former_targets_added(now, out);
        }
        // A balancer with an older catalog may not know the settings that this one missed.
        let is_recent = digest.revision >= self.view.routes_known_since().get();
        self.former_target_sync.was_told |= digest.lists_former_targets && is_recent;
    }

    /// Returns the former targets for one digest; by turns if there are more than it has room for.
    pub(super) fn choose_former_targets(&self, now: Millis) -> Vec<AgedFormerTarget> {
        let all = self.view.former_targets().as_slice();
        let begin = self.peers.round_count() * DIGEST_FORMER_TARGETS_MAX % all.len().max(1);
        let (later, first) = all.split_at(begin);
        let chosen = first.iter().chain(later).take(DIGEST_FORMER_TARGETS_MAX);
        chosen.map(|it| AgedFormerTarget::new(now, it)).collect()
    }

    /// Returns whether the endpoints that a lookup of the flow asks include every endpoint that may
    /// hold it.
    pub(super) fn knows_all_holders(&self, now: Millis, flow: Flow) -> bool {
        let is_told = self.knows_retired_endpoints(now) && !self.is_era_left();
        if !is_told || !self.view.former_targets().is_complete() {
            return false;
        }
        let services = self.view.services_of_flow(flow);
        self.knows_former_targets(now) || self.routes_are_known_outside(now, &services)
    }

    /// Returns whether this balancer knows all services that routes led to before.
    ///
    /// It does after it has seen all settings for as long as a flow may live, or after another
    /// balancer that knows them or all agents have told it.
    pub(super) fn knows_former_targets(&self, now: Millis) -> bool {
        let sync = &self.former_target_sync;
        let has_seen_all = sync
            .seen_since
            .is_some_and(|it| now.since(it) > FORMER_TARGET_RETENTION_MS);
        self.view.former_targets().is_complete()
            && (has_seen_all || sync.was_told || self.routes_are_known_outside(now, &[]))
    }

    fn on_former_targets_added(&mut self, now: Millis, out: &mut impl Outbox) {
        out.report_event(Event::FormerTargetsChanged {
            count: self.view.former_targets().as_slice().len(),
            catalog_revision: self.view.catalog().revision.number(),
        });
        self.lookups
            .schedule_outdated_retries(now, self.view.endpoint_generation());
    }
}
