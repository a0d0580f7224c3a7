//! Periodically adds the datapath's atomic counters to the metric counters of the process.

use std::time::Duration;

use control::Counters;

const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Adds the increase of atomic counters since the last export to the process's metric counters.
#[derive(Debug)]
pub(crate) struct CounterExporter {
    counters: Counters,
    /// Prefix of each exported counter's name.
    prefix: &'static str,
    /// Counter values at the last export, in the order in which they were read.
    last_values: Vec<u64>,
}

impl CounterExporter {
    /// Creates an exporter whose first export adds the full counter values.
    pub(crate) const fn new(counters: Counters, prefix: &'static str) -> Self {
        Self {
            counters,
            prefix,
            last_values: Vec::new(),
        }
    }

    /// Exports the counters that `read_values` reads, once per interval until the task is aborted.
    ///
    /// `read_values` must return the counters in the same order each time.
    pub(crate) async fn export_periodically<N: AsRef<str>>(
        mut self,
        read_values: impl Fn() -> Vec<(N, u64)>,
    ) {
        let mut ticks = tokio::time::interval(EXPORT_INTERVAL);
        loop {
            ticks.tick().await;
            self.export_increases(&read_values());
        }
    }

    fn export_increases<N: AsRef<str>>(&mut self, values: &[(N, u64)]) {
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
