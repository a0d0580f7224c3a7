//! Derives the class of a request from its route and the caller's priority.

use bundle::RequestClass;

/// Lowest urgency value that RFC 9218 uses for background work.
const BACKGROUND_URGENCY: u8 = 5;

/// The caller's `Priority` header field (RFC 9218).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Priority {
    /// Urgency of the request from 0 (most urgent) to 7; 3 when the caller sends no value.
    pub urgency: u8,
}

impl Default for Priority {
    fn default() -> Self {
        Self { urgency: 3 }
    }
}

impl Priority {
    /// Parses a `Priority` header field and ignores unknown parameters, as RFC 9218 requires.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let urgency = text
            .split(',')
            .filter_map(|part| part.trim().strip_prefix("u="))
            .filter_map(|digits| digits.parse().ok())
            .find(|it| *it <= 7);
        urgency.map_or_else(Self::default, |urgency| Self { urgency })
    }
}

/// Returns the class of a request, given the class of its route and the caller's priority.
///
/// The route determines the class. A caller's priority can only demote a request to `Long`, never
/// promote it, so that no caller gains an advantage by claiming urgency.
#[must_use]
pub const fn class_of(route: RequestClass, priority: Priority) -> RequestClass {
    if priority.urgency >= BACKGROUND_URGENCY {
        return RequestClass::Long;
    }
    route
}
