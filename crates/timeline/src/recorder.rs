//! The handle through which a process records its events.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use units::Millis;

use crate::{ClockError, Event, EventRing, HybridLogicalClock, RecordedEvent, Stamp};

/// Events that a process holds.
const CAPACITY: usize = 4_096;

/// Records events of one process; clones share one ring.
///
/// Meant for changes of state, never for a datagram or a request that went well.
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
    /// Makes a recorder with an empty ring of the usual size.
    #[must_use]
    pub fn new() -> Self {
        Self::with_capacity(CAPACITY)
    }

    /// Makes a recorder that holds `capacity` events.
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

    /// Records an event as happening now.
    pub fn record(&self, event: Event) {
        self.record_at(event, wall_now());
    }

    /// Records an event at a given wall time.
    pub fn record_at(&self, event: Event, wall: Millis) {
        let mut inner = self.lock();
        let stamp = inner.clock.tick(wall);
        inner.ring.push(RecordedEvent { stamp, event });
    }

    /// Issues a stamp to send along with a message.
    #[must_use]
    pub fn issue_stamp(&self) -> Stamp {
        self.lock().clock.tick(wall_now())
    }

    /// Orders every later event after a stamp received with a message.
    ///
    /// # Errors
    ///
    /// Refuses a stamp too far ahead of the local wall clock.
    pub fn observe(&self, remote: Stamp) -> Result<Stamp, ClockError> {
        self.lock().clock.observe(remote, wall_now())
    }

    /// Returns the events held at or after a moment, and how many gave way before.
    #[must_use]
    pub fn events_since(&self, from: Stamp) -> (Vec<RecordedEvent>, u64) {
        let inner = self.lock();
        (
            inner.ring.events_since(from).cloned().collect(),
            inner.ring.dropped(),
        )
    }

    /// A thread that panicked while it held the lock leaves a ring that is still whole.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn wall_now() -> Millis {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::from_duration(since_epoch)
}
