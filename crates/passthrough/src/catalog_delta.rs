//! Differences between two revisions of the catalog.
//!
//! A balancer sends another one only what changed since that balancer's revision. A delta is
//! computed from the revisions at which the sender applied each change, so it may name more items
//! than changed, but never fewer. Applying it to any revision between its base and its result, any
//! number of times, gives the same catalog.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use units::{Millis, Revision, SettingsVersion};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Catalog, ColdStart, Endpoint, EndpointKey, Route, ZoneKey};

/// Maximum number of items in the change log.
///
/// The log holds a replacement of all of 5,800 endpoints, each with a removal and an addition. A
/// log that would grow beyond is cleared, and balancers with an older catalog get a whole one.
const LOGGED_ITEMS_MAX: usize = 16_384;

/// The changes that lead from any revision between `base` and `revision` to `revision`.
///
/// Invariant: `routes` and `removed_routes` are sorted by address, `endpoints` and
/// `removed_endpoints` by key. A delta that is not sorted gives another content hash at worst.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CatalogDelta {
    base: Revision,
    revision: Revision,
    settings_version: SettingsVersion,
    settings_changed_at: Revision,
    idle_timeout_ms: Millis,
    routes: Vec<Route>,
    removed_routes: Vec<SocketAddrV4>,
    endpoints: Vec<Endpoint>,
    removed_endpoints: Vec<EndpointKey>,
    /// All limits on cold endpoints, which are few.
    cold_starts: Vec<ColdStart>,
    /// All evacuated zones, which are few.
    evacuated_zones: Vec<ZoneKey>,
    /// Hash of the resulting catalog's content, by which the receiver detects that its catalog
    /// differed from the sender's.
    content_hash: u64,
}

impl CatalogDelta {
    /// Returns whether the delta may be applied to a catalog of `revision`.
    pub(crate) fn applies_to(&self, revision: Revision) -> bool {
        let is_same_era = revision.era() == self.revision.era();
        is_same_era && self.base <= revision && revision < self.revision
    }

    /// Returns the catalog that results from applying the delta to `catalog`.
    ///
    /// Returns `None` if the delta doesn't apply to the catalog's revision, or if the result
    /// differs from the sender's catalog.
    pub(crate) fn apply(self, catalog: &Catalog) -> Option<Catalog> {
        if !self.applies_to(catalog.revision) {
            return None;
        }
        let mut routes: Vec<Route> = catalog
            .routes
            .iter()
            .filter(|it| {
                self.removed_routes.binary_search(&it.address).is_err()
                    && self
                        .routes
                        .binary_search_by_key(&it.address, |new| new.address)
                        .is_err()
            })
            .cloned()
            .collect();
        routes.extend(self.routes);
        let mut endpoints: Vec<Endpoint> = catalog
            .endpoints
            .iter()
            .filter(|it| {
                self.removed_endpoints.binary_search(&it.key).is_err()
                    && self
                        .endpoints
                        .binary_search_by_key(&it.key, |new| new.key)
                        .is_err()
            })
            .copied()
            .collect();
        endpoints.extend(self.endpoints);
        let mut result = Catalog {
            revision: self.revision,
            settings_version: self.settings_version,
            settings_changed_at: self.settings_changed_at,
            idle_timeout_ms: self.idle_timeout_ms,
            routes,
            cold_starts: self.cold_starts,
            evacuated_zones: self.evacuated_zones,
            endpoints,
        };
        result.sort_entries();
        (content_hash(&result) == self.content_hash).then_some(result)
    }
}

/// The catalog revisions at which a balancer applied each recent change.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// Earliest revision from which a delta can be computed.
    ///
    /// Invariant: every item that changed after `floor` is in `routes` or `endpoints`.
    floor: Revision,
    /// Changed and removed routes with the revision of the change, sorted by address.
    routes: Vec<(SocketAddrV4, Revision)>,
    /// Changed and removed endpoints with the revision of the change, sorted by key.
    endpoints: Vec<(EndpointKey, Revision)>,
}

