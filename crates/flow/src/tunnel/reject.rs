//! Reasons to reject a tunnel datagram.

use std::fmt;

/// The reason why a tunnel datagram must be dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reject {
    /// The datagram is shorter than its tunnel header.
    Truncated,
    /// The datagram is not a tunnel datagram or has an unsupported version.
    Magic,
    /// The receiver does not accept this kind of datagram.
    Kind,
    /// The payload length differs from the length in the header.
    Length,
    /// This process holds no keys of the service that the header names.
    Service,
    /// This process holds no key with the header's key index.
    Key,
    /// The MAC doesn't match, because the datagram is forged or corrupted.
    Mac,
    /// The candidate list of an opening is invalid.
    Candidates,
    /// The datagram is addressed to another endpoint, which used this address before.
    Endpoint,
    /// The datagram is addressed to another incarnation of this endpoint's agent.
    Incarnation,
}

impl Reject {
    /// All rejection reasons in the order of `Ord`.
    pub const ALL: [Self; 10] = [
        Self::Truncated,
        Self::Magic,
        Self::Kind,
        Self::Length,
        Self::Service,
        Self::Key,
        Self::Mac,
        Self::Candidates,
        Self::Endpoint,
        Self::Incarnation,
    ];

    /// Returns the rejection reason's name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Truncated => "truncated",
            Self::Magic => "magic",
            Self::Kind => "kind",
            Self::Length => "length",
            Self::Service => "service",
            Self::Key => "key",
            Self::Mac => "mac",
            Self::Candidates => "candidates",
            Self::Endpoint => "endpoint",
            Self::Incarnation => "incarnation",
        }
    }
}

impl fmt::Display for Reject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "tunnel datagram refused: {}", self.name())
    }
}

impl std::error::Error for Reject {}
