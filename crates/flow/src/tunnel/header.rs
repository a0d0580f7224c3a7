//! The decoded tunnel header.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

use units::{BundleVersion, EndpointId, Incarnation, ServiceId, Slots};

use super::Reject;

/// Maximum number of endpoints that an opening lists as candidates to open the flow.
pub const CANDIDATES_MAX: usize = 4;

/// Maximum number of times that agents forward an opening packet of a flow to each other.
pub const HOPS_MAX: u8 = 12;

/// The header of a tunnelled datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Header {
    /// The leg of the route between caller and agent that the datagram is on.
    pub kind: Kind,
    /// The service whose address the caller sent to.
    pub service: ServiceId,
    /// The endpoint whose agent receives or sent the datagram.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint's agent; zero on openings, which every incarnation accepts.
    pub incarnation: Incarnation,
    /// Version of the service's bundle that is in force at the sender.
    pub bundle_version: BundleVersion,
    /// The caller's address as seen by the balancer.
    pub caller: SocketAddr,
    /// The service address that the caller sent to.
    pub local: SocketAddr,
    /// Explicit congestion notification (ECN) bits of the caller's or agent's datagram.
    pub ecn: Ecn,
    /// The agent's load, on datagrams to the caller; zero on all other datagrams.
    pub load: Load,
    /// Candidates that may open the flow; set on `Kind::Opening` and `Kind::ForwardedOpening` only.
    pub opening: Option<Opening>,
}

impl Header {
    /// Checks that the datagram is addressed to the given endpoint and agent incarnation.
    ///
    /// Openings name no incarnation, so every incarnation accepts them.
    ///
    /// # Errors
    ///
    /// Returns the reason why the datagram must not reach the QUIC library.
    pub fn check_recipient(
        &self,
        endpoint: EndpointId,
        incarnation: Incarnation,
    ) -> Result<(), Reject> {
        if self.endpoint != endpoint {
            return Err(Reject::Endpoint);
        }
        if self.opening.is_none() && self.incarnation != incarnation {
            return Err(Reject::Incarnation);
        }
        Ok(())
    }

    /// Returns the caller's address and the service address of the flow.
    #[must_use]
    pub const fn flow_addresses(&self) -> (SocketAddr, SocketAddr) {
        (self.caller, self.local)
    }
}

/// The leg of the route between caller and agent that a datagram is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// From a balancer to the agent that owns the flow.
    ToAgent,
    /// From a balancer to the first decider of an opening.
    Opening,
    /// An opening that one agent forwarded to another.
    ForwardedOpening,
    /// From an agent to a balancer, which sends the payload to the caller.
    ToCaller,
}

/// Explicit congestion notification (ECN) bits, 0 to 3.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ecn(u8);

impl Ecn {
    /// Creates an ECN value from the two low bits of `bits`.
    #[must_use]
    pub const fn new(bits: u8) -> Self {
        Self(bits & 0b11)
    }

    /// Returns the two ECN bits.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }
}

/// An endpoint's load as reported by its agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Load {
    /// Concurrency slots that running requests occupy.
    pub busy: Slots,
    /// Total concurrency slots; zero if the agent has not reported its load yet.
    pub total: Slots,
    /// Whether the agent is leaving and refuses new flows.
    pub is_leaving: bool,
}

/// An endpoint that may open a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Candidate {
    /// The endpoint that may open the flow.
    pub endpoint: EndpointId,
    /// The address where the endpoint's agent receives tunnel datagrams.
    pub address: SocketAddr,
}

impl Candidate {
    /// Placeholder for unused elements of a fixed-size candidate list.
    pub(crate) const NONE: Self = Self {
        endpoint: EndpointId::new(0),
        address: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0)),
    };
}

/// Progress of the decision on which agent opens a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// The receiving agent decides who opens the flow, or delegates that to the next decider.
    Decide,
    /// The receiving agent opens the flow.
    Decided,
    /// The receiving agent is asked whether it has a recorded decision on the opening.
    Query {
        /// Position in the candidate list of the decider that started the query.
        asker: u8,
        /// Bit set of the positions in the candidate list that were already queried.
        queried: u8,
    },
}

