//! Layer-4 routing decisions: connection ids, rendezvous hashing and the tunnel header.
//!
//! This crate performs no I/O and reads no clock. Its inputs are datagrams, routing tables and
//! timestamps, and its outputs are routing decisions. The sockets belong to `balancer` and `agent`.

pub mod cid;
pub mod echo;
pub mod key;
pub mod opening;
pub mod quic;
pub mod rendezvous;
pub mod reset;
pub mod table;
pub mod tunnel;
