//! Derives timeline events from the agent's counters, one for each change of state.
//!
//! The monitor does no I/O: the caller passes in samples and the time.

use timeline::{Event, Note};
use units::{Millis, ServiceId};

/// Time without refusals after which an overload counts as ended.
const OVERLOAD_END_MS: Millis = Millis::new(5_000);

/// Counters and gauges of the agent's requests at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestSample {
    /// Requests refused for lack of capacity since the process started.
    pub refused: u64,
    /// Requests with an unknown outcome since the process started.
    pub outcomes_unknown: u64,
    /// Requests queued now.
    pub waiting: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Number of the endpoint's slots in the bundle.
    pub slots: u32,
}

/// Turns request samples into timeline events.
#[derive(Debug)]
pub struct RequestMonitor {
    service: ServiceId,
    last_sample: RequestSample,
    /// Time of the last refusal during an overload, `None` outside of one.
    refused_at: Option<Millis>,
    is_limit_lowered: bool,
}

impl RequestMonitor {
    /// Creates a monitor whose last sample is all zeros.
    #[must_use]
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            last_sample: RequestSample::default(),
            refused_at: None,
            is_limit_lowered: false,
        }
    }

    /// Compares a sample with the previous one and returns the events for what changed.
    pub fn observe(&mut self, now: Millis, sample: RequestSample) -> Vec<Event> {
        let mut events = Vec::new();
        events.extend(self.overload_event(now, &sample));
        events.extend(self.concurrency_event(&sample));
        events.extend(self.unknown_outcomes_event(&sample));
        self.last_sample = sample;
        events
    }

    fn overload_event(&mut self, now: Millis, sample: &RequestSample) -> Option<Event> {
        if sample.refused > self.last_sample.refused {
            let is_new = self.refused_at.is_none();
            self.refused_at = Some(now);
            return is_new.then_some(Event::OverloadStarted {
                waiting: sample.waiting,
            });
        }
        let refused_at = self.refused_at?;
        if now.since(refused_at) < OVERLOAD_END_MS {
            return None;
        }
        self.refused_at = None;
        Some(Event::OverloadEnded {
            refused: sample.refused,
        })
    }

    fn concurrency_event(&mut self, sample: &RequestSample) -> Option<Event> {
        let is_limit_lowered = sample.limit < sample.slots;
        let was_limit_lowered = std::mem::replace(&mut self.is_limit_lowered, is_limit_lowered);
        match (was_limit_lowered, is_limit_lowered) {
            (false, true) => Some(Event::ConcurrencyLowered {
                limit: sample.limit,
            }),
            (true, false) => Some(Event::ConcurrencyRecovered {
                limit: sample.limit,
            }),
            _ => None,
        }
    }

    fn unknown_outcomes_event(&self, sample: &RequestSample) -> Option<Event> {
        let count = sample
            .outcomes_unknown
            .saturating_sub(self.last_sample.outcomes_unknown);
        (count > 0).then(|| Event::OutcomeUnknown {
            service: self.service,
            cause: Note::new(format_args!(
                "{count} since the last sample; the responses give the cause"
            )),
        })
    }
}
