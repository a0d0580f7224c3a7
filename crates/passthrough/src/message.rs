//! Messages between balancers and agents.
//!
//! Every message is one datagram: a preamble, a header of fixed layout in network byte order, and
//! for some kinds a packet or a list after it. Balancers and agents all listen on the same port, so
//! an IP address identifies an instance.

mod decode;
mod digest;
mod write;

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddrV4},
};

use units::Millis;
use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    byteorder::network_endian::{U16, U32, U64},
};

pub use decode::decode_message;
pub(crate) use digest::{
    AgedFormerTarget, DIGEST_FORMER_TARGETS_MAX, Digest, DigestRequest, Member, PeerStatus,
};
use digest::{DIGEST_MEMBERS_MAX, DigestHeader, NO_RETIRED_TOLD};
pub(crate) use write::{
    write_catalog_chunk, write_digest, write_flow_given_up, write_flow_held, write_flow_not_held,
    write_forwarded_packet, write_load_report, write_lookup_request, write_opening_held,
    write_retired_list, write_returned_packet, write_state_notice,
};

use crate::{
    EndpointState, Flow, RequestKind, RequestProfile, Segment, ServiceKey,
    clock_echo::{ClockEcho, ClockMark},
    flow::FLOW_BYTES,
    flow_identity::OpeningId,
};

/// Magic number that identifies a datagram as a message.
const MAGIC: u16 = 0x4C47;

/// Version of the layout of all messages.
pub const LAYOUT_VERSION: u8 = 5;

/// Maximum number of candidate agents in the header of a forwarded packet.
pub(crate) const CANDIDATES_MAX: usize = 8;

/// Maximum number of balancers listed in a load report.
pub(crate) const REPORTED_BALANCERS_MAX: usize = 16;

/// Maximum number of routes listed in a load report.
pub(crate) const REPORTED_ROUTES_MAX: usize = 32;

/// Maximum size of a lookup request in bytes, which with the headers of IP and UDP fits an MTU of
/// 1,500 bytes.
const LOOKUP_REQUEST_MAX_BYTES: usize = 1_472;

/// Maximum number of agents in a lookup request: the request encodes their number in one byte.
const LOOKUP_AGENTS_MAX: usize = u8::MAX as usize;

/// Returns how many agents fit into a lookup request that carries a packet of `packet_bytes`; at
/// least one.
///
/// A packet without data leaves room for all agents of a lookup, a packet of 1,232 bytes for 54.
pub(crate) const fn lookup_agents_per_request(packet_bytes: usize) -> usize {
    let free = LOOKUP_REQUEST_MAX_BYTES
        .saturating_sub(size_of::<LookupRequestHeader>())
        .saturating_sub(packet_bytes);
    let agents = free / size_of::<[u8; 4]>();
    if agents == 0 {
        return 1;
    }
    if agents > LOOKUP_AGENTS_MAX {
        return LOOKUP_AGENTS_MAX;
    }
    agents
}

/// Flags in the message that an agent's endpoint holds a flow.
mod held_flag {
    pub(super) const HAS_OPENING: u8 = 1;
    pub(super) const HAS_ENDPOINT_POSITION: u8 = 2;
}

/// Message kinds, as encoded in the preamble.
mod kind {
    pub(super) const FORWARD: u8 = 1;
    pub(super) const RETURN: u8 = 2;
    pub(super) const FLOW_HELD: u8 = 3;
    pub(super) const STATE_NOTICE: u8 = 4;
    pub(super) const LOAD_REPORT: u8 = 5;
    pub(super) const DIGEST: u8 = 6;
    pub(super) const CHUNK: u8 = 7;
    pub(super) const RETIRED: u8 = 8;
    pub(super) const LOOKUP_REQUEST: u8 = 9;
    pub(super) const FLOW_NOT_HELD: u8 = 10;
    pub(super) const OPENING_HELD: u8 = 14;
    pub(super) const FLOW_GIVEN_UP: u8 = 11;
}

