//! Signed settings bundles: documents, signatures, acceptance rules and the bundle store.
//!
//! This crate does no I/O and reads no clock. The crate `control` fetches bundles and spreads them
//! among processes.

mod accept;
mod check;
mod claims;
pub mod document;
mod envelope;
mod in_force;
pub mod index;
mod key;
mod key_set;
mod refusal;
mod store;

pub use accept::{Source, accept, is_superseded};
pub use check::validate_bundle;
pub use claims::{Claim, Dispute};
pub use document::{Bundle, Endpoint, Leaving, RequestClass, RetrySafety, RouteRule, Sharing};
pub use envelope::{ENVELOPE_MAX_BYTES, digest, peek_version_entry, sign, sign_bundle, verify};
pub use in_force::{AcceptedBundle, InForce};
pub use key::{KeyId, PublicKey, SecretKey};
pub use key_set::{KeySet, KeySetDocument, LastVersion, OperatorKey};
pub use refusal::{Refusal, Remedy};
pub use store::{Change, KEY_SET_SERVICE, Store, VersionEntry, is_in_scope};
