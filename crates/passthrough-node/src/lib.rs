//! The processes that forward flows whole.
//!
//! One thread each: a loop moves datagrams between sockets and the decisions of `passthrough`, a
//! task reads the list of endpoints and routes, and a task answers questions about readiness and
//! counters. What differs between deployments, the packet format and the source of the list, comes
//! as type parameters.

mod agent;
mod balancer;
mod clock;
mod error;
mod event_log;
mod http_server;
mod metrics;
mod reload;
mod source;
mod udp;

pub use agent::run as run_agent;
pub use balancer::run as run_balancer;
pub use error::NodeError;
pub use event_log::{EventLog, LineKind};
pub use reload::SettingsFile;
pub use source::CatalogSource;
