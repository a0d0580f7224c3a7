//! Models of the core protocols, searched exhaustively or at random for violated invariants.

pub mod at_most_once;
pub mod extra_openings;
pub mod freshness;
pub mod ownership;
pub mod simulation;
pub mod spread;
pub mod store_eras;
