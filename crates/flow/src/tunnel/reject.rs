//! Why tunnel datagrams are refused.

use std::fmt;

/// Why a tunnel datagram must be dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reject {
    /// Too short to hold its header.
    Truncated,
    /// Not a tunnel datagram, or of a version not spoken here.
    Magic,
    /// Of a kind that is not expected here.
    Kind,
    /// The payload is not as long as the header says.
    Length,
    /// For a service whose keys this process doesn't hold.
    Service,
    /// Signed with a key index this process doesn't hold.
    Key,
    /// The MAC doesn't match: forged or damaged.
    Mac,
    /// The list of candidates is not valid.
    Candidates,
    /// For another endpoint: its address was reused.
    Endpoint,
    /// For an earlier or later run of this endpoint's agent.
    Incarnation,
}

impl Reject {
    /// Every kind, in the order of `Ord`.
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

    /// Returns the name used for counters.
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
