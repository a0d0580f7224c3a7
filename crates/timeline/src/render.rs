//! Text, JSON and picture of a time line.

mod svg;
mod text;

pub use svg::svg;
pub use text::text;

use crate::Timeline;

/// Writes a time line as JSON.
///
/// # Panics
///
/// Never: every part of a time line has a JSON form.
#[must_use]
pub fn json(timeline: &Timeline) -> String {
    serde_json::to_string_pretty(timeline).expect("a time line has a JSON form")
}
