//! The catalog in force with the recently retired endpoints, indexed for routing.

use units::{Millis, Revision};

use crate::{
    Catalog, Endpoint, EndpointState, Flow, Route, ServiceKey, ZoneKey,
    catalog_delta::{CatalogDelta, ChangeLog},
    catalog_transfer::RetiredList,
    former_targets::{FormerTarget, FormerTargets},
    rendezvous,
    settings_history::SettingsHistory,
    store_era::{self, HeldEntries},
};

/// Time for which an endpoint may hold flows after it was removed from the catalog.
///
/// The retention equals the longest lifetime of a flow that must survive the removal.
const RETIRED_RETENTION_MS: Millis = Millis::new(60_000);

/// Time after the store's recovery within which running endpoints must have renewed their store
/// entries.
const LAPSED_RETENTION_MS: Millis = Millis::new(2_000);

/// Maximum number of retired endpoints up to which a balancer adds those that others tell it.
///
/// The system is sized for 2,300 changes a day, or 2 in a minute, but all endpoints of a service
/// may be replaced at once.
pub(crate) const RETIRED_MAX: usize = 1_024;

/// Maximum number of endpoints among which a flow is placed.
///
/// The limit bounds the cost of placement for large services; a smaller service uses all its
/// endpoints.
pub(crate) const PLACEMENT_SUBSET_MAX: usize = 128;

/// Maximum number of endpoints among which a flow is looked up.
///
/// Endpoints that were added since a flow was placed move its holder away from the flow's place on
/// the ring. The limit leaves room for half as many new endpoints as a flow is placed among.
pub(crate) const LOOKUP_SUBSET_MAX: usize = PLACEMENT_SUBSET_MAX + PLACEMENT_SUBSET_MAX / 2;

/// Availability of the store, which tells whether an endpoint without an entry is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreState {
    /// The store has been available: a missing entry belongs to an endpoint that is gone.
    Available,
    /// The store recovered from an outage at this time. Entries of running endpoints may have
    /// lapsed during the outage and may be renewed later.
    RecoveredAt(Millis),
}

/// The current catalog with the recently retired endpoints, indexed for routing.
#[derive(Debug, Default)]
pub struct CatalogView {
    catalog: Catalog,
    /// Endpoints that the catalog no longer lists but that may still hold flows.
    retired: Vec<Endpoint>,
    /// Latest removal of an endpoint that was ignored because too many were retired.
    retired_overflow_at: Option<Millis>,
    /// Number of retired endpoints that were ignored.
    ignored_retired: u64,
    /// Services that routes led to before and whose endpoints may still hold flows.
    former_targets: FormerTargets,
    settings_history: SettingsHistory,
    /// Number that increases whenever endpoints or targets of routes are added that may hold flows.
    generation: u64,
    /// Listed and retired endpoints, sorted by service and position on the service's hash ring.
    ring: Vec<RingEntry>,
    changes: ChangeLog,
    /// Entries that are held back after the store came back from an older copy, with the list as the
    /// store has it. Without them, `catalog` is that list.
    held: Option<HeldEntries>,
}

#[derive(Debug, Clone, Copy)]
struct RingEntry {
    service: ServiceKey,
    position: u64,
    endpoint: Endpoint,
}

impl CatalogView {
    /// Applies a catalog if its list or its settings are newer than the current ones, and returns
    /// whether they were.
    ///
    /// The list is ordered by its revision and the settings by their version, so that older settings
    /// of a store that came back from a copy are not taken. Entries of such a store that are known
    /// to be outdated are held back.
    ///
    /// Endpoints that the new catalog no longer lists are kept as retired. If the store has just
    /// recovered from an outage, these endpoints keep their state for some time, since entries of
    /// running endpoints may have lapsed.
    pub fn replace_catalog(&mut self, now: Millis, catalog: Catalog, store: StoreState) -> bool {
        let in_force = self.catalog.revision;
        let Some(listed) = store_era::merge_lists(self.listed(), catalog) else {
            return false;
        };
        self.changes.record_replacement(
            self.held
                .as_ref()
                .map_or(&self.catalog, HeldEntries::listed),
            &listed,
        );
        if in_force != Revision::default() && listed.revision.era() > in_force.era() {
            let held = HeldEntries::new(now, listed);
            self.held = Some(held.with_former(&self.catalog, &self.retired));
        } else if let Some(held) = &mut self.held {
            held.replace_list(listed);
        } else {
            self.put_in_force(now, listed, store);
            return true;
        }
        self.apply_held_entries(now, store);
        true
    }

