//! A macro that defines newtypes over numbers.

use std::str::FromStr;

use crate::ParseUnitError;

/// Defines a newtype over a number, from the type's docs, its label in errors and the unit that
/// `Display` appends.
macro_rules! number_newtype {
    ($(#[$doc:meta])* $name:ident($inner:ty), $label:literal, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize,
            ::serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Creates a value from a raw number in the type's unit.
            #[must_use]
            pub const fn new(raw: $inner) -> Self {
                Self(raw)
            }

            /// Returns the value as a raw number in the type's unit.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                ::std::fmt::Display::fmt(&self.0, f)?;
                f.write_str($unit)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::number::parse_number(text.strip_suffix($unit).unwrap_or(text), $label).map(Self)
            }
        }
    };
}

pub(crate) use number_newtype;

/// Parses a number; an error names the type `expected`.
pub(crate) fn parse_number<N: FromStr>(
    text: &str,
    expected: &'static str,
) -> Result<N, ParseUnitError> {
    if text.is_empty() {
        return Err(ParseUnitError::Empty { expected });
    }
    text.parse()
        .map_err(|_out_of_range| ParseUnitError::Number {
            expected,
            text: text.to_owned(),
        })
}
