//! Decisions and changes of belief, for the log.

use std::net::Ipv4Addr;

use serde::{Serialize, Serializer};

use crate::{EndpointState, Flow};

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// No route names the destination.
    NoRoute,
    /// The datagram is no packet or message.
    Malformed,
    /// The route's service has no endpoint that could hold the flow.
    NoEndpoint,
    /// Settings have not been learned yet.
    NoSettings,
    /// The packet was returned and nothing is known of its way here.
    UnknownReturn,
}

/// Why the system reset a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetReason {
    /// The endpoint that held the flow started anew and handed a packet of it back.
    EndpointForgot,
    /// The endpoint that held the flow refuses connections: its process is gone.
    EndpointGone,
    /// Every endpoint of the service was asked, more than once, and none holds the flow.
    HeldByNone,
}

/// One decision or change of belief.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
#[expect(
    missing_docs,
    reason = "the variants' docs say what each holds; fields carry their units"
)]
pub enum Event {
    /// A balancer offered an opening to the first of `candidates` endpoints.
    OpeningPlaced {
        #[serde(serialize_with = "display")]
        flow: Flow,
        agent: Ipv4Addr,
        candidates: u8,
        attempt: u8,
        catalog_revision: u64,
    },
    /// An agent passed an opening on, its endpoint being full, leaving or silent.
    OpeningPassed {
        #[serde(serialize_with = "display")]
        flow: Flow,
        load: u16,
        slots: u16,
        position: u8,
        leaving: bool,
        silent: bool,
        /// What the endpoint's record adds to its fullness, in thousandths of its slots.
        penalty: u16,
    },
    /// The endpoint answered an opening.
    OpeningAccepted {
        #[serde(serialize_with = "display")]
        flow: Flow,
        load: u16,
        slots: u16,
        wait_ms: u64,
    },
    /// A balancer looks for the holder of a flow.
    LookupStarted {
        #[serde(serialize_with = "display")]
        flow: Flow,
        asked: u8,
        catalog_revision: u64,
    },
    /// A balancer learned which agent holds a flow.
    HolderFound {
        #[serde(serialize_with = "display")]
        flow: Flow,
        agent: Ipv4Addr,
    },
    /// All endpoints asked said that they don't hold the flow.
    LookupFailed {
        #[serde(serialize_with = "display")]
        flow: Flow,
        rounds: u8,
    },
    /// A reset was sent to the caller.
    ResetSent {
        #[serde(serialize_with = "display")]
        flow: Flow,
        reason: ResetReason,
    },
    /// A packet or message was dropped.
    Dropped { reason: DropReason, count: u64 },
    /// The endpoint beside the agent stopped answering openings.
    EndpointSilent { misses: u32 },
    /// The endpoint beside the agent answers again.
    EndpointAnswers { silent_ms: u64 },
    /// The endpoint beside the agent refuses connections; the flows it held are gone.
    EndpointGone { flows: usize },
    /// The endpoint beside the agent lost its flows; openings prefer others for a time.
    EndpointCrashed { hold_off_ms: u64 },
    /// The endpoint beside the agent fails many of its requests, or no longer.
    EndpointRecordChanged { failures: u32 },
    /// The list says that the endpoint beside the agent has another state.
    EndpointStateChanged {
        state: EndpointState,
        slots: u16,
        revision: u64,
    },
    /// The endpoint beside the agent lost flows that it held.
    EndpointForgotFlow {
        #[serde(serialize_with = "display")]
        flow: Flow,
    },
    /// An agent has not answered for some time.
    AgentLost { agent: Ipv4Addr, silent_ms: u64 },
    /// An agent answers again.
    AgentRegained { agent: Ipv4Addr },
    /// Another balancer was heard for the first time or after a silence.
    PeerFound { balancer: Ipv4Addr },
    /// Another balancer has not been heard for some time.
    PeerLost { balancer: Ipv4Addr, silent_ms: u64 },
    /// A newer list of endpoints and routes is in force.
    CatalogInForce {
        revision: u64,
        settings_version: u64,
        routes: usize,
        endpoints: usize,
        from_peer: bool,
    },
    /// A list of endpoints and routes that isn't newer was ignored.
    CatalogIgnored { revision: u64, in_force: u64 },
    /// This balancer leaves callers to instances with faster links, or no longer.
    Standby {
        stands_by: bool,
        link_mbps: u32,
        peers: usize,
    },
    /// This balancer reads the platform's store itself from now on, or no longer.
    StoreDuty {
        reads: bool,
        peers: usize,
        freshest_age_ms: u64,
    },
}

/// Kinds of events that a log limits separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// An ordinary decision about one flow; sampled.
    Ordinary,
    /// Something went wrong with one flow; kept up to a bound.
    Failure,
    /// A change of what the process believes; always kept, and rare.
    StateChange,
}

impl Event {
    /// Returns how a log treats the event.
    #[must_use]
    pub const fn kind(&self) -> EventKind {
        match self {
            Self::OpeningPlaced { attempt: 0, .. }
            | Self::OpeningAccepted { .. }
            | Self::OpeningPassed { .. }
            | Self::HolderFound { .. } => EventKind::Ordinary,
            Self::OpeningPlaced { .. }
            | Self::LookupStarted { .. }
            | Self::LookupFailed { .. }
            | Self::ResetSent { .. }
            | Self::EndpointForgotFlow { .. }
            | Self::CatalogIgnored { .. }
            | Self::Dropped { .. } => EventKind::Failure,
            _ => EventKind::StateChange,
        }
    }
}

fn display<S: Serializer>(flow: &Flow, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(flow)
}
