//! The balancer's datagram path between callers and agents.
//!
//! Datagrams from callers arrive on one socket per service address, are routed by `flow` and leave
//! through the tunnel sockets; answers come back through those and leave from the service address.
//! Nothing is kept about flows.

mod batch;
mod config;
mod counters;
mod datapath;
mod downlink;
mod outgoing;
mod path_monitor;
mod peers;
mod socket;
mod table_updater;
mod uplink;

pub use self::{
    config::{Config, ListenAt},
    counters::{Counter, Counters},
    datapath::{BindError, Datapath, DatapathHandle, DrainEnd, DrainReport, PeerError, run},
    path_monitor::{PathAction, PathMonitor},
    peers::PeerDatagram,
    table_updater::RoutingTableUpdater,
};
