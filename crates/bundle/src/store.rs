//! What one process holds: the key set and one bundle in force a service.

use std::sync::Arc;

use units::{BundleDigest, BundleVersion, ServiceId};

use crate::{
    AcceptedBundle, Dispute, InForce, KeySet, Refusal, Source, accept, accept::is_superseded,
    claims,
};

/// The service id that stands for the key set in version vectors.
pub const KEY_SET_SERVICE: ServiceId = ServiceId::new(0);

/// What one process holds.
///
/// Per service the pair of version and digest only moves up, in the order of
/// [`crate::is_superseded`]; a service once held is never dropped.
#[derive(Debug, Clone)]
pub struct Store {
    keys: KeySet,
    /// Sorted by service.
    in_force: Vec<InForce>,
}

/// One entry of a version vector.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionEntry {
    /// The service, [`KEY_SET_SERVICE`] for the key set.
    pub service: ServiceId,
    /// Version in force.
    pub version: BundleVersion,
    /// Digest of the document in force.
    pub digest: BundleDigest,
}

/// What an accepted envelope changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A bundle went in force.
    Bundle {
        /// What is held now.
        held: VersionEntry,
        /// The version before; `None` for a service new here.
        before: Option<BundleVersion>,
        /// Whether it took the place of another document of the same version.
        is_fork: bool,
    },
    /// A key set went in force.
    KeySet {
        /// Its version.
        version: BundleVersion,
        /// Services in force here under a key that the set retires at a lower version.
        retired_key_services: Vec<ServiceId>,
    },
}

impl Store {
    /// Starts empty, trusting `keys`.
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

    /// Returns every bundle in force as signed, sorted by service.
    #[must_use]
    pub fn in_force(&self) -> &[InForce] {
        &self.in_force
    }

    /// Returns what to route by, sorted by service, and the claims that had to be settled.
    #[must_use]
    pub fn view(&self) -> (Vec<InForce>, Vec<Dispute>) {
        claims::settle(&self.in_force)
    }

    /// Decides on a bundle's envelope and puts it in force.
    ///
    /// # Errors
    ///
    /// The rule broken; what is in force stays.
    pub fn offer(&mut self, source: Source, envelope: &[u8]) -> Result<Change, Refusal> {
        let accepted = accept(&self.in_force, &self.keys, source, envelope)?;
        Ok(self.put(accepted))
    }

    /// Decides on a key set's envelope and puts it in force.
    ///
    /// # Errors
    ///
    /// The rule broken; the key set in force stays.
    pub fn offer_keys(&mut self, envelope: &[u8]) -> Result<Change, Refusal> {
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

    /// Decides on an envelope that a peer sent for `service`.
    ///
    /// # Errors
    ///
    /// The rule broken; what is in force stays.
    pub fn offer_from_peer(
        &mut self,
        service: ServiceId,
        envelope: &[u8],
    ) -> Result<Change, Refusal> {
        if service == KEY_SET_SERVICE {
            return self.offer_keys(envelope);
        }
        self.offer(Source::Peer, envelope)
    }

    /// Returns what is held, sorted by service, the key set first if one was published.
    #[must_use]
    pub fn version_vector(&self) -> Vec<VersionEntry> {
        let keys = self.held_keys();
        keys.into_iter()
            .chain(self.in_force.iter().map(InForce::version_entry))
            .collect()
    }

    /// Returns a digest of the version vector, of one service and the key set or of all.
    ///
    /// Equal digests mean equal holdings, so two processes compare 32 bytes in place of a vector.
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

    /// Returns whether a peer's offer of this would be put in force here.
    #[must_use]
    pub fn wants(&self, offered: VersionEntry) -> bool {
        self.version_entry(offered.service)
            .is_none_or(|mine| supersedes(mine, offered))
    }

    /// Returns the entry of a service, or of the key set, in the version vector.
    #[must_use]
    pub fn version_entry(&self, service: ServiceId) -> Option<VersionEntry> {
        if service == KEY_SET_SERVICE {
            return self.held_keys();
        }
        self.find(service).map(InForce::version_entry)
    }

    /// Returns the service and envelope of everything that supersedes `theirs`, sorted by service.
    #[must_use]
    pub fn newer_than(&self, theirs: &[VersionEntry]) -> Vec<(VersionEntry, Arc<[u8]>)> {
        let is_newer = |mine: VersionEntry| {
            theirs
                .binary_search_by_key(&mine.service, |it| it.service)
                .map_or(true, |idx| supersedes(theirs[idx], mine))
        };
        let keys = self
            .held_keys()
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

    /// Finds the bundle of a service.
    #[must_use]
    pub fn find(&self, service: ServiceId) -> Option<&InForce> {
        let idx = self
            .in_force
            .binary_search_by_key(&service, InForce::service)
            .ok()?;
        Some(&self.in_force[idx])
    }

    fn held_keys(&self) -> Option<VersionEntry> {
        (self.keys.version().get() > 0).then(|| VersionEntry {
            service: KEY_SET_SERVICE,
            version: self.keys.version(),
            digest: self.keys.digest(),
        })
    }

    fn put(&mut self, accepted: AcceptedBundle) -> Change {
        let service = accepted.bundle.service;
        let current = Arc::new(accepted);
        match self
            .in_force
            .binary_search_by_key(&service, InForce::service)
        {
            Ok(idx) => replace(&mut self.in_force[idx], current),
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

/// Returns whether an exchange restricted to `only` covers `service`; the key set always is.
#[must_use]
pub fn is_in_scope(only: Option<ServiceId>, service: ServiceId) -> bool {
    service == KEY_SET_SERVICE || only.is_none_or(|it| it == service)
}

/// Puts `current` in force in place of what `slot` held.
fn replace(slot: &mut InForce, current: Arc<AcceptedBundle>) -> Change {
    let before = slot.version_entry();
    let is_fork = current.bundle.version == before.version;
    let next = InForce {
        previous: Some(Arc::clone(&slot.current)),
        current,
    };
    let held = next.version_entry();
    assert!(supersedes(before, held), "a bundle in force went back");
    *slot = next;
    Change::Bundle {
        held,
        before: Some(before.version),
        is_fork,
    }
}

fn supersedes(held: VersionEntry, offered: VersionEntry) -> bool {
    is_superseded(
        (held.version, held.digest),
        (offered.version, offered.digest),
    )
}
