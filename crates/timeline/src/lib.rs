//! Typed events with timestamps of a hybrid logical clock, and the timeline merged from them.
//!
//! Each process records its events in a bounded [`EventRing`] through a [`Recorder`]. `lovagectl`
//! fetches the events of all processes and merges them into one [`Timeline`]. This crate reads the
//! wall clock but performs no I/O.

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
