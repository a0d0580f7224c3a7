//! Layer-4 routing decisions: connection ids, rendezvous hashing and the tunnel header.
//!
//! Everything here is pure: datagrams, tables and moments in, decisions out. Sockets belong to
//! `balancer` and `agent`.

pub mod cid;
pub mod echo;
pub mod key;
pub mod opening;
pub mod quic;
pub mod rendezvous;
pub mod reset;
pub mod table;
pub mod tunnel;
