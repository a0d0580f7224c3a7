//! Renders a timeline as an SVG image: one lane per instance, time from left to right.

use std::fmt::Write as _;

use units::Millis;

use super::text::format_time_of_day;
use crate::{Category, Row, Timeline};

const WIDTH_PX: u64 = 1_200;
const LABEL_WIDTH_PX: u64 = 160;
const RIGHT_MARGIN_PX: u64 = 20;
const LANE_HEIGHT_PX: usize = 28;
const HEADER_HEIGHT_PX: usize = 50;
const TICK_COUNT: u64 = 8;

/// Category, legend text and colour, in the order of the legend.
const CATEGORIES: [(Category, &str, &str); 7] = [
    (Category::Process, "process", "#333333"),
    (Category::Bundle, "bundle", "#1f77b4"),
    (Category::Platform, "platform", "#9467bd"),
    (Category::Peer, "peer", "#d62728"),
    (Category::Request, "request", "#ff7f0e"),
    (Category::Tunnel, "tunnel", "#2ca02c"),
    (Category::Key, "key", "#8c564b"),
];

/// Renders a timeline as an SVG image; each event is a circle with its text as a tooltip.
#[must_use]
pub fn to_svg(timeline: &Timeline) -> String {
    let axis = Axis::new(timeline);
    let lanes = timeline.instances.len() + timeline.unreachable.len();
    let height = HEADER_HEIGHT_PX + lanes * LANE_HEIGHT_PX + 30;
    let mut out = String::new();
    let _infallible = writeln!(
        out,
        r#"<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH_PX}" height="{height}" font-family="sans-serif" font-size="11">"#
    );
    draw_legend(&mut out);
    draw_ticks(&mut out, &axis, height);
    draw_lanes(&mut out, timeline);
    for row in &timeline.rows {
        draw_event(&mut out, &axis, timeline, row);
    }
    out.push_str("</svg>\n");
    out
}

/// The horizontal time axis of the image: maps times to x coordinates.
struct Axis {
    start_ms: Millis,
    /// Length of the time axis, at least 1 ms.
    span_ms: u64,
}

impl Axis {
    fn new(timeline: &Timeline) -> Self {
        let start_ms = timeline.rows.first().map(|it| it.stamp.unix_ms);
        let end_ms = timeline.rows.last().map(|it| it.stamp.unix_ms);
        let start_ms = start_ms.unwrap_or_default();
        let span_ms = end_ms.unwrap_or_default().since(start_ms).get().max(1);
        Self { start_ms, span_ms }
    }

    /// Returns the x coordinate of a time in pixels.
    fn x_at(&self, at_ms: Millis) -> u64 {
        let usable_px = WIDTH_PX - LABEL_WIDTH_PX - RIGHT_MARGIN_PX;
        let offset = u128::from(at_ms.since(self.start_ms).get()) * u128::from(usable_px);
        let offset = offset / u128::from(self.span_ms);
        LABEL_WIDTH_PX + u64::try_from(offset).unwrap_or(usable_px).min(usable_px)
    }
}

fn draw_legend(out: &mut String) {
    for (idx, (_category, name, color)) in CATEGORIES.iter().enumerate() {
        let x = 160 + idx * 100;
        let _infallible = writeln!(
            out,
            r#"<circle cx="{x}" cy="12" r="5" fill="{color}"/><text x="{}" y="16">{name}</text>"#,
            x + 10
        );
    }
}

fn draw_ticks(out: &mut String, axis: &Axis, height: usize) {
    for tick in 0..=TICK_COUNT {
        let at_ms = axis
            .start_ms
            .plus(Millis::new(axis.span_ms * tick / TICK_COUNT));
        let (x, label) = (axis.x_at(at_ms), format_time_of_day(at_ms));
        let _infallible = writeln!(
            out,
            r##"<line x1="{x}" y1="40" x2="{x}" y2="{height}" stroke="#dddddd"/><text x="{x}" y="36" text-anchor="middle">{label}</text>"##
        );
    }
}

fn draw_lanes(out: &mut String, timeline: &Timeline) {
    let reached = timeline.instances.iter().map(|it| (it.as_str(), "#000000"));
    let unreachable = timeline.unreachable.iter();
    let unreachable = unreachable.map(|it| (it.address.as_str(), "#d62728"));
    for (idx, (name, color)) in reached.chain(unreachable).enumerate() {
        let y = lane_center_y(idx);
        let suffix = if idx < timeline.instances.len() {
            ""
        } else {
            " (unreachable)"
        };
        let _infallible = writeln!(
            out,
            r##"<line x1="{LABEL_WIDTH_PX}" y1="{y}" x2="{}" y2="{y}" stroke="#bbbbbb"/><text x="4" y="{}" fill="{color}">{}{suffix}</text>"##,
            WIDTH_PX - RIGHT_MARGIN_PX,
            y + 4,
            escape_xml(name),
        );
    }
}

fn draw_event(out: &mut String, axis: &Axis, timeline: &Timeline, row: &Row) {
    let Ok(lane) = timeline.instances.binary_search(&row.instance) else {
        return;
    };
    let title = format!("{} {}", format_time_of_day(row.stamp.unix_ms), row.event);
    let _infallible = writeln!(
        out,
        r#"<circle cx="{}" cy="{}" r="5" fill="{}"><title>{}</title></circle>"#,
        axis.x_at(row.stamp.unix_ms),
        lane_center_y(lane),
        category_color(row.event.category()),
        escape_xml(&title),
    );
}

/// Returns the y coordinate in pixels of the centre of an instance's lane.
const fn lane_center_y(idx: usize) -> usize {
    HEADER_HEIGHT_PX + 14 + idx * LANE_HEIGHT_PX
}

fn category_color(category: Category) -> &'static str {
    let found = CATEGORIES.iter().find(|it| it.0 == category);
    found.map_or("#000000", |it| it.2)
}

/// Escapes text for SVG element content and attributes.
fn escape_xml(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