/// The candidates that may open a flow, its deciders and the target that the balancer prefers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Opening {
    /// Only the first `count` candidates are set, and the first `deciders` of them decide in turn.
    candidates: [Candidate; CANDIDATES_MAX],
    /// Number of candidates, 1 to `CANDIDATES_MAX`.
    count: u8,
    /// Number of deciders, 1 to `count`.
    deciders: u8,
    /// Position of the candidate that the balancer prefers to open the flow, below `count`.
    target: u8,
    /// Number of times that agents forwarded the opening, at most `HOPS_MAX`.
    hops: u8,
    /// Progress of the decision; the candidate positions in the stage are below `count`.
    pub stage: Stage,
}

impl Opening {
    /// Creates an opening whose candidates have not decided yet who opens the flow.
    ///
    /// # Errors
    ///
    /// Returns an error if `list` is empty or too long, or `deciders` or `target` is outside it.
    pub fn new(list: &[Candidate], deciders: usize, target: usize) -> Result<Self, OpeningError> {
        if list.is_empty() || list.len() > CANDIDATES_MAX {
            return Err(OpeningError::Count(list.len()));
        }
        if deciders == 0 || deciders > list.len() || target >= list.len() {
            return Err(OpeningError::Position);
        }
        let mut candidates = [Candidate::NONE; CANDIDATES_MAX];
        candidates[..list.len()].copy_from_slice(list);
        Ok(Self {
            candidates,
            count: position_to_u8(list.len()),
            deciders: position_to_u8(deciders),
            target: position_to_u8(target),
            hops: 0,
            stage: Stage::Decide,
        })
    }

    /// Returns the endpoints that may open the flow, deciders first.
    #[must_use]
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates[..usize::from(self.count)]
    }

    /// Returns the deciders in the order of their turns, the previous bundle's decider first.
    #[must_use]
    pub fn deciders(&self) -> &[Candidate] {
        &self.candidates[..usize::from(self.deciders)]
    }

    /// Returns the endpoint that the balancer prefers to open the flow.
    #[must_use]
    pub fn target(&self) -> Candidate {
        self.candidates[usize::from(self.target)]
    }

    /// Returns the position in the candidate list of the endpoint that the balancer prefers.
    #[must_use]
    pub fn target_position(&self) -> usize {
        usize::from(self.target)
    }

    /// Returns the first decider, to which the balancer sends the opening.
    #[must_use]
    pub fn first_decider(&self) -> Candidate {
        self.candidates[0]
    }

    /// Returns an endpoint's position in the candidate list.
    #[must_use]
    pub fn position(&self, endpoint: EndpointId) -> Option<usize> {
        self.candidates()
            .iter()
            .position(|it| it.endpoint == endpoint)
    }

    /// Returns the number of times that agents forwarded the opening to each other.
    #[must_use]
    pub const fn hops(&self) -> u8 {
        self.hops
    }

    /// Replaces the stage of the decision and keeps the candidates.
    #[must_use]
    pub const fn with_stage(mut self, stage: Stage) -> Self {
        self.stage = stage;
        self
    }

    /// Replaces the stage of the decision and the hop count, and keeps the candidates.
    ///
    /// # Errors
    ///
    /// Returns an error if the asker is outside the candidate list or `hops` exceeds `HOPS_MAX`.
    pub fn with_stage_and_hops(mut self, stage: Stage, hops: u8) -> Result<Self, OpeningError> {
        let asker = match stage {
            Stage::Query { asker, .. } => asker,
            Stage::Decide | Stage::Decided => 0,
        };
        if asker >= self.count || hops > HOPS_MAX {
            return Err(OpeningError::Position);
        }
        self.stage = stage;
        self.hops = hops;
        Ok(self)
    }
}

/// The reason why an opening is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OpeningError {
    /// The candidate list is empty or too long; it has this many candidates.
    Count(usize),
    /// A position is outside the candidate list, or the hop count exceeds `HOPS_MAX`.
    Position,
}

impl fmt::Display for OpeningError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Count(count) => {
                write!(
                    f,
                    "the opening has {count} candidates; give 1 to {CANDIDATES_MAX}"
                )
            }
            Self::Position => f.write_str(
                "a position is outside the candidate list or there are too many hops; \
                 give positions inside the list and fewer hops",
            ),
        }
    }
}

impl std::error::Error for OpeningError {}

fn position_to_u8(position: usize) -> u8 {
    u8::try_from(position).expect("lists have at most CANDIDATES_MAX candidates")
}
