//! A time line as lines of text.

use std::fmt::Write as _;

use units::Millis;

use crate::{Stamp, Timeline};

/// Milliseconds of one day.
const DAY_MS: u64 = 86_400_000;

/// Writes one line for each event, then what is missing.
#[must_use]
pub fn text(timeline: &Timeline) -> String {
    let mut out = String::new();
    let width = timeline.instances.iter().map(|it| it.as_str().len()).max();
    let width = width.unwrap_or_default();
    for row in &timeline.rows {
        let moment = moment(row.stamp);
        let _infallible = writeln!(
            out,
            "{moment}  {:<width$}  {}",
            row.instance.as_str(),
            row.event
        );
    }
    for gap in &timeline.gaps {
        let _infallible = writeln!(
            out,
            "incomplete: {}: {} older events gave way, {} events of unknown kind",
            gap.instance, gap.dropped, gap.unreadable
        );
    }
    for it in &timeline.unreachable {
        let _infallible = writeln!(out, "unreachable: {}: {}", it.address, it.cause);
    }
    out
}

/// Writes the time of day in UTC with milliseconds and the logical counter.
pub(super) fn moment(stamp: Stamp) -> String {
    let time = time_of_day(stamp.unix_ms);
    format!("{time}+{:<3}", stamp.logical)
}

/// Writes the time of day in UTC with milliseconds.
pub(super) fn time_of_day(unix_ms: Millis) -> String {
    let rest_ms = unix_ms.get() % DAY_MS;
    let (seconds, ms) = (rest_ms / 1_000, rest_ms % 1_000);
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{hour:02}:{minute:02}:{second:02}.{ms:03}")
}
