//! Errors of the demo and the benches.

use std::fmt;

/// An error that ends the demo or a bench.
#[derive(Debug)]
pub(crate) enum BenchError {
    /// A setup step of a bench or the demo failed.
    Setup {
        /// The setup step as a gerund phrase, such as `starting the platform`.
        action: String,
        /// The cause of the setup step's failure.
        cause: String,
    },
    /// A process didn't respond as required or a guarantee was violated during the run.
    CheckFailed(String),
    /// The command line names a bench that doesn't exist.
    Usage(String),
}

impl BenchError {
    /// Creates an error of a setup step; `action` is a gerund phrase that names the step.
    pub(crate) fn setup(action: &str, cause: &dyn fmt::Display) -> Self {
        Self::Setup {
            action: action.to_owned(),
            cause: cause.to_string(),
        }
    }
}

impl fmt::Display for BenchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Setup { action, cause } => write!(f, "{action} failed: {cause}"),
            Self::CheckFailed(text) | Self::Usage(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for BenchError {}

/// Result of the demo or a bench.
pub(crate) type Result<T> = std::result::Result<T, BenchError>;
