//! The clock of a process.

use rustix::time::{ClockId, clock_gettime};
use units::Millis;

/// Returns the time since the machine started, in which a suspended machine's sleep counts.
///
/// Beliefs must age while a machine is suspended, which the ordinary steady clock hides.
pub(crate) fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Millis::new(seconds * 1_000 + nanos / 1_000_000)
}