/// Error for a datagram that is not a valid message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageError {
    /// The datagram ends within the message's header or list.
    Truncated,
    /// The datagram is not a message, or has another layout version.
    UnknownFormat,
    /// A field of the message has an invalid value.
    InvalidField {
        /// Name of the field with the invalid value.
        field: &'static str,
    },
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => f.write_str("the message is truncated; drop it"),
            Self::UnknownFormat => f.write_str(
                "the datagram is not a message of this layout version; drop it, and if one of our \
                 instances sent it, run the same release on all instances",
            ),
            Self::InvalidField { field } => {
                write!(f, "field `{field}` has an invalid value; drop the message")
            }
        }
    }
}

impl std::error::Error for MessageError {}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Preamble {
    magic: U16,
    layout_version: u8,
    kind: u8,
}

impl Preamble {
    const fn new(kind: u8) -> Self {
        Self {
            magic: U16::new(MAGIC),
            layout_version: LAYOUT_VERSION,
            kind,
        }
    }
}

/// How a forwarded packet relates to its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PacketClass {
    /// The packet opens a flow, which any of the candidate agents may accept.
    Opening,
    /// The packet belongs to a flow that the receiving agent's endpoint is known to hold.
    Established,
    /// The packet belongs to a flow whose holder is looked up among the candidate agents.
    Lookup,
}

/// Encodes the class of a lookup's packet whose chain has a silent endpoint. Agents of earlier releases
/// drop it, so that they don't report the chain's end as proof.
const LOOKUP_PAST_SILENCE: u8 = 3;

impl PacketClass {
    /// Returns the class of a packet whose flow is held by a known agent's endpoint.
    pub(crate) const fn for_known_agent(segment: &Segment) -> Self {
        if segment.is_opening_packet() {
            Self::Opening
        } else {
            Self::Established
        }
    }

    const fn to_wire_byte(self) -> u8 {
        match self {
            Self::Opening => 0,
            Self::Established => 1,
            Self::Lookup => 2,
        }
    }

    const fn from_wire_byte(byte: u8) -> Result<Self, MessageError> {
        match byte {
            0 => Ok(Self::Opening),
            1 => Ok(Self::Established),
            2 | LOOKUP_PAST_SILENCE => Ok(Self::Lookup),
            _ => Err(MessageError::InvalidField { field: "class" }),
        }
    }
}

/// An agent to which a packet may be forwarded.
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
    /// Concurrency slots of the endpoint beside the candidate agent.
    pub(crate) slots: u8,
}

impl Candidate {
    pub(crate) const fn new(agent: Ipv4Addr, slots: u8) -> Self {
        Self {
            agent: agent.octets(),
            slots,
        }
    }

    pub(crate) fn agent_address(self) -> Ipv4Addr {
        self.agent.into()
    }
}

/// The agents to which a packet may be forwarded, in the order in which they are tried.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Candidates {
    list: [Candidate; CANDIDATES_MAX],
    /// Number of candidates in `list`; at most `CANDIDATES_MAX`.
    len: u8,
}

impl Candidates {
    /// Adds a candidate agent unless the list is full, and returns whether it was added.
    pub(crate) fn push_candidate(&mut self, candidate: Candidate) -> bool {
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

    /// Returns the number of candidate agents.
    pub(crate) const fn len(&self) -> u8 {
        self.len
    }
}

/// Utilization of an endpoint: its requests per concurrency slot, in thousandths, including the
/// expected load of idle flows.
pub(crate) type Utilization = u16;

/// Utilization of an endpoint whose concurrency slots are all taken.
pub(crate) const UTILIZATION_FULL: Utilization = 1_000;

/// Special utilization of an endpoint that accepts no new flows at all.
pub(crate) const UTILIZATION_CLOSED: Utilization = u16::MAX;

/// Limits on the utilization up to which an endpoint accepts a new flow. They don't apply to an
/// opening packet that the endpoint must accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AcceptLimits {
    pub(crate) utilization: Utilization,
    /// Limit on the share of the utilization that is due to idle flows.
    pub(crate) idle: Utilization,
}

impl AcceptLimits {
    /// Limits within which any endpoint with a free concurrency slot accepts a new flow.
    pub(crate) const FREE_SLOT: Self = Self {
        utilization: UTILIZATION_FULL - 1,
        idle: UTILIZATION_CLOSED - 1,
    };
}

