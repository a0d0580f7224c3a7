//! Small stand-ins for the platform, upstreams and callers.

pub mod caller;
pub mod middlebox;
pub mod pattern;
pub mod platform;
pub mod relay;
pub mod upstream;