impl ChangeLog {
    /// Records the changes between two catalogs of which `new` replaces `old`.
    ///
    /// The log begins anew with each era of the store, and with settings that come without a new
    /// revision: no delta leads there.
    pub(crate) fn record_replacement(&mut self, old: &Catalog, new: &Catalog) {
        let is_new_era = old.revision.era() != new.revision.era();
        if old.revision == Revision::default() || is_new_era || old.revision == new.revision {
            return self.clear(new.revision);
        }
        let revision = new.revision;
        for route in &new.routes {
            if old.find_route(route.address) != Some(route) {
                set_revision(&mut self.routes, route.address, revision);
            }
        }
        for route in &old.routes {
            if new.find_route(route.address).is_none() {
                set_revision(&mut self.routes, route.address, revision);
            }
        }
        for endpoint in &new.endpoints {
            if old.find_endpoint(endpoint.key) != Some(endpoint) {
                set_revision(&mut self.endpoints, endpoint.key, revision);
            }
        }
        for endpoint in &old.endpoints {
            if new.find_endpoint(endpoint.key).is_none() {
                set_revision(&mut self.endpoints, endpoint.key, revision);
            }
        }
        if self.routes.len() + self.endpoints.len() > LOGGED_ITEMS_MAX {
            self.clear(revision);
        }
    }

    /// Returns the delta that leads from `base` to `catalog`, the latest recorded catalog, or
    /// `None` if the log doesn't reach back to `base`.
    pub(crate) fn delta_since(&self, base: Revision, catalog: &Catalog) -> Option<CatalogDelta> {
        if base < self.floor || base.era() != catalog.revision.era() {
            return None;
        }
        let mut delta = CatalogDelta {
            base,
            revision: catalog.revision,
            settings_version: catalog.settings_version,
            settings_changed_at: catalog.settings_changed_at,
            idle_timeout_ms: catalog.idle_timeout_ms,
            routes: Vec::new(),
            removed_routes: Vec::new(),
            endpoints: Vec::new(),
            removed_endpoints: Vec::new(),
            cold_starts: catalog.cold_starts.clone(),
            evacuated_zones: catalog.evacuated_zones.clone(),
            content_hash: content_hash(catalog),
        };
        for (address, _) in self.routes.iter().filter(|it| it.1 > base) {
            match catalog.find_route(*address) {
                Some(route) => delta.routes.push(route.clone()),
                None => delta.removed_routes.push(*address),
            }
        }
        for (key, _) in self.endpoints.iter().filter(|it| it.1 > base) {
            match catalog.find_endpoint(*key) {
                Some(endpoint) => delta.endpoints.push(*endpoint),
                None => delta.removed_endpoints.push(*key),
            }
        }
        Some(delta)
    }

    fn clear(&mut self, floor: Revision) {
        *self = Self {
            floor,
            ..Self::default()
        };
    }
}

fn set_revision<K: Ord>(list: &mut Vec<(K, Revision)>, key: K, revision: Revision) {
    match list.binary_search_by(|it| it.0.cmp(&key)) {
        Ok(idx) => list[idx].1 = revision,
        Err(idx) => list.insert(idx, (key, revision)),
    }
}

/// Returns a hash of a catalog's settings, routes and endpoints.
fn content_hash(catalog: &Catalog) -> u64 {
    let content = (
        catalog.settings_version,
        catalog.settings_changed_at,
        catalog.idle_timeout_ms,
        &catalog.routes,
        &catalog.cold_starts,
        &catalog.evacuated_zones,
        &catalog.endpoints,
    );
    let bytes = postcard::to_stdvec(&content);
    debug_assert!(bytes.is_ok(), "a catalog can always be serialized");
    xxh3_64(&bytes.unwrap_or_default())
}
