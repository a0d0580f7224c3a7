//! Results: one JSON line each, ours and the baseline from the same run.

use serde::Serialize;

use crate::error::{BenchError, Result};

/// Seed used when none is given.
const DEFAULT_SEED: u64 = 1;

/// Length of a run when none is given, in seconds.
const DEFAULT_SECONDS: u64 = 20;

/// How long and with which random choices a bench runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Options {
    /// Seed of every random choice.
    pub(crate) seed: u64,
    /// Length of the measured part in seconds.
    pub(crate) seconds: u64,
}

impl Options {
    /// Fills in the defaults.
    pub(crate) fn new(seed: Option<u64>, seconds: Option<u64>) -> Self {
        Self {
            seed: seed.unwrap_or(DEFAULT_SEED),
            seconds: seconds.unwrap_or(DEFAULT_SECONDS).max(1),
        }
    }
}

/// One result, printed as one JSON line.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Figure {
    /// Name of the bench.
    pub(crate) bench: &'static str,
    /// What was measured.
    pub(crate) metric: String,
    /// Unit of `ours`, `baseline` and `target`.
    pub(crate) unit: &'static str,
    /// The figure of this program.
    pub(crate) ours: f64,
    /// The figure of the baseline in the same run, if the metric has one.
    pub(crate) baseline: Option<f64>,
    /// The figure asked for, if one was.
    pub(crate) target: Option<f64>,
    /// Whether `ours` meets the target; `None` without a target.
    pub(crate) met: Option<bool>,
    /// Seed of the run.
    pub(crate) seed: u64,
}

impl Figure {
    /// Adds the baseline's figure.
    #[must_use]
    pub(crate) fn with_baseline(mut self, baseline: f64) -> Self {
        self.baseline = Some(baseline);
        self
    }

    /// Adds the target, which `ours` must not exceed.
    #[must_use]
    pub(crate) fn with_target(mut self, target: f64) -> Self {
        self.target = Some(target);
        self.met = Some(self.ours <= target);
        self
    }
}

/// Runs a bench's future on a runtime of its own.
pub(crate) fn block_on<T>(bench: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|err| BenchError::setup("starting the runtime", &err))?;
    runtime.block_on(bench)
}

/// Converts a count for use in a ratio.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) fn count_to_f64(count: usize) -> f64 {
    count as f64
}

/// Converts a number of bytes or milliseconds for use in a ratio.
#[expect(
    clippy::cast_precision_loss,
    reason = "the numbers stay far below 2^52"
)]
pub(crate) fn to_f64(value: u64) -> f64 {
    value as f64
}
