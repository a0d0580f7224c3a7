//! A hybrid logical clock: wall time that never runs backwards and orders cause before effect.

use std::fmt;

use serde::{Deserialize, Serialize};
use units::Millis;

/// Furthest a remote stamp may lie ahead of the local wall clock.
const DRIFT_MAX_MS: Millis = Millis::new(5_000);

/// A moment of the hybrid logical clock.
///
/// Ordered by wall time first; `logical` orders events within one millisecond or while the wall
/// clock stands behind a stamp already seen.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub unix_ms: Millis,
    /// Counter within `unix_ms`.
    pub logical: u32,
}

impl Stamp {
    /// Makes a stamp from its parts.
    #[must_use]
    pub const fn new(unix_ms: Millis, logical: u32) -> Self {
        Self { unix_ms, logical }
    }

    /// Returns the next stamp in order.
    const fn next(self) -> Self {
        match self.logical.checked_add(1) {
            Some(logical) => Self::new(self.unix_ms, logical),
            None => Self::new(self.unix_ms.plus(Millis::new(1)), 0),
        }
    }
}

/// Issues stamps that grow strictly, whatever the wall clock does.
#[derive(Debug, Clone)]
pub struct HybridLogicalClock {
    /// The highest stamp issued or observed; every later stamp is higher.
    last: Stamp,
    /// Furthest a remote stamp may lie ahead of the wall clock.
    drift_max_ms: Millis,
}

impl Default for HybridLogicalClock {
    fn default() -> Self {
        Self::new()
    }
}

impl HybridLogicalClock {
    /// Starts a clock that has seen nothing.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            last: Stamp::new(Millis::new(0), 0),
            drift_max_ms: DRIFT_MAX_MS,
        }
    }

    /// Replaces the bound on how far a remote stamp may lie ahead.
    #[must_use]
    pub const fn with_drift_max(mut self, drift_max_ms: Millis) -> Self {
        self.drift_max_ms = drift_max_ms;
        self
    }

    /// Issues a stamp for a local event or a message sent.
    pub fn tick(&mut self, wall: Millis) -> Stamp {
        let fresh = Stamp::new(wall, 0);
        self.last = if fresh > self.last {
            fresh
        } else {
            self.last.next()
        };
        self.last
    }

    /// Moves past a stamp received from another process.
    ///
    /// # Errors
    ///
    /// Refuses a stamp too far ahead of `wall`, so that one wrong clock cannot drag all others.
    pub fn observe(&mut self, remote: Stamp, wall: Millis) -> Result<Stamp, ClockError> {
        let ahead_ms = remote.unix_ms.since(wall);
        if ahead_ms > self.drift_max_ms {
            return Err(ClockError::FarFuture {
                ahead_ms,
                max_ms: self.drift_max_ms,
            });
        }
        self.last = self.last.max(remote);
        Ok(self.tick(wall))
    }
}

/// Why a remote stamp was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClockError {
    /// The stamp lies too far ahead of the local wall clock.
    FarFuture {
        /// How far it lies ahead.
        ahead_ms: Millis,
        /// How far it may.
        max_ms: Millis,
    },
}

impl fmt::Display for ClockError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FarFuture { ahead_ms, max_ms } => write!(
                f,
                "remote clock is {ahead_ms} ahead, more than {max_ms}; set the clocks of both instances"
            ),
        }
    }
}

impl std::error::Error for ClockError {}
