//! Bounded table of request keys with a horizon: the time back to which its records are complete.

use std::collections::{BTreeMap, BTreeSet};

use units::Millis;

use super::RequestKey;

/// Table entry of one request key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Entry<V> {
    pub(super) first_sent_ms: Millis,
    pub(super) value: V,
}

/// Bounded table of request keys; evicts the key that was first sent earliest when it is full.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Records<V> {
    entries: BTreeMap<RequestKey, Entry<V>>,
    /// Index of `entries` by first-sent time.
    by_first_sent: BTreeSet<(Millis, RequestKey)>,
    /// Horizon of the table: keys first sent up to this time may have been evicted. Never
    /// decreases.
    horizon_ms: Millis,
    /// Largest number of keys in the table, at least 1.
    keys_max: usize,
}

impl<V> Records<V> {
    pub(super) fn new(horizon_ms: Millis, keys_max: usize) -> Self {
        let keys_max = keys_max.max(1);
        Self {
            entries: BTreeMap::new(),
            by_first_sent: BTreeSet::new(),
            horizon_ms,
            keys_max,
        }
    }

    pub(super) fn set_keys_max(&mut self, keys_max: usize) {
        self.keys_max = keys_max.max(1);
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether a key with this first-sent time can't have been evicted, so that its absence
    /// means that it was never in the table.
    pub(super) fn covers_first_sent(&self, first_sent_ms: Millis) -> bool {
        first_sent_ms > self.horizon_ms
    }

    pub(super) fn get_mut(&mut self, key: RequestKey) -> Option<&mut Entry<V>> {
        self.entries.get_mut(&key)
    }

    /// Adds a key that isn't in the table; evicts the oldest key if the table is full.
    pub(super) fn insert(&mut self, key: RequestKey, first_sent_ms: Millis, value: V) {
        if self.entries.len() >= self.keys_max {
            self.evict_oldest_key();
        }
        self.by_first_sent.insert((first_sent_ms, key));
        let before = self.entries.insert(
            key,
            Entry {
                first_sent_ms,
                value,
            },
        );
        assert!(before.is_none(), "key {key} must not be in the table yet");
        assert_eq!(
            self.by_first_sent.len(),
            self.entries.len(),
            "the first-sent index must have one item for each key"
        );
    }

    /// Evicts all keys that were first sent before `oldest_ms`.
    pub(super) fn evict_keys_older_than(&mut self, oldest_ms: Millis) {
        while self
            .by_first_sent
            .first()
            .is_some_and(|(first_sent_ms, _)| *first_sent_ms < oldest_ms)
        {
            self.evict_oldest_key();
        }
    }

    fn evict_oldest_key(&mut self) {
        let Some((first_sent_ms, key)) = self.by_first_sent.pop_first() else {
            return;
        };
        self.entries.remove(&key);
        self.horizon_ms = self.horizon_ms.max(first_sent_ms);
    }
}
