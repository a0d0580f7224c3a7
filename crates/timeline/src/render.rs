//! Renders a timeline as text, JSON or SVG.

mod svg;
mod text;

pub use svg::to_svg;
pub use text::to_text;

use crate::Timeline;

/// Renders a timeline as JSON.
///
/// # Panics
///
/// Never panics, since every timeline can be serialised to JSON.
#[must_use]
pub fn to_json(timeline: &Timeline) -> String {
    serde_json::to_string_pretty(timeline).expect("every timeline can be serialised to JSON")
}
