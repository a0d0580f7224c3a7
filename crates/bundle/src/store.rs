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
/// The pair of version and digest of each service only moves up, in the order of
/// [`crate::is_superseded`]. A service is never removed.
#[derive(Debug, Clone)]
pub struct Store {
    keys: KeySet,
    /// Sorted by service.
    in_force: Vec<InForce>,
}

/// One entry of a version vector: the version and digest in force of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionEntry {
    /// The service; [`KEY_SET_SERVICE`] for the key set.
    pub service: ServiceId,
    /// Version that is in force.
    pub version: BundleVersion,
    /// Digest of the document that is in force.
    pub digest: BundleDigest,
}

/// The change that an accepted envelope made to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A bundle was put in force.
    Bundle {
        /// Version and digest now in force.
        held: VersionEntry,
        /// The version in force before; `None` if the service is new to this process.
        before: Option<BundleVersion>,
        /// Whether the bundle replaced another document of the same version.
        is_fork: bool,
    },
    /// A key set was put in force.
    KeySet {
        /// Version of the key set.
        version: BundleVersion,
        /// Services whose bundle in force doesn't verify with this key set, since its key is
        /// retired at a lower version.
        retired_key_services: Vec<ServiceId>,
    },
}

impl Store {
    /// Creates a store without bundles that trusts `keys`.
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

    /// Returns all bundles in force as they were signed, sorted by service.
    #[must_use]
    pub fn in_force(&self) -> &[InForce] {
        &self.in_force
    }

    /// Returns the bundles to route by, sorted by service, after resolving conflicting claims, and
    /// the conflicts found.
    #[must_use]
    pub fn resolve_disputes(&self) -> (Vec<InForce>, Vec<Dispute>) {
        claims::resolve_disputes(&self.in_force)
    }

    /// Verifies the envelope of a bundle and puts the bundle in force.
    ///
    /// # Errors
    ///
    /// Returns the rule that the envelope breaks; what is in force stays.
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

    /// Verifies an envelope that a peer sent for `service` and puts its content in force.
    ///
    /// # Errors
    ///
    /// Returns the rule that the envelope breaks; what is in force stays.
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

    /// Returns the version vector, sorted by service; starts with the key set if one was published.
    #[must_use]
    pub fn version_vector(&self) -> Vec<VersionEntry> {
        let keys = self.key_set_entry();
        keys.into_iter()
            .chain(self.in_force.iter().map(InForce::version_entry))
            .collect()
    }

    /// Returns a digest of the version vector, restricted to one service and the key set if `only`
    /// is set.
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

    /// Returns whether `offered` supersedes what is in force here, so that it is worth fetching.
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

    /// Returns the entries and envelopes that supersede those of the version vector `theirs`,
    /// sorted by service.
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

/// Returns whether an exchange that is restricted to the service `only` includes `service`. The key
/// set is always included.
#[must_use]
pub fn is_in_scope(only: Option<ServiceId>, service: ServiceId) -> bool {
    service == KEY_SET_SERVICE || only.is_none_or(|it| it == service)
}

/// Puts `current` in force in place of the bundle in `slot`, which becomes its predecessor.
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

/// Returns whether `offered` supersedes `held`.
fn is_entry_superseded(held: VersionEntry, offered: VersionEntry) -> bool {
    is_superseded(
        (held.version, held.digest),
        (offered.version, offered.digest),
    )
}
