//! Specifications of the core protocols and their exhaustive search.

pub mod at_most_once;
pub mod ownership;
pub mod simulation;
pub mod spread;
