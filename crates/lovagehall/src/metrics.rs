//! Feeds counters kept as atomics on the request path to the process's counters.

use std::time::Duration;

use control::Counters;

/// Time between two looks at the counters of the request path.
const INTERVAL: Duration = Duration::from_secs(1);

/// Adds what was counted since the last look to the process's counters.
#[derive(Debug)]
pub(crate) struct Export {
    counters: Counters,
    /// Put before each name.
    prefix: &'static str,
    /// Values at the last look, in the order of the list.
    seen: Vec<u64>,
}

impl Export {
    /// Makes an export that has seen nothing yet.
    pub(crate) const fn new(counters: Counters, prefix: &'static str) -> Self {
        Self {
            counters,
            prefix,
            seen: Vec::new(),
        }
    }

    /// Looks at the values that `list` returns, always in the same order, until the task is ended.
    pub(crate) async fn run<N: AsRef<str>>(mut self, list: impl Fn() -> Vec<(N, u64)>) {
        let mut ticks = tokio::time::interval(INTERVAL);
        loop {
            ticks.tick().await;
            self.take(&list());
        }
    }

    fn take<N: AsRef<str>>(&mut self, values: &[(N, u64)]) {
        self.seen.resize(values.len(), 0);
        for ((name, value), seen) in values.iter().zip(&mut self.seen) {
            if value != seen {
                let name = format!("{}.{}", self.prefix, name.as_ref());
                self.counters.add(&name, value.wrapping_sub(*seen));
                *seen = *value;
            }
        }
    }
}
