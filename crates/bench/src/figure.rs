//! Bench results, printed as one JSON line each, with the baseline's value from the same run.

use serde::Serialize;

use crate::error::{BenchError, Result};

/// Seed of a run that is started without `--seed`.
const DEFAULT_SEED: u64 = 1;

/// Duration of a run that is started without `--seconds`, in seconds.
const DEFAULT_SECONDS: u64 = 20;

/// Options of the command line that every bench takes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Options {
    /// Seed of all random decisions of the bench.
    pub(crate) seed: u64,
    /// Duration of the bench's measured part, in seconds.
    pub(crate) seconds: u64,
}

impl Options {
    /// Creates the options of a bench and replaces missing values by their defaults.
    pub(crate) fn new(seed: Option<u64>, seconds: Option<u64>) -> Self {
        Self {
            seed: seed.unwrap_or(DEFAULT_SEED),
            seconds: seconds.unwrap_or(DEFAULT_SECONDS).max(1),
        }
    }
}

/// A bench result, printed as one JSON line.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Figure {
    /// Name of the bench that measured the figure.
    pub(crate) bench: &'static str,
    /// Name of the metric: what the bench measured.
    pub(crate) metric: String,
    /// Unit of `ours`, `baseline` and `target`.
    pub(crate) unit: &'static str,
    /// Value of the metric, measured on this project's balancers and agents.
    pub(crate) ours: f64,
    /// Value of the baseline in the same run, if the metric has a baseline.
    pub(crate) baseline: Option<f64>,
    /// Target value of the metric, if it has one.
    pub(crate) target: Option<f64>,
    /// Whether `ours` meets the target; `None` without a target.
    pub(crate) met: Option<bool>,
    /// Seed of the bench's run.
    pub(crate) seed: u64,
}

impl Figure {
    /// Sets the baseline's value of the metric.
    #[must_use]
    pub(crate) fn with_baseline(mut self, baseline: f64) -> Self {
        self.baseline = Some(baseline);
        self
    }

    /// Sets the metric's target, which `ours` must not exceed.
    #[must_use]
    pub(crate) fn with_target(mut self, target: f64) -> Self {
        self.target = Some(target);
        self.met = Some(self.ours <= target);
        self
    }
}

/// Runs a bench's future to its end on a new Tokio runtime.
pub(crate) fn block_on<T>(bench: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|err| BenchError::setup("starting the runtime", &err))?;
    runtime.block_on(bench)
}

/// Converts a count to a float for a figure.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) fn count_to_f64(count: usize) -> f64 {
    count as f64
}

/// Converts a number of bytes or milliseconds to a float for a figure.
#[expect(
    clippy::cast_precision_loss,
    reason = "the numbers stay far below 2^52"
)]
pub(crate) fn to_f64(value: u64) -> f64 {
    value as f64
}
