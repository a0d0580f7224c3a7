//! The bundle store of one process: the key set and the bundle in force of each service.

use std::sync::Arc;

use units::{BundleDigest, BundleVersion, ServiceId};

use crate::{
    AcceptedBundle, Dispute, InForce, KeySet, Refusal, Source, accept, accept::is_superseded,
    claims,
};

/// The service id that represents the key set in version vectors.
pub const KEY_SET_SERVICE: ServiceId = ServiceId::new(0);

/// The key set and bundles in force at one process.
///
/// The version and digest in force of a service are only replaced by those that supersede them, in
/// the order of [`crate::is_superseded`]. A service is never removed.
#[derive(Debug, Clone)]
pub struct Store {
    keys: KeySet,
    /// Bundles in force, sorted by service.
    in_force: Vec<InForce>,
}

/// One entry of a version vector: the version and digest in force of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionEntry {
    /// The service; [`KEY_SET_SERVICE`] for the key set.
    pub service: ServiceId,
    /// Version in force of the bundle or key set.
    pub version: BundleVersion,
    /// Digest of the document in force.
    pub digest: BundleDigest,
}

/// The change that an accepted envelope made to the bundle store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A bundle was put in force.
    Bundle {
        /// Version and digest of the bundle now in force.
        held: VersionEntry,
        /// The version in force before; `None` if the service is new to this process.
        before: Option<BundleVersion>,
        /// Whether the bundle replaced another document of the same version.
        is_fork: bool,
    },
    /// A key set was put in force.
    KeySet {
        /// Version of the key set now in force.
        version: BundleVersion,
        /// Services whose bundle in force doesn't verify with this key set, since its key is
        /// retired at a lower version.
        retired_key_services: Vec<ServiceId>,
    },
}

impl Store {
    /// Creates a bundle store without bundles that trusts `keys`.
    #[must_use]
    pub const fn new(keys: KeySet) -> Self {
        Self {
            keys,
            in_force: Vec::new(),
        }
    }

    /// Returns the key set in force.
    #[must_use]
    pub const fn keys(&self) -> &KeySet {
        &self.keys
    }

    /// Returns all bundles in force as they were signed, with disputed claims, sorted by service.
    #[must_use]
    pub fn in_force(&self) -> &[InForce] {
        &self.in_force
    }

    /// Resolves conflicting claims; returns the bundles by which to route, sorted by service, and
    /// the conflicts found.
    #[must_use]
    pub fn resolve_disputes(&self) -> (Vec<InForce>, Vec<Dispute>) {
        claims::resolve_disputes(&self.in_force)
    }

    /// Verifies the envelope of a bundle and puts the bundle in force.
    ///
    /// # Errors
    ///
    /// Returns the rule that the envelope breaks; the bundle in force stays.
    pub fn offer_bundle(&mut self, source: Source, envelope: &[u8]) -> Result<Change, Refusal> {
        let accepted = accept(&self.in_force, &self.keys, source, envelope)?;
        Ok(self.put_in_force(accepted))
    }

    /// Verifies the envelope of a key set and puts the key set in force.
    ///
    /// # Errors
    ///
    /// Returns the rule that the envelope breaks; the key set in force stays.
    pub fn offer_key_set(&mut self, envelope: &[u8]) -> Result<Change, Refusal> {
        self.keys = self.keys.accept(envelope)?;
        let retired_key_services = self
            .in_force
            .iter()
            .filter(|it| crate::verify(&self.keys, &it.current.envelope).is_err())
            .map(InForce::service)
            .collect();
        Ok(Change::KeySet {
            version: self.keys.version(),
            retired_key_services,
        })
    }

    /// Verifies an envelope that a peer sent for `service` and puts the bundle or key set in force.
    ///
    /// # Errors
    ///
    /// Returns the rule that the envelope breaks; the bundle or key set in force stays.
    pub fn offer_from_peer(
        &mut self,
        service: ServiceId,
        envelope: &[u8],
    ) -> Result<Change, Refusal> {
        if service == KEY_SET_SERVICE {
            return self.offer_key_set(envelope);
        }
        self.offer_bundle(Source::Peer, envelope)
    }

    /// Returns the version vector of the store, sorted by service; starts with the key set if one
    /// was published.
    #[must_use]
    pub fn version_vector(&self) -> Vec<VersionEntry> {
        let keys = self.key_set_entry();
        keys.into_iter()
            .chain(self.in_force.iter().map(InForce::version_entry))
            .collect()
    }

