//! The balancer's datagram path between callers and agents.
//!
//! Datagrams from callers arrive on one socket per service address, are routed by `flow` and leave
//! through the tunnel sockets. Answers from agents arrive on the tunnel sockets and leave from the
//! service address. The balancer keeps no state about flows.

mod config;
mod counters;
mod datapath;
mod downlink;
mod path_monitor;
mod peers;
mod receive_batch;
mod send_batch;
mod socket;
mod table_updater;
mod uplink;

pub use self::{
    config::{Config, ListenAt},
    counters::{Counter, Counters},
    datapath::{
        BindError, Datapath, DatapathHandle, DrainEnd, DrainReport, PeerError, run_datapath,
    },
    path_monitor::{PathAction, PathMonitor},
    peers::PeerDatagram,
    table_updater::RoutingTableUpdater,
};
