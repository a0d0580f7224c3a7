//! Controllers that hold a process's view of bundles, platform and peers.
//!
//! [`start_controllers`] spawns the actors for bundles, platform and spread and returns a [`ControlHandle`]. The
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
pub use config::{ControlConfig, PROCESS_DNS_NAME, PeerTls, Role, Timing};
pub use counters::Counters;
pub use freshness::PauseDetector;
pub use handle::{ControlHandle, StartError, start_controllers};
pub use peer_link::{PeerLink, PeerPacket, PeerSend};
pub use spread::{BundlesService, TlsError, client_tls, server_tls};
