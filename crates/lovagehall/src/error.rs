//! Errors that end `lovagehall`.

use std::{fmt, io};

use settings::SettingsError;

/// An error that keeps the program from starting or ends it.
#[derive(Debug)]
pub(crate) enum RunError {
    /// The settings file could not be read.
    ReadSettings {
        /// Path of the settings file.
        path: String,
        /// The I/O error from reading the settings file.
        source: io::Error,
    },
    /// The settings are invalid.
    Settings(SettingsError),
    /// A settings field is invalid in a way that shows only when the field is used.
    InvalidField {
        /// Name of the invalid settings field.
        field: &'static str,
        /// What is wrong with the field, and the remedy.
        cause: String,
    },
    /// The logger could not start.
    Logging(flexi_logger::FlexiLoggerError),
    /// The Tokio runtime could not start.
    Runtime(io::Error),
    /// A passthrough process could not start, or failed while it ran.
    Passthrough(passthrough_node::NodeError),
    /// A component of the process could not start.
    Start {
        /// Name of the component, as in the error message.
        component: &'static str,
        /// Why the component could not start, and the remedy.
        cause: String,
    },
    /// A component of the process stopped unexpectedly.
    UnexpectedEnd {
        /// Name of the component, as in the error message.
        component: &'static str,
    },
    /// The drain timeout expired before the graceful stop was complete.
    DrainTimedOut {
        /// Number of connections and requests that were still open.
        left: u64,
    },
}

impl RunError {
    /// Creates the error that a component of the process could not start.
    pub(crate) fn start_failed(component: &'static str, cause: &impl fmt::Display) -> Self {
        Self::Start {
            component,
            cause: cause.to_string(),
        }
    }
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ReadSettings { path, source } => {
                write!(
                    f,
                    "reading {path}: {source}; give the path of a readable settings file"
                )
            }
            Self::Settings(err) => err.fmt(f),
            Self::InvalidField { field, cause } => write!(f, "settings field `{field}`: {cause}"),
            Self::Logging(err) => write!(f, "--log: {err}; give a level such as `info`"),
            Self::Passthrough(source) => source.fmt(f),
            Self::Runtime(err) => write!(
                f,
                "starting the Tokio runtime: {err}; free threads or memory"
            ),
            Self::Start { component, cause } => write!(f, "starting {component}: {cause}"),
            Self::UnexpectedEnd { component } => {
                write!(
                    f,
                    "{component} stopped unexpectedly (a bug); restart the process and report it"
                )
            }
            Self::DrainTimedOut { left } => write!(
                f,
                "the drain timeout cut off {left} connections and requests; raise it if needed"
            ),
        }
    }
}

impl std::error::Error for RunError {}
