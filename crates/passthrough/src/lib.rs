//! Decisions for flows that are forwarded whole.
//!
//! A passthrough flow is one connection between a caller and an upstream endpoint whose bytes only
//! the two ends read. Balancers and agents see the packets' addresses, flags and sizes. Balancers
//! pick an endpoint for a flow's opening packet and find the endpoint that holds a flow they know
//! nothing about; agents know what the endpoint beside them holds and how busy it is.
//!
//! This crate does no I/O and knows no clock: packets, messages and the time come in, and what is to
//! be sent goes to an [`Outbox`].

mod agent;
mod balancer;
mod catalog;
mod event;
mod flow;
mod message;
mod order;
mod outbox;
mod segment;
mod snapshot;

pub use agent::{Agent, AgentConfig, AgentCounters};
pub use balancer::{Balancer, BalancerConfig, BalancerCounters};
pub use catalog::{
    Catalog, CatalogView, Endpoint, EndpointKey, EndpointState, Route, RouteTarget, ServiceKey,
    StoreState, ZoneKey,
};
pub use event::{DropReason, Event, EventKind, ResetReason};
pub use flow::Flow;
pub use message::{Message, MessageError, decode};
pub use outbox::Outbox;
pub use segment::{PacketFormat, Segment, SegmentError};
