//! Why the program could not start, or ended with work left.

use std::{fmt, io};

use settings::SettingsError;

/// Why the program could not start, or ended with work left.
#[derive(Debug)]
pub(crate) enum RunError {
    /// The settings file could not be read.
    Read {
        /// Path of the file.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// The settings can't be used.
    Settings(SettingsError),
    /// A part of the settings that only its user can check can't be used.
    Field {
        /// Name of the field.
        field: &'static str,
        /// What is wrong, and the remedy.
        cause: String,
    },
    /// Logging could not start.
    Logging(flexi_logger::FlexiLoggerError),
    /// The runtime could not start.
    Runtime(io::Error),
    /// A process that forwards flows whole could not start or go on.
    Node(passthrough_node::NodeError),
    /// A part of the process could not start.
    Start {
        /// Name of the part.
        part: &'static str,
        /// What is wrong, and the remedy.
        cause: String,
    },
    /// A part of the process ended by itself.
    Ended {
        /// Name of the part.
        part: &'static str,
    },
    /// The graceful stop reached its bound.
    LeftOpen {
        /// Requests or flows still open.
        left: u64,
    },
}

impl RunError {
    /// Makes the error of a part that could not start.
    pub(crate) fn start(part: &'static str, cause: &impl fmt::Display) -> Self {
        Self::Start {
            part,
            cause: cause.to_string(),
        }
    }
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { path, source } => {
                write!(
                    f,
                    "{path}: {source}; give the path of a readable settings file"
                )
            }
            Self::Settings(err) => err.fmt(f),
            Self::Field { field, cause } => write!(f, "settings field `{field}`: {cause}"),
            Self::Logging(err) => write!(f, "--log: {err}; give a level such as `info`"),
            Self::Node(source) => source.fmt(f),
            Self::Runtime(err) => write!(f, "starting the runtime: {err}; free threads or memory"),
            Self::Start { part, cause } => write!(f, "starting {part}: {cause}"),
            Self::Ended { part } => {
                write!(
                    f,
                    "{part} ended by itself, a bug; start the process again and report it"
                )
            }
            Self::LeftOpen { left } => write!(
                f,
                "stopped with {left} left open; raise the drain timeout if work needs longer"
            ),
        }
    }
}

impl std::error::Error for RunError {}
