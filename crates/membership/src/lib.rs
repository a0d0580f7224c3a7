//! A SWIM-style failure detector and membership protocol.
//!
//! Balancers probe agents and one another, and disseminate state changes by gossip. Agents only
//! answer probes. This crate does no I/O: the caller passes in the current time and received
//! messages, and carries out the returned [`Output`]s.

mod codec;
mod config;
mod gossip_queue;
mod member;
mod members;
mod message;
mod responder;
mod table;
mod token_bucket;
mod update;
mod watch;

pub use codec::{DecodeError, KeyScope, decode, encode};
pub use config::Config;
pub use member::{Condition, Member, MemberId, MemberVersion};
pub use members::{AgentSpec, Counters, Members, Output};
pub use message::{Message, MessageKind};
pub use responder::Responder;
pub use update::{BalancerInfo, MemberUpdate};
