//! Messages between our own processes.
//!
//! Every message is one datagram: a preamble, a header of fixed layout in network order, and for
//! some kinds a packet or a list behind it. Balancers and agents all listen on the same port, so an
//! instance is named by its IP address alone.

mod decode;
mod write;

use std::{fmt, net::Ipv4Addr};

use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    byteorder::network_endian::{U16, U32, U64},
};

pub use decode::decode;
pub(crate) use write::{
    write_bound, write_carry, write_chunk, write_digest, write_not_held, write_notice,
    write_report, write_retired, write_returned, write_search,
};

use crate::{EndpointState, Flow, Segment, ServiceKey, ZoneKey, flow::FLOW_BYTES};

/// Marks a datagram as one of ours.
const MAGIC: u16 = 0x4C47;

/// Version of the messages' layout.
const LAYOUT: u8 = 2;

/// Candidates that one carried packet can name.
pub(crate) const CANDIDATES_MAX: usize = 8;

/// Instances that one message can name.
pub(crate) const INSTANCES_MAX: usize = 32;

/// Agents that one search can name; with a packet of 1,232 bytes they fit a path of 1,500.
pub(crate) const SEARCHED_MAX: usize = 56;

/// Kinds of messages, as written in the preamble.
mod kind {
    pub(super) const CARRY: u8 = 1;
    pub(super) const RETURN: u8 = 2;
    pub(super) const BOUND: u8 = 3;
    pub(super) const NOTICE: u8 = 4;
    pub(super) const REPORT: u8 = 5;
    pub(super) const DIGEST: u8 = 6;
    pub(super) const CHUNK: u8 = 7;
    pub(super) const RETIRED: u8 = 8;
    pub(super) const SEARCH: u8 = 9;
    pub(super) const NOT_HELD: u8 = 10;
}

/// Why a datagram is not a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageError {
    /// The datagram ends within a header or list.
    Truncated,
    /// The datagram is not one of ours, or of another layout.
    UnknownFormat,
    /// A field has a value that no process of ours writes.
    InvalidField {
        /// Name of the field.
        field: &'static str,
    },
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => f.write_str("the message ends too early; drop it"),
            Self::UnknownFormat => f.write_str(
                "the datagram is not a message of this layout; drop it, and run one release \
                 everywhere if it comes from an instance of ours",
            ),
            Self::InvalidField { field } => {
                write!(
                    f,
                    "`{field}` has a value that is never written; drop the message"
                )
            }
        }
    }
}

impl std::error::Error for MessageError {}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Preamble {
    magic: U16,
    layout: u8,
    kind: u8,
}

impl Preamble {
    const fn new(kind: u8) -> Self {
        Self {
            magic: U16::new(MAGIC),
            layout: LAYOUT,
            kind,
        }
    }
}

/// What a carried packet is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Carried {
    /// It opens a flow; the candidates may take it.
    Opening,
    /// It belongs to a flow that the agent is known to hold.
    Established,
    /// It belongs to a flow whose holder is looked for among the candidates.
    Lookup,
}

impl Carried {
    /// Returns what a packet is whose agent is known.
    pub(crate) const fn known(segment: &Segment) -> Self {
        if segment.is_opening() {
            Self::Opening
        } else {
            Self::Established
        }
    }

    const fn to_byte(self) -> u8 {
        match self {
            Self::Opening => 0,
            Self::Established => 1,
            Self::Lookup => 2,
        }
    }

    const fn from_byte(byte: u8) -> Result<Self, MessageError> {
        match byte {
            0 => Ok(Self::Opening),
            1 => Ok(Self::Established),
            2 => Ok(Self::Lookup),
            _ => Err(MessageError::InvalidField { field: "carried" }),
        }
    }
}

/// An agent that may get a carried packet.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    FromBytes,
    IntoBytes,
    Immutable,
    KnownLayout,
    Unaligned,
)]
#[repr(C)]
pub(crate) struct Candidate {
    agent: [u8; 4],
    /// Requests that its endpoint runs at once.
    pub(crate) slots: u8,
}

impl Candidate {
    pub(crate) const fn new(agent: Ipv4Addr, slots: u8) -> Self {
        Self {
            agent: agent.octets(),
            slots,
        }
    }

    pub(crate) fn agent(self) -> Ipv4Addr {
        self.agent.into()
    }
}

/// The agents that a carried packet may visit, in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Candidates {
    list: [Candidate; CANDIDATES_MAX],
    /// Invariant: at most `CANDIDATES_MAX`.
    len: u8,
}

