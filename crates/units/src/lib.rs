//! Identifiers, sizes and rates that every crate shares.
//!
//! This crate holds plain newtypes with `Display` and `FromStr`. It does no I/O, knows no clock and
//! depends on no other crate of the workspace.

mod error;
mod ids;
mod number;
mod quantities;

pub use error::ParseUnitError;
pub use ids::{
    BundleDigest, BundleVersion, EndpointId, Incarnation, InstanceId, KeyIndex, Revision,
    ServiceId, SettingsVersion, Zone,
};
pub use quantities::{ByteSize, Millis, PerSecond, Slots, Weight};
