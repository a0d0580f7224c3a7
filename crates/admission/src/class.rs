//! Class of a request from its route and the caller's priority.

use bundle::RequestClass;

/// Urgency from which on RFC 9218 work is in the background.
const BACKGROUND_URGENCY: u8 = 5;

/// The caller's `Priority` field (RFC 9218).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Priority {
    /// 0 (most urgent) to 7, 3 when the caller says nothing.
    pub urgency: u8,
}

impl Default for Priority {
    fn default() -> Self {
        Self { urgency: 3 }
    }
}

impl Priority {
    /// Parses the field; parts that are not understood are ignored, as the RFC asks.
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

/// Returns the class of a request.
///
/// The route decides. A caller may step back behind others but never ahead of them, so that no
/// caller gains by claiming urgency.
#[must_use]
pub const fn class_of(route: RequestClass, priority: Priority) -> RequestClass {
    if priority.urgency >= BACKGROUND_URGENCY {
        return RequestClass::Long;
    }
    route
}
