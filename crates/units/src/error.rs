//! The error of parsing an identifier or quantity.

use std::fmt;

/// An error of parsing a text as one of this crate's types.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseUnitError {
    /// The text is empty.
    Empty {
        /// Name of the expected type.
        expected: &'static str,
    },
    /// The text is not a number, or it is outside the type's range.
    Number {
        /// Name of the expected type.
        expected: &'static str,
        /// The rejected text.
        text: String,
    },
    /// The text has a character or a length that the type doesn't allow.
    Format {
        /// Name of the expected type.
        expected: &'static str,
        /// The rejected text.
        text: String,
        /// The format that the type allows.
        allowed: &'static str,
    },
}

impl fmt::Display for ParseUnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty { expected } => write!(f, "{expected} is empty; give a value"),
            Self::Number { expected, text } => {
                write!(
                    f,
                    "{expected} `{text}` is not a number in range; give a whole number"
                )
            }
            Self::Format {
                expected,
                text,
                allowed,
            } => {
                write!(f, "{expected} `{text}` is not valid; use {allowed}")
            }
        }
    }
}

impl std::error::Error for ParseUnitError {}
