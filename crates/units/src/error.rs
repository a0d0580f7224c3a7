//! Why a text is not a value of one of this crate's types.

use std::fmt;

/// Why a text is not a value of one of this crate's types.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseUnitError {
    /// The text is empty.
    Empty {
        /// Name of the expected type.
        expected: &'static str,
    },
    /// The text is not a number in the type's range.
    Number {
        /// Name of the expected type.
        expected: &'static str,
        /// The text as given.
        text: String,
    },
    /// The text has a character or a length the type doesn't allow.
    Format {
        /// Name of the expected type.
        expected: &'static str,
        /// The text as given.
        text: String,
        /// What the type allows.
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
