//! The bundle in force of one service, and its predecessor.

use std::sync::Arc;

use units::{BundleDigest, ServiceId};

use crate::{Bundle, VersionEntry};

/// A bundle that was accepted, with the exact bytes that were signed and published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedBundle {
    /// The parsed document.
    pub bundle: Bundle,
    /// Digest of the signed document in `envelope`.
    pub digest: BundleDigest,
    /// The published bytes including the signature; forwarded to peers unchanged.
    pub envelope: Arc<[u8]>,
}

/// The bundle in force of one service, and the bundle that it superseded at this process, if any.
///
/// `current` supersedes `previous` (higher version, or the lower digest of one version); both are
/// of the same service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    /// The bundle in force.
    pub current: Arc<AcceptedBundle>,
    /// The bundle that was in force before; its owners may still hold flows that are being opened.
    pub previous: Option<Arc<AcceptedBundle>>,
}

impl InForce {
    /// Returns the id of the service.
    #[must_use]
    pub fn service(&self) -> ServiceId {
        self.current.bundle.service
    }

    /// Returns the entry of this bundle in a version vector.
    #[must_use]
    pub fn version_entry(&self) -> VersionEntry {
        VersionEntry {
            service: self.service(),
            version: self.current.bundle.version,
            digest: self.current.digest,
        }
    }
}
