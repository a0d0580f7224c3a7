//! Composition of a fleet and the bundles that describe it.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    ops::Range,
};

use bundle::{Bundle, Endpoint, Leaving, RequestClass, RetrySafety, RouteRule, Sharing};
use units::{BundleVersion, ByteSize, EndpointId, Millis, ServiceId, Slots, Weight, Zone};

use super::addresses::{AddressPlan, SERVICE_PORT};

/// Number of availability zones that endpoints and balancers are distributed over.
const ZONES: usize = 3;

/// Composition of a fleet.
#[derive(Debug, Clone)]
pub(crate) struct FleetPlan {
    /// Number of balancers in the fleet.
    pub(crate) balancers: usize,
    /// Network path between balancers and agents.
    pub(crate) tunnels: TunnelPath,
    /// Services of the fleet. Endpoints are numbered across all services in this order.
    pub(crate) services: Vec<ServicePlan>,
}

/// Network path between balancers and agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TunnelPath {
    /// Datagrams from the balancers reach the agents directly.
    Direct,
    /// Datagrams from the balancers pass a stateful middlebox in front of each agent.
    ThroughMiddlebox,
}

/// A service of a fleet: its endpoints and routes.
#[derive(Debug, Clone)]
pub(crate) struct ServicePlan {
    /// Name of the service in its bundle.
    pub(crate) name: &'static str,
    /// Prefix of the names of the service's availability zones.
    pub(crate) region: &'static str,
    /// Number of endpoints of the service.
    pub(crate) endpoints: usize,
    /// Number of concurrency slots of each endpoint.
    pub(crate) slots: Slots,
    /// Route rules of the service, in the order of its bundle.
    pub(crate) routes: Vec<RoutePlan>,
}

/// A route rule of a service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RoutePlan {
    pub(crate) method: Option<&'static str>,
    pub(crate) path_prefix: &'static str,
    pub(crate) class: RequestClass,
    pub(crate) retry: RetrySafety,
    pub(crate) timeout_ms: Millis,
}

impl FleetPlan {
    /// Creates a plan with the deployments of both users at their actual sizes.
    pub(crate) fn both_users(balancers: usize) -> Self {
        Self {
            balancers,
            tunnels: TunnelPath::Direct,
            services: vec![token_ledger(), tariffs(), fit(), photo_intake()],
        }
    }

    /// Creates a plan with only Hanmaeul's token ledger.
    pub(crate) fn ledger(balancers: usize) -> Self {
        Self {
            balancers,
            tunnels: TunnelPath::Direct,
            services: vec![token_ledger()],
        }
    }

    /// Creates a plan with only Diamant's fit service.
    pub(crate) fn fit(balancers: usize) -> Self {
        Self {
            balancers,
            tunnels: TunnelPath::Direct,
            services: vec![fit()],
        }
    }

    /// Sets the number of endpoints of every service.
    pub(crate) fn with_endpoints(mut self, endpoints: usize) -> Self {
        for service in &mut self.services {
            service.endpoints = endpoints;
        }
        self
    }

    /// Sets the network path between balancers and agents.
    pub(crate) fn with_tunnels(mut self, tunnels: TunnelPath) -> Self {
        self.tunnels = tunnels;
        self
    }

    /// Returns the indices of a service's endpoints among all endpoints.
    pub(crate) fn endpoints_of(&self, service_idx: usize) -> Range<usize> {
        let before = &self.services[..service_idx];
        let first: usize = before.iter().map(|it| it.endpoints).sum();
        first..first + self.services[service_idx].endpoints
    }

    /// Returns the index of the service that an endpoint belongs to.
    pub(crate) fn service_of(&self, endpoint_idx: usize) -> usize {
        let all = 0..self.services.len();
        all.into_iter()
            .find(|&it| self.endpoints_of(it).contains(&endpoint_idx))
            .unwrap_or_default()
    }

    /// Returns the first bundle of each service in the plan.
    pub(crate) fn bundles(&self, addresses: AddressPlan) -> Vec<Bundle> {
        (0..self.services.len())
            .map(|idx| self.bundle(addresses, idx))
            .collect()
    }

    /// Returns the availability zone of the process with this index.
    pub(crate) fn zone(region: &str, idx: usize) -> Zone {
        let letter = ["a", "b", "c"][idx % ZONES];
        format!("{region}-{letter}").parse().unwrap_or_default()
    }

