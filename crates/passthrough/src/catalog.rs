//! The catalog: routes and endpoints of one revision of the platform's store.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddrV4},
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use units::{Millis, PerSecond, Revision, SettingsVersion, Slots};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Flow,
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

macro_rules! hashed_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates a key from the hash of a name.
            #[must_use]
            pub fn from_name(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }

            /// Creates a key from the existing hash of a name.
            #[must_use]
            pub const fn new(hash: u64) -> Self {
                Self(hash)
            }

            /// Returns the hash of the name.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u64::from_str_radix(text, 16).map(Self)
            }
        }
    };
}

hashed_name! {
    /// Identifies a service by the hash of its name.
    ServiceKey
}
hashed_name! {
    /// Identifies an upstream endpoint by the hash of its id.
    EndpointKey
}
hashed_name! {
    /// Identifies an availability zone by the hash of its name.
    ZoneKey
}
/// Whether an endpoint accepts new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The endpoint accepts new flows.
    Ready,
    /// The endpoint is shutting down: it keeps its flows and accepts no new ones.
    Draining,
    /// The endpoint was removed from the catalog: it accepts no new flows, but may still hold old
    /// ones.
    Retired,
}

/// An upstream endpoint with the agent beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Key of the endpoint, the hash of its id.
    pub key: EndpointKey,
    /// The service that the endpoint belongs to.
    pub service: ServiceKey,
    /// The address at which the endpoint listens; its agent has the same IP address.
    pub address: SocketAddrV4,
    /// The availability zone that the endpoint runs in.
    pub zone: ZoneKey,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: Slots,
    /// Whether the endpoint accepts new flows.
    pub state: EndpointState,
    /// Time for which the endpoint stayed cold when it last wrote its entry; zero if it was warm.
    pub cold_left_ms: Millis,
    /// Start time of the endpoint's process, as reported by the endpoint; a different value means a
    /// restart.
    pub born_ms: u64,
    /// Store revision at which the endpoint's entry was created, zero if the store didn't tell.
    ///
    /// The entry of a running endpoint is created anew if it lapsed during an outage of the store.
    pub registered_at: Revision,
    /// Time of the endpoint's removal from the catalog, on the clock of the process that holds the
    /// catalog.
    ///
    /// Invariant: `retired_at` is set if `state` is `Retired`. With another state, the endpoint's
    /// entry may have lapsed during an outage of the store, and `retired_at` is the time of the
    /// store's recovery.
    #[serde(skip)]
    pub retired_at: Option<Millis>,
}

impl Endpoint {
    /// Returns the address of the agent beside the endpoint.
    #[must_use]
    pub const fn agent_address(&self) -> Ipv4Addr {
        *self.address.ip()
    }
}

/// A service that a route leads to, with its weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Key of the service, the hash of its name.
    pub service: ServiceKey,
    /// Weight of the service among the route's targets when new flows are divided.
    pub weight: u32,
}

/// How the requests of a route may be executed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A request may be executed more than once.
    Idempotent,
    /// A request must be executed at most once.
    #[default]
    NonIdempotent,
    /// A request carries a large body, and must be executed at most once.
    Upload,
    /// A request leads to a large answer, and may be executed more than once.
    Download,
}

impl RequestKind {
    /// Returns whether a request may be executed more than once.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

/// What the operator states about the requests of a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestProfile {
    /// Whether a request may be executed more than once.
    pub kind: RequestKind,
    /// Time within which a request should be answered, counted from the caller's first attempt;
    /// zero if none is stated.
    pub goal_ms: Millis,
    /// Time after which an answer is of no use to the caller; zero if none is stated.
    pub timeout_ms: Millis,
    /// Rank among the routes of a service; zero is the highest.
    pub priority: u8,
}

/// A route from an address that callers use to the services behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The address and port that callers send to.
    pub address: SocketAddrV4,
    /// The services among which new flows are divided.
    ///
    /// Invariant: a route has at least one target, and no target's weight is zero.
    pub targets: Vec<RouteTarget>,
    /// What the operator states about the route's requests.
    pub requests: RequestProfile,
}

