//! History of all published bundle and key set versions, from which stale responses are served.

use bundle::{
    KEY_SET_SERVICE, VersionEntry, digest,
    index::{Index, IndexEntry, KeySetEntry},
};
use bytes::Bytes;
use serde::{Deserialize, de::Error as _};
use units::{BundleDigest, BundleVersion, ServiceId};

/// A published version of a bundle or key set.
#[derive(Debug)]
pub(super) struct Published {
    entry: VersionEntry,
    envelope: Bytes,
}

/// All published versions of bundles and key sets.
#[derive(Debug, Default)]
pub(super) struct History {
    /// Versions of bundles and key sets in the order of publication.
    published: Vec<Published>,
}

#[derive(Deserialize)]
struct Envelope {
    document: String,
}

#[derive(Deserialize)]
struct Head {
    service: ServiceId,
    version: BundleVersion,
}

#[derive(Deserialize)]
struct KeySetHead {
    version: BundleVersion,
}

impl Published {
    pub(super) fn from_envelope(envelope: &[u8]) -> serde_json::Result<Self> {
        let document = parse_document(envelope)?;
        let head: Head = serde_json::from_str(&document)?;
        if head.service == KEY_SET_SERVICE {
            return Err(serde_json::Error::custom(
                "service 0 is reserved for the key set",
            ));
        }
        Ok(Self::new(head.service, head.version, &document, envelope))
    }

    pub(super) fn from_key_set(envelope: &[u8]) -> serde_json::Result<Self> {
        let document = parse_document(envelope)?;
        let head: KeySetHead = serde_json::from_str(&document)?;
        Ok(Self::new(
            KEY_SET_SERVICE,
            head.version,
            &document,
            envelope,
        ))
    }

    fn new(service: ServiceId, version: BundleVersion, document: &str, envelope: &[u8]) -> Self {
        let entry = VersionEntry {
            service,
            version,
            digest: digest(document),
        };
        Self {
            entry,
            envelope: Bytes::copy_from_slice(envelope),
        }
    }
}

impl History {
    pub(super) fn add_version(&mut self, published: Published) {
        self.published.push(published);
    }

    /// Returns the index that lists each service `versions_back` versions before its newest
    /// version.
    pub(super) fn index_at(&self, revision: u64, versions_back: usize) -> Index {
        let mut services: Vec<ServiceId> =
            self.published.iter().map(|it| it.entry.service).collect();
        services.sort_unstable();
        services.dedup();
        let mut index = Index {
            revision: revision.saturating_sub(u64::try_from(versions_back).unwrap_or(u64::MAX)),
            ..Index::default()
        };
        for service in services {
            let entry = self.version_before(service, versions_back);
            if service == KEY_SET_SERVICE {
                index.key_set = Some(KeySetEntry {
                    version: entry.version,
                    digest: entry.digest,
                });
                continue;
            }
            index.bundles.push(IndexEntry {
                service,
                version: entry.version,
                digest: entry.digest,
            });
        }
        index
    }

    /// Returns the published envelope whose document has this digest.
    pub(super) fn find_envelope(&self, digest: BundleDigest) -> Option<Bytes> {
        self.published
            .iter()
            .rev()
            .find(|it| it.entry.digest == digest)
            .map(|it| it.envelope.clone())
    }

    /// Returns the version of a service that is `versions_back` before its newest one, or its first
    /// version if it has fewer.
    fn version_before(&self, service: ServiceId, versions_back: usize) -> VersionEntry {
        let mut versions = self
            .published
            .iter()
            .rev()
            .map(|it| it.entry)
            .filter(|it| it.service == service);
        let newest = versions
            .next()
            .expect("every service in the history has a version");
        versions.take(versions_back).last().unwrap_or(newest)
    }
}

fn parse_document(envelope: &[u8]) -> serde_json::Result<String> {
    let envelope: Envelope = serde_json::from_slice(envelope)?;
    Ok(envelope.document)
}
