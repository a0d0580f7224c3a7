//! The control plane of a process: actors that keep bundles and fleet membership up to date.
//!
//! [`start_controllers`] spawns the actors that accept bundles, read the platform and disseminate
//! bundles between processes, and returns a [`ControlHandle`]. The crates `bundle` and `membership`
//! make the decisions; this crate does the I/O and supplies the time.

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
