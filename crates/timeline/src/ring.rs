//! A bounded ring of the latest timeline events of a process.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Event, Stamp};

/// A timeline event with its hybrid logical clock stamp.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedEvent {
    /// When the event happened, by the hybrid logical clock of the process.
    pub stamp: Stamp,
    /// The state change that the event reports.
    #[serde(flatten)]
    pub event: Event,
}

/// The latest timeline events of one process; a full ring drops its oldest event.
#[derive(Debug, Clone)]
pub struct EventRing {
    /// Events sorted by stamp, at most `capacity`.
    events: VecDeque<RecordedEvent>,
    /// Maximum number of events in the ring, at least 1.
    capacity: usize,
    /// Number of events that the full ring has dropped.
    dropped: u64,
}

impl EventRing {
    /// Creates an empty ring for `capacity` events; a capacity of zero counts as one.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        let capacity = if capacity == 0 { 1 } else { capacity };
        Self {
            events: VecDeque::new(),
            capacity,
            dropped: 0,
        }
    }

    /// Adds an event, and drops the oldest event if the ring is full.
    ///
    /// # Panics
    ///
    /// Panics if the event's stamp is not higher than that of every earlier event. The clock of the
    /// process issues only increasing stamps.
    pub fn push(&mut self, event: RecordedEvent) {
        let last = self.events.back().map(|it| it.stamp);
        assert!(
            last < Some(event.stamp),
            "stamps of one process must increase"
        );
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Returns the events from the stamp `from` on, sorted by stamp.
    pub fn events_since(&self, from: Stamp) -> impl Iterator<Item = &RecordedEvent> {
        let start = self.events.partition_point(|it| it.stamp < from);
        self.events.range(start..)
    }

    /// Returns the number of events that the full ring has dropped.
    #[must_use]
    pub const fn dropped_count(&self) -> u64 {
        self.dropped
    }

    /// Returns the number of events in the ring.
    #[must_use]
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether the ring has no events.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}
