//! The routing table, which maps a caller's datagram to the agent that receives it.
//!
//! A routing table is immutable and is rebuilt when a bundle or a key changes. Endpoint liveness
//! and load change more often, so tables read them from `EndpointStatus` values that they share.
//! Routing doesn't allocate and keeps no state about flows.

mod openers;
mod registry;
mod routes;

use std::{net::SocketAddr, sync::Arc};

use bundle::{Endpoint, InForce};
use units::{EndpointId, Incarnation, Millis, ServiceId};

pub use self::{
    registry::{EndpointRegistry, EndpointStatus, Liveness, Traffic},
    routes::ServiceRoutes,
};
use crate::{
    key::{FLEET_SCOPE, ServiceKeys},
    tunnel::{KeyRing, Opening},
};

/// Input from which the routes of one service are built.
#[derive(Debug, Clone)]
pub struct ServiceInput<'a> {
    /// The service's bundle in force and its previous bundle.
    pub in_force: &'a InForce,
    /// The service's tunnel and connection id keys.
    pub keys: Arc<ServiceKeys>,
    /// Progress of the change from the previous bundle to the bundle in force.
    pub rollout: BundleRollout,
    /// Endpoints that neither bundle lists any more but whose agents may still own flows.
    pub retired: &'a [Endpoint],
}

/// Progress of a bundle change, which determines which bundle's endpoints open flows.
///
/// Balancers infer the progress from the elapsed time and don't communicate about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BundleRollout {
    /// Some processes may not have the new bundle yet. Endpoints that only the new bundle lists
    /// open no flows, because other balancers could not route to them. The previous bundle's
    /// deciders decide first.
    Propagating,
    /// Every process has the new bundle. Flows may still be opening under the previous bundle, so
    /// the previous bundle's deciders still decide first.
    Overlapping,
    /// The previous bundle no longer affects which agent opens a flow.
    Complete,
}

/// Time after a bundle change by which every process has the new bundle.
pub const BUNDLE_PROPAGATION_MS: Millis = Millis::new(15_000);

/// Time after a bundle change during which the previous bundle affects which agent opens a flow:
/// the propagation time plus the lifetime of the openings that began under the previous bundle.
pub const BUNDLE_OVERLAP_MS: Millis = Millis::new(60_000);

impl BundleRollout {
    /// Returns the progress of a bundle change that took effect at this process `since_ms` ago.
    #[must_use]
    pub fn from_elapsed(since_ms: Millis) -> Self {
        if since_ms < BUNDLE_PROPAGATION_MS {
            Self::Propagating
        } else if since_ms < BUNDLE_OVERLAP_MS {
            Self::Overlapping
        } else {
            Self::Complete
        }
    }
}

/// Routing decision for a caller's datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the datagram to the endpoint whose agent owns the flow.
    ///
    /// A later incarnation of the agent may receive the datagram and reset the flow.
    Established {
        /// The endpoint that the connection id names.
        endpoint: EndpointId,
        /// The agent incarnation that the connection id names.
        incarnation: Incarnation,
        /// The address where the endpoint's agent receives tunnel datagrams.
        address: SocketAddr,
    },
    /// Send the datagram, which opens a flow, to the first decider of the opening.
    Opening(Opening),
    /// Drop the caller's datagram.
    Drop(DropReason),
}

/// The reason why a caller's datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// The QUIC header is malformed or truncated.
    Malformed,
    /// The datagram opens a flow but is smaller than the 1,200 bytes that QUIC requires.
    OpeningTooSmall,
    /// The connection id of an established flow was not issued by any agent of the service.
    UnknownCid,
    /// The connection id names an endpoint that is in none of this process's bundles.
    UnknownEndpoint,
    /// The QUIC packet type is one that only servers send.
    ServerKind,
    /// No bundle in force lists the datagram's destination address.
    NoService,
    /// The datagram opens a flow, but no endpoint of the service may open flows.
    NoEndpoint,
    /// The datagram and its tunnel header exceed the largest tunnel datagram.
    TooLarge,
}

