//! Errors of commands.

use std::{fmt, io, path::PathBuf};

use bundle::Refusal;
use settings::SettingsError;

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, CtlError>;

/// The reason why a command failed.
#[derive(Debug)]
pub(crate) enum CtlError {
    /// A file could not be read.
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A file could not be written.
    Write {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The content of a file is invalid.
    Content {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        cause: String,
        /// What the operator should do.
        remedy: &'static str,
    },
    /// A bundle or key set breaks a rule.
    Refused {
        /// The file.
        path: PathBuf,
        /// The broken rule.
        refusal: Refusal,
    },
    /// A settings file is invalid.
    Settings {
        /// The file.
        path: PathBuf,
        /// What is wrong with the settings.
        source: SettingsError,
    },
    /// An option is missing or has an invalid value.
    Usage(String),
    /// A certificate could not be generated.
    Certificate(String),
    /// The Tokio runtime could not start.
    Runtime(io::Error),
    /// No process could be reached.
    NoProcessReached {
        /// Each process and why it could not be reached.
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
