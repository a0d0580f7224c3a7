//! Exports atomic counters of the data path to the process's counters.

use std::time::Duration;

use control::Counters;

const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Adds the increase of each atomic counter since the last export to the process's counters.
#[derive(Debug)]
pub(crate) struct CounterExporter {
    counters: Counters,
    /// Prefix of each exported counter name.
    prefix: &'static str,
    /// Values at the last export, in the order in which they were read.
    last_values: Vec<u64>,
}

impl CounterExporter {
    /// Creates an exporter whose first export adds the full values.
    pub(crate) const fn new(counters: Counters, prefix: &'static str) -> Self {
        Self {
            counters,
            prefix,
            last_values: Vec::new(),
        }
    }

    /// Exports the values that `read_values` returns in every interval, until the task is aborted.
    ///
    /// `read_values` must return the counters in the same order each time.
    pub(crate) async fn run<N: AsRef<str>>(mut self, read_values: impl Fn() -> Vec<(N, u64)>) {
        let mut ticks = tokio::time::interval(EXPORT_INTERVAL);
        loop {
            ticks.tick().await;
            self.export(&read_values());
        }
    }

    fn export<N: AsRef<str>>(&mut self, values: &[(N, u64)]) {
        self.last_values.resize(values.len(), 0);
        for ((name, value), last) in values.iter().zip(&mut self.last_values) {
            if value != last {
                let name = format!("{}.{}", self.prefix, name.as_ref());
                self.counters.add(&name, value.wrapping_sub(*last));
                *last = *value;
            }
        }
    }
}
