//! Exclusive claims of services on addresses and endpoints, and the resolution of conflicts.

use std::{fmt, net::SocketAddr, sync::Arc};

use units::{EndpointId, ServiceId};

use crate::{AcceptedBundle, Bundle, Endpoint, InForce};

/// A resource that only one service may own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Claim {
    /// A service address that callers connect to.
    Address(SocketAddr),
    /// The id of an upstream endpoint.
    Endpoint(EndpointId),
    /// The tunnel address of an endpoint.
    Tunnel(SocketAddr),
    /// The control address of an endpoint.
    Control(SocketAddr),
    /// The upstream address of an endpoint.
    Upstream(SocketAddr),
}

/// A conflict between two services whose bundles in force claim the same resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Dispute {
    /// The resource that both services claim.
    pub claim: Claim,
    /// The service that keeps the resource.
    pub owner: ServiceId,
    /// The service that loses the resource.
    pub loser: ServiceId,
}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address(it) => write!(f, "service address {it}"),
            Self::Endpoint(it) => write!(f, "endpoint {it}"),
            Self::Tunnel(it) => write!(f, "tunnel address {it}"),
            Self::Control(it) => write!(f, "control address {it}"),
            Self::Upstream(it) => write!(f, "upstream address {it}"),
        }
    }
}

/// Returns the first claim of `bundle` that another service already owns, together with its owner.
pub(crate) fn first_conflict(in_force: &[InForce], bundle: &Bundle) -> Option<(Claim, ServiceId)> {
    let others = in_force.iter().filter(|it| it.service() != bundle.service);
    let taken = owned_claims(others);
    claims(bundle).into_iter().find_map(|claim| {
        let owner = owner_of(&taken, claim)?;
        Some((claim, owner))
    })
}

/// Resolves conflicting claims: the service with the lower id keeps the resource.
///
/// The result depends only on the set of bundles, so all processes that hold the same bundles route
/// alike, regardless of the order in which they received them. The returned bundles lack the
/// endpoints and addresses that their service lost; their signed bytes and digests are unchanged.
pub(crate) fn resolve_disputes(in_force: &[InForce]) -> (Vec<InForce>, Vec<Dispute>) {
    let owned = owned_claims(in_force.iter());
    let has_dispute = owned.windows(2).any(|it| it[0].0 == it[1].0);
    if !has_dispute {
        return (in_force.to_vec(), Vec::new());
    }
    let mut disputes = Vec::new();
    let resolved = in_force
        .iter()
        .map(|it| remove_lost_claims(&owned, it, &mut disputes))
        .collect();
    (resolved, disputes)
}

/// Returns the bundle in force without the addresses and endpoints that another service owns, and
/// appends a dispute for each claim that it lost.
fn remove_lost_claims(
    owned: &[(Claim, ServiceId)],
    held: &InForce,
    disputes: &mut Vec<Dispute>,
) -> InForce {
    let loser = held.service();
    let lost = |claim: Claim| {
        owner_of(owned, claim)
            .filter(|owner| *owner != loser)
            .map(|owner| Dispute {
                claim,
                owner,
                loser,
            })
    };
    let found: Vec<Dispute> = claims(&held.current.bundle)
        .into_iter()
        .filter_map(lost)
        .collect();
    if found.is_empty() {
        return held.clone();
    }
    disputes.extend(found);
    let mut bundle = held.current.bundle.clone();
    bundle
        .addresses
        .retain(|it| lost(Claim::Address(*it)).is_none());
    bundle
        .endpoints
        .retain(|it| !endpoint_claims(it).into_iter().any(|it| lost(it).is_some()));
    InForce {
        current: Arc::new(AcceptedBundle {
            bundle,
            digest: held.current.digest,
            envelope: Arc::clone(&held.current.envelope),
        }),
        previous: held.previous.clone(),
    }
}

/// Returns all claims of the bundles in force, sorted by claim and then by service, so that the
/// owner of a claim comes first.
fn owned_claims<'a>(in_force: impl Iterator<Item = &'a InForce>) -> Vec<(Claim, ServiceId)> {
    let mut owned: Vec<_> = in_force
        .flat_map(|it| {
            let service = it.service();
            claims(&it.current.bundle)
                .into_iter()
                .map(move |claim| (claim, service))
        })
        .collect();
    owned.sort_unstable();
    owned
}

/// Returns the service that owns a claim: the first with this claim in `owned`, which is sorted.
fn owner_of(owned: &[(Claim, ServiceId)], claim: Claim) -> Option<ServiceId> {
    let idx = owned.partition_point(|it| it.0 < claim);
    owned.get(idx).filter(|it| it.0 == claim).map(|it| it.1)
}

fn claims(bundle: &Bundle) -> Vec<Claim> {
    let addresses = bundle.addresses.iter().map(|it| Claim::Address(*it));
    let endpoints = bundle.endpoints.iter().flat_map(endpoint_claims);
    addresses.chain(endpoints).collect()
}

fn endpoint_claims(endpoint: &Endpoint) -> [Claim; 4] {
    [
        Claim::Endpoint(endpoint.id),
        Claim::Tunnel(endpoint.tunnel_address),
        Claim::Control(endpoint.control_address),
        Claim::Upstream(endpoint.upstream_address),
    ]
}
