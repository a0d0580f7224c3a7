//! Sizes, durations, rates and weights.

use std::time::Duration;

use crate::number::number_newtype;

number_newtype! {
    /// A size in bytes.
    ByteSize(u64), "size", " B"
}

number_newtype! {
    /// A duration, or a time on a process's own clock, in milliseconds.
    Millis(u64), "duration", " ms"
}

number_newtype! {
    /// A rate in events per second.
    PerSecond(u32), "rate", "/s"
}

number_newtype! {
    /// A share in hundredths of a percent.
    BasisPoints(u16), "share", " bp"
}

number_newtype! {
    /// A number of requests that an upstream can run concurrently.
    Slots(u16), "slots", " slots"
}

number_newtype! {
    /// An endpoint's share of work relative to others of its service; the usual weight is 100.
    Weight(u16), "weight", ""
}

impl Millis {
    /// Returns the time `by` after this one, saturating at the maximum.
    #[must_use]
    pub const fn plus(self, by: Self) -> Self {
        Self(self.0.saturating_add(by.0))
    }

    /// Returns the time passed since `earlier`, or zero if `earlier` is later than this time.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns half of this duration, rounded down to whole milliseconds.
    #[must_use]
    pub const fn half(self) -> Self {
        Self(self.0 / 2)
    }

    /// Converts the milliseconds to the standard library's duration.
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Converts the standard library's duration to milliseconds, rounding down.
    #[must_use]
    pub fn from_duration(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}