    /// Puts the list with its held entries into force; without any, the list itself.
    fn apply_held_entries(&mut self, now: Millis, store: StoreState) {
        let Some(held) = self.held.take() else {
            return;
        };
        if held.is_empty() {
            return self.put_in_force(now, held.into_listed(), store);
        }
        let catalog = held.list_in_force();
        self.held = Some(held);
        self.put_in_force(now, catalog, store);
    }

    fn put_in_force(&mut self, now: Millis, catalog: Catalog, store: StoreState) {
        let is_known = |it: &Endpoint| {
            self.catalog.find_endpoint(it.key).is_some()
                || self.retired.iter().any(|old| old.key == it.key)
        };
        let gains_target = |route: &Route| {
            let old = self.catalog.find_route(route.address);
            old.is_some_and(|old| !route.targets.iter().all(|it| old.leads_to(it.service)))
        };
        if !catalog.endpoints.iter().all(is_known) || catalog.routes.iter().any(gains_target) {
            self.generation += 1;
        }
        self.former_targets
            .record_replacement(now, &self.catalog, &catalog);
        self.settings_history
            .record_replacement(&self.catalog, &catalog);
        for old in &self.catalog.endpoints {
            let successor = catalog.find_endpoint(old.key);
            if successor.is_some() {
                continue;
            }
            let (state, at) = match store {
                StoreState::Available => (EndpointState::Retired, now),
                StoreState::RecoveredAt(at) => (old.state, at),
            };
            self.retired.push(Endpoint {
                state,
                retired_at: Some(at),
                ..*old
            });
        }
        self.retired
            .retain(|it| catalog.find_endpoint(it.key).is_none());
        self.catalog = catalog;
        self.rebuild_ring(now);
    }

    /// Returns the list as the store has it, without entries that are held back.
    pub(crate) fn listed(&self) -> &Catalog {
        self.held
            .as_ref()
            .map_or(&self.catalog, HeldEntries::listed)
    }

    /// Returns the number of endpoints and zones whose entries are held back after the store came
    /// back from an older copy.
    #[must_use]
    pub fn held_back_count(&self) -> usize {
        self.held.as_ref().map_or(0, HeldEntries::len)
    }

    /// Returns the endpoints that other balancers should not use although they are listed.
    pub(crate) fn held_back_endpoints(&self) -> Vec<Endpoint> {
        let held = self.held.iter().flat_map(HeldEntries::endpoints);
        held.collect()
    }

    /// Returns the zones that stay evacuated although they aren't listed.
    pub(crate) fn held_back_zones(&self) -> &[ZoneKey] {
        self.held.as_ref().map_or(&[], HeldEntries::zones)
    }

    /// Keeps entries held back for longer, since the store was away again.
    pub(crate) fn extend_held_entries(&mut self, recovered_at: Millis) {
        if let Some(held) = &mut self.held {
            held.restart(recovered_at);
        }
    }

    /// Believes the store's list if it was confirmed after all writes of before were due again, and
    /// returns whether entries had been held back.
    pub(crate) fn release_held_entries(&mut self, now: Millis, confirmed_at: Millis) -> bool {
        let Some(held) = self.held.take_if(|it| it.is_over(confirmed_at)) else {
            return false;
        };
        self.put_in_force(now, held.into_listed(), StoreState::Available);
        true
    }

