//! The catalog: routes and endpoints of one revision of the platform's store.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddrV4},
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use units::{Millis, PerSecond, Revision, SettingsVersion, Slots};
use xxhash_rust::xxh3::xxh3_64;

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
