//! What a tunnel header says.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

use units::{BundleVersion, EndpointId, Incarnation, ServiceId, Slots};

use super::Reject;

/// Most candidates that an opening lists.
pub const CANDIDATES_MAX: usize = 4;

/// Most times that agents pass an opening on.
pub const HOPS_MAX: u8 = 12;

/// The header of a tunnelled datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Header {
    /// Where the datagram is on its way.
    pub kind: Kind,
    /// The service whose address the caller used.
    pub service: ServiceId,
    /// The endpoint whose agent is to receive or has sent the datagram.
    pub endpoint: EndpointId,
    /// The run of that agent; zero on openings, which are for whichever run is there.
    pub incarnation: Incarnation,
    /// Version of the service's bundle in force at the sender.
    pub bundle_version: BundleVersion,
    /// The caller's address as the balancer saw it.
    pub caller: SocketAddr,
    /// The service address that the caller used.
    pub local: SocketAddr,
    /// Congestion notification bits of the caller's or agent's datagram.
    pub ecn: Ecn,
    /// The agent's load, on the way back to the caller; zero otherwise.
    pub load: Load,
    /// Who may open the flow; present exactly on `Kind::Opening` and `Kind::ForwardedOpening`.
    pub opening: Option<Opening>,
}

impl Header {
    /// Checks that the datagram is for this endpoint and run of its agent.
    ///
    /// Openings name no run: they are for whichever is there.
    ///
    /// # Errors
    ///
    /// Returns why the datagram must not reach the QUIC library.
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

    /// Returns the two addresses of the flow: the caller's and the service's.
    #[must_use]
    pub const fn path(&self) -> (SocketAddr, SocketAddr) {
        (self.caller, self.local)
    }
}

/// Where a datagram is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// From a balancer to the agent that holds the flow.
    ToAgent,
    /// From a balancer to the first agent that decides who opens the flow.
    Opening,
    /// An opening that an agent passed on to another.
    ForwardedOpening,
    /// From an agent to a balancer, to be sent to the caller.
    ToCaller,
}

/// Explicit congestion notification bits, 0 to 3.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ecn(u8);

impl Ecn {
    /// Keeps the two low bits.
    #[must_use]
    pub const fn new(bits: u8) -> Self {
        Self(bits & 0b11)
    }

    /// Returns the two bits.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }
}

/// How busy an endpoint is, as its agent says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Load {
    /// Slots taken by running requests.
    pub busy: Slots,
    /// Slots in all; zero if the agent said nothing yet.
    pub total: Slots,
    /// Whether the agent wants no new flows.
    pub is_leaving: bool,
}

/// An endpoint that may open a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where its agent receives tunnel datagrams.
    pub address: SocketAddr,
}

impl Candidate {
    /// Fills unused places of fixed lists.
    pub(crate) const NONE: Self = Self {
        endpoint: EndpointId::new(0),
        address: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0)),
    };
}

/// How far the decision about an opening has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// The receiver decides or passes on to the next decider.
    Decide,
    /// The receiver opens the flow.
    Decided,
    /// The receiver is queried whether it knows the flow.
    Query {
        /// Position of the decider that asks.
        asker: u8,
        /// Bit set of the positions that were queried.
        queried: u8,
    },
}

/// Who may open a flow, and who the balancer would have open it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Opening {
    /// The first `count` are meaningful; the first `deciders` of them decide in turn.
    candidates: [Candidate; CANDIDATES_MAX],
    /// 1 to `CANDIDATES_MAX`.
    count: u8,
    /// 1 to `count`.
    deciders: u8,
    /// Position of the endpoint to open the flow, below `count`.
    target: u8,
    /// Times that agents passed the opening on, at most `HOPS_MAX`.
    hops: u8,
    /// How far the decision has come; positions in it are below `count`.
    pub stage: Stage,
}

impl Opening {
    /// Makes an undecided opening.
    ///
    /// # Errors
    ///
    /// Returns an error if the list is empty or too long or a position is outside of it.
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
            count: narrow(list.len()),
            deciders: narrow(deciders),
            target: narrow(target),
            hops: 0,
            stage: Stage::Decide,
        })
    }

    /// Returns the candidates, deciders first.
    #[must_use]
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates[..usize::from(self.count)]
    }

    /// Returns the endpoints that decide in turn, the oldest generation's home first.
    #[must_use]
    pub fn deciders(&self) -> &[Candidate] {
        &self.candidates[..usize::from(self.deciders)]
    }

    /// Returns the endpoint that the balancer would have open the flow.
    #[must_use]
    pub fn target(&self) -> Candidate {
        self.candidates[usize::from(self.target)]
    }

    /// Returns the position of the target in the list.
    #[must_use]
    pub fn target_position(&self) -> usize {
        usize::from(self.target)
    }

    /// Returns where the opening goes first.
    #[must_use]
    pub fn first_decider(&self) -> Candidate {
        self.candidates[0]
    }

    /// Returns the position of an endpoint in the list.
    #[must_use]
    pub fn position(&self, endpoint: EndpointId) -> Option<usize> {
        self.candidates()
            .iter()
            .position(|it| it.endpoint == endpoint)
    }

    /// Returns how many times agents passed the opening on.
    #[must_use]
    pub const fn hops(&self) -> u8 {
        self.hops
    }

    /// Returns the same opening at another stage.
    #[must_use]
    pub const fn with_stage(mut self, stage: Stage) -> Self {
        self.stage = stage;
        self
    }

    /// Returns the same opening at another stage and passed on `hops` times.
    ///
    /// # Errors
    ///
    /// Returns an error if a position is outside the list or the opening was passed on too often.
    pub fn with_progress(mut self, stage: Stage, hops: u8) -> Result<Self, OpeningError> {
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

/// Why a list of candidates is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OpeningError {
    /// The list has this many candidates.
    Count(usize),
    /// A position is outside the list, or the opening was passed on too often.
    Position,
}

impl fmt::Display for OpeningError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Count(count) => {
                write!(f, "{count} candidates; give 1 to {CANDIDATES_MAX}")
            }
            Self::Position => f.write_str("a position is outside the list; give one inside"),
        }
    }
}

impl std::error::Error for OpeningError {}

fn narrow(position: usize) -> u8 {
    u8::try_from(position).expect("lists have at most CANDIDATES_MAX candidates")
}
