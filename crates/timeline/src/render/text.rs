//! Renders a timeline as lines of text.

use std::fmt::Write as _;

use units::Millis;

use crate::{Stamp, Timeline};

const DAY_MS: u64 = 86_400_000;

/// Renders a timeline as one line per event, then one line per process with missing events.
#[must_use]
pub fn to_text(timeline: &Timeline) -> String {
    let mut out = String::new();
    let width = timeline.instances.iter().map(|it| it.as_str().len()).max();
    let width = width.unwrap_or_default();
    for row in &timeline.rows {
        let time = format_stamp(row.stamp);
        let _infallible = writeln!(
            out,
            "{time}  {:<width$}  {}",
            row.instance.as_str(),
            row.event
        );
    }
    for gap in &timeline.gaps {
        let _infallible = writeln!(
            out,
            "incomplete: {}: {} older events dropped, {} events of unknown kind",
            gap.instance, gap.dropped, gap.unreadable
        );
    }
    for it in &timeline.unreachable {
        let _infallible = writeln!(out, "unreachable: {}: {}", it.address, it.cause);
    }
    out
}

/// Formats a stamp as the time of day in UTC with milliseconds, and the logical counter.
pub(super) fn format_stamp(stamp: Stamp) -> String {
    let time = format_time_of_day(stamp.unix_ms);
    format!("{time}+{:<3}", stamp.logical)
}

/// Formats a Unix time as the time of day in UTC with milliseconds.
pub(super) fn format_time_of_day(unix_ms: Millis) -> String {
    let since_midnight_ms = unix_ms.get() % DAY_MS;
    let (seconds, ms) = (since_midnight_ms / 1_000, since_midnight_ms % 1_000);
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{hour:02}:{minute:02}:{second:02}.{ms:03}")
}
