//! The reasons why a command of `lovagectl` fails.

use std::{fmt, io, net::SocketAddr, path::PathBuf};

use bundle::Refusal;
use settings::SettingsError;

/// The result of a `lovagectl` command or of a part of one.
pub(crate) type Result<T> = std::result::Result<T, CtlError>;

/// The reason why a command failed.
#[derive(Debug)]
pub(crate) enum CtlError {
    /// A file could not be read.
    Read {
        /// Path of the file that could not be read.
        path: PathBuf,
        /// The I/O error from reading the file.
        source: io::Error,
    },
    /// A file could not be written.
    Write {
        /// Path of the file that could not be written.
        path: PathBuf,
        /// The I/O error from writing the file.
        source: io::Error,
    },
    /// The content of a file is invalid.
    Content {
        /// Path of the file with invalid content.
        path: PathBuf,
        /// What is wrong with the content.
        cause: String,
        /// What the operator should do about the invalid content.
        remedy: &'static str,
    },
    /// A bundle or key set breaks a rule of bundle or key set acceptance.
    Refused {
        /// Path of the file with the bundle or key set.
        path: PathBuf,
        /// The rule that the bundle or key set breaks.
        refusal: Refusal,
    },
    /// A settings file is invalid.
    Settings {
        /// Path of the invalid settings file.
        path: PathBuf,
        /// What is wrong with the settings.
        source: SettingsError,
    },
    /// A command-line option is missing or has an invalid value.
    Usage(String),
    /// A certificate could not be generated.
    Certificate(String),
    /// The Tokio runtime could not start.
    Runtime(io::Error),
    /// A balancer did not answer a question, or refused it.
    Balancer {
        /// Address that was asked.
        address: SocketAddr,
        /// What went wrong.
        cause: String,
        /// What the operator should do.
        remedy: &'static str,
    },
    /// None of the queried processes could be reached.
    NoProcessReached {
        /// Each queried process and why it could not be reached.
        causes: Vec<String>,
    },
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { path, source } => {
                write!(f, "{}: {source}; give a readable file", path.display())
            }
            Self::Write { path, source } if source.kind() == io::ErrorKind::AlreadyExists => {
                write!(
                    f,
                    "{} exists; give another name or remove it",
                    path.display()
                )
            }
            Self::Write { path, source } => {
                write!(f, "{}: {source}; give a writable path", path.display())
            }
            Self::Content {
                path,
                cause,
                remedy,
            } => {
                write!(f, "{}: {cause}; {remedy}", path.display())
            }
            Self::Refused { path, refusal } => {
                write!(f, "{}: {}: {refusal}", path.display(), refusal.kind())
            }
            Self::Settings { path, source } => write!(f, "{}: {source}", path.display()),
            Self::Usage(text) => f.write_str(text),
            Self::Certificate(text) => write!(f, "generating a certificate: {text}"),
            Self::Runtime(source) => {
                write!(
                    f,
                    "starting the Tokio runtime: {source}; free threads or memory"
                )
            }
            Self::Balancer {
                address,
                cause,
                remedy,
            } => write!(f, "balancer at {address}: {cause}; {remedy}"),
            Self::NoProcessReached { causes } => {
                write!(
                    f,
                    "no process could be reached; check `processes` and `tls` in the settings: {}",
                    causes.join("; ")
                )
            }
        }
    }
}

impl std::error::Error for CtlError {}
