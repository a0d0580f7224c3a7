//! Acceptance rules: decide whether a process puts the bundle in an envelope in force.

use std::sync::Arc;

use units::{BundleDigest, BundleVersion};

use crate::{AcceptedBundle, Bundle, InForce, KeySet, Refusal, claims, verify};

/// Where the envelope of a bundle was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform: an operator published the bundle, which may not be in force anywhere yet.
    Platform,
    /// Another process of the fleet, at which the bundle is already in force.
    Peer,
}

/// Decides whether to put the bundle in `envelope` in force, given the bundles in force, sorted by
/// service.
///
/// The signature and the rules of [`validate_bundle`](crate::validate_bundle()) are enforced for
/// every source. Rules that compare the document with the bundles in force (predecessor, replaced
/// endpoints, claims) are enforced only for publications by an operator: a bundle that is in force
/// at one process must be accepted by all, so that processes converge in whatever order they
/// receive bundles. A process that missed versions accepts the higher version without those in
/// between.
///
/// # Errors
///
/// Returns the rule that the envelope breaks; the bundles in force stay.
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
        check_supersedes(&held.current, bundle.version, digest)?;
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

/// Returns whether the offered pair of version and digest supersedes the held pair.
///
/// A higher version wins; among documents of the same version the lower digest wins. The order is
/// total, and a process only ever replaces a document by one that is higher in the order.
#[must_use]
pub fn is_superseded(
    held: (BundleVersion, BundleDigest),
    offered: (BundleVersion, BundleDigest),
) -> bool {
    offered.0 > held.0 || (offered.0 == held.0 && offered.1 < held.1)
}

/// Checks that the offered document supersedes the document in force.
fn check_supersedes(
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

/// Checks the rules that apply only to publications by an operator: predecessor and claims.
fn check_publication(
    in_force: &[InForce],
    held: Option<&InForce>,
    bundle: &Bundle,
) -> Result<(), Refusal> {
    let predecessor = held
        .map(|it| &it.current)
        .filter(|it| it.bundle.version.get() + 1 == bundle.version.get());
    if let Some(held) = predecessor {
        check_succession(held, bundle)?;
    }
    match claims::first_conflict(in_force, bundle) {
        Some((claim, owner)) => Err(Refusal::Claimed { claim, owner }),
        None => Ok(()),
    }
}

/// Checks a bundle against its direct predecessor: the bundle's `previous` digest must match and at
/// least one endpoint must be kept.
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
