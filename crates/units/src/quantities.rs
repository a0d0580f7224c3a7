//! Sizes, durations, rates and weights.

use std::time::Duration;

use crate::number::number;

number! {
    /// A size in bytes.
    ByteSize(u64), "size", " B"
}

number! {
    /// A duration or a moment on a process's own clock, in milliseconds.
    Millis(u64), "duration", " ms"
}

number! {
    /// A rate in events a second.
    PerSecond(u32), "rate", "/s"
}

number! {
    /// A number of requests that an upstream runs at once.
    Slots(u16), "slots", " slots"
}

number! {
    /// A share of work relative to other endpoints of the service, 100 for an ordinary endpoint.
    Weight(u16), "weight", ""
}

impl Millis {
    /// Returns the later moment `by` after this one.
    #[must_use]
    pub const fn plus(self, by: Self) -> Self {
        Self(self.0.saturating_add(by.0))
    }

    /// Returns the time passed since `earlier`, zero if `earlier` is in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns half the duration, rounded down.
    #[must_use]
    pub const fn half(self) -> Self {
        Self(self.0 / 2)
    }

    /// Converts to the standard library's duration.
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Converts from the standard library's duration, rounding down.
    #[must_use]
    pub fn from_duration(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}
