//! Fleets of control processes: each runs a balancer's controllers without its datagram path.

mod child;
mod fleet;
mod report;

pub(crate) use child::run;
pub(crate) use fleet::{ControllerFleet, ControllerPlan, Spread};
pub(crate) use report::{Report, now_us};