/// Forwarding state of a packet on its way from one candidate agent to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Forward {
    pub(crate) service: ServiceKey,
    /// The balancer that received the packet from the caller.
    pub(crate) origin: Ipv4Addr,
    pub(crate) class: PacketClass,
    /// Whether the current candidate must accept the opening packet regardless of its utilization.
    pub(crate) must_accept: bool,
    /// Whether an endpoint of a lookup's chain has neither answered nor returned the packet, so that
    /// the chain's end doesn't prove that its endpoints don't hold the flow.
    pub(crate) has_silent_endpoint: bool,
    /// Id of the origin balancer's lookup; zero if the balancer does not track the lookup's result.
    pub(crate) lookup_id: u16,
    /// Index of the current candidate agent in `candidates`.
    pub(crate) position: u8,
    /// Index of the least utilized candidate that the packet has reached so far.
    pub(crate) best_position: u8,
    pub(crate) best_utilization: Utilization,
    /// Candidates whose utilization exceeds these limits forward the opening packet to the next
    /// candidate.
    pub(crate) limits: AcceptLimits,
    /// What the operator states about the request that an opening packet announces.
    pub(crate) requests: RequestProfile,
    /// Time since a balancer received the opening packet's first copy.
    pub(crate) age_ms: u16,
    pub(crate) candidates: Candidates,
}

impl Forward {
    /// Creates the forwarding state of a packet that is sent to the first candidate.
    pub(crate) const fn new(
        service: ServiceKey,
        origin: Ipv4Addr,
        class: PacketClass,
        candidates: Candidates,
    ) -> Self {
        Self {
            service,
            origin,
            class,
            must_accept: false,
            has_silent_endpoint: false,
            lookup_id: 0,
            position: 0,
            best_position: 0,
            best_utilization: UTILIZATION_CLOSED,
            limits: AcceptLimits::FREE_SLOT,
            requests: RequestProfile {
                kind: RequestKind::NonIdempotent,
                goal_ms: Millis::new(0),
                timeout_ms: Millis::new(0),
                priority: 0,
            },
            age_ms: 0,
            candidates,
        }
    }

    /// Sets what is known of the request that an opening packet announces.
    pub(crate) const fn with_requests(mut self, requests: RequestProfile, age_ms: u16) -> Self {
        self.requests = requests;
        self.age_ms = age_ms;
        self
    }

    /// Sets the utilization limits above which candidates forward an opening packet to the next
    /// candidate.
    pub(crate) const fn with_limits(mut self, limits: AcceptLimits) -> Self {
        self.limits = limits;
        self
    }

    pub(crate) const fn with_lookup_id(mut self, lookup_id: u16) -> Self {
        self.lookup_id = lookup_id;
        self
    }

    /// Returns the current candidate agent, or `None` after the last candidate.
    pub(crate) fn current_candidate(&self) -> Option<Candidate> {
        self.candidates
            .as_slice()
            .get(usize::from(self.position))
            .copied()
    }
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct ForwardHeader {
    preamble: Preamble,
    service: U64,
    origin: [u8; 4],
    class: u8,
    must_accept: u8,
    lookup_id: U16,
    position: u8,
    count: u8,
    best_position: u8,
    request_kind: u8,
    priority: u8,
    best_utilization: U16,
    utilization_limit: U16,
    idle_limit: U16,
    goal_ms: U16,
    timeout_ms: U16,
    age_ms: U16,
}

/// An agent's message to the balancer that sent a packet: the agent's endpoint holds the packet's
/// flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FlowHeld {
    pub(crate) flow: Flow,
    /// The service of the agent's endpoint, which the flow's route may have left.
    pub(crate) service: ServiceKey,
    pub(crate) utilization: Utilization,
    /// The flow's opening, if the agent saw it.
    pub(crate) opening: Option<OpeningId>,
    /// The endpoint's latest position in the flow, or `None` if an agent of an earlier release sent the
    /// message.
    pub(crate) endpoint_position: Option<u32>,
}