impl Candidates {
    /// Adds a candidate; returns whether there was room.
    pub(crate) fn push(&mut self, candidate: Candidate) -> bool {
        let Some(free) = self.list.get_mut(usize::from(self.len)) else {
            return false;
        };
        *free = candidate;
        self.len += 1;
        true
    }

    pub(crate) fn as_slice(&self) -> &[Candidate] {
        &self.list[..usize::from(self.len)]
    }

    /// Returns how many there are.
    pub(crate) const fn len(&self) -> u8 {
        self.len
    }
}

/// How full an endpoint is: its requests per slot, in thousandths, with a part for each idle flow.
pub(crate) type Fullness = u16;

/// Fullness of an endpoint whose slots are all taken.
pub(crate) const FULL: Fullness = 1_000;

/// Fullness of an endpoint that can't take the opening at all.
pub(crate) const FULLNESS_CLOSED: Fullness = u16::MAX;

/// How full an endpoint may be to take an opening that it isn't forced to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AcceptLimits {
    pub(crate) fullness: Fullness,
    /// Limit on the part that idle flows have in the fullness.
    pub(crate) idle: Fullness,
}

impl AcceptLimits {
    /// Any endpoint with a free slot may take the opening.
    pub(crate) const FREE_SLOT: Self = Self {
        fullness: FULL - 1,
        idle: FULLNESS_CLOSED - 1,
    };
}

/// The way of a carried packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Carry {
    pub(crate) service: ServiceKey,
    /// The balancer that got the packet from the caller.
    pub(crate) origin: Ipv4Addr,
    pub(crate) carried: Carried,
    /// The candidate has been told to take the opening however full its endpoint is.
    pub(crate) forced: bool,
    /// Distinguishes lookups of one balancer; zero for packets that nobody counts.
    pub(crate) ticket: u16,
    /// Place in the list of the agent that has the packet.
    pub(crate) position: u8,
    /// Place in the list of the least full candidate so far.
    pub(crate) best: u8,
    pub(crate) best_fullness: Fullness,
    /// Candidates above these limits pass the opening on.
    pub(crate) limits: AcceptLimits,
    pub(crate) candidates: Candidates,
}

impl Carry {
    /// Starts at the first of the candidates.
    pub(crate) const fn new(
        service: ServiceKey,
        origin: Ipv4Addr,
        carried: Carried,
        candidates: Candidates,
    ) -> Self {
        Self {
            service,
            origin,
            carried,
            forced: false,
            ticket: 0,
            position: 0,
            best: 0,
            best_fullness: FULLNESS_CLOSED,
            limits: AcceptLimits::FREE_SLOT,
            candidates,
        }
    }

    /// Asks candidates above the limits to pass the opening on.
    pub(crate) const fn with_limits(mut self, limits: AcceptLimits) -> Self {
        self.limits = limits;
        self
    }

    pub(crate) const fn with_ticket(mut self, ticket: u16) -> Self {
        self.ticket = ticket;
        self
    }

    /// Returns the candidate that the packet is at, none if the position is past the end.
    pub(crate) fn current(&self) -> Option<Candidate> {
        self.candidates
            .as_slice()
            .get(usize::from(self.position))
            .copied()
    }
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct CarryHeader {
    preamble: Preamble,
    service: U64,
    origin: [u8; 4],
    carried: u8,
    forced: u8,
    ticket: U16,
    position: u8,
    count: u8,
    best: u8,
    _reserved: u8,
    best_fullness: U16,
    fullness_limit: U16,
    idle_limit: U16,
}

/// Something the agent tells the balancer that sent a packet: it holds the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Bound {
    pub(crate) flow: Flow,
    pub(crate) fullness: Fullness,
}

/// A packet whose holder an agent is asked to look for on a balancer's behalf.
///
/// Balancers may have narrow links; the agent sends the copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Search<'a> {
    pub(crate) service: ServiceKey,
    /// The balancer that gets the results.
    pub(crate) origin: Ipv4Addr,
    pub(crate) ticket: u16,
    /// Agents that a chain visits.
    pub(crate) chain_len: u8,
    /// Agents that are visited in chains.
    pub(crate) sure: Instances<'a>,
    /// Agents that may be gone, each visited alone.
    pub(crate) doubtful: Instances<'a>,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct SearchHeader {
    preamble: Preamble,
    service: U64,
    origin: [u8; 4],
    ticket: U16,
    chain_len: u8,
    sure: u8,
    doubtful: u8,
    _reserved: u8,
}

