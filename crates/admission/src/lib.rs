//! Request scheduling in the agent: slots, classes, deadlines, retries and at-most-once execution.
//!
//! Everything here is a state machine without I/O and without a clock: the caller passes in events
//! and the current time and gets back decisions. Invariants are checked by assertions at run time.

mod admission;
pub mod at_most_once;
mod class;
mod concurrency;
pub mod handoff;
pub mod retry;
mod running_time;
mod waiting;

pub use admission::{Admission, Config, Counters, Decision, Event, Load, Refusal, RequestId};
pub use class::{Priority, class_of};
pub use concurrency::{ConcurrencyLimit, LoadSignal};
pub use running_time::RunningTimes;
