//! Why a settings file can't be used.

use std::fmt;

/// Why a settings file can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The text is not JSON of the expected form.
    Json {
        /// Line in the file, counted from 1.
        line: usize,
        /// Column in the line, counted from 1.
        column: usize,
        /// What is wrong there.
        cause: String,
    },
    /// A field's value can't be used.
    Field {
        /// Name of the field, with its parents.
        field: &'static str,
        /// What is wrong with the value.
        cause: String,
        /// What to write instead.
        remedy: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json {
                line,
                column,
                cause,
            } => {
                write!(
                    f,
                    "settings line {line} column {column}: {cause}; correct the JSON"
                )
            }
            Self::Field {
                field,
                cause,
                remedy,
            } => {
                write!(f, "settings field `{field}`: {cause}; {remedy}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

pub(crate) fn from_json(err: &serde_json::Error) -> SettingsError {
    let text = err.to_string();
    let cause = text
        .split(" at line ")
        .next()
        .unwrap_or_default()
        .to_owned();
    SettingsError::Json {
        line: err.line(),
        column: err.column(),
        cause,
    }
}