    fn bundle(&self, addresses: AddressPlan, service_idx: usize) -> Bundle {
        let service = &self.services[service_idx];
        let endpoints = self.endpoints_of(service_idx);
        Bundle {
            service: service_id(service_idx),
            name: service.name.to_owned(),
            version: BundleVersion::new(1),
            previous: None,
            addresses: vec![service_address(service_idx)],
            endpoints: endpoints
                .map(|idx| bundle_endpoint(addresses, self.tunnels, service, idx))
                .collect(),
            routes: service.routes.iter().map(route_rule).collect(),
            sharing: Sharing {
                short_reserve_percent: 20,
                retry_budget_percent: 10,
                cold_start_ramp_ms: Millis::new(2_000),
                body_max_bytes: ByteSize::new(64 << 20),
            },
            leaving: Leaving {
                drain_timeout_ms: Millis::new(30_000),
            },
        }
    }
}

/// Returns the id of the service with this index.
pub(crate) fn service_id(service_idx: usize) -> ServiceId {
    ServiceId::new(u32::try_from(service_idx + 1).unwrap_or_default())
}

/// Returns the id of the endpoint with this index.
pub(crate) fn endpoint_id(idx: usize) -> EndpointId {
    EndpointId::new(u32::try_from(idx + 1).unwrap_or_default())
}

fn service_address(service_idx: usize) -> SocketAddr {
    let port = SERVICE_PORT + u16::try_from(service_idx).unwrap_or_default();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 66, 0, 1)), port)
}

fn bundle_endpoint(
    addresses: AddressPlan,
    tunnels: TunnelPath,
    service: &ServicePlan,
    idx: usize,
) -> Endpoint {
    let tunnel_address = match tunnels {
        TunnelPath::Direct => addresses.agent_tunnel(idx),
        TunnelPath::ThroughMiddlebox => addresses.middlebox(idx),
    };
    Endpoint {
        id: endpoint_id(idx),
        zone: FleetPlan::zone(service.region, idx),
        tunnel_address,
        control_address: addresses.agent_control(idx),
        upstream_address: addresses.upstream(idx),
        slots: service.slots,
        weight: Weight::new(100),
        is_leaving: false,
    }
}

fn route_rule(route: &RoutePlan) -> RouteRule {
    RouteRule {
        method: route.method.map(str::to_owned),
        path_prefix: route.path_prefix.to_owned(),
        class: route.class,
        retry: route.retry,
        timeout_ms: route.timeout_ms,
    }
}

fn token_ledger() -> ServicePlan {
    ServicePlan {
        name: "token-ledger",
        region: "gyeongnam",
        endpoints: 7,
        slots: Slots::new(2),
        routes: vec![
            RoutePlan {
                method: Some("POST"),
                path_prefix: "/purchases",
                class: RequestClass::Short,
                retry: RetrySafety::AtMostOnce,
                timeout_ms: Millis::new(5_000),
            },
            RoutePlan {
                method: Some("GET"),
                path_prefix: "/statements",
                class: RequestClass::Long,
                retry: RetrySafety::Idempotent,
                timeout_ms: Millis::new(30_000),
            },
            catch_all_route(RequestClass::Short, 2_000),
        ],
    }
}

fn tariffs() -> ServicePlan {
    ServicePlan {
        name: "tariffs",
        region: "gyeongnam",
        endpoints: 3,
        slots: Slots::new(2),
        routes: vec![catch_all_route(RequestClass::Long, 30_000)],
    }
}

fn fit() -> ServicePlan {
    ServicePlan {
        name: "fit",
        region: "tunis",
        endpoints: 7,
        slots: Slots::new(5),
        routes: vec![
            RoutePlan {
                method: Some("GET"),
                path_prefix: "/catalogue",
                class: RequestClass::Long,
                retry: RetrySafety::Idempotent,
                timeout_ms: Millis::new(30_000),
            },
            RoutePlan {
                method: Some("POST"),
                path_prefix: "/queries",
                class: RequestClass::Short,
                retry: RetrySafety::AtMostOnce,
                timeout_ms: Millis::new(2_000),
            },
            catch_all_route(RequestClass::Short, 2_000),
        ],
    }
}

fn photo_intake() -> ServicePlan {
    ServicePlan {
        name: "photo-intake",
        region: "tunis",
        endpoints: 3,
        slots: Slots::new(5),
        routes: vec![
            RoutePlan {
                method: Some("POST"),
                path_prefix: "/photos",
                class: RequestClass::Long,
                retry: RetrySafety::AtMostOnce,
                timeout_ms: Millis::new(30_000),
            },
            catch_all_route(RequestClass::Short, 2_000),
        ],
    }
}

fn catch_all_route(class: RequestClass, timeout_ms: u64) -> RoutePlan {
    RoutePlan {
        method: None,
        path_prefix: "/",
        class,
        retry: RetrySafety::Idempotent,
        timeout_ms: Millis::new(timeout_ms),
    }
}
