//! Liveness of processes by probes and gossip.
//!
//! Balancers watch agents and one another, and gossip what changed. Agents only answer. This crate
//! is pure: datagrams and time in, datagrams and changes out.

mod budget;
mod claim;
mod codec;
mod config;
mod member;
mod members;
mod message;
mod responder;
mod rumors;
mod table;
mod watch;

pub use claim::{Claim, Introduction};
pub use codec::{Reject, Scope, decode, encode};
pub use config::Config;
pub use member::{Condition, Member, MemberId, Version};
pub use members::{AgentSpec, Counters, Members, Output};
pub use message::{Kind, Message};
pub use responder::Responder;
