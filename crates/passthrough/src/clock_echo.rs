//! Bounds how long a message was on its way, between balancers whose clocks aren't synchronised.
//!
//! Each message between balancers carries a stamp of its sender's clock, and the latest stamp that the
//! sender got from the receiver with the time for which it has held it. The receiver knows when it
//! issued that stamp, so the message was composed no earlier than that time and the time held. What
//! the stamp and the message spent on their way, and what a stopped process let them wait, only makes
//! the bound earlier.
//!
//! Invariant: no message was composed before the time that [`StampClock::composed_after`] returns,
//! whatever is delayed, reordered, repeated or lost. A stamp must be recorded at a time that was read
//! from the clock after the stamp was received.

use std::net::Ipv4Addr;

use units::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum time for which a stamp is echoed.
const HELD_MAX_MS: u64 = 60_000;

/// Maximum time from the issue of a stamp until its echo arrives. An older echo proves nothing.
const ECHO_AGE_MAX_MS: u64 = HELD_MAX_MS + 10_000;

/// Inverse of the greatest difference between the rates of two clocks: each is slewed by at most 500
/// millionths.
const CLOCK_RATE_DIVISOR: u64 = 1_000;

/// Error of a time held, which is the difference between two times in whole milliseconds.
const ROUNDING_MS: u64 = 1;

/// A stamp that the receiver of a message issued, and that the sender sends back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockEcho {
    /// The stamp, as the receiver of the message issued it.
    pub stamp: u32,
    /// Time for which the sender has held the stamp; at most a minute.
    pub held_ms: u16,
}

/// What a message between balancers carries to bound its time on the way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockMark {
    /// Stamp of the sender's clock.
    pub stamp: u32,
    /// The latest stamp that the sender got from the receiver, or `None` without a recent one.
    pub echo: Option<ClockEcho>,
}

/// Issues the stamps of one process.
///
/// Stamps of different processes, also of an earlier one at the same address, are unrelated numbers.
#[derive(Debug, Clone, Copy)]
pub struct StampClock {
    salt: u32,
    started: Millis,
}

impl StampClock {
    /// Creates the clock of a process that started at `started`.
    #[must_use]
    pub fn new(address: Ipv4Addr, started: Millis) -> Self {
        let hash = xxh3_64_with_seed(&address.octets(), started.get());
        Self {
            salt: low_bits(hash),
            started,
        }
    }

    /// Returns the stamp of a message that is composed at `now`.
    #[must_use]
    pub const fn stamp(self, now: Millis) -> u32 {
        low_bits(now.get()).wrapping_add(self.salt)
    }

    /// Returns a time on this process's clock before which something can't have happened that, as a
    /// message received at `now` tells, was `age` ago when the message was composed; `None` if the
    /// message's echo doesn't tell.
    #[must_use]
    pub fn happened_after(
        self,
        now: Millis,
        age: Millis,
        echo: Option<ClockEcho>,
    ) -> Option<Millis> {
        let composed = self.composed_after(now, echo)?;
        let age_ms = age.get() + age.get().div_ceil(CLOCK_RATE_DIVISOR);
        composed.get().checked_sub(age_ms).map(Millis::new)
    }

    /// Returns a time on this process's clock before which a message with this echo, received at
    /// `now`, was not composed, or `None` if the echo doesn't tell.
    #[must_use]
    pub fn composed_after(self, now: Millis, echo: Option<ClockEcho>) -> Option<Millis> {
        let echo = echo?;
        let age_ms = u64::from(self.stamp(now).wrapping_sub(echo.stamp));
        if age_ms > ECHO_AGE_MAX_MS || age_ms > now.since(self.started).get() {
            return None;
        }
        let held_ms = u64::from(echo.held_ms);
        let error_ms = held_ms.div_ceil(CLOCK_RATE_DIVISOR) + ROUNDING_MS;
        let on_the_way_ms = age_ms.checked_sub(held_ms.saturating_sub(error_ms))?;
        Some(Millis::new(now.get() - on_the_way_ms))
    }
}

/// The latest stamp that was received from another balancer.
#[derive(Debug, Clone, Copy)]
pub struct HeardStamp {
    stamp: u32,
    received_at: Millis,
}

impl HeardStamp {
    /// Records a stamp that was received before `now`.
    #[must_use]
    pub const fn new(stamp: u32, now: Millis) -> Self {
        Self {
            stamp,
            received_at: now,
        }
    }

    /// Returns whether this stamp was issued shortly before `other`, so that it was overtaken.
    #[must_use]
    pub fn is_overtaken_by(self, other: Self) -> bool {
        let lead_ms = u64::from(other.stamp.wrapping_sub(self.stamp));
        lead_ms > 0 && lead_ms <= HELD_MAX_MS
    }

    /// Returns the echo that a message composed at `now` carries.
    #[must_use]
    pub fn echo(self, now: Millis) -> Option<ClockEcho> {
        let held_ms = now.since(self.received_at).get();
        if held_ms > HELD_MAX_MS {
            return None;
        }
        let held_ms = u16::try_from(held_ms).ok()?;
        Some(ClockEcho {
            stamp: self.stamp,
            held_ms,
        })
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "stamps are compared modulo 2^32"
)]
const fn low_bits(number: u64) -> u32 {
    number as u32
}
