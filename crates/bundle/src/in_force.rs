//! What a process holds of each service: the accepted bundle and the one before it.

use std::sync::Arc;

use units::{BundleDigest, ServiceId};

use crate::{Bundle, VersionEntry};

/// A bundle that passed acceptance, with the exact bytes it was signed and published as.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedBundle {
    /// The parsed document.
    pub bundle: Bundle,
    /// Digest of the signed document inside `envelope`.
    pub digest: BundleDigest,
    /// The published bytes, signature included; passed on to peers unchanged.
    pub envelope: Arc<[u8]>,
}

/// The bundle of one service that is in force, and its predecessor if the process held it.
///
/// `current` supersedes `previous` (higher version, or the lower digest of one version); both are
/// of the same service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    /// What applies now.
    pub current: Arc<AcceptedBundle>,
    /// What applied before, whose owners may still hold flows being opened.
    pub previous: Option<Arc<AcceptedBundle>>,
}

impl InForce {
    /// Returns the service.
    #[must_use]
    pub fn service(&self) -> ServiceId {
        self.current.bundle.service
    }

    /// Returns the entry of a version vector.
    #[must_use]
    pub fn version_entry(&self) -> VersionEntry {
        VersionEntry {
            service: self.service(),
            version: self.current.bundle.version,
            digest: self.current.digest,
        }
    }
}
