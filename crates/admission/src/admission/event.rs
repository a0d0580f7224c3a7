//! Events that admission control handles, and the decisions that it returns.

use std::fmt;

use bundle::RequestClass;
use units::{Millis, Slots};

use crate::concurrency::LoadSignal;

/// Id of a request, unique within one agent process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u64);

impl RequestId {
    /// Creates a request id from a raw number.
    #[must_use]
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the raw number of the request id.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Settings of admission control for one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Number of requests that the upstream runs concurrently.
    pub slots: Slots,
    /// Share of the slots that long work leaves free for short work, in percent.
    pub short_reserve_percent: u8,
    /// Time over which a cold upstream ramps up to all its slots.
    pub cold_start_ramp_ms: Millis,
}

impl Config {
    /// Creates settings that reserve 20 percent of the slots for short work, without a cold-start
    /// ramp.
    #[must_use]
    pub const fn new(slots: Slots) -> Self {
        Self {
            slots,
            short_reserve_percent: 20,
            cold_start_ramp_ms: Millis::new(0),
        }
    }

    /// Sets the share of the slots that long work leaves free for short work, in percent.
    #[must_use]
    pub const fn with_short_reserve_percent(self, short_reserve_percent: u8) -> Self {
        Self {
            short_reserve_percent,
            ..self
        }
    }

    /// Sets the time over which a cold upstream ramps up to all its slots.
    #[must_use]
    pub const fn with_cold_start_ramp_ms(self, cold_start_ramp_ms: Millis) -> Self {
        Self {
            cold_start_ramp_ms,
            ..self
        }
    }
}

/// Input of admission control: something that happened to a request or to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A request arrived from a caller, or was requeued after a peer refused its hand-off.
    Arrived {
        /// Id of the request, which no other request uses.
        id: RequestId,
        /// Class of the request, derived from its route rule and the caller's priority.
        class: RequestClass,
        /// Index of the route rule that the request matches.
        route: u16,
        /// Deadline of the request, by which its answer must have ended.
        deadline_ms: Millis,
    },
    /// A request released its slot because it was answered, failed or was cancelled.
    Finished {
        /// Id of the request, which was started before.
        id: RequestId,
        /// What the outcome of the request says about the load of the upstream.
        signal: LoadSignal,
    },
    /// A waiting request was withdrawn because its caller cancelled it or it is handed off.
    ///
    /// A request that was started keeps its slot until [`Self::Finished`].
    Withdrawn {
        /// Id of the request; it may have been started or refused already.
        id: RequestId,
    },
    /// Timer event, due at [`Admission::next_tick_ms`](super::Admission::next_tick_ms).
    Tick,
    /// The endpoint started to drain.
    DrainBegan,
    /// The drain was cancelled and the endpoint stays in service.
    DrainEnded,
    /// A new bundle changed the endpoint's configuration.
    ConfigChanged(Config),
}

/// What the caller of [`Admission::handle_event`](super::Admission::handle_event) must do with a
/// request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to the upstream now.
    Start(RequestId),
    /// Keep the request waiting for a slot; another decision on it follows.
    Wait(RequestId),
    /// Answer the caller that the request was refused and did not run.
    Refuse {
        /// Id of the refused request, which was never started and never will be.
        id: RequestId,
        /// Why the request was refused.
        refusal: Refusal,
        /// Delay after which a retry is more likely to succeed.
        retry_after_ms: Millis,
    },
    /// Drop the request, which was withdrawn and never starts.
    Forget(RequestId),
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request is not expected to end before its deadline.
    DeadlineUnmeetable,
    /// The request waited past the latest start time that could meet its deadline.
    ExpiredInQueue,
    /// The queue holds the maximum number of waiting requests.
    QueueFull,
    /// The endpoint is draining and starts no more requests.
    Draining,
}

/// Counters of admission control since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that were sent to the upstream.
    pub started: u64,
    /// Requests refused on arrival because they weren't expected to meet their deadline.
    pub refused_unmeetable: u64,
    /// Requests refused after they waited too long for a slot.
    pub refused_waited: u64,
    /// Requests refused because the maximum number of requests was waiting.
    pub refused_queue_full: u64,
    /// Requests refused because the endpoint was draining.
    pub refused_draining: u64,
    /// Running short requests that were demoted to long work because they took too long.
    pub demoted: u64,
    /// Requests that the upstream shed because it was overloaded.
    pub shed: u64,
}

impl Counters {
    /// Returns the metric name and value of every counter.
    #[must_use]
    pub fn values(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("gate_started", self.started),
            ("gate_refused_unmeetable", self.refused_unmeetable),
            ("gate_refused_waited", self.refused_waited),
            ("gate_refused_queue_full", self.refused_queue_full),
            ("gate_refused_draining", self.refused_draining),
            ("gate_demoted", self.demoted),
            ("gate_shed", self.shed),
        ]
    }

    /// Returns the number of requests refused for lack of capacity.
    #[must_use]
    pub const fn refused_for_lack_of_capacity(&self) -> u64 {
        self.refused_unmeetable + self.refused_waited + self.refused_queue_full
    }
}

/// Load of an endpoint, as reported to peers and balancers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Current limit on running requests.
    pub limit: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of short requests that could start at once.
    pub free_short: u32,
    /// Number of long requests that could start at once.
    pub free_long: u32,
}
