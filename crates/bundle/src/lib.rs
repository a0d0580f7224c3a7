//! Settings bundles: the document, its signature, its acceptance and the store of what is in force.
//!
//! Everything here is pure: bytes and views in, decisions out. Fetching, spreading and time belong
//! to `control`.

pub mod document;
mod in_force;

pub use document::{Bundle, Endpoint, Leaving, RequestClass, RetrySafety, RouteRule, Sharing};
pub use in_force::{Accepted, InForce};
