//! Balancer and agent logic for flows that are forwarded as opaque packets.
//!
//! A passthrough flow is a connection between a caller and an upstream endpoint whose data only
//! these two read. Balancers and agents see only the packets' addresses, flags and sizes. The
//! packet that opens a flow is called its opening. Balancers choose an endpoint for each opening,
//! and look up the endpoint that holds a flow if they don't know it. Each agent tracks the flows of
//! the endpoint beside it and the endpoint's load.
//!
//! This crate performs no I/O and reads no clock: packets, messages and the time are passed in, and
//! the output goes to an [`Outbox`].

mod agent;
mod balancer;
mod catalog;
mod catalog_delta;
mod catalog_transfer;
mod catalog_view;
pub mod clock_echo;
mod event;
mod flow;
mod flow_identity;
mod former_targets;
mod message;
mod outbox;
mod rendezvous;
mod segment;
mod settings_history;
mod store_era;

pub use agent::{Agent, AgentConfig, AgentCounters};
pub use balancer::{
    Balancer, BalancerConfig, BalancerCounters, CandidateReport, LeftOutEndpoint, LeftOutReason,
    LimitsReport, PlacementOutcome, PlacementReport, ServiceRule, ZonePlan,
};
pub use catalog::{
    Catalog, ColdStart, Endpoint, EndpointKey, EndpointState, RequestKind, RequestProfile, Route,
    RouteTarget, ServiceKey, ZoneKey,
};
pub use catalog_view::{CatalogView, StoreState};
pub use event::{DropReason, Event, EventKind, ResetReason};
pub use flow::Flow;
pub use message::{LAYOUT_VERSION, Message, MessageError, decode_message};
pub use outbox::Outbox;
pub use segment::{PacketFormat, Segment, SegmentError};