    /// Returns the changes since a revision, or `None` if they are no longer known.
    pub(crate) fn delta_since(&self, base: Revision) -> Option<CatalogDelta> {
        self.changes.delta_since(base, self.listed())
    }

    /// Adds retired endpoints that another balancer reported, with the time since their removal.
    ///
    /// Returns whether any of the reported endpoints was unknown.
    pub(crate) fn add_retired_endpoints(
        &mut self,
        now: Millis,
        list: &[(Endpoint, Millis)],
    ) -> bool {
        let before = self.retired.len();
        for (endpoint, age) in list {
            let is_known = self.catalog.find_endpoint(endpoint.key).is_some()
                || self.retired.iter().any(|it| it.key == endpoint.key);
            let retired_at = Some(Millis::new(now.get().saturating_sub(age.get())));
            if is_known || *age > RETIRED_RETENTION_MS {
                continue;
            }
            if self.retired.len() >= RETIRED_MAX {
                self.ignored_retired += 1;
                self.retired_overflow_at = self.retired_overflow_at.max(retired_at);
                continue;
            }
            self.retired.push(Endpoint {
                state: EndpointState::Retired,
                retired_at,
                ..*endpoint
            });
        }
        let is_new = self.retired.len() != before;
        if is_new {
            self.generation += 1;
            self.rebuild_ring(now);
        }
        is_new
    }

    /// Holds back entries that another balancer, which had a list before the store came back from a
    /// copy, tells to be outdated, and returns whether any is new.
    pub(crate) fn hold_told_entries(&mut self, now: Millis, told: &RetiredList) -> bool {
        let is_ready = |it: &&Endpoint| {
            let listed = self.catalog.find_endpoint(it.key);
            listed.is_some_and(|it| it.state == EndpointState::Ready)
        };
        let endpoints = told.endpoints.iter().map(|it| &it.0).filter(is_ready);
        let draining = endpoints.filter(|it| it.state == EndpointState::Draining);
        let draining: Vec<Endpoint> = draining.copied().collect();
        if draining.is_empty() && told.held_zones.is_empty() {
            return false;
        }
        let held = self
            .held
            .get_or_insert_with(|| HeldEntries::new(now, self.catalog.clone()));
        let before = held.len();
        for endpoint in &draining {
            held.hold_endpoint(endpoint, false);
        }
        held.hold_zones(&told.held_zones);
        let is_new = held.len() != before;
        self.apply_held_entries(now, StoreState::Available);
        is_new
    }

    /// Adds services that routes led to before, as other processes reported them, and returns whether
    /// any of them was unknown.
    pub(crate) fn add_former_targets(
        &mut self,
        former: impl IntoIterator<Item = FormerTarget>,
    ) -> bool {
        let mut is_news = false;
        for it in former {
            let is_target = self
                .catalog
                .find_route(it.address)
                .is_some_and(|route| route.leads_to(it.service));
            is_news |= !is_target && self.former_targets.insert(it);
        }
        if is_news {
            self.generation += 1;
        }
        is_news
    }

    /// Returns the services that routes led to before.
    pub(crate) const fn former_targets(&self) -> &FormerTargets {
        &self.former_targets
    }

    /// Returns the store revision since which this view knows what each route led to: its targets in
    /// force and its former targets.
    pub(crate) const fn routes_known_since(&self) -> Revision {
        self.settings_history.known_since()
    }

    /// Returns the services whose endpoints may hold a flow: the one at which the flow would be
    /// placed now, then the other targets of its route, then the route's former targets.
    ///
    /// The list is empty if the flow has no route.
    pub(crate) fn services_of_flow(&self, flow: Flow) -> Vec<ServiceKey> {
        let Some(route) = self.catalog.find_route(flow.service_address) else {
            return Vec::new();
        };
        let placed = route.service_for_new_flow(flow.hash());
        let targets = route.targets.iter().map(|it| it.service);
        let former = self.former_targets.of_route(route.address);
        let mut services: Vec<ServiceKey> = Vec::new();
        for service in placed
            .into_iter()
            .chain(targets)
            .chain(former.iter().map(|it| it.service))
        {
            if !services.contains(&service) {
                services.push(service);
            }
        }
        services
    }