    /// Returns a digest of the store's version vector, restricted to the key set and the service
    /// `only` if that is set.
    ///
    /// Equal digests mean equal version vectors, so two processes can compare 32 bytes instead of
    /// the whole vectors.
    #[must_use]
    pub fn version_vector_digest(&self, only: Option<ServiceId>) -> BundleDigest {
        let mut hasher = blake3::Hasher::new();
        for held in self.version_vector() {
            if !is_in_scope(only, held.service) {
                continue;
            }
            hasher.update(&held.service.get().to_le_bytes());
            hasher.update(&held.version.get().to_le_bytes());
            hasher.update(held.digest.as_bytes());
        }
        BundleDigest::new(*hasher.finalize().as_bytes())
    }

    /// Returns whether the offered bundle or key set supersedes the one in force, so that it should
    /// be fetched.
    #[must_use]
    pub fn should_fetch(&self, offered: VersionEntry) -> bool {
        self.version_entry(offered.service)
            .is_none_or(|mine| is_entry_superseded(mine, offered))
    }

    /// Returns the version vector entry of a service or, for [`KEY_SET_SERVICE`], of the key set.
    #[must_use]
    pub fn version_entry(&self, service: ServiceId) -> Option<VersionEntry> {
        if service == KEY_SET_SERVICE {
            return self.key_set_entry();
        }
        self.find(service).map(InForce::version_entry)
    }

    /// Returns the entries and envelopes of this store that supersede the entries of the version
    /// vector `theirs`, sorted by service.
    #[must_use]
    pub fn entries_newer_than(&self, theirs: &[VersionEntry]) -> Vec<(VersionEntry, Arc<[u8]>)> {
        let is_newer = |mine: VersionEntry| {
            theirs
                .binary_search_by_key(&mine.service, |it| it.service)
                .map_or(true, |idx| is_entry_superseded(theirs[idx], mine))
        };
        let keys = self
            .key_set_entry()
            .map(|held| (held, Arc::from(self.keys.envelope())));
        let bundles = self
            .in_force
            .iter()
            .map(|it| (it.version_entry(), Arc::clone(&it.current.envelope)));
        keys.into_iter()
            .chain(bundles)
            .filter(|(held, _)| is_newer(*held))
            .collect()
    }

    /// Returns the bundle in force of a service.
    #[must_use]
    pub fn find(&self, service: ServiceId) -> Option<&InForce> {
        let idx = self
            .in_force
            .binary_search_by_key(&service, InForce::service)
            .ok()?;
        Some(&self.in_force[idx])
    }

    fn key_set_entry(&self) -> Option<VersionEntry> {
        (self.keys.version().get() > 0).then(|| VersionEntry {
            service: KEY_SET_SERVICE,
            version: self.keys.version(),
            digest: self.keys.digest(),
        })
    }

    fn put_in_force(&mut self, accepted: AcceptedBundle) -> Change {
        let service = accepted.bundle.service;
        let current = Arc::new(accepted);
        match self
            .in_force
            .binary_search_by_key(&service, InForce::service)
        {
            Ok(idx) => replace_in_force(&mut self.in_force[idx], current),
            Err(idx) => {
                let added = InForce {
                    current,
                    previous: None,
                };
                let held = added.version_entry();
                self.in_force.insert(idx, added);
                Change::Bundle {
                    held,
                    before: None,
                    is_fork: false,
                }
            }
        }
    }
}

/// Returns whether `service` is in the scope of an exchange with a peer, which may be restricted to
/// the service `only`. The key set is always in scope.
#[must_use]
pub fn is_in_scope(only: Option<ServiceId>, service: ServiceId) -> bool {
    service == KEY_SET_SERVICE || only.is_none_or(|it| it == service)
}

/// Puts the bundle `current` in force in place of the bundle in `slot`, which becomes the previous
/// bundle.
fn replace_in_force(slot: &mut InForce, current: Arc<AcceptedBundle>) -> Change {
    let before = slot.version_entry();
    let is_fork = current.bundle.version == before.version;
    let next = InForce {
        previous: Some(Arc::clone(&slot.current)),
        current,
    };
    let held = next.version_entry();
    assert!(
        is_entry_superseded(before, held),
        "a bundle must not replace one that supersedes it"
    );
    *slot = next;
    Change::Bundle {
        held,
        before: Some(before.version),
        is_fork,
    }
}

/// Returns whether the version vector entry `offered` supersedes the entry `held` of the same
/// service.
fn is_entry_superseded(held: VersionEntry, offered: VersionEntry) -> bool {
    is_superseded(
        (held.version, held.digest),
        (offered.version, offered.digest),
    )
}
