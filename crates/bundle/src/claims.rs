//! What each service owns, and who gets what two services claim.

use std::{fmt, net::SocketAddr, sync::Arc};

use units::{EndpointId, ServiceId};

use crate::{AcceptedBundle, Bundle, Endpoint, InForce};

/// Something only one service may own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Claim {
    /// An address callers use.
    Address(SocketAddr),
    /// An endpoint's id.
    Endpoint(EndpointId),
    /// An endpoint's tunnel address.
    Tunnel(SocketAddr),
    /// An endpoint's control address.
    Control(SocketAddr),
    /// An endpoint's upstream address.
    Upstream(SocketAddr),
}

/// A claim of two services whose bundles are both in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Dispute {
    /// What both claim.
    pub claim: Claim,
    /// The service that keeps it.
    pub owner: ServiceId,
    /// The service that does without.
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

/// Finds the first claim of `bundle` that another service in force owns.
pub(crate) fn first_owned(in_force: &[InForce], bundle: &Bundle) -> Option<(Claim, ServiceId)> {
    let others = in_force.iter().filter(|it| it.service() != bundle.service);
    let taken = owned_claims(others);
    claims(bundle).into_iter().find_map(|claim| {
        let owner = owner_of(&taken, claim)?;
        Some((claim, owner))
    })
}

/// Settles claims of two services: the lower service id keeps what both claim.
///
/// The outcome depends on the set of bundles alone, so every process that holds the same bundles
/// routes alike, in whatever order they came. The loser's disputed endpoints and addresses are left
/// out of the returned view; its signed bytes and digest stay.
pub(crate) fn settle(in_force: &[InForce]) -> (Vec<InForce>, Vec<Dispute>) {
    let owned = owned_claims(in_force.iter());
    let has_dispute = owned.windows(2).any(|it| it[0].0 == it[1].0);
    if !has_dispute {
        return (in_force.to_vec(), Vec::new());
    }
    let mut disputes = Vec::new();
    let view = in_force
        .iter()
        .map(|it| settle_one(&owned, it, &mut disputes))
        .collect();
    (view, disputes)
}

fn settle_one(
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

/// Returns every claim in force, sorted, the lowest service first among equal claims.
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
