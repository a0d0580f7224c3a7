//! A bounded ring of the latest events of a process.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Event, Stamp};

/// An event with its stamp.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedEvent {
    /// When the event happened, by the hybrid logical clock of the process.
    pub stamp: Stamp,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// The latest events of one process; a full ring drops its oldest event.
#[derive(Debug, Clone)]
pub struct EventRing {
    /// Sorted by stamp; at most `capacity` of them.
    events: VecDeque<RecordedEvent>,
    /// Maximum number of events, at least 1.
    capacity: usize,
    /// Number of events dropped so far.
    dropped: u64,
}

impl EventRing {
    /// Creates an empty ring for `capacity` events, at least one.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        let capacity = if capacity == 0 { 1 } else { capacity };
        Self {
            events: VecDeque::new(),
            capacity,
            dropped: 0,
        }
    }

    /// Adds an event, and drops the oldest one if the ring is full.
    ///
    /// # Panics
    ///
    /// Panics if the stamp is not higher than that of every earlier event. The clock of the process
    /// issues only increasing stamps.
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

    /// Returns the events at or after a stamp, in order.
    pub fn events_since(&self, from: Stamp) -> impl Iterator<Item = &RecordedEvent> {
        let start = self.events.partition_point(|it| it.stamp < from);
        self.events.range(start..)
    }

    /// Returns the number of events dropped so far.
    #[must_use]
    pub const fn dropped_count(&self) -> u64 {
        self.dropped
    }

    /// Returns the number of events held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether no event is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}
