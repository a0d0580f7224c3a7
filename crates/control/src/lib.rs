//! Controllers that hold a process's view of bundles, platform and peers.
//!
//! [`start`] spawns the actors for bundles, platform and spread and returns a [`Handle`]. The
//! decisions live in `bundle` and `membership`; here are the reads, the calls between processes and
//! the clocks.

mod backoff;
mod budget;
mod bundles;
mod config;
mod counters;
mod freshness;
mod handle;
mod http_get;
pub mod inspect;
pub mod members;
mod peer_link;
mod platform;
pub mod responder;
mod shared;
mod spread;

pub use backoff::Backoff;
pub use budget::CallBudget;
pub use config::{Config, PROCESS_NAME, PeerTls, Role, Timing};
pub use counters::Counters;
pub use freshness::PauseDetector;
pub use handle::{Handle, StartError, start};
pub use peer_link::{PeerLink, PeerPacket, PeerSend};
pub use spread::{BundleCalls, TlsError, client_tls, server_tls};
