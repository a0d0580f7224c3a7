//! The error of parsing an identifier or quantity.

use std::fmt;

/// An error from parsing a text as an identifier or quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseUnitError {
    /// The parsed text is empty.
    Empty {
        /// Name of the expected type.
        expected: &'static str,
    },
    /// The parsed text is not a number, or the number is outside the type's range.
    Number {
        /// Name of the expected type.
        expected: &'static str,
        /// The rejected text.
        text: String,
    },
    /// The parsed text has a character or a length that the expected type doesn't allow.
    Format {
        /// Name of the expected type.
        expected: &'static str,
        /// The rejected text.
        text: String,
        /// The format that the expected type allows, for the error message.
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
