//! Controllers that hold a process's view of bundles, platform and peers.

pub mod members;
mod peer_link;
pub mod responder;

pub use peer_link::{PeerLink, PeerPacket, PeerSend};
