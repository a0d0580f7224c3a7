//! Connections to the upstream: pooled, probed while idle, and replaced when they fail.

mod body;
mod client;
mod probe;

pub(crate) use body::{BodyError, CallerBody};
pub(crate) use client::{Client, PendingResponse, SendError, UpstreamConnection};
