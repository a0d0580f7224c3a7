//! Errors in settings files.

use std::fmt;

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file's text is not valid JSON, or a field is unknown, missing or of a wrong type.
    Json {
        /// Line of the error in the settings file, counted from 1.
        line: usize,
        /// Column of the error in its line, counted from 1.
        column: usize,
        /// The JSON parser's error.
        cause: String,
    },
    /// A field of the settings has an invalid value.
    Field {
        /// Path of the field from the top of the file, separated by dots.
        field: &'static str,
        /// The problem with the field's value.
        cause: String,
        /// Instruction on how to correct the field's value.
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

/// Converts a JSON error, whose text repeats the line and column, to a settings error.
pub(crate) fn settings_error_from_json(err: &serde_json::Error) -> SettingsError {
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
