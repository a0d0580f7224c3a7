//! The routing table: from a caller's datagram to the agent that gets it.
//!
//! A table is built when a bundle or a key changes and then only read. What changes faster, the
//! endpoints' liveness and load, is read from cells that all tables share. Routing allocates
//! nothing and keeps nothing about flows.

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

/// What the table needs to know of one service.
#[derive(Debug, Clone)]
pub struct ServiceInput<'a> {
    /// The bundle in force and the one before it.
    pub in_force: &'a InForce,
    /// The service's keys.
    pub keys: Arc<ServiceKeys>,
    /// How far the change from the previous bundle has come.
    pub rollout: BundleRollout,
    /// Endpoints that neither bundle names but whose agents may still hold flows.
    pub retired: &'a [Endpoint],
}

/// Which bundles' endpoints take part in opening flows, by how far a change has come.
///
/// Balancers don't ask each other: time tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BundleRollout {
    /// Some processes may lack the new bundle: endpoints that only it names open no flows, since
    /// other balancers could not route to them. The old bundle's homes decide first.
    Propagating,
    /// Every process has the new bundle; flows that began under the old one may still be opening,
    /// so its homes still decide first.
    Overlapping,
    /// The previous bundle no longer matters to flows being opened.
    Complete,
}

/// How long after a change `BundleRollout::Propagating` applies: every process has the bundle then.
pub const BUNDLE_PROPAGATION_MS: Millis = Millis::new(15_000);

/// How long after a change the previous bundle matters: its spread, then the lifetime of the
/// openings that began under it.
pub const BUNDLE_OVERLAP_MS: Millis = Millis::new(60_000);

impl BundleRollout {
    /// Returns what applies to a change that took effect here `since_ms` ago.
    #[must_use]
    pub fn after(since_ms: Millis) -> Self {
        if since_ms < BUNDLE_PROPAGATION_MS {
            Self::Propagating
        } else if since_ms < BUNDLE_OVERLAP_MS {
            Self::Overlapping
        } else {
            Self::Complete
        }
    }
}

/// Where a caller's datagram goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// To the agent that holds the flow, or to a later run of it that may reset the flow.
    Established {
        /// The endpoint that the connection id names.
        endpoint: EndpointId,
        /// The run of its agent that the connection id names.
        incarnation: Incarnation,
        /// Where its agent receives tunnel datagrams.
        address: SocketAddr,
    },
    /// To the first decider of the opening.
    Opening(Opening),
    /// Nowhere.
    Drop(DropReason),
}

/// Why a caller's datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// Not a QUIC header, or cut short.
    Malformed,
    /// Opens a flow with less than the 1,200 bytes that QUIC demands.
    OpeningTooSmall,
    /// Of an established flow, with a connection id no agent of the service minted.
    UnknownCid,
    /// The connection id names an endpoint that no bundle held here names.
    UnknownEndpoint,
    /// Of a kind that only servers send.
    ServerKind,
    /// No bundle in force has the address it came to.
    NoService,
    /// The service has no endpoint that may open flows.
    NoEndpoint,
    /// Too large to be tunnelled.
    TooLarge,
}

impl DropReason {
    /// Every reason, in the order of `Ord`.
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

    /// Returns the name used for counters.
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

/// Routes for every service, by service address.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    /// Sorted by service id, without duplicates.
    services: Vec<ServiceRoutes>,
    /// Sorted by address, without duplicates; the position in `services`.
    addresses: Vec<(SocketAddr, usize)>,
    /// Keys for datagrams among balancers.
    fleet_keys: Option<Arc<ServiceKeys>>,
}

impl RoutingTable {
    /// Builds the table; `registry` gains a cell for every endpoint it lacked.
    ///
    /// Addresses of the previous bundle keep serving established flows unless a bundle in force
    /// claims them. Of two services that claim one address, the lower service id keeps it: every
    /// balancer must choose alike, and acceptance refuses such bundles where it sees both.
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
        // The sort is stable, so an address in force goes before a former one.
        addresses.sort_by_key(|it| it.0);
        addresses.dedup_by_key(|it| it.0);
        Self {
            services,
            addresses,
            fleet_keys: None,
        }
    }

    /// Adds the keys for datagrams among balancers.
    #[must_use]
    pub fn with_fleet_keys(mut self, keys: Arc<ServiceKeys>) -> Self {
        self.fleet_keys = Some(keys);
        self
    }

    /// Finds the service that callers reach at `local`.
    #[must_use]
    pub fn service_at(&self, local: SocketAddr) -> Option<&ServiceRoutes> {
        let idx = self
            .addresses
            .binary_search_by_key(&local, |it| it.0)
            .ok()?;
        Some(&self.services[self.addresses[idx].1])
    }

    /// Finds a service by id.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&ServiceRoutes> {
        let idx = self
            .services
            .binary_search_by_key(&id, ServiceRoutes::id)
            .ok()?;
        Some(&self.services[idx])
    }

    /// Returns all services, sorted by id.
    #[must_use]
    pub fn services(&self) -> &[ServiceRoutes] {
        &self.services
    }

    /// Returns every service address, sorted.
    pub fn service_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.addresses.iter().map(|it| it.0)
    }

    /// Decides where a caller's datagram to `local` goes.
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
