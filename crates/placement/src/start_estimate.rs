//! When an endpoint is expected to start an opening's request.

use units::{Millis, Slots};

/// Mean that is assumed before any request was measured: requests of an interactive service take
/// some tens of milliseconds.
const PRIOR_US: u64 = 30_000;

/// Divisor of the weight of a new sample. Sixteen requests tell a slow endpoint from others.
const SAMPLES_AVERAGED: u64 = 16;

/// Moving average of the time that an endpoint works on a request, without waits for a slot.
///
/// It follows an endpoint that turns slow or cold within a few requests.
#[derive(Debug, Clone, Copy)]
pub struct MeanWork {
    mean_us: u64,
}

impl Default for MeanWork {
    fn default() -> Self {
        Self { mean_us: PRIOR_US }
    }
}

impl MeanWork {
    /// Adds the running time of a request that did not wait for a slot.
    pub const fn record(&mut self, running: Millis) {
        let sample_us = running.get().saturating_mul(1_000);
        self.mean_us = (self.mean_us * (SAMPLES_AVERAGED - 1) + sample_us) / SAMPLES_AVERAGED;
    }

    /// Returns the mean.
    #[must_use]
    pub const fn mean(self) -> Millis {
        Millis::new(self.mean_us.div_ceil(1_000))
    }
}

/// Returns the time until an endpoint with `requests_ahead` running and waiting requests starts
/// another one, each of which takes `work`.
#[must_use]
pub fn expected_wait(requests_ahead: u32, work: Millis, slots: Slots) -> Millis {
    let slots = u64::from(slots.get().max(1));
    let without_slot = (u64::from(requests_ahead) + 1).saturating_sub(slots);
    Millis::new(without_slot * work.get() / slots)
}
