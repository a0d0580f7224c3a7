//! Test doubles of the platform, upstreams, callers and the network between them.

pub mod caller;
pub mod middlebox;
pub mod pattern;
pub mod platform;
pub mod relay;
pub mod upstream;
