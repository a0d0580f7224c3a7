//! Metrics in the Prometheus text exposition format.

use std::fmt::Write as _;

/// Metrics rendered in the text format that scrapers read, one sample per line.
#[derive(Debug, Default)]
pub(crate) struct Exposition(String);

impl Exposition {
    /// Adds a sample of the counter `name`.
    pub(crate) fn add_counter(&mut self, name: &str, value: u64) {
        self.add_sample_line(&format!("lovagehall_{name}_total"), value);
    }

    /// Adds a sample of the gauge `name`.
    pub(crate) fn add_gauge(&mut self, name: &str, value: u64) {
        self.add_sample_line(&format!("lovagehall_{name}"), value);
    }

    /// Adds the samples of the histogram `name`; `counts` holds the count of each bucket alone, not
    /// cumulative counts.
    pub(crate) fn add_histogram(&mut self, name: &str, bounds: &[u64], counts: &[u64], sum: u64) {
        let mut total = 0;
        for (idx, count) in counts.iter().enumerate() {
            total += count;
            let bound = bounds
                .get(idx)
                .map_or_else(|| "+Inf".to_owned(), u64::to_string);
            self.add_sample_line(
                &format!("lovagehall_{name}_bucket{{le=\"{bound}\"}}"),
                total,
            );
        }
        self.add_sample_line(&format!("lovagehall_{name}_sum"), sum);
        self.add_sample_line(&format!("lovagehall_{name}_count"), total);
    }

    /// Returns the rendered metrics as text.
    pub(crate) fn into_text(self) -> String {
        self.0
    }

    fn add_sample_line(&mut self, name: &str, value: u64) {
        // Writing to a `String` never fails.
        let _infallible = writeln!(self.0, "{name} {value}");
    }
}