/// An agent's message to the balancer that sent an opening: the opening waits at the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OpeningHeld {
    pub(crate) flow: Flow,
    /// The opening, or `None` if an agent of an earlier release sent the message.
    pub(crate) opening: Option<OpeningId>,
    /// Time after which the opening is at the endpoint or on its way back to the balancer.
    pub(crate) stay_ms: u16,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct OpeningHeldHeader {
    preamble: Preamble,
    flow: [u8; FLOW_BYTES],
    stay_ms: U16,
}

/// A balancer's request that an agent look up the holder of a packet's flow.
///
/// The agent, not the balancer, sends copies of the packet to other agents, because the balancer's
/// link may be narrow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LookupRequest<'a> {
    pub(crate) service: ServiceKey,
    /// The balancer that receives the result of the lookup.
    pub(crate) origin: Ipv4Addr,
    pub(crate) lookup_id: u16,
    /// Maximum number of agents that are asked one after the other in a chain.
    pub(crate) chain_len: u8,
    /// Responsive agents, which are asked in chains of up to `chain_len` agents.
    pub(crate) responsive: Instances<'a>,
    /// Agents that may be lost, each of which is asked in a chain of its own.
    pub(crate) suspect: Instances<'a>,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct LookupRequestHeader {
    preamble: Preamble,
    service: U64,
    origin: [u8; 4],
    lookup_id: U16,
    chain_len: u8,
    responsive: u8,
    suspect: u8,
    _reserved: u8,
}

/// Reports to a balancer that no agent of a lookup chain has an endpoint that holds the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FlowNotHeld {
    pub(crate) flow: Flow,
    pub(crate) lookup_id: u16,
    /// The service whose agents were asked.
    pub(crate) service: ServiceKey,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct FlowNotHeldHeader {
    preamble: Preamble,
    flow: [u8; FLOW_BYTES],
    lookup_id: U16,
    service: U64,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct FlowHeldHeader {
    preamble: Preamble,
    flow: [u8; FLOW_BYTES],
    service: U64,
    utilization: U16,
}

/// What identifies a held flow, after the header; missing in messages of earlier releases.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct HeldIdentity {
    /// Bits of `held_flag`.
    flags: u8,
    opening: U32,
    endpoint_position: U32,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct FlowGivenUpHeader {
    preamble: Preamble,
    flow: [u8; FLOW_BYTES],
}

/// A packet returned to the balancer that sent it, because no candidate agent's endpoint holds or
/// accepts its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Returned {
    pub(crate) class: PacketClass,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct ReturnHeader {
    preamble: Preamble,
    class: u8,
}

/// A balancer's periodic notice to an agent of the catalog state of the agent's endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StateNotice {
    pub(crate) service: ServiceKey,
    /// Revision of the catalog that the endpoint's state comes from.
    pub(crate) revision: u64,
    pub(crate) state: EndpointState,
    pub(crate) slots: u16,
    pub(crate) idle_timeout_ms: u32,
    /// Whether the operator has taken the endpoint's availability zone out of use.
    pub(crate) is_evacuated: bool,
    /// Start time of the endpoint's process, as the endpoint's entry states it.
    pub(crate) born_ms: u64,
    /// Time for which the endpoint stayed cold when it wrote its entry.
    pub(crate) cold_left_ms: u32,
    /// Requests a second that the endpoint bears while it is cold; zero if no rate is stated.
    pub(crate) cold_rate: u32,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct StateNoticeHeader {
    preamble: Preamble,
    service: U64,
    revision: U64,
    state: u8,
    is_evacuated: u8,
    slots: U16,
    idle_timeout_ms: U32,
    born_ms: U64,
    cold_left_ms: U32,
    cold_rate: U32,
}

/// An agent's reply to a state notice: its endpoint's load and routes, and the balancers from which
/// the agent has recently received notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LoadReport<'a> {
    /// The service of the agent's endpoint.
    pub(crate) service: ServiceKey,
    pub(crate) utilization: Utilization,
    /// The share of `utilization` that is due to idle flows.
    pub(crate) idle_utilization: Utilization,
    /// Whether `routes` names the route of every flow that the endpoint may hold.
    pub(crate) lists_every_route: bool,
    /// Addresses of routes of which the endpoint holds flows.
    pub(crate) routes: &'a [RouteAddress],
    pub(crate) balancers: Instances<'a>,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct LoadReportHeader {
    preamble: Preamble,
    service: U64,
    utilization: U16,
    idle_utilization: U16,
    lists_every_route: u8,
    route_count: u8,
    balancer_count: u8,
}

