//! Turns the agent's counts into events, one for each change of state.
//!
//! Pure: samples and time in, events out.

use timeline::{Event, Note};
use units::{Millis, ServiceId};

/// Time without refusals that ends an overload.
const CALM_MS: Millis = Millis::new(5_000);

/// What the agent counts and holds at a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestSample {
    /// Requests refused for lack of capacity since the start.
    pub refused: u64,
    /// Requests whose outcome can't be known since the start.
    pub outcomes_unknown: u64,
    /// Requests that wait now.
    pub waiting: u32,
    /// Requests that may run at once now.
    pub limit: u32,
    /// Slots of the endpoint by the bundle.
    pub slots: u32,
}

/// Turns samples into events.
#[derive(Debug)]
pub struct RequestMonitor {
    service: ServiceId,
    last: RequestSample,
    /// When a request was last refused, while an overload lasts.
    refused_at: Option<Millis>,
    is_lowered: bool,
}

impl RequestMonitor {
    /// Starts a watch that has seen nothing.
    #[must_use]
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            last: RequestSample::default(),
            refused_at: None,
            is_lowered: false,
        }
    }

    /// Takes in a sample; returns what changed.
    pub fn observe(&mut self, now: Millis, sample: RequestSample) -> Vec<Event> {
        let mut events = Vec::new();
        events.extend(self.overload(now, &sample));
        events.extend(self.concurrency(&sample));
        events.extend(self.unknown(&sample));
        self.last = sample;
        events
    }

    fn overload(&mut self, now: Millis, sample: &RequestSample) -> Option<Event> {
        if sample.refused > self.last.refused {
            let is_new = self.refused_at.is_none();
            self.refused_at = Some(now);
            return is_new.then_some(Event::OverloadStarted {
                waiting: sample.waiting,
            });
        }
        let refused_at = self.refused_at?;
        if now.since(refused_at) < CALM_MS {
            return None;
        }
        self.refused_at = None;
        Some(Event::OverloadEnded {
            refused: sample.refused,
        })
    }

    fn concurrency(&mut self, sample: &RequestSample) -> Option<Event> {
        let is_lowered = sample.limit < sample.slots;
        let was_lowered = std::mem::replace(&mut self.is_lowered, is_lowered);
        match (was_lowered, is_lowered) {
            (false, true) => Some(Event::ConcurrencyLowered {
                limit: sample.limit,
            }),
            (true, false) => Some(Event::ConcurrencyRecovered {
                limit: sample.limit,
            }),
            _ => None,
        }
    }

    fn unknown(&self, sample: &RequestSample) -> Option<Event> {
        let count = sample
            .outcomes_unknown
            .saturating_sub(self.last.outcomes_unknown);
        (count > 0).then(|| Event::OutcomeUnknown {
            service: self.service,
            cause: Note::new(format_args!(
                "{count} since the last look; the answers say why"
            )),
        })
    }
}
