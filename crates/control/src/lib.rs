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
mod dissemination;
mod handle;
mod http_get;
pub mod inspect;
pub mod members;
mod pause;
mod peer_link;
mod platform;
pub mod responder;
mod shared;

pub use backoff::Backoff;
pub use budget::CallBudget;
pub use config::{ControlConfig, PROCESS_DNS_NAME, PeerTls, Role, Timing};
pub use counters::Counters;
pub use dissemination::{BundlesService, TlsError, client_tls, server_tls};
pub use handle::{ControlHandle, StartError, start_controllers};
pub use pause::PauseDetector;
pub use peer_link::{PeerLink, PeerPacket, PeerSend};
