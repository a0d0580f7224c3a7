//! Places no new flows in availability zones that the operator has taken out of use.
//!
//! The list of these zones is part of the catalog and spreads with it. A balancer that hasn't heard
//! of a change yet is corrected by the agents, which refuse openings for their zone.

use units::Millis;

use super::{
    Balancer,
    catalog_sync::{ENTRY_RENEWAL_MS, STARTUP_PERIOD_MS},
};
use crate::{
    Endpoint, EndpointState, Event, Outbox, PacketFormat, ServiceKey, ZoneKey,
    catalog_view::PLACEMENT_SUBSET_MAX,
};

/// The availability zones out of use that this balancer knows of.
#[derive(Debug, Default)]
pub(super) struct ZonesOutOfUse {
    /// Each zone with the time at which this balancer learned of it, sorted by zone.
    zones: Vec<(ZoneKey, Millis)>,
}

/// Whether a service has endpoints at which a new flow may be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Placeable {
    /// The given buffer holds endpoints at which the flow may be placed.
    Endpoints,
    /// All endpoints that would accept flows are in zones out of use.
    OnlyOutOfUse,
    /// No endpoint would accept flows.
    Nowhere,
}

impl<F: PacketFormat> Balancer<F> {
    /// Returns how many zones are out of use, and for how long the first of them has been.
    #[must_use]
    pub fn zones_out_of_use(&self, now: Millis) -> (usize, Millis) {
        let zones = &self.zones_out_of_use.zones;
        let longest = zones.iter().map(|it| now.since(it.1)).max();
        (zones.len(), longest.unwrap_or_default())
    }

    /// Reports the zones that the catalog in force takes out of use or back.
    pub(super) fn update_zones_out_of_use(&mut self, now: Millis, out: &mut impl Outbox) {
        let catalog = self.view.catalog();
        let revision = catalog.revision.get();
        let known = &mut self.zones_out_of_use.zones;
        known.retain(|(zone, since)| {
            let is_out = catalog.is_evacuated(*zone);
            if !is_out {
                out.report_event(Event::ZoneBackInUse {
                    zone: *zone,
                    after_ms: now.since(*since).get(),
                    revision,
                });
            }
            is_out
        });
        for zone in &catalog.evacuated_zones {
            let Err(idx) = known.binary_search_by_key(zone, |it| it.0) else {
                continue;
            };
            known.insert(idx, (*zone, now));
            let endpoints = |is_inside: bool| {
                let is_counted = |it: &&Endpoint| (it.zone == *zone) == is_inside;
                catalog.endpoints.iter().filter(is_counted).count()
            };
            out.report_event(Event::ZoneOutOfUse {
                zone: *zone,
                endpoints: endpoints(true),
                endpoints_elsewhere: endpoints(false),
                revision,
            });
            let has_balancer =
                self.config.zone == *zone || !self.peers.addresses_in_zone(*zone).is_empty();
            if endpoints(true) == 0 && !has_balancer {
                out.report_event(Event::ZoneUnknown {
                    zone: *zone,
                    revision,
                });
            }
        }
    }

    /// Collects in `subset` the endpoints at which a new flow of the service may be placed.
    ///
    /// The endpoints around the flow's place on the ring of a large service may all be in zones out of
    /// use. All others are looked at then.
    pub(super) fn collect_placeable_endpoints(
        &self,
        service: ServiceKey,
        flow_hash: u64,
        subset: &mut Vec<Endpoint>,
    ) -> Placeable {
        for count_max in [PLACEMENT_SUBSET_MAX, usize::MAX] {
            let is_whole = self
                .view
                .collect_endpoint_subset(service, flow_hash, count_max, subset);
            subset.retain(|it| it.state == EndpointState::Ready);
            if subset.is_empty() {
                return Placeable::Nowhere;
            }
            let catalog = self.view.catalog();
            subset.retain(|it| !catalog.is_evacuated(it.zone));
            if !subset.is_empty() {
                subset.truncate(PLACEMENT_SUBSET_MAX);
                return Placeable::Endpoints;
            }
            if is_whole {
                break;
            }
        }
        Placeable::OnlyOutOfUse
    }

    /// Returns whether the balancer knows enough to turn a caller away because all endpoints are in
    /// zones out of use.
    ///
    /// After a start the list may be one that another balancer held for long, and after an outage of
    /// the store the entries of endpoints in other zones may be missing. The caller's own copies ask
    /// again meanwhile.
    pub(super) fn may_turn_away(&self, now: Millis) -> bool {
        let is_recovering = self
            .store_recovered_at
            .is_some_and(|at| now.since(at) <= ENTRY_RENEWAL_MS);
        now.since(self.started) >= STARTUP_PERIOD_MS && !is_recovering
    }
}
