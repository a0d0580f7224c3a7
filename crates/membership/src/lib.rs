//! Liveness of processes by probes and gossip.
//!
//! Balancers watch agents and one another, and gossip what changed. Agents only answer. This crate
//! is pure: datagrams and time in, datagrams and changes out.

mod budget;
mod codec;
mod config;
mod member;
mod members;
mod message;
mod responder;
mod rumors;
mod table;
mod update;
mod watch;

pub use codec::{DecodeError, KeyScope, decode, encode};
pub use config::Config;
pub use member::{Condition, Member, MemberId, Version};
pub use members::{AgentSpec, Counters, Members, Output};
pub use message::{Message, MessageKind};
pub use responder::Responder;
pub use update::{BalancerInfo, MemberUpdate};
