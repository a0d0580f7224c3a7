//! Decisions on where new flows are placed and how they wait.
//!
//! This crate performs no I/O, reads no clock and knows no packets: loads and times are passed in,
//! and decisions come out. `passthrough` reads the loads from messages and carries out the
//! decisions.

mod candidates;
mod extra_openings;
mod start_estimate;
mod waiting_room;
mod zone_loads;

pub use candidates::{CandidatePlan, PlanKind};
pub use extra_openings::{DELAY_QUANTILE_PERCENT, ExtraGrant, ExtraOpenings, ExtraRefusal};
pub use start_estimate::{MeanWork, expected_wait};
pub use waiting_room::{WaitingRoom, Wish};
pub use zone_loads::{EndpointLoad, ZoneLoads};
