//! Events for the log: decisions about flows, and state changes.

use std::{fmt::Display, net::Ipv4Addr};

use serde::{Serialize, Serializer};

use crate::{EndpointState, Flow, ZoneKey};

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// No route matches the packet's destination.
    NoRoute,
    /// The datagram is not a valid packet or message.
    Malformed,
    /// The route's service has no endpoint that could hold the flow.
    NoEndpoint,
    /// The balancer has not received the operator's settings yet.
    NoSettings,
    /// An endpoint returned a packet that its agent has no record of delivering.
    UnknownReturn,
}

/// Why a flow was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetReason {
    /// The endpoint that held the flow returned a packet of the flow, because it had restarted.
    EndpointForgot,
    /// The endpoint that held the flow refuses connections: its process is gone.
    EndpointGone,
    /// Every endpoint of the service was asked, and none of them holds the flow.
    HeldByNone,
    /// The flow was not opened: all endpoints that would accept it are in zones out of use.
    ZonesOutOfUse,
}

/// A decision or a state change.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
#[expect(
    missing_docs,
    reason = "the variants' docs say what each holds; fields carry their units"
)]
pub enum Event {
    /// A balancer offered an opening packet to the first of `candidates` endpoints.
    OpeningPlaced {
        #[serde(serialize_with = "serialize_as_display")]
        flow: Flow,
        agent: Ipv4Addr,
        candidates: u8,
        attempt: u8,
        catalog_revision: u64,
    },
    /// A balancer offered an opening to a second endpoint, since no agent had answered within
    /// `delay_ms`, the wait that `quantile_percent` of its latest openings don't exceed.
    ExtraOpening {
        #[serde(serialize_with = "serialize_as_display")]
        flow: Flow,
        agent: Ipv4Addr,
        delay_ms: u64,
        quantile_percent: u32,
        /// Mean load of the service's endpoints, in thousandths of their slots.
        load: u16,
        /// Number of further extra openings that the operator's limit allows now.
        budget_left: u64,
    },
    /// An agent forwarded an opening packet to the next candidate because its own endpoint is full,
    /// draining, silent or an outlier.
    OpeningPassed {
        #[serde(serialize_with = "serialize_as_display")]
        flow: Flow,
        load: u16,
        slots: u16,
        position: u8,
        leaving: bool,
        silent: bool,
        /// The outlier penalty on the endpoint's utilization, in thousandths of its slots.
        penalty: u16,
    },
    /// The endpoint beside the agent accepted an opening packet.
    OpeningAccepted {
        #[serde(serialize_with = "serialize_as_display")]
        flow: Flow,
        load: u16,
        slots: u16,
        wait_ms: u64,
    },
    /// An opening waits at the agent, since the endpoint has no slot for it.
    OpeningWaits {
        #[serde(serialize_with = "serialize_as_display")]
        flow: Flow,
        waiting: u16,
        expected_ms: u64,
    },
    /// An opening that waited at the agent is delivered to the endpoint.
    OpeningReleased {
        #[serde(serialize_with = "serialize_as_display")]
        flow: Flow,
        wait_ms: u64,
        expected_ms: u64,
    },
    /// A balancer started a lookup of the endpoint that holds a flow.
    LookupStarted {
        #[serde(serialize_with = "serialize_as_display")]
        flow: Flow,
        asked: u8,
        /// Number of services whose endpoints are asked.
        services: u8,
        catalog_revision: u64,
    },
    /// A balancer learned from a lookup which agent's endpoint holds a flow.
    HolderFound {
        #[serde(serialize_with = "serialize_as_display")]
        flow: Flow,
        agent: Ipv4Addr,
    },
    /// A lookup failed: all agents that were asked replied that their endpoints don't hold the
    /// flow.
    LookupFailed {
        #[serde(serialize_with = "serialize_as_display")]
        flow: Flow,
        rounds: u8,
    },
    /// A reset of a flow was sent to its caller.
    ResetSent {
        #[serde(serialize_with = "serialize_as_display")]
        flow: Flow,
        reason: ResetReason,
    },
    /// A packet or message was dropped.
    Dropped { reason: DropReason, count: u64 },
    /// The endpoint beside the agent left `misses` opening packets in a row unanswered.
    EndpointSilent { misses: u32 },
    /// The endpoint beside the agent answers again after `silent_ms`.
    EndpointAnswers { silent_ms: u64 },
    /// The endpoint beside the agent refuses connections; the flows that it held are lost.
    EndpointGone { flows: usize },
    /// The endpoint beside the agent crashed and lost its flows; new flows prefer other endpoints
    /// for `hold_off_ms`.
    EndpointCrashed { hold_off_ms: u64 },
    /// The endpoint beside the agent started or stopped counting as an outlier that fails requests.
    EndpointRecordChanged { failures: u32 },
    /// The endpoint beside the agent has a new state in the catalog.
    EndpointStateChanged {
        state: EndpointState,
        slots: u16,
        /// Whether the endpoint's availability zone is out of use.
        is_evacuated: bool,
        revision: u64,
    },
    /// The endpoint beside the agent is cold for `left_ms`, or may be, and gets `rate` openings a
    /// second at most.
    EndpointCold {
        left_ms: u64,
        rate: u32,
        /// Whether the rate comes from the measured work, since the operator states none.
        is_learned: bool,
    },
    /// The endpoint beside the agent is warm; `paced` openings were passed on since the agent's start
    /// because the endpoint was cold.
    EndpointWarm { paced: u64 },
    /// The endpoint beside the agent returned a packet of a flow that it had accepted before.
    EndpointForgotFlow {
        #[serde(serialize_with = "serialize_as_display")]
        flow: Flow,
    },
    /// An agent has not replied for `silent_ms`.
    AgentLost { agent: Ipv4Addr, silent_ms: u64 },
    /// An agent replies again.
    AgentRegained { agent: Ipv4Addr },
    /// A status digest arrived from another balancer for the first time or after a silence.
    PeerFound { balancer: Ipv4Addr },
    /// Another balancer has sent no status digest for `silent_ms`.
    PeerLost { balancer: Ipv4Addr, silent_ms: u64 },
    /// A newer catalog was applied.
    CatalogInForce {
        revision: u64,
        settings_version: u64,
        routes: usize,
        endpoints: usize,
        from_peer: bool,
    },
    /// The operator has taken an availability zone with this many listed endpoints out of use; those
    /// elsewhere get its new flows.
    ZoneOutOfUse {
        #[serde(serialize_with = "serialize_as_display")]
        zone: ZoneKey,
        endpoints: usize,
        endpoints_elsewhere: usize,
        revision: u64,
    },
    /// The operator has taken an availability zone back into use.
    ZoneBackInUse {
        #[serde(serialize_with = "serialize_as_display")]
        zone: ZoneKey,
        /// Time for which this balancer knew the zone as out of use.
        after_ms: u64,
        revision: u64,
    },
    /// The operator has taken a zone out of use that no listed endpoint and no known balancer is in.
    ZoneUnknown {
        #[serde(serialize_with = "serialize_as_display")]
        zone: ZoneKey,
        revision: u64,
    },
    /// An agent or another balancer told of a service that a route led to before; `count` such
    /// services are known now.
    FormerTargetsChanged { count: usize, catalog_revision: u64 },
    /// A catalog older than the current one was ignored.
    CatalogIgnored {
        revision: u64,
        in_force: u64,
        era: u16,
        era_in_force: u16,
    },
    /// The first list of a later era of the store came into force: the store came back from an older
    /// copy of its data. `held_back` entries are not believed until they are written again.
    StoreEraRose {
        from: u16,
        to: u16,
        former_revision: u64,
        revision: u64,
        held_back: usize,
    },
    /// This balancer entered or left standby, in which it leaves callers to balancers with faster
    /// links.
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

/// Classes of events, each with a log rate limit of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// A routine decision about a single flow; the log contains only a sample.
    Ordinary,
    /// A failure of a single flow; the log contains such events up to a rate limit.
    Failure,
    /// A change in the state of the process or its peers; such events are rare and always logged.
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
            | Self::OpeningWaits { .. }
            | Self::OpeningReleased { .. }
            | Self::HolderFound { .. } => EventKind::Ordinary,
            Self::OpeningPlaced { .. }
            | Self::ExtraOpening { .. }
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

fn serialize_as_display<T: Display, S: Serializer>(
    value: &T,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}
