//! Typed events under a hybrid logical clock and the time line merged from them.
//!
//! Each process keeps its own bounded [`EventRing`] behind a [`Recorder`]. The operators' program
//! collects the rings and merges them into one [`Timeline`]. Nothing here does I/O.

mod clock;
mod event;
mod merge;
mod recorder;
pub mod render;
mod ring;

pub use clock::{ClockError, HybridLogicalClock, Stamp};
pub use event::{BundleSource, Category, Event, Note, Peer};
pub use merge::{Gap, ProcessEvents, Row, Timeline, UnreachableProcess};
pub use recorder::Recorder;
pub use ring::{EventRing, RecordedEvent};
