//! The monotonic clock of a process.

use rustix::time::{ClockId, clock_gettime};
use units::Millis;

/// Returns the time since the machine booted, including time that the machine was suspended.
///
/// State learned from others must age during a suspension, which `CLOCK_MONOTONIC` does not count.
pub(crate) fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Millis::new(seconds * 1_000 + nanos / 1_000_000)
}
