//! The balancer and agent processes for passthrough flows.
//!
//! Each process has one thread. Its main loop passes datagrams between the sockets and the logic in
//! `passthrough`, and an HTTP server reports readiness and metrics. A balancer also has tasks that
//! read the catalog of routes and endpoints. The packet format and the catalog source differ
//! between deployments and are type parameters.

mod agent;
mod balancer;
mod catalog_source;
mod clock;
mod error;
mod event_log;
mod http_server;
mod metrics;
mod placement_questions;
mod read_schedule;
mod settings_file;
mod stall;
mod udp;

pub use agent::run_agent_process as run_agent;
pub use balancer::run_balancer_process as run_balancer;
pub use catalog_source::{CatalogSource, read_first_catalog};
pub use error::NodeError;
pub use event_log::{EventLog, LineKind};
pub use read_schedule::{ChangeSeen, ReadSchedule};
pub use settings_file::SettingsFile;
pub use stall::StallDetector;
