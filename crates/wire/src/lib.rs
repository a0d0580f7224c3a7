//! Generated messages, clients and servers of the gRPC calls between processes.
//!
//! `cargo xtask codegen` generates the modules in `generated` from `proto/`. They are committed, so
//! that a build needs no generator. This crate contains no logic.

#![expect(
    missing_docs,
    clippy::pedantic,
    clippy::clone_on_ref_ptr,
    clippy::allow_attributes_without_reason,
    clippy::empty_structs_with_brackets,
    reason = "generated code"
)]

#[rustfmt::skip]
#[path = "generated/lovagehall.bundles.v1.rs"]
pub mod bundles;

#[rustfmt::skip]
#[path = "generated/lovagehall.inspect.v1.rs"]
pub mod inspect;

#[rustfmt::skip]
#[path = "generated/lovagehall.requests.v1.rs"]
pub mod requests;
