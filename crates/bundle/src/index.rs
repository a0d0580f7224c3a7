//! The platform's published index: the current version and digest of every service.

use serde::{Deserialize, Serialize};
use units::{BundleDigest, BundleVersion, InstanceId, ServiceId, Zone};

use crate::{KEY_SET_SERVICE, VersionEntry};

/// What the platform serves at `/v1/index`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// Higher after each publication; a watch waits for one higher than it names.
    pub revision: u64,
    /// The key set, if one was published.
    #[serde(default)]
    pub key_set: Option<KeySetEntry>,
    /// Every service's current bundle. A service that isn't listed keeps what is in force.
    pub bundles: Vec<IndexEntry>,
}

/// The current bundle of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// The service.
    pub service: ServiceId,
    /// Its current version.
    pub version: BundleVersion,
    /// Digest of the signed document, by which it is fetched.
    pub digest: BundleDigest,
}

/// The current key set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySetEntry {
    /// Its version.
    pub version: BundleVersion,
    /// Digest of the signed document, by which it is fetched.
    pub digest: BundleDigest,
}

/// What the platform serves at `/v1/instances`; it lags.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Every instance the platform knows.
    pub instances: Vec<ListedInstance>,
}

/// One instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the process.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether the platform is about to stop it.
    #[serde(default)]
    pub is_leaving: bool,
}

impl Index {
    /// Returns what the index offers, the key set first.
    pub fn version_entries(&self) -> impl Iterator<Item = VersionEntry> + '_ {
        let key_set = self.key_set.map(|it| VersionEntry {
            service: KEY_SET_SERVICE,
            version: it.version,
            digest: it.digest,
        });
        let bundles = self.bundles.iter().map(|it| VersionEntry {
            service: it.service,
            version: it.version,
            digest: it.digest,
        });
        key_set.into_iter().chain(bundles)
    }
}
