//! Recorder of the timeline events of a process.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use units::Millis;

use crate::{ClockError, Event, EventRing, HybridLogicalClock, RecordedEvent, Stamp};

/// Number of events that a recorder holds by default.
const DEFAULT_CAPACITY: usize = 4_096;

/// Records the timeline events of one process; clones of a recorder share one ring of events.
///
/// Record state changes, not single datagrams or successful requests.
#[derive(Debug, Clone)]
pub struct Recorder {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    clock: HybridLogicalClock,
    ring: EventRing,
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}

impl Recorder {
    /// Creates a recorder with an empty ring of the default capacity.
    #[must_use]
    pub fn new() -> Self {
        Self::with_capacity(DEFAULT_CAPACITY)
    }

    /// Creates a recorder that holds up to `capacity` events.
    #[must_use]
    pub fn with_capacity(capacity: usize) -> Self {
        let inner = Inner {
            clock: HybridLogicalClock::new(),
            ring: EventRing::new(capacity),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Records an event at the current wall time.
    pub fn record(&self, event: Event) {
        self.record_at(event, wall_now());
    }

    /// Records an event at a given wall time.
    pub fn record_at(&self, event: Event, wall: Millis) {
        let mut inner = self.lock_inner();
        let stamp = inner.clock.issue_stamp(wall);
        inner.ring.push(RecordedEvent { stamp, event });
    }

    /// Issues a hybrid logical clock stamp to send with a message.
    #[must_use]
    pub fn issue_stamp(&self) -> Stamp {
        self.lock_inner().clock.issue_stamp(wall_now())
    }

    /// Advances the clock past a stamp received with a message, so that later events follow it.
    ///
    /// # Errors
    ///
    /// Returns an error if the remote stamp is too far ahead of the local wall clock.
    pub fn observe_stamp(&self, remote: Stamp) -> Result<Stamp, ClockError> {
        self.lock_inner().clock.observe_stamp(remote, wall_now())
    }

    /// Returns the recorded events from the stamp `from` on, and the number of dropped events.
    #[must_use]
    pub fn events_since(&self, from: Stamp) -> (Vec<RecordedEvent>, u64) {
        let inner = self.lock_inner();
        (
            inner.ring.events_since(from).cloned().collect(),
            inner.ring.dropped_count(),
        )
    }

    /// Locks the clock and the ring; ignores poisoning, since a panic leaves the ring consistent.
    fn lock_inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn wall_now() -> Millis {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::from_duration(since_epoch)
}
