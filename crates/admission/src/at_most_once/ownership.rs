//! Determines which agent owns a key, and since when, across changes of the bundle.

use units::{BundleVersion, EndpointId, Millis};

use super::RequestKey;

/// Largest number of sets of possible key owners that are kept, including the current set.
const EPOCHS_MAX: usize = 8;

/// The endpoints of the bundle in force and of the previous bundle.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BundleEndpoints {
    /// Version of the bundle in force.
    pub version: BundleVersion,
    /// Endpoints of the bundle in force, sorted, at least one.
    pub current: Vec<EndpointId>,
    /// Endpoints of the previous bundle, sorted; equal to `current` if there was none.
    pub previous: Vec<EndpointId>,
}

impl BundleEndpoints {
    /// Creates the endpoints of a bundle without a predecessor.
    #[must_use]
    pub fn new(version: BundleVersion, mut current: Vec<EndpointId>) -> Self {
        current.sort_unstable();
        let previous = current.clone();
        Self {
            version,
            current,
            previous,
        }
    }

    /// Sets the endpoints of the previous bundle.
    #[must_use]
    pub fn with_previous(self, mut previous: Vec<EndpointId>) -> Self {
        previous.sort_unstable();
        Self { previous, ..self }
    }

    /// Returns the endpoints of the current and the previous bundle, whose agents may run or own
    /// requests of the service.
    pub(super) fn current_and_previous_endpoints(&self) -> Vec<EndpointId> {
        let mut all = [self.current.as_slice(), &self.previous].concat();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Returns whether the bundle in force contains an endpoint.
    pub(super) fn is_in_current_bundle(&self, endpoint: EndpointId) -> bool {
        self.current.binary_search(&endpoint).is_ok()
    }

    /// Returns the endpoints that may own a key: those in both the current and the previous bundle,
    /// so that agents with either bundle can reach every owner. Returns the current endpoints if
    /// the bundles have none in common.
    fn candidate_owners(&self) -> Vec<EndpointId> {
        let is_common = |it: &&EndpointId| self.previous.binary_search(it).is_ok();
        let common: Vec<_> = self.current.iter().filter(is_common).copied().collect();
        if common.is_empty() {
            self.current.clone()
        } else {
            common
        }
    }
}

/// A period in which this agent assigned keys to owners among the same endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OwnerEpoch {
    owners: Vec<EndpointId>,
    /// Start of the period; keys first sent up to this time may have had another owner.
    since_ms: Millis,
}

/// Assigns keys to the endpoints that own them, and keeps the recent sets of possible owners.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Ownership {
    endpoints: BundleEndpoints,
    /// Time at which this agent adopted the bundle in force.
    current_since_ms: Millis,
    /// Time since which only the bundle in force and the previous bundle have applied at this
    /// agent.
    endpoints_since_ms: Millis,
    /// Periods with the same possible owners, oldest first; at least one and at most
    /// [`EPOCHS_MAX`]. Adjacent periods have different owners.
    epochs: Vec<OwnerEpoch>,
}

impl Ownership {
    pub(super) fn new(endpoints: BundleEndpoints, since_ms: Millis) -> Self {
        let epochs = vec![OwnerEpoch {
            owners: endpoints.candidate_owners(),
            since_ms,
        }];
        Self {
            endpoints,
            current_since_ms: since_ms,
            endpoints_since_ms: since_ms,
            epochs,
        }
    }

    pub(super) const fn version(&self) -> BundleVersion {
        self.endpoints.version
    }

    pub(super) const fn endpoints(&self) -> &BundleEndpoints {
        &self.endpoints
    }

    /// Returns the time since which only the bundle in force and the previous bundle have applied
    /// at this agent.
    pub(super) const fn endpoints_since_ms(&self) -> Millis {
        self.endpoints_since_ms
    }

    pub(super) fn adopt_endpoints(&mut self, endpoints: BundleEndpoints, since_ms: Millis) {
        if endpoints.version <= self.endpoints.version {
            return;
        }
        let is_next = endpoints.version.get() == self.endpoints.version.get() + 1;
        self.endpoints_since_ms = if is_next {
            self.current_since_ms
        } else {
            since_ms
        };
        self.current_since_ms = since_ms;
        let owners = endpoints.candidate_owners();
        self.endpoints = endpoints;
        if self.current_epoch().owners == owners {
            return;
        }
        self.epochs.push(OwnerEpoch { owners, since_ms });
        if self.epochs.len() > EPOCHS_MAX {
            self.epochs.remove(0);
        }
    }

    pub(super) fn owner_of(&self, key: RequestKey) -> EndpointId {
        rendezvous_owner(&self.current_epoch().owners, key)
    }

    /// Returns the time since which the current owner of a key has owned it without interruption.
    pub(super) fn owned_since_ms(&self, key: RequestKey) -> Millis {
        let owner = self.owner_of(key);
        let is_owned = |it: &&OwnerEpoch| rendezvous_owner(&it.owners, key) == owner;
        let unbroken = self.epochs.iter().rev().take_while(is_owned);
        unbroken
            .last()
            .map_or(self.current_epoch().since_ms, |it| it.since_ms)
    }

    fn current_epoch(&self) -> &OwnerEpoch {
        self.epochs.last().expect("there is always a current epoch")
    }
}

/// Returns the owner of a key by rendezvous hashing: the endpoint with the highest score.
fn rendezvous_owner(owners: &[EndpointId], key: RequestKey) -> EndpointId {
    let score = |it: &&EndpointId| (rendezvous_score(key, **it), it.get());
    *owners
        .iter()
        .max_by_key(score)
        .expect("a service has at least one endpoint")
}

/// Returns the rendezvous hashing score of an endpoint for a key. The key is a digest, so few
/// rounds of mixing suffice.
fn rendezvous_score(key: RequestKey, endpoint: EndpointId) -> u64 {
    let (low, high) = key.as_bytes().split_at(8);
    let word = |half: &[u8]| half.iter().fold(0, |acc, byte| acc << 8 | u64::from(*byte));
    let seed = word(low) ^ u64::from(endpoint.get()).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let once = (seed ^ (seed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let twice = (once ^ (once >> 32) ^ word(high)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    twice ^ (twice >> 32)
}