    /// Removes the former targets of routes that can't hold flows any more.
    pub(crate) fn remove_expired_former_targets(&mut self, now: Millis) {
        self.former_targets.remove_expired(now);
    }

    /// Removes endpoints that were retired long ago, and retires endpoints whose lapsed store
    /// entries were not renewed in time.
    ///
    /// Returns whether any endpoint was removed or retired.
    pub fn prune_retired_endpoints(&mut self, now: Millis) -> bool {
        let before = self.retired.len();
        self.retired.retain(|it| !is_expired(it, now));
        self.retired_overflow_at = self
            .retired_overflow_at
            .filter(|at| now.since(*at) <= RETIRED_RETENTION_MS);
        let mut is_changed = self.retired.len() != before;
        for endpoint in &mut self.retired {
            let is_gone = endpoint
                .retired_at
                .is_some_and(|at| now.since(at) > LAPSED_RETENTION_MS);
            if endpoint.state != EndpointState::Retired && is_gone {
                endpoint.state = EndpointState::Retired;
                is_changed = true;
            }
        }
        if is_changed {
            self.rebuild_ring(now);
        }
        is_changed
    }

    /// Returns the current catalog, without the retired endpoints.
    #[must_use]
    pub const fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns a number that increases whenever endpoints are added, or services whose endpoints may
    /// hold flows of a route.
    ///
    /// If all endpoints of one generation deny that they hold a flow, an endpoint that was added
    /// later may still hold it.
    #[must_use]
    pub const fn endpoint_generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether no retired endpoint that may still hold flows had to be ignored.
    pub(crate) const fn knows_all_retired(&self) -> bool {
        self.retired_overflow_at.is_none()
    }

    /// Returns how many retired endpoints were ignored because too many were known.
    pub(crate) const fn ignored_retired_count(&self) -> u64 {
        self.ignored_retired
    }

    /// Returns the endpoints that the catalog no longer lists but that may still hold flows.
    #[must_use]
    pub fn retired_endpoints(&self) -> &[Endpoint] {
        &self.retired
    }

    /// Collects the endpoints that may hold a flow, in the flow's order of preference.
    ///
    /// `subset` is cleared first and receives at most `count_max` endpoints. The set of collected
    /// endpoints changes little when endpoints are added or removed.
    ///
    /// Returns whether `subset` contains all endpoints of the service.
    pub(crate) fn collect_endpoint_subset(
        &self,
        service: ServiceKey,
        flow_hash: u64,
        count_max: usize,
        subset: &mut Vec<Endpoint>,
    ) -> bool {
        subset.clear();
        let begin = self.ring.partition_point(|it| it.service < service);
        let end = self.ring.partition_point(|it| it.service <= service);
        let ring = &self.ring[begin..end];
        let split = ring.partition_point(|it| it.position < flow_hash);
        let (before, after) = ring.split_at(split);
        subset.extend(
            after
                .iter()
                .chain(before)
                .take(count_max)
                .map(|it| it.endpoint),
        );
        rendezvous::sort_by_preference(flow_hash, subset);
        ring.len() <= count_max
    }

    fn rebuild_ring(&mut self, now: Millis) {
        self.retired.retain(|it| !is_expired(it, now));
        self.ring.clear();
        let all = self.catalog.endpoints.iter().chain(&self.retired);
        self.ring.extend(all.map(|it| RingEntry {
            service: it.service,
            position: rendezvous::ring_position(it.key),
            endpoint: *it,
        }));
        self.ring
            .sort_unstable_by_key(|it| (it.service, it.position));
    }
}

fn is_expired(endpoint: &Endpoint, now: Millis) -> bool {
    endpoint
        .retired_at
        .is_some_and(|at| now.since(at) > RETIRED_RETENTION_MS)
}
