//! Routes and endpoints in force.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddrV4},
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use units::{Millis, Revision, SettingsVersion, Slots};
use xxhash_rust::xxh3::xxh3_64;

use crate::order;

/// Time for which an endpoint that left the list may still hold flows.
///
/// The longest life of a flow that the users protect.
const RETIRED_KEPT_MS: Millis = Millis::new(60_000);

/// Time after the store's return within which the entries of living endpoints are back, by the users.
const LAPSED_KEPT_MS: Millis = Millis::new(2_000);

/// Endpoints that left the list and are remembered at once; a minute of the 2,300 changes a day that
/// the system is sized for is 2, and a whole service may be replaced at once.
const RETIRED_MAX: usize = 1_024;

/// Endpoints at most among which a flow is placed and looked up.
///
/// Bounds the cost of both however large a service is; with fewer endpoints all of them count.
pub(crate) const WINDOW: usize = 128;

macro_rules! hashed_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Hashes a name.
            #[must_use]
            pub fn from_name(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }

            /// Wraps a hash made elsewhere.
            #[must_use]
            pub const fn new(hash: u64) -> Self {
                Self(hash)
            }

            /// Returns the hash.
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
    /// A service, by the hash of its name.
    ServiceKey
}
hashed_name! {
    /// An upstream endpoint, by the hash of its id.
    EndpointKey
}
hashed_name! {
    /// An availability zone, by the hash of its name.
    ZoneKey
}
/// Whether an endpoint takes openings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes openings.
    Ready,
    /// Leaving: keeps its flows and takes no openings.
    Draining,
    /// No longer listed: takes no openings, may still hold flows.
    Retired,
}

/// One upstream endpoint and the agent beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Which endpoint.
    pub key: EndpointKey,
    /// The service it belongs to.
    pub service: ServiceKey,
    /// Where the endpoint listens; the agent beside it has the same IP address.
    pub address: SocketAddrV4,
    /// The availability zone it runs in.
    pub zone: ZoneKey,
    /// Requests it runs at once.
    pub slots: Slots,
    /// Whether it takes openings.
    pub state: EndpointState,
    /// When its process started, as it says itself; another value is another run.
    pub born_ms: u64,
    /// When it left the list, on the clock of the process that holds this catalog.
    ///
    /// Invariant: set if `state` is `Retired`; with another state, the entry may have lapsed while the
    /// store was away, and this is when the store returned.
    #[serde(skip)]
    pub retired_at: Option<Millis>,
}

impl Endpoint {
    /// Returns the address of the agent beside the endpoint.
    #[must_use]
    pub const fn agent(&self) -> Ipv4Addr {
        *self.address.ip()
    }
}

/// A service that a route leads to, with its share of new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceKey,
    /// Share of new flows relative to the route's other targets.
    pub weight: u32,
}

/// An address that callers reach and the service behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The address and port that callers reach.
    pub address: SocketAddrV4,
    /// Where new flows go.
    ///
    /// Invariant: not empty, and no weight is zero.
    pub targets: Vec<RouteTarget>,
}

impl Route {
    /// Returns the service that opens a flow, the same one for every packet of the flow.
    #[must_use]
    pub fn target(&self, flow_hash: u64) -> Option<ServiceKey> {
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
}

/// Routes and endpoints as of one revision of the platform's store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// The store's revision that this state was read at.
    pub revision: Revision,
    /// Version of the operator's settings, zero before the first.
    pub settings_version: SettingsVersion,
    /// Time without packets after which a flow may be forgotten.
    pub idle_timeout_ms: Millis,
    /// Sorted by address.
    pub routes: Vec<Route>,
    /// Listed endpoints, sorted by key.
    pub endpoints: Vec<Endpoint>,
}

impl Catalog {
    /// Sorts what lookups expect to be sorted.
    pub fn sort(&mut self) {
        self.routes.sort_unstable_by_key(|it| it.address);
        self.endpoints.sort_unstable_by_key(|it| it.key);
    }

    /// Finds the route of an address and port.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        let idx = self
            .routes
            .binary_search_by_key(&address, |it| it.address)
            .ok()?;
        Some(&self.routes[idx])
    }

    /// Finds a listed endpoint.
    #[must_use]
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        let idx = self
            .endpoints
            .binary_search_by_key(&key, |it| it.key)
            .ok()?;
        Some(&self.endpoints[idx])
    }
}

/// Whether the store's list can be taken at its word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreState {
    /// Entries that are missing belong to endpoints that left.
    Available,
    /// The store was away; entries of living endpoints may have lapsed meanwhile and come back.
    RecoveredAt(Millis),
}

