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
mod feed;
mod outgoing;
mod path_watch;
mod peers;
mod socket;
mod uplink;

pub use self::{
    config::{Config, ListenAt},
    counters::{Counter, Counters},
    datapath::{BindError, Datapath, DrainEnd, DrainReport, Handle, PeerError, run},
    feed::Feed,
    path_watch::{PathAction, PathWatch},
    peers::PeerDatagram,
};
