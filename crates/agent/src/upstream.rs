//! Connections to the upstream: kept, proven alive, replaced.

mod body;
mod client;
mod probe;

pub(crate) use body::{BodyFault, CallerBody};
pub(crate) use client::{Answered, Client, Link, SendError};