/// A catalog prepared for decisions, with the endpoints that left it lately.
#[derive(Debug, Default)]
pub struct CatalogView {
    catalog: Catalog,
    /// Endpoints no longer listed that may still hold flows.
    retired: Vec<Endpoint>,
    /// Changes whenever endpoints come in that may hold flows.
    generation: u64,
    /// Listed and retired endpoints, sorted by service and position on the service's ring.
    ring: Vec<RingEntry>,
}

#[derive(Debug, Clone, Copy)]
struct RingEntry {
    service: ServiceKey,
    position: u64,
    endpoint: Endpoint,
}

impl CatalogView {
    /// Puts a catalog in force if it is newer than the one in force; returns whether it was.
    ///
    /// Endpoints that it no longer lists are kept as retired. If the store was away until a moment ago,
    /// they keep their state for some time, since entries of living endpoints may have lapsed.
    pub fn replace(&mut self, now: Millis, catalog: Catalog, store: StoreState) -> bool {
        if catalog.revision <= self.catalog.revision
            || catalog.settings_version < self.catalog.settings_version
        {
            return false;
        }
        let is_known = |it: &Endpoint| {
            self.catalog.endpoint(it.key).is_some()
                || self.retired.iter().any(|old| old.key == it.key)
        };
        if !catalog.endpoints.iter().all(is_known) {
            self.generation += 1;
        }
        for old in &self.catalog.endpoints {
            let successor = catalog.endpoint(old.key);
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
        self.retired.retain(|it| catalog.endpoint(it.key).is_none());
        self.catalog = catalog;
        self.rebuild(now);
        true
    }

    /// Adds endpoints that another balancer knows to have left the list some time ago; returns
    /// whether any was new.
    pub(crate) fn add_retired(&mut self, now: Millis, list: &[(Endpoint, Millis)]) -> bool {
        let before = self.retired.len();
        for (endpoint, age) in list {
            let is_known = self.catalog.endpoint(endpoint.key).is_some()
                || self.retired.iter().any(|it| it.key == endpoint.key);
            if is_known || self.retired.len() >= RETIRED_MAX {
                continue;
            }
            self.retired.push(Endpoint {
                state: EndpointState::Retired,
                retired_at: Some(Millis::new(now.get().saturating_sub(age.get()))),
                ..*endpoint
            });
        }
        let is_new = self.retired.len() != before;
        if is_new {
            self.generation += 1;
            self.rebuild(now);
        }
        is_new
    }

    /// Forgets endpoints that left the list long ago, and takes as gone those whose entries did not come
    /// back in time; returns whether any changed.
    pub fn prune(&mut self, now: Millis) -> bool {
        let before = self.retired.len();
        self.retired.retain(|it| !is_forgotten(it, now));
        let mut is_changed = self.retired.len() != before;
        for endpoint in &mut self.retired {
            let is_gone = endpoint
                .retired_at
                .is_some_and(|at| now.since(at) > LAPSED_KEPT_MS);
            if endpoint.state != EndpointState::Retired && is_gone {
                endpoint.state = EndpointState::Retired;
                is_changed = true;
            }
        }
        if is_changed {
            self.rebuild(now);
        }
        is_changed
    }

    /// Returns the catalog in force.
    #[must_use]
    pub const fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns a number that changes whenever endpoints come in: what the endpoints of another generation
    /// said proves nothing about those of this one.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the endpoints that may hold flows although they are no longer listed.
    #[must_use]
    pub fn retired(&self) -> &[Endpoint] {
        &self.retired
    }

    /// Collects the endpoints that may hold a flow, in the order that the flow prefers them.
    ///
    /// `window` is cleared first. At most [`WINDOW`] endpoints are collected; which ones changes
    /// little when endpoints come and go.
    pub(crate) fn window(&self, service: ServiceKey, flow_hash: u64, window: &mut Vec<Endpoint>) {
        window.clear();
        let begin = self.ring.partition_point(|it| it.service < service);
        let end = self.ring.partition_point(|it| it.service <= service);
        let ring = &self.ring[begin..end];
        let split = ring.partition_point(|it| it.position < flow_hash);
        let (before, after) = ring.split_at(split);
        window.extend(
            after
                .iter()
                .chain(before)
                .take(WINDOW)
                .map(|it| it.endpoint),
        );
        order::by_preference(flow_hash, window);
    }

    fn rebuild(&mut self, now: Millis) {
        self.retired.retain(|it| !is_forgotten(it, now));
        self.ring.clear();
        let all = self.catalog.endpoints.iter().chain(&self.retired);
        self.ring.extend(all.map(|it| RingEntry {
            service: it.service,
            position: order::ring_position(it.key),
            endpoint: *it,
        }));
        self.ring
            .sort_unstable_by_key(|it| (it.service, it.position));
    }
}

fn is_forgotten(endpoint: &Endpoint, now: Millis) -> bool {
    endpoint
        .retired_at
        .is_some_and(|at| now.since(at) > RETIRED_KEPT_MS)
}
