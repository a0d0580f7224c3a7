//! The index that the platform publishes: current version and digest of every service's bundle.

use serde::{Deserialize, Serialize};
use units::{BundleDigest, BundleVersion, InstanceId, ServiceId, Zone};

use crate::{KEY_SET_SERVICE, VersionEntry};

/// The JSON object that the platform serves at `/v1/index`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// Revision of the index, which increases with each publication. A watch request waits for a
    /// higher revision than the one that it names.
    pub revision: u64,
    /// The current key set, if one was published.
    #[serde(default)]
    pub key_set: Option<KeySetEntry>,
    /// The current bundle of every service. A service that isn't listed keeps its bundle in force.
    pub bundles: Vec<IndexEntry>,
}

/// The current bundle of one service, as the platform's index lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// The service that the bundle configures.
    pub service: ServiceId,
    /// Current version of the bundle.
    pub version: BundleVersion,
    /// Digest of the signed document, by which the bundle is fetched.
    pub digest: BundleDigest,
}

/// The current key set, as the platform's index lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySetEntry {
    /// Version of the key set.
    pub version: BundleVersion,
    /// Digest of the signed document, by which the key set is fetched.
    pub digest: BundleDigest,
}

/// The JSON object that the platform serves at `/v1/instances`; its content may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Every instance that the platform knows.
    pub instances: Vec<ListedInstance>,
}

/// One instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Whether the platform is about to stop the instance.
    #[serde(default)]
    pub is_leaving: bool,
}

impl Index {
    /// Returns the version and digest of the key set and of every bundle in the index.
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
