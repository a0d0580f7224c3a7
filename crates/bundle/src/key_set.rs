//! The set of trusted operator keys, its rotation and the retirement of keys.

use serde::{Deserialize, Serialize};
use units::{BundleDigest, BundleVersion, ServiceId};

use crate::{
    KeyId, PublicKey, Refusal, SecretKey,
    envelope::{self, parse_json},
};

/// The operator keys that a process trusts.
///
/// Version 0 comes from the settings of the process. Later versions are documents signed by a root
/// key. Each version lists all keys, so a process that missed some versions accepts the newest
/// directly.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeySet {
    /// Version of the key set; never decreases.
    version: BundleVersion,
    /// Digest of the signed key set document; zero at version 0.
    digest: BundleDigest,
    /// The signed envelope of the key set, forwarded to peers unchanged; empty at version 0.
    envelope: Vec<u8>,
    /// Root keys, which may sign key sets; only the settings of the process define them.
    roots: Vec<OperatorKey>,
    /// Operator keys that may sign bundles, sorted by id.
    keys: Vec<OperatorKey>,
}

/// The signed document of a key set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySetDocument {
    /// Version of the key set: 1 for the first published set, higher for each later set.
    pub version: BundleVersion,
    /// Every key that signed a bundle which is still in use, including retired keys.
    pub keys: Vec<OperatorKey>,
}

/// The public key of one operator and its retirement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    /// The public key of the operator.
    pub public_key: PublicKey,
    /// `None` while the key may sign; otherwise the last version of each service that the key may
    /// have signed.
    ///
    /// The list is sorted by service. The key is valid for no version of a service that isn't
    /// listed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retired_after: Option<Vec<LastVersion>>,
}

/// The last version of a service for which a retired key is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LastVersion {
    /// The service to which the version applies.
    pub service: ServiceId,
    /// Last version of the service for which the key is valid.
    pub version: BundleVersion,
}

impl KeySet {
    /// Creates version 0 of the key set from the keys in the settings of a process.
    #[must_use]
    pub fn new(keys: Vec<PublicKey>) -> Self {
        Self {
            version: BundleVersion::new(0),
            digest: BundleDigest::default(),
            envelope: Vec::new(),
            roots: Vec::new(),
            keys: sort_keys_by_id(keys.into_iter().map(OperatorKey::new).collect()),
        }
    }

    /// Sets the root keys that may sign later versions of the key set.
    #[must_use]
    pub fn with_roots(mut self, roots: Vec<PublicKey>) -> Self {
        self.roots = roots.into_iter().map(OperatorKey::new).collect();
        self
    }

    /// Returns the version of the key set; 0 for the set from settings.
    #[must_use]
    pub const fn version(&self) -> BundleVersion {
        self.version
    }

    /// Returns the digest of the signed key set document; zero for the set from settings.
    #[must_use]
    pub const fn digest(&self) -> BundleDigest {
        self.digest
    }

    /// Returns the signed envelope of the key set; empty for the set from settings.
    #[must_use]
    pub fn envelope(&self) -> &[u8] {
        &self.envelope
    }

    /// Returns the operator keys that may sign bundles, sorted by id.
    #[must_use]
    pub fn keys(&self) -> &[OperatorKey] {
        &self.keys
    }

    /// Verifies the envelope of a key set and returns the newer key set in it.
    ///
    /// # Errors
    ///
    /// Returns an error if the envelope is too large, doesn't parse, isn't signed by a root key,
    /// leaves no key that may sign, or doesn't supersede this key set.
    pub fn accept(&self, envelope: &[u8]) -> Result<Self, Refusal> {
        let text = envelope::verify_key_set(&self.roots, envelope)?;
        let document: KeySetDocument = parse_json("key set", text.as_bytes())?;
        validate_key_set_document(&document)?;
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
            keys: sort_keys_by_id(document.keys),
        })
    }

    /// Finds an operator key of the key set by its id.
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
    /// Signs the key set with a root key and returns the envelope to publish.
    ///
    /// # Panics
    ///
    /// Never panics, as every key set can be serialized to JSON.
    #[must_use]
    pub fn sign(&self, root: &SecretKey) -> Vec<u8> {
        let text = serde_json::to_string(self).expect("a key set can be serialized to JSON");
        envelope::sign_key_set(&text, root)
    }
}

impl OperatorKey {
    /// Creates an operator key that isn't retired and may sign.
    #[must_use]
    pub const fn new(public_key: PublicKey) -> Self {
        Self {
            public_key,
            retired_after: None,
        }
    }

    /// Retires the key: `last` lists the last version of each service that the key may have signed.
    #[must_use]
    pub fn with_retired_after(mut self, mut last: Vec<LastVersion>) -> Self {
        last.sort_by_key(|it| it.service);
        self.retired_after = Some(last);
        self
    }

    /// Returns an error if the key was retired before the given version of the service.
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

fn sort_keys_by_id(mut keys: Vec<OperatorKey>) -> Vec<OperatorKey> {
    keys.sort_by_key(|it| it.public_key.id());
    keys
}

fn validate_key_set_document(document: &KeySetDocument) -> Result<(), Refusal> {
    let invalid = |field, detail: &str| {
        Err(Refusal::Invalid {
            field,
            detail: detail.to_owned(),
        })
    };
    if document.version.get() == 0 {
        return invalid("version", "is 0; use 1 for the first key set");
    }
    if document.keys.iter().all(|it| it.retired_after.is_some()) {
        return invalid(
            "keys",
            "contains no key that may sign; keep at least one that isn't retired",
        );
    }
    let mut ids: Vec<KeyId> = document.keys.iter().map(|it| it.public_key.id()).collect();
    ids.sort_unstable();
    if ids.windows(2).any(|it| it[0] == it[1]) {
        return invalid("keys", "lists a key twice; list each key once");
    }
    let is_sorted = |it: &OperatorKey| {
        it.retired_after
            .iter()
            .all(|last| last.is_sorted_by(|a, b| a.service < b.service))
    };
    if !document.keys.iter().all(is_sorted) {
        return invalid(
            "retired_after",
            "must be sorted by service without duplicates",
        );
    }
    Ok(())
}
