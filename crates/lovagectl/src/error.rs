//! Why a command failed.

use std::{fmt, io, path::PathBuf};

use bundle::Refusal;
use settings::SettingsError;

/// Result of a command.
pub(crate) type Result<T> = std::result::Result<T, CtlError>;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum CtlError {
    /// A file could not be read.
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file could not be written.
    Write {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file's content can't be used.
    Content {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        cause: String,
        /// What to do.
        remedy: &'static str,
    },
    /// A bundle breaks a rule.
    Refused {
        /// The file.
        path: PathBuf,
        /// The rule.
        refusal: Refusal,
    },
    /// The settings can't be used.
    Settings {
        /// The file.
        path: PathBuf,
        /// What is wrong with them.
        source: SettingsError,
    },
    /// An option has a value that can't be used, or is missing.
    Usage(String),
    /// A certificate could not be made.
    Certificate(String),
    /// The runtime could not start.
    Runtime(io::Error),
    /// No process could be reached.
    Nobody {
        /// Each process and what went wrong.
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
                write!(f, "{}: {source}; give a writable place", path.display())
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
            Self::Certificate(text) => write!(f, "making a certificate: {text}"),
            Self::Runtime(source) => {
                write!(f, "starting the runtime: {source}; free threads or memory")
            }
            Self::Nobody { causes } => {
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
