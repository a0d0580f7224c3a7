//! The decision whether an envelope is put in force.

use std::sync::Arc;

use units::{BundleDigest, BundleVersion};

use crate::{AcceptedBundle, Bundle, InForce, KeySet, Refusal, claims, verify};

/// Where an envelope came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform's service: an operator's publication, in force nowhere as far as known.
    Platform,
    /// Another process of the fleet, where the bundle is in force already.
    Peer,
}

/// Decides whether `envelope` is put in force beside `in_force`, which is sorted by service.
///
/// The document's own rules and its signature hold for every source. What compares it with the
/// bundles held here (chain, replaced endpoints, claims) holds for publications alone: a bundle in
/// force at one process goes in force at all, so that processes that heard in different orders
/// agree. A process that missed versions takes the higher one without those between.
///
/// # Errors
///
/// The rule broken; what is in force stays.
pub fn accept(
    in_force: &[InForce],
    keys: &KeySet,
    source: Source,
    envelope: &[u8],
) -> Result<AcceptedBundle, Refusal> {
    let (bundle, digest) = verify(keys, envelope)?;
    let held = in_force
        .binary_search_by_key(&bundle.service, InForce::service)
        .ok()
        .map(|idx| &in_force[idx]);
    if let Some(held) = held {
        check_order(&held.current, bundle.version, digest)?;
    }
    if source == Source::Platform {
        check_publication(in_force, held, &bundle)?;
    }
    Ok(AcceptedBundle {
        bundle,
        digest,
        envelope: Arc::from(envelope),
    })
}

/// Returns whether a held version and digest give way to an offered pair.
///
/// A higher version goes first; of two documents of one version the lower digest. The order is
/// total, and a process only moves up in it.
#[must_use]
pub fn is_superseded(
    held: (BundleVersion, BundleDigest),
    offered: (BundleVersion, BundleDigest),
) -> bool {
    offered.0 > held.0 || (offered.0 == held.0 && offered.1 < held.1)
}

fn check_order(
    held: &AcceptedBundle,
    offered_version: BundleVersion,
    offered: BundleDigest,
) -> Result<(), Refusal> {
    let version = held.bundle.version;
    if is_superseded((version, held.digest), (offered_version, offered)) {
        return Ok(());
    }
    if offered_version < version {
        return Err(Refusal::LowerVersion {
            held: version,
            offered: offered_version,
        });
    }
    if offered == held.digest {
        return Err(Refusal::AlreadyHeld);
    }
    Err(Refusal::Forked {
        version,
        held: held.digest,
        offered,
    })
}

fn check_publication(
    in_force: &[InForce],
    held: Option<&InForce>,
    bundle: &Bundle,
) -> Result<(), Refusal> {
    let successor_of = held
        .map(|it| &it.current)
        .filter(|it| it.bundle.version.get() + 1 == bundle.version.get());
    if let Some(held) = successor_of {
        check_succession(held, bundle)?;
    }
    match claims::first_owned(in_force, bundle) {
        Some((claim, owner)) => Err(Refusal::Claimed { claim, owner }),
        None => Ok(()),
    }
}

fn check_succession(held: &AcceptedBundle, bundle: &Bundle) -> Result<(), Refusal> {
    if bundle.previous != Some(held.digest) {
        return Err(Refusal::BrokenChain {
            held: held.digest,
            named: bundle.previous,
        });
    }
    let is_kept = held.bundle.endpoints.iter().any(|old| {
        bundle
            .endpoints
            .binary_search_by_key(&old.id, |it| it.id)
            .is_ok()
    });
    if is_kept {
        return Ok(());
    }
    Err(Refusal::AllReplaced)
}