/// The end of a chain on which no agent holds the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NotHeld {
    pub(crate) flow: Flow,
    pub(crate) ticket: u16,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct NotHeldHeader {
    preamble: Preamble,
    flow: [u8; FLOW_BYTES],
    ticket: U16,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct BoundHeader {
    preamble: Preamble,
    flow: [u8; FLOW_BYTES],
    fullness: U16,
}

/// A packet that came back to the balancer since no agent on its way holds or takes the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Returned {
    pub(crate) carried: Carried,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct ReturnHeader {
    preamble: Preamble,
    carried: u8,
}

/// What a balancer tells an agent about the endpoint beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Notice {
    pub(crate) service: ServiceKey,
    /// The list that the state comes from.
    pub(crate) revision: u64,
    pub(crate) state: EndpointState,
    pub(crate) slots: u16,
    pub(crate) idle_timeout_ms: u32,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct NoticeHeader {
    preamble: Preamble,
    service: U64,
    revision: U64,
    state: u8,
    _reserved: u8,
    slots: U16,
    idle_timeout_ms: U32,
}

/// An agent's answer to a notice, with the balancers that it heard lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Report<'a> {
    pub(crate) fullness: Fullness,
    /// The part of it that idle flows have.
    pub(crate) idle_fullness: Fullness,
    pub(crate) balancers: Instances<'a>,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct ReportHeader {
    preamble: Preamble,
    fullness: U16,
    idle_fullness: U16,
    count: u8,
    _reserved: u8,
}

/// What a balancer tells other balancers about its knowledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Digest<'a> {
    /// Revision of the catalog in force.
    pub(crate) revision: u64,
    /// Time since the store confirmed to any balancer that nothing newer exists.
    pub(crate) confirmed_age_ms: u32,
    /// The sender asks for an answer.
    pub(crate) wants_answer: bool,
    /// The sender stops; others take over what it did.
    pub(crate) stopping: bool,
    /// The sender started a moment ago and lacks what only other balancers know.
    pub(crate) is_young: bool,
    /// The availability zone the sender runs in.
    pub(crate) zone: ZoneKey,
    /// What the sender's link carries.
    pub(crate) link_mbps: u32,
    pub(crate) balancers: Instances<'a>,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct DigestHeader {
    preamble: Preamble,
    revision: U64,
    zone: U64,
    link_mbps: U32,
    confirmed_age_ms: U32,
    wants_answer: u8,
    stopping: u8,
    count: u8,
    is_young: u8,
}

/// A part of a catalog's bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Chunk<'a> {
    pub(crate) revision: u64,
    pub(crate) confirmed_age_ms: u32,
    pub(crate) index: u16,
    pub(crate) count: u16,
    pub(crate) bytes: &'a [u8],
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct ChunkHeader {
    preamble: Preamble,
    revision: U64,
    confirmed_age_ms: U32,
    index: U16,
    count: U16,
}

/// A list of instances within a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Instances<'a>(&'a [[u8; 4]]);

impl<'a> Instances<'a> {
    /// Wraps a list of at most 255 instances.
    pub(crate) const fn new(list: &'a [[u8; 4]]) -> Self {
        debug_assert!(list.len() <= u8::MAX as usize, "the count is one byte");
        Self(list)
    }

    /// Splits the list into chains of `chain_len` instances.
    pub(crate) fn chains(self, chain_len: u8) -> impl Iterator<Item = Instances<'a>> {
        self.0.chunks(usize::from(chain_len)).map(Instances)
    }

    pub(crate) fn iter(self) -> impl Iterator<Item = Ipv4Addr> + 'a {
        self.0.iter().map(|it| Ipv4Addr::from(*it))
    }

    #[expect(
        clippy::cast_possible_truncation,
        reason = "a list has at most 255 instances"
    )]
    const fn count(self) -> u8 {
        self.0.len() as u8
    }
}

/// A decoded message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Message<'a>(pub(crate) Body<'a>);

/// What a message says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Body<'a> {
    Carry(Carry, &'a [u8]),
    Returned(Returned, &'a [u8]),
    Bound(Bound),
    Notice(Notice),
    Report(Report<'a>),
    Digest(Digest<'a>),
    Chunk(Chunk<'a>),
    /// Serialized [`crate::snapshot::RetiredList`].
    Retired(&'a [u8]),
    Search(Search<'a>, &'a [u8]),
    NotHeld(NotHeld),
}