impl Route {
    /// Returns the service at which a new flow with this hash is placed.
    ///
    /// The service of an open flow may be another one, since the targets and their weights may have
    /// changed after the flow was placed.
    #[must_use]
    pub fn service_for_new_flow(&self, flow_hash: u64) -> Option<ServiceKey> {
        if let [only] = self.targets.as_slice() {
            return Some(only.service);
        }
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut drawn = flow_hash.rotate_left(32).checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if drawn < weight {
                return Some(target.service);
            }
            drawn -= weight;
        }
        None
    }

    /// Returns whether new flows may be placed at the service.
    #[must_use]
    pub fn leads_to(&self, service: ServiceKey) -> bool {
        self.targets.iter().any(|it| it.service == service)
    }
}

/// How an endpoint of a service is loaded after it has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// The service that the limit applies to.
    pub service: ServiceKey,
    /// Time for which an endpoint is cold after its start.
    pub duration_ms: Millis,
    /// Requests that a cold endpoint bears; zero if the operator states no rate.
    pub rate: PerSecond,
}

/// Routes and endpoints of one revision of the platform's store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// The store revision at which the catalog was read.
    pub revision: Revision,
    /// Version of the operator's settings in the catalog, zero if no settings were read.
    pub settings_version: SettingsVersion,
    /// Store revision at which the operator's settings were last changed.
    pub settings_changed_at: Revision,
    /// Idle time after which a flow may be removed.
    pub idle_timeout_ms: Millis,
    /// Routes, sorted by the address that callers send to, which no two of them share.
    pub routes: Vec<Route>,
    /// Limits on cold endpoints of services, sorted by the service's key.
    pub cold_starts: Vec<ColdStart>,
    /// Availability zones whose endpoints get no new flows until the operator takes the request
    /// back, sorted.
    pub evacuated_zones: Vec<ZoneKey>,
    /// Endpoints that the store lists, sorted by key.
    pub endpoints: Vec<Endpoint>,
}

impl Catalog {
    /// Sorts routes and endpoints, as `find_route` and `find_endpoint` require.
    ///
    /// Of several routes with the same address, the first one holds, so that all balancers use the
    /// same one and a delta can name it by its address.
    ///
    /// Several entries of one service may name the same host: an endpoint that started again under
    /// another id, or an entry that another writer left. If one of them is draining, all are, so that
    /// an endpoint that drains is never hidden by another entry.
    pub fn sort_entries(&mut self) {
        self.routes.sort_by_key(|it| it.address);
        self.routes.dedup_by_key(|it| it.address);
        self.cold_starts.sort_by_key(|it| it.service);
        self.cold_starts.dedup_by_key(|it| it.service);
        self.evacuated_zones.sort_unstable();
        self.evacuated_zones.dedup();
        self.endpoints.sort_by_key(|it| it.key);
        self.endpoints.dedup_by_key(|it| it.key);
        let mut draining: Vec<(ServiceKey, Ipv4Addr)> = self
            .endpoints
            .iter()
            .filter(|it| it.state == EndpointState::Draining)
            .map(|it| (it.service, it.agent_address()))
            .collect();
        draining.sort_unstable();
        for endpoint in &mut self.endpoints {
            let place = (endpoint.service, endpoint.agent_address());
            if draining.binary_search(&place).is_ok() {
                endpoint.state = EndpointState::Draining;
            }
        }
    }

    /// Finds the route of an address and port that callers send to.
    #[must_use]
    pub fn find_route(&self, address: SocketAddrV4) -> Option<&Route> {
        let idx = self
            .routes
            .binary_search_by_key(&address, |it| it.address)
            .ok()?;
        Some(&self.routes[idx])
    }

    /// Returns whether the operator has taken the zone's endpoints out of use.
    #[must_use]
    pub fn is_evacuated(&self, zone: ZoneKey) -> bool {
        self.evacuated_zones.binary_search(&zone).is_ok()
    }

    /// Finds the limit on cold endpoints of a service.
    #[must_use]
    pub fn find_cold_start(&self, service: ServiceKey) -> Option<&ColdStart> {
        let idx = self
            .cold_starts
            .binary_search_by_key(&service, |it| it.service)
            .ok()?;
        Some(&self.cold_starts[idx])
    }

    /// Finds an endpoint of the catalog by its key.
    #[must_use]
    pub fn find_endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        let idx = self
            .endpoints
            .binary_search_by_key(&key, |it| it.key)
            .ok()?;
        Some(&self.endpoints[idx])
    }
}

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
