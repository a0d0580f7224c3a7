//! Agent of one upstream endpoint: terminates QUIC and HTTP/3, filters the requests and forwards
//! them to the upstream.

mod agent;
mod calls;
mod config;
mod connection;
mod counters;
mod endpoint;
mod filter;
mod gate;
mod handoff;
mod monitor;
mod once;
mod peers;
mod problem;
mod relay;
mod request;
mod retries;
mod sink;
mod streams;
mod tunnel;
mod upstream;

pub use agent::{Agent, AgentEvent, PeerSender, Phase, StartError, StopReport};
pub use calls::RequestsService;
pub use config::Config;
pub use counters::{Counter, Counters};
pub use endpoint::TlsIdentity;
pub use gate::{Gate, Slot, SlotRefusal, SlotRequest};
pub use monitor::{RequestMonitor, RequestSample};
pub use problem::{Outcome, Problem};
pub use tunnel::{LiveBalancers, LoadCell, PeerDatagram, QUIC_DATAGRAM_MAX_BYTES};