impl DropReason {
    /// All drop reasons in the order of `Ord`.
    pub const ALL: [Self; 8] = [
        Self::Malformed,
        Self::OpeningTooSmall,
        Self::UnknownCid,
        Self::UnknownEndpoint,
        Self::ServerKind,
        Self::NoService,
        Self::NoEndpoint,
        Self::TooLarge,
    ];

    /// Returns the drop reason's name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::OpeningTooSmall => "opening_too_small",
            Self::UnknownCid => "unknown_cid",
            Self::UnknownEndpoint => "unknown_endpoint",
            Self::ServerKind => "server_kind",
            Self::NoService => "no_service",
            Self::NoEndpoint => "no_endpoint",
            Self::TooLarge => "too_large",
        }
    }
}

/// Routes of every service, indexed by service address.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    /// Routes of each service; sorted by service id, without duplicates.
    services: Vec<ServiceRoutes>,
    /// Service address and index into `services`; sorted by address, without duplicates.
    addresses: Vec<(SocketAddr, usize)>,
    /// Keys for datagrams between balancers.
    fleet_keys: Option<Arc<ServiceKeys>>,
}

impl RoutingTable {
    /// Builds a routing table and adds missing endpoints to `registry`.
    ///
    /// Addresses of the previous bundle keep serving established flows unless a bundle in force
    /// contains them. If two services have the same address, the lower service id gets it, so that
    /// all balancers choose the same service. Bundle acceptance refuses a bundle whose address
    /// another bundle in force already has.
    #[must_use]
    pub fn new(inputs: &[ServiceInput<'_>], registry: &mut EndpointRegistry) -> Self {
        let mut services = Vec::with_capacity(inputs.len());
        for input in inputs {
            services.push(ServiceRoutes::new(input, registry));
        }
        services.sort_by_key(ServiceRoutes::id);
        services.dedup_by_key(|it| it.id());
        let mut addresses = Vec::new();
        for (idx, service) in services.iter().enumerate() {
            addresses.extend(service.addresses().iter().map(|&it| (it, idx)));
        }
        for (idx, service) in services.iter().enumerate() {
            addresses.extend(service.former_addresses().iter().map(|&it| (it, idx)));
        }
        // The sort is stable, so an address in force precedes a former address that is equal.
        addresses.sort_by_key(|it| it.0);
        addresses.dedup_by_key(|it| it.0);
        Self {
            services,
            addresses,
            fleet_keys: None,
        }
    }

    /// Adds the fleet keys, which sign datagrams between balancers.
    #[must_use]
    pub fn with_fleet_keys(mut self, keys: Arc<ServiceKeys>) -> Self {
        self.fleet_keys = Some(keys);
        self
    }

    /// Returns the routes of the service that callers reach at the service address `local`.
    #[must_use]
    pub fn service_at(&self, local: SocketAddr) -> Option<&ServiceRoutes> {
        let idx = self
            .addresses
            .binary_search_by_key(&local, |it| it.0)
            .ok()?;
        Some(&self.services[self.addresses[idx].1])
    }

    /// Returns the routes of the service with the given id.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&ServiceRoutes> {
        let idx = self
            .services
            .binary_search_by_key(&id, ServiceRoutes::id)
            .ok()?;
        Some(&self.services[idx])
    }

    /// Returns the routes of all services, sorted by service id.
    #[must_use]
    pub fn services(&self) -> &[ServiceRoutes] {
        &self.services
    }

    /// Returns all service addresses, sorted.
    pub fn service_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.addresses.iter().map(|it| it.0)
    }

    /// Decides where to send a caller's datagram to the service address `local`.
    #[must_use]
    pub fn route(&self, local: SocketAddr, caller: SocketAddr, datagram: &[u8]) -> Decision {
        match self.service_at(local) {
            Some(service) => service.route(caller, datagram),
            None => Decision::Drop(DropReason::NoService),
        }
    }
}

impl KeyRing for RoutingTable {
    fn keys(&self, service: ServiceId) -> Option<&ServiceKeys> {
        if service == FLEET_SCOPE {
            return self.fleet_keys.as_deref();
        }
        self.service(service).map(ServiceRoutes::keys)
    }
}
