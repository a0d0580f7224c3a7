//! Which agent owns a key, and since when, through changes of the bundle.

use units::{BundleVersion, EndpointId, Millis};

use super::RequestKey;

/// Owner sets remembered, the present one included.
const ERAS_MAX: usize = 8;

/// The endpoints of the bundle in force and of the one before it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BundleEndpoints {
    /// Version of the bundle in force.
    pub version: BundleVersion,
    /// Endpoints of the bundle in force, sorted, at least one.
    pub current: Vec<EndpointId>,
    /// Endpoints of the bundle before it, sorted; those of `current` if there was none.
    pub previous: Vec<EndpointId>,
}

impl BundleEndpoints {
    /// Creates a view of a bundle without a predecessor.
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

    /// Sets the endpoints of the bundle before.
    #[must_use]
    pub fn with_previous(self, mut previous: Vec<EndpointId>) -> Self {
        previous.sort_unstable();
        Self { previous, ..self }
    }

    /// Returns the endpoints that may run or own requests of the service: of either bundle.
    pub(super) fn everyone(&self) -> Vec<EndpointId> {
        let mut all = [self.current.as_slice(), &self.previous].concat();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Returns whether an endpoint is of the bundle in force.
    pub(super) fn names(&self, endpoint: EndpointId) -> bool {
        self.current.binary_search(&endpoint).is_ok()
    }

    /// Returns the endpoints that may own a key: of both bundles, so that agents with either
    /// bundle reach every owner. Falls back to the current ones if the bundles share none.
    fn owners(&self) -> Vec<EndpointId> {
        let is_kept = |it: &&EndpointId| self.previous.binary_search(it).is_ok();
        let kept: Vec<_> = self.current.iter().filter(is_kept).copied().collect();
        if kept.is_empty() {
            self.current.clone()
        } else {
            kept
        }
    }
}

/// A set of owners and the moment from which it applied here.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Era {
    owners: Vec<EndpointId>,
    /// Keys first sent up to this moment may have had another owner.
    since_ms: Millis,
}

/// Which agent owns a key, and since when.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Ownership {
    view: BundleEndpoints,
    /// When the bundle in force was adopted here.
    current_since_ms: Millis,
    /// Since when only the bundle in force and the one before it applied here.
    view_since_ms: Millis,
    /// Oldest first, at least one, at most [`ERAS_MAX`]; neighbours differ in their owners.
    eras: Vec<Era>,
}

impl Ownership {
    pub(super) fn new(view: BundleEndpoints, since_ms: Millis) -> Self {
        let eras = vec![Era {
            owners: view.owners(),
            since_ms,
        }];
        Self {
            view,
            current_since_ms: since_ms,
            view_since_ms: since_ms,
            eras,
        }
    }

    pub(super) const fn version(&self) -> BundleVersion {
        self.view.version
    }

    pub(super) const fn view(&self) -> &BundleEndpoints {
        &self.view
    }

    /// Returns since when only the bundle in force and the one before it applied here.
    pub(super) const fn view_since_ms(&self) -> Millis {
        self.view_since_ms
    }

    pub(super) fn adopt(&mut self, view: BundleEndpoints, since_ms: Millis) {
        if view.version <= self.view.version {
            return;
        }
        let is_next = view.version.get() == self.view.version.get() + 1;
        self.view_since_ms = if is_next {
            self.current_since_ms
        } else {
            since_ms
        };
        self.current_since_ms = since_ms;
        let owners = view.owners();
        self.view = view;
        if self.present().owners == owners {
            return;
        }
        self.eras.push(Era { owners, since_ms });
        if self.eras.len() > ERAS_MAX {
            self.eras.remove(0);
        }
    }

    pub(super) fn owner_of(&self, key: RequestKey) -> EndpointId {
        owner_among(&self.present().owners, key)
    }

    /// Returns the moment since which the present owner of a key has owned it without a break.
    pub(super) fn owned_since_ms(&self, key: RequestKey) -> Millis {
        let owner = self.owner_of(key);
        let is_owned = |it: &&Era| owner_among(&it.owners, key) == owner;
        let unbroken = self.eras.iter().rev().take_while(is_owned);
        unbroken
            .last()
            .map_or(self.present().since_ms, |it| it.since_ms)
    }

    fn present(&self) -> &Era {
        self.eras.last().expect("there is always a present era")
    }
}

/// Returns the endpoint with the highest score for the key (rendezvous hashing).
fn owner_among(owners: &[EndpointId], key: RequestKey) -> EndpointId {
    let score = |it: &&EndpointId| (mix(key, **it), it.get());
    *owners
        .iter()
        .max_by_key(score)
        .expect("a service has endpoints")
}

/// Scores an endpoint for a key; the key is a digest, so few rounds of mixing suffice.
fn mix(key: RequestKey, endpoint: EndpointId) -> u64 {
    let (low, high) = key.as_bytes().split_at(8);
    let word = |half: &[u8]| half.iter().fold(0, |acc, byte| acc << 8 | u64::from(*byte));
    let seed = word(low) ^ u64::from(endpoint.get()).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let once = (seed ^ (seed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let twice = (once ^ (once >> 32) ^ word(high)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    twice ^ (twice >> 32)
}
