//! The bundle in force of one service, and the bundle in force before.

use std::sync::Arc;

use units::{BundleDigest, ServiceId};

use crate::{Bundle, VersionEntry};

/// A bundle that was accepted, with the exact bytes that were signed and published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedBundle {
    /// The parsed document of the bundle.
    pub bundle: Bundle,
    /// Digest of the signed document in `envelope`.
    pub digest: BundleDigest,
    /// The published envelope, including the signature; forwarded to peers unchanged.
    pub envelope: Arc<[u8]>,
}

/// The bundle in force of one service, and the bundle that it superseded at this process, if any.
///
/// `current` supersedes `previous` (higher version, or the lower digest of one version); both are
/// of the same service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    /// The bundle that is in force for the service.
    pub current: Arc<AcceptedBundle>,
    /// The bundle that was in force before, whose endpoints may still own flows that are being
    /// opened.
    pub previous: Option<Arc<AcceptedBundle>>,
}

impl InForce {
    /// Returns the id of the service that the bundle configures.
    #[must_use]
    pub fn service(&self) -> ServiceId {
        self.current.bundle.service
    }

    /// Returns the version vector entry of the bundle in force.
    #[must_use]
    pub fn version_entry(&self) -> VersionEntry {
        VersionEntry {
            service: self.service(),
            version: self.current.bundle.version,
            digest: self.current.digest,
        }
    }
}
