//! Every version ever published, so that readers can be shown old ones.

use bundle::{
    KEY_SET_SERVICE, VersionEntry, digest,
    index::{Index, IndexEntry, KeySetEntry},
};
use bytes::Bytes;
use serde::{Deserialize, de::Error as _};
use units::{BundleDigest, BundleVersion, ServiceId};

/// One published value.
#[derive(Debug)]
pub(super) struct Published {
    held: VersionEntry,
    envelope: Bytes,
}

/// Every version ever published.
#[derive(Debug, Default)]
pub(super) struct History {
    /// In the order of publication.
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
        let document = document_of(envelope)?;
        let head: Head = serde_json::from_str(&document)?;
        if head.service == KEY_SET_SERVICE {
            return Err(serde_json::Error::custom("service 0 is the key set"));
        }
        Ok(Self::new(head.service, head.version, &document, envelope))
    }

    pub(super) fn from_key_set(envelope: &[u8]) -> serde_json::Result<Self> {
        let document = document_of(envelope)?;
        let head: KeySetHead = serde_json::from_str(&document)?;
        Ok(Self::new(
            KEY_SET_SERVICE,
            head.version,
            &document,
            envelope,
        ))
    }

    fn new(service: ServiceId, version: BundleVersion, document: &str, envelope: &[u8]) -> Self {
        let held = VersionEntry {
            service,
            version,
            digest: digest(document),
        };
        Self {
            held,
            envelope: Bytes::copy_from_slice(envelope),
        }
    }
}

impl History {
    pub(super) fn add(&mut self, published: Published) {
        self.published.push(published);
    }

    /// Returns the index with each service `versions_back` versions before its newest.
    pub(super) fn index(&self, revision: u64, versions_back: usize) -> Index {
        let mut services: Vec<ServiceId> =
            self.published.iter().map(|it| it.held.service).collect();
        services.sort_unstable();
        services.dedup();
        let mut index = Index {
            revision: revision.saturating_sub(u64::try_from(versions_back).unwrap_or(u64::MAX)),
            ..Index::default()
        };
        for service in services {
            let held = self.back(service, versions_back);
            if service == KEY_SET_SERVICE {
                index.key_set = Some(KeySetEntry {
                    version: held.version,
                    digest: held.digest,
                });
                continue;
            }
            index.bundles.push(IndexEntry {
                service,
                version: held.version,
                digest: held.digest,
            });
        }
        index
    }

    /// Finds a published value by its document's digest.
    pub(super) fn find(&self, digest: BundleDigest) -> Option<Bytes> {
        self.published
            .iter()
            .rev()
            .find(|it| it.held.digest == digest)
            .map(|it| it.envelope.clone())
    }

    /// Returns a service's newest version but `versions_back`, or its first.
    fn back(&self, service: ServiceId, versions_back: usize) -> VersionEntry {
        let mut versions = self
            .published
            .iter()
            .rev()
            .map(|it| it.held)
            .filter(|it| it.service == service);
        let newest = versions.next().expect("a listed service has a version");
        versions.take(versions_back).last().unwrap_or(newest)
    }
}

fn document_of(envelope: &[u8]) -> serde_json::Result<String> {
    let envelope: Envelope = serde_json::from_slice(envelope)?;
    Ok(envelope.document)
}
