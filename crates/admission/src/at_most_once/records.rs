//! A bounded table of keys that knows how far back its memory goes.

use std::collections::{BTreeMap, BTreeSet};

use units::Millis;

use super::RequestKey;

/// What is remembered of one key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Entry<V> {
    pub(super) first_sent_ms: Millis,
    pub(super) value: V,
}

/// A bounded table of keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Records<V> {
    entries: BTreeMap<RequestKey, Entry<V>>,
    /// The keys of `entries` by their first-sent times.
    ages: BTreeSet<(Millis, RequestKey)>,
    /// Keys first sent up to this moment may have been forgotten. Never goes back.
    horizon_ms: Millis,
    /// Most keys remembered, at least 1.
    keys_max: usize,
}

impl<V> Records<V> {
    pub(super) fn new(horizon_ms: Millis, keys_max: usize) -> Self {
        let keys_max = keys_max.max(1);
        Self {
            entries: BTreeMap::new(),
            ages: BTreeSet::new(),
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

    /// Returns whether a key that is not in the table was never in it.
    pub(super) fn covers(&self, first_sent_ms: Millis) -> bool {
        first_sent_ms > self.horizon_ms
    }

    pub(super) fn get_mut(&mut self, key: RequestKey) -> Option<&mut Entry<V>> {
        self.entries.get_mut(&key)
    }

    /// Adds a key that is not in the table; the oldest one makes room for it.
    pub(super) fn insert(&mut self, key: RequestKey, first_sent_ms: Millis, value: V) {
        if self.entries.len() >= self.keys_max {
            self.forget_oldest();
        }
        self.ages.insert((first_sent_ms, key));
        let before = self.entries.insert(
            key,
            Entry {
                first_sent_ms,
                value,
            },
        );
        assert!(before.is_none(), "key {key} is remembered once");
        assert_eq!(self.ages.len(), self.entries.len(), "every key has its age");
    }

    /// Forgets keys first sent before a moment.
    pub(super) fn forget_before(&mut self, oldest_ms: Millis) {
        while self
            .ages
            .first()
            .is_some_and(|(first_sent_ms, _)| *first_sent_ms < oldest_ms)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((first_sent_ms, key)) = self.ages.pop_first() else {
            return;
        };
        self.entries.remove(&key);
        self.horizon_ms = self.horizon_ms.max(first_sent_ms);
    }
}
