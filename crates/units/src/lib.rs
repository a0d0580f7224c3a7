//! Identifiers and quantities that all crates share.
//!
//! All types are plain newtypes with `Display` and `FromStr`. This crate performs no I/O, reads no
//! clock and depends on no other crate of the workspace.

mod error;
mod ids;
mod number;
mod quantities;

pub use error::ParseUnitError;
pub use ids::{
    BundleDigest, BundleVersion, EndpointId, Incarnation, InstanceId, KeyIndex, Revision,
    ServiceId, SettingsVersion, StoreEra, Zone,
};
pub use quantities::{BasisPoints, ByteSize, Millis, PerSecond, Slots, Weight};