/// The address and port of a route that callers send to.
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
pub(crate) struct RouteAddress {
    ip: [u8; 4],
    port: U16,
}

impl From<SocketAddrV4> for RouteAddress {
    fn from(address: SocketAddrV4) -> Self {
        Self {
            ip: address.ip().octets(),
            port: U16::new(address.port()),
        }
    }
}

impl From<RouteAddress> for SocketAddrV4 {
    fn from(address: RouteAddress) -> Self {
        Self::new(address.ip.into(), address.port.get())
    }
}

/// Time held of an echo that a message doesn't carry.
const NO_ECHO_HELD: u16 = u16::MAX;

/// The wire format of a [`ClockMark`].
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct WireClockMark {
    stamp: U32,
    echo_stamp: U32,
    echo_held_ms: U16,
}

impl From<ClockMark> for WireClockMark {
    fn from(mark: ClockMark) -> Self {
        Self {
            stamp: U32::new(mark.stamp),
            echo_stamp: U32::new(mark.echo.map_or(0, |it| it.stamp)),
            echo_held_ms: U16::new(mark.echo.map_or(NO_ECHO_HELD, |it| it.held_ms)),
        }
    }
}

impl From<WireClockMark> for ClockMark {
    fn from(mark: WireClockMark) -> Self {
        let echo = ClockEcho {
            stamp: mark.echo_stamp.get(),
            held_ms: mark.echo_held_ms.get(),
        };
        Self {
            stamp: mark.stamp.get(),
            echo: (echo.held_ms != NO_ECHO_HELD).then_some(echo),
        }
    }
}

/// A chunk of a serialized catalog or catalog delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Chunk<'a> {
    pub(crate) revision: u64,
    /// Hash of the serialized bytes, which tells transfers of the same revision apart.
    pub(crate) transfer_id: u64,
    pub(crate) confirmed_age_ms: u32,
    /// What bounds the time that the chunk was on its way.
    pub(crate) mark: ClockMark,
    pub(crate) index: u16,
    pub(crate) count: u16,
    pub(crate) bytes: &'a [u8],
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct ChunkHeader {
    preamble: Preamble,
    revision: U64,
    transfer_id: U64,
    confirmed_age_ms: U32,
    mark: WireClockMark,
    index: U16,
    count: U16,
}

/// A list of instances within a message, as IPv4 addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Instances<'a>(&'a [[u8; 4]]);

impl<'a> Instances<'a> {
    /// Wraps a list of at most 255 instance addresses.
    pub(crate) const fn new(list: &'a [[u8; 4]]) -> Self {
        debug_assert!(
            list.len() <= u8::MAX as usize,
            "the count is encoded in one byte"
        );
        Self(list)
    }

    /// Splits a list of agents into lookup chains of at most `chain_len` agents.
    pub(crate) fn split_into_chains(self, chain_len: u8) -> impl Iterator<Item = Instances<'a>> {
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

/// A decoded message between balancers and agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Message<'a>(pub(crate) Body<'a>);

/// The decoded content of a message, by message kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Body<'a> {
    Forward(Forward, &'a [u8]),
    Returned(Returned, &'a [u8]),
    FlowHeld(FlowHeld),
    OpeningHeld(OpeningHeld),
    StateNotice(StateNotice),
    LoadReport(LoadReport<'a>),
    Digest(Digest<'a>),
    Chunk(Chunk<'a>),
    /// Serialized [`crate::catalog_transfer::RetiredList`].
    Retired(&'a [u8]),
    LookupRequest(LookupRequest<'a>, &'a [u8]),
    FlowNotHeld(FlowNotHeld),
    /// Tells an agent that another one has accepted the flow's opening.
    FlowGivenUp(Flow, Option<OpeningId>),
}
