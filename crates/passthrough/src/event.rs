//! Events for the log: decisions about flows, and state changes.

use std::net::Ipv4Addr;

use serde::{Serialize, Serializer};

use crate::{EndpointState, Flow};

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// No route matches the destination.
    NoRoute,
    /// The datagram is not a valid packet or message.
    Malformed,
    /// The route's service has no endpoint that could hold the flow.
    NoEndpoint,
    /// No settings have been received yet.
    NoSettings,
    /// An endpoint returned a packet whose delivery is not known.
    UnknownReturn,
}

/// Why a flow was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetReason {
    /// The endpoint that held the flow restarted and returned a packet of the flow.
    EndpointForgot,
    /// The endpoint that held the flow refuses connections: its process is gone.
    EndpointGone,
    /// Every endpoint of the service was asked, and it is proved that none holds the flow.
    HeldByNone,
}

/// A decision or a state change.
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
    /// An agent forwarded an opening because its endpoint is full, draining, silent or an outlier.
    OpeningPassed {
        #[serde(serialize_with = "display")]
        flow: Flow,
        load: u16,
        slots: u16,
        position: u8,
        leaving: bool,
        silent: bool,
        /// The outlier penalty on the endpoint's utilization, in thousandths of its slots.
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
    /// A balancer started a lookup of the flow's holder.
    LookupStarted {
        #[serde(serialize_with = "display")]
        flow: Flow,
        asked: u8,
        catalog_revision: u64,
    },
    /// A balancer learned from a lookup which agent holds the flow.
    HolderFound {
        #[serde(serialize_with = "display")]
        flow: Flow,
        agent: Ipv4Addr,
    },
    /// All endpoints that were asked replied that they don't hold the flow.
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
    /// The endpoint beside the agent refuses connections; the flows that it held are lost.
    EndpointGone { flows: usize },
    /// The endpoint beside the agent lost its flows; openings prefer other endpoints for
    /// `hold_off_ms`.
    EndpointCrashed { hold_off_ms: u64 },
    /// The endpoint beside the agent started or stopped counting as failing.
    EndpointRecordChanged { failures: u32 },
    /// The endpoint beside the agent has a new state in the catalog.
    EndpointStateChanged {
        state: EndpointState,
        slots: u16,
        revision: u64,
    },
    /// The endpoint beside the agent returned a packet of a flow that it held.
    EndpointForgotFlow {
        #[serde(serialize_with = "display")]
        flow: Flow,
    },
    /// An agent has not replied for `silent_ms`.
    AgentLost { agent: Ipv4Addr, silent_ms: u64 },
    /// An agent replies again.
    AgentRegained { agent: Ipv4Addr },
    /// A digest arrived from another balancer for the first time or after a silence.
    PeerFound { balancer: Ipv4Addr },
    /// Another balancer has sent no digest for `silent_ms`.
    PeerLost { balancer: Ipv4Addr, silent_ms: u64 },
    /// A newer catalog was applied.
    CatalogInForce {
        revision: u64,
        settings_version: u64,
        routes: usize,
        endpoints: usize,
        from_peer: bool,
    },
    /// A catalog older than the current one was ignored.
    CatalogIgnored { revision: u64, in_force: u64 },
    /// This balancer entered or left standby for balancers with faster links.
    Standby {
        stands_by: bool,
        link_mbps: u32,
        peers: usize,
    },
    /// This balancer started or stopped reading the platform's store.
    StoreDuty {
        reads: bool,
        peers: usize,
        freshest_age_ms: u64,
    },
}

/// Classes of events with separate log limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// A routine decision about a single flow; sampled.
    Ordinary,
    /// A failure of a single flow; logged up to a limit.
    Failure,
    /// A change in the state of the process or its peers; rare, and always logged.
    StateChange,
}

impl Event {
    /// Returns the class that determines how the event is logged.
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
