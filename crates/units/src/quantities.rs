//! Sizes, durations, rates and weights.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ParseUnitError;

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident($inner:ty), $label:literal, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps a raw number.
            #[must_use]
            pub const fn new(raw: $inner) -> Self {
                Self(raw)
            }

            /// Returns the raw number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse_number(text.strip_suffix($unit).unwrap_or(text), $label).map(Self)
            }
        }
    };
}

quantity! {
    /// A size in bytes.
    ByteSize(u64), "size", " B"
}

quantity! {
    /// A duration or a moment on a process's own clock, in milliseconds.
    Millis(u64), "duration", " ms"
}

quantity! {
    /// A rate in events a second.
    PerSecond(u32), "rate", "/s"
}

quantity! {
    /// A number of requests that an upstream runs at once.
    Slots(u16), "slots", " slots"
}

quantity! {
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

/// Parses a number, naming the expected type in the error.
pub(crate) fn parse_number<N: FromStr>(
    text: &str,
    expected: &'static str,
) -> Result<N, ParseUnitError> {
    if text.is_empty() {
        return Err(ParseUnitError::Empty { expected });
    }
    text.parse()
        .map_err(|_out_of_range| ParseUnitError::Number {
            expected,
            text: text.to_owned(),
        })
}
