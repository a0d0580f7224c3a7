//! Why the demo or a bench could not run.

use std::fmt;

/// Why the demo or a bench could not run.
#[derive(Debug)]
pub(crate) enum BenchError {
    /// A step of the set-up failed.
    Setup {
        /// What was being done.
        action: String,
        /// What went wrong.
        cause: String,
    },
    /// A promise was broken during the run.
    CheckFailed(String),
    /// The command line asks for something that doesn't exist.
    Usage(String),
}

impl BenchError {
    /// Makes a set-up error from what was being done and its cause.
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
            Self::Setup { action, cause } => write!(f, "{action}: {cause}"),
            Self::CheckFailed(text) | Self::Usage(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for BenchError {}

/// Result of the demo or a bench.
pub(crate) type Result<T> = std::result::Result<T, BenchError>;
