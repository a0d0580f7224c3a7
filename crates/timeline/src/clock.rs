//! A hybrid logical clock: wall time that never decreases and orders a cause before its effect.

use std::fmt;

use serde::{Deserialize, Serialize};
use units::Millis;

/// Default limit on how far a remote stamp may be ahead of the local wall clock.
const DRIFT_MAX_MS: Millis = Millis::new(5_000);

/// A timestamp of the hybrid logical clock.
///
/// Stamps are ordered by wall time first. `logical` orders stamps within one millisecond, or while
/// the wall clock is behind the highest stamp issued or observed.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Wall time in milliseconds since the Unix epoch.
    pub unix_ms: Millis,
    /// Logical counter, which orders stamps with equal `unix_ms`.
    pub logical: u32,
}

impl Stamp {
    /// Creates a stamp from its wall time and logical counter.
    #[must_use]
    pub const fn new(unix_ms: Millis, logical: u32) -> Self {
        Self { unix_ms, logical }
    }

    /// Returns the smallest stamp after this one.
    const fn next(self) -> Self {
        match self.logical.checked_add(1) {
            Some(logical) => Self::new(self.unix_ms, logical),
            None => Self::new(self.unix_ms.plus(Millis::new(1)), 0),
        }
    }
}

/// Issues strictly increasing stamps, even when the wall clock goes backwards.
#[derive(Debug, Clone)]
pub struct HybridLogicalClock {
    /// Highest stamp issued or observed; every later stamp is higher.
    last: Stamp,
    /// Limit on how far a remote stamp may be ahead of the local wall clock.
    drift_max_ms: Millis,
}

impl Default for HybridLogicalClock {
    fn default() -> Self {
        Self::new()
    }
}

impl HybridLogicalClock {
    /// Creates a clock that has issued and observed no stamp.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            last: Stamp::new(Millis::new(0), 0),
            drift_max_ms: DRIFT_MAX_MS,
        }
    }

    /// Sets the limit on how far a remote stamp may be ahead of the local wall clock.
    #[must_use]
    pub const fn with_drift_max(mut self, drift_max_ms: Millis) -> Self {
        self.drift_max_ms = drift_max_ms;
        self
    }

    /// Issues a stamp for a local event or for a message to send.
    pub fn issue_stamp(&mut self, wall: Millis) -> Stamp {
        let wall_stamp = Stamp::new(wall, 0);
        self.last = if wall_stamp > self.last {
            wall_stamp
        } else {
            self.last.next()
        };
        self.last
    }

    /// Advances the clock past a stamp received from another process and issues a later stamp.
    ///
    /// # Errors
    ///
    /// Returns an error if `remote` is too far ahead of `wall`. Without this limit, one wrong wall
    /// clock would advance the clocks of all processes.
    pub fn observe_stamp(&mut self, remote: Stamp, wall: Millis) -> Result<Stamp, ClockError> {
        let ahead_ms = remote.unix_ms.since(wall);
        if ahead_ms > self.drift_max_ms {
            return Err(ClockError::FarFuture {
                ahead_ms,
                max_ms: self.drift_max_ms,
            });
        }
        self.last = self.last.max(remote);
        Ok(self.issue_stamp(wall))
    }
}

/// The reason why a stamp of another process was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClockError {
    /// The remote stamp is too far ahead of the local wall clock.
    FarFuture {
        /// How far the remote stamp is ahead of the local wall clock.
        ahead_ms: Millis,
        /// How far a remote stamp may be ahead of the local wall clock.
        max_ms: Millis,
    },
}

impl fmt::Display for ClockError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FarFuture { ahead_ms, max_ms } => write!(
                f,
                "remote clock is {ahead_ms} ahead, more than {max_ms}; synchronise both clocks"
            ),
        }
    }
}

impl std::error::Error for ClockError {}
