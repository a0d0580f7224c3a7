//! What a process holds of each service: the accepted bundle and the one before it.

use std::sync::Arc;

use units::BundleDigest;

use crate::Bundle;

/// A bundle that passed acceptance, with the exact bytes it was signed and published as.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// The parsed document.
    pub bundle: Bundle,
    /// Digest of `envelope`.
    pub digest: BundleDigest,
    /// The published bytes, signature included; passed on to peers unchanged.
    pub envelope: Arc<[u8]>,
}

/// The bundle of one service that is in force, and its predecessor if the process held it.
///
/// `current` has a higher version than `previous`; both are of the same service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    /// What applies now.
    pub current: Arc<Accepted>,
    /// What applied before, whose owners may still hold flows being opened.
    pub previous: Option<Arc<Accepted>>,
}
