//! The operators' keys in force, their rotation and retirement.

use serde::{Deserialize, Serialize};
use units::{BundleDigest, BundleVersion, ServiceId};

use crate::{
    KeyId, PublicKey, Refusal, SecretKey,
    envelope::{self, parse},
};

/// The operators' keys a process trusts.
///
/// Starts from the process's settings at version 0. Later versions are documents signed by a root
/// key, each complete in itself, so a process that missed some takes the newest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeySet {
    /// Never falls.
    version: BundleVersion,
    /// Digest of the signed text; zero at version 0.
    digest: BundleDigest,
    /// The signed envelope, passed on to peers unchanged; empty at version 0.
    envelope: Vec<u8>,
    /// Keys that sign key sets, from settings alone.
    roots: Vec<OperatorKey>,
    /// Keys that sign bundles, sorted by id.
    keys: Vec<OperatorKey>,
}

/// The signed text of a key set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySetDocument {
    /// 1 for the first published set, higher for each next.
    pub version: BundleVersion,
    /// Every key that ever signed a bundle still in use, retired ones included.
    pub keys: Vec<OperatorKey>,
}

/// One operator's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    /// The key.
    pub public_key: PublicKey,
    /// `None` while the key may sign; otherwise the last version it is good for, by service.
    ///
    /// Sorted by service. The key is good for no version of a service that isn't listed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retired_after: Option<Vec<LastVersion>>,
}

/// The last version of a service that a retired key is good for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LastVersion {
    /// The service.
    pub service: ServiceId,
    /// Its last version signed with the key.
    pub version: BundleVersion,
}

impl KeySet {
    /// Trusts the keys a process has in its settings.
    #[must_use]
    pub fn new(keys: Vec<PublicKey>) -> Self {
        Self {
            version: BundleVersion::new(0),
            digest: BundleDigest::default(),
            envelope: Vec::new(),
            roots: Vec::new(),
            keys: sorted(keys.into_iter().map(OperatorKey::new).collect()),
        }
    }

    /// Trusts these root keys to sign later versions of the set.
    #[must_use]
    pub fn with_roots(mut self, roots: Vec<PublicKey>) -> Self {
        self.roots = roots.into_iter().map(OperatorKey::new).collect();
        self
    }

    /// Returns the set's version, 0 for the one from settings.
    #[must_use]
    pub const fn version(&self) -> BundleVersion {
        self.version
    }

    /// Returns the digest of the signed text, zero for the set from settings.
    #[must_use]
    pub const fn digest(&self) -> BundleDigest {
        self.digest
    }

    /// Returns the signed envelope, empty for the set from settings.
    #[must_use]
    pub fn envelope(&self) -> &[u8] {
        &self.envelope
    }

    /// Returns the keys that sign bundles, sorted by id.
    #[must_use]
    pub fn keys(&self) -> &[OperatorKey] {
        &self.keys
    }

    /// Decides on a newer key set.
    ///
    /// # Errors
    ///
    /// Size, schema, root signature, no key left to sign with, or a version already superseded.
    pub fn accept(&self, envelope: &[u8]) -> Result<Self, Refusal> {
        let text = envelope::verify_key_set(&self.roots, envelope)?;
        let document: KeySetDocument = parse("key set", text.as_bytes())?;
        check_document(&document)?;
        let digest = envelope::digest(&text);
        if digest == self.digest {
            return Err(Refusal::AlreadyHeld);
        }
        if document.version < self.version {
            return Err(Refusal::LowerVersion {
                held: self.version,
                offered: document.version,
            });
        }
        if document.version == self.version && digest > self.digest {
            return Err(Refusal::Forked {
                version: self.version,
                held: self.digest,
                offered: digest,
            });
        }
        Ok(Self {
            version: document.version,
            digest,
            envelope: envelope.to_vec(),
            roots: self.roots.clone(),
            keys: sorted(document.keys),
        })
    }

    /// Finds a key by id.
    #[must_use]
    pub fn find(&self, id: KeyId) -> Option<&OperatorKey> {
        let idx = self
            .keys
            .binary_search_by_key(&id, |it| it.public_key.id())
            .ok()?;
        Some(&self.keys[idx])
    }
}

impl KeySetDocument {
    /// Signs the set with a root key and returns the envelope to publish.
    ///
    /// # Panics
    ///
    /// Never: every key set has a JSON form.
    #[must_use]
    pub fn sign(&self, root: &SecretKey) -> Vec<u8> {
        let text = serde_json::to_string(self).expect("a key set has a JSON form");
        envelope::sign_key_set(&text, root)
    }
}

impl OperatorKey {
    /// Makes a key that may sign.
    #[must_use]
    pub const fn new(public_key: PublicKey) -> Self {
        Self {
            public_key,
            retired_after: None,
        }
    }

    /// Retires the key after these versions.
    #[must_use]
    pub fn with_retired_after(mut self, mut last: Vec<LastVersion>) -> Self {
        last.sort_by_key(|it| it.service);
        self.retired_after = Some(last);
        self
    }

    /// Refuses a version signed after the key's retirement.
    pub(crate) fn check_retirement(
        &self,
        service: ServiceId,
        version: BundleVersion,
    ) -> Result<(), Refusal> {
        let Some(last_versions) = &self.retired_after else {
            return Ok(());
        };
        let last = last_versions
            .binary_search_by_key(&service, |it| it.service)
            .map_or(BundleVersion::new(0), |idx| last_versions[idx].version);
        if version <= last {
            return Ok(());
        }
        Err(Refusal::RetiredKey {
            key: self.public_key.id(),
            last,
            offered: version,
        })
    }
}

fn sorted(mut keys: Vec<OperatorKey>) -> Vec<OperatorKey> {
    keys.sort_by_key(|it| it.public_key.id());
    keys
}

fn check_document(document: &KeySetDocument) -> Result<(), Refusal> {
    let invalid = |field, detail: &str| {
        Err(Refusal::Invalid {
            field,
            detail: detail.to_owned(),
        })
    };
    if document.version.get() == 0 {
        return invalid("version", "is 0; start at 1");
    }
    if document.keys.iter().all(|it| it.retired_after.is_some()) {
        return invalid(
            "keys",
            "has no key that may sign; keep one that isn't retired",
        );
    }
    let mut ids: Vec<KeyId> = document.keys.iter().map(|it| it.public_key.id()).collect();
    ids.sort_unstable();
    if ids.windows(2).any(|it| it[0] == it[1]) {
        return invalid("keys", "names a key twice; name each once");
    }
    let is_sorted = |it: &OperatorKey| {
        it.retired_after
            .iter()
            .all(|last| last.is_sorted_by(|a, b| a.service < b.service))
    };
    if !document.keys.iter().all(is_sorted) {
        return invalid("retired_after", "isn't sorted by service; sort it");
    }
    Ok(())
}
