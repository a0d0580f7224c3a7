//! What goes into the decisions of one endpoint and what comes out.

use std::fmt;

use bundle::RequestClass;
use units::{Millis, Slots};

use crate::concurrency::LoadSignal;

/// A request within one agent, unique for the life of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u64);

impl RequestId {
    /// Wraps a raw number.
    #[must_use]
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the raw number.
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

/// What the endpoint offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Requests the upstream runs at once.
    pub slots: Slots,
    /// Share of the slots that long work leaves free for short work, in percent.
    pub short_reserve_percent: u8,
    /// Time over which a cold upstream ramps to all its slots.
    pub cold_start_ramp_ms: Millis,
}

impl Config {
    /// Starts with a reserve of a fifth of the slots and no cold-start ramp.
    #[must_use]
    pub const fn new(slots: Slots) -> Self {
        Self {
            slots,
            short_reserve_percent: 20,
            cold_start_ramp_ms: Millis::new(0),
        }
    }

    /// Sets the share of the slots that long work leaves free.
    #[must_use]
    pub const fn with_short_reserve_percent(self, short_reserve_percent: u8) -> Self {
        Self {
            short_reserve_percent,
            ..self
        }
    }

    /// Sets the time over which a cold upstream ramps to all its slots.
    #[must_use]
    pub const fn with_cold_start_ramp_ms(self, cold_start_ramp_ms: Millis) -> Self {
        Self {
            cold_start_ramp_ms,
            ..self
        }
    }
}

/// Something that happened to a request or to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A request came in, or came back from a hand-off that was refused.
    Arrived {
        /// Not in use by another request.
        id: RequestId,
        /// Class after route rule and priority.
        class: RequestClass,
        /// Index of the route rule.
        route: u16,
        /// When the answer must have ended.
        deadline_ms: Millis,
    },
    /// The upstream is done with a request, whether it answered, failed or was cancelled.
    Finished {
        /// A request that was started.
        id: RequestId,
        /// What the answer says about the upstream's load.
        signal: LoadSignal,
    },
    /// A waiting request is taken away, because its caller cancelled it or to hand it off.
    ///
    /// No effect on a request that was started: it holds its slot until it is finished.
    Withdrawn {
        /// Any request.
        id: RequestId,
    },
    /// Time has passed; due at [`Admission::next_tick_ms`](super::Admission::next_tick_ms).
    Tick,
    /// The endpoint began to leave.
    DrainBegan,
    /// The endpoint stays after all.
    DrainEnded,
    /// A bundle changed what the endpoint offers.
    ConfigChanged(Config),
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the upstream now.
    Start(RequestId),
    /// Keep it; another decision follows in time.
    Wait(RequestId),
    /// Answer that it did not run.
    Refuse {
        /// The request, which was never started and never will be.
        id: RequestId,
        /// Why.
        refusal: Refusal,
        /// When a retry may fare better.
        retry_after_ms: Millis,
    },
    /// The request was withdrawn before it was started and never will be.
    Forget(RequestId),
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// By the estimate it can't end before its deadline.
    DeadlineUnmeetable,
    /// It waited until it couldn't end before its deadline.
    ExpiredInQueue,
    /// Too many requests wait.
    QueueFull,
    /// The endpoint is leaving.
    Draining,
}

/// Counts since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests sent to the upstream.
    pub started: u64,
    /// Refused on arrival by the estimate.
    pub refused_unmeetable: u64,
    /// Refused after waiting.
    pub refused_waited: u64,
    /// Refused because too many wait.
    pub refused_queue_full: u64,
    /// Refused because the endpoint is leaving.
    pub refused_draining: u64,
    /// Running short requests that were demoted to long.
    pub demoted: u64,
    /// Answers that say the upstream is overloaded.
    pub shed: u64,
}

impl Counters {
    /// Returns every counter's name and value.
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

    /// Returns the requests refused for lack of capacity.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused_unmeetable + self.refused_waited + self.refused_queue_full
    }
}

/// Load as told to peers and balancers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that may run at once now.
    pub limit: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Short requests that could start at once.
    pub free_short: u32,
    /// Long requests that could start at once.
    pub free_long: u32,
}
