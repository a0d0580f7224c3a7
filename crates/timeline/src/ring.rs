//! The bounded memory of a process's latest events.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Event, Stamp};

/// One event with its moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedEvent {
    /// When it happened, by the hybrid logical clock of the process.
    pub stamp: Stamp,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// The latest events of one process; the oldest give way.
#[derive(Debug, Clone)]
pub struct EventRing {
    /// Sorted by stamp, at most `capacity` of them.
    entries: VecDeque<RecordedEvent>,
    /// Events held at most, at least 1.
    capacity: usize,
    /// Events that gave way since the start.
    dropped: u64,
}

impl EventRing {
    /// Makes an empty ring that holds `capacity` events, at least one.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        let capacity = if capacity == 0 { 1 } else { capacity };
        Self {
            entries: VecDeque::new(),
            capacity,
            dropped: 0,
        }
    }

    /// Adds an event.
    ///
    /// # Panics
    ///
    /// If its stamp is not higher than all before: only the process's own clock issues stamps.
    pub fn push(&mut self, entry: RecordedEvent) {
        let last = self.entries.back().map(|it| it.stamp);
        assert!(last < Some(entry.stamp), "stamps of one process must grow");
        if self.entries.len() == self.capacity {
            self.entries.pop_front();
            self.dropped += 1;
        }
        self.entries.push_back(entry);
    }

    /// Returns the events at or after a moment, in order.
    pub fn events_since(&self, from: Stamp) -> impl Iterator<Item = &RecordedEvent> {
        let start = self.entries.partition_point(|it| it.stamp < from);
        self.entries.range(start..)
    }

    /// Returns how many events gave way.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns how many events are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no event is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
