//! Adaptive limit on running requests, at most the number of slots.
//!
//! The concurrency limit follows additive increase, multiplicative decrease (AIMD), driven by the
//! answers of the upstream. Health and load endpoints aren't an input, because their reports may be
//! stale or wrong.

use units::{Millis, Slots};

/// Fixed-point scale of the concurrency limit.
const HUNDREDTHS_PER_SLOT: u32 = 100;

/// Factor applied to the concurrency limit after the upstream sheds a request, in percent.
const DECREASE_PERCENT: u32 = 70;

/// Share of the slots that a cold upstream may use at first, in percent.
const COLD_START_PERCENT: u32 = 25;

/// Number of times that the concurrency limit is re-evaluated during a cold-start ramp.
const RAMP_STEPS: u64 = 32;

/// What the end of a request says about the load of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSignal {
    /// The upstream accepted and answered the request.
    Answered,
    /// The upstream refused the request because it is overloaded.
    Shed,
    /// The request was cancelled before its answer ended, which says nothing about load.
    Cancelled,
}

/// Adaptive limit on the running requests of one upstream.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    /// Upper bound of the limit: the number of slots of the endpoint, at least 1, in hundredths.
    cap_hundredths: u32,
    /// Limit without the cold-start ramp, in hundredths of a slot; between one slot and
    /// `cap_hundredths`.
    limit_hundredths: u32,
    /// Start of the cold-start ramp.
    ramp_start_ms: Millis,
    ramp_ms: Millis,
    /// When the limit was last decreased. Shedding of a request that started earlier is ignored,
    /// because it reflects the old limit.
    decreased_at_ms: Option<Millis>,
}

impl ConcurrencyLimit {
    /// Creates the concurrency limit of an upstream that is cold at `now_ms`; the limit ramps up to
    /// `slots` over `ramp_ms`.
    #[must_use]
    pub fn new(now_ms: Millis, slots: Slots, ramp_ms: Millis) -> Self {
        let cap_hundredths = u32::from(slots.get().max(1)) * HUNDREDTHS_PER_SLOT;
        Self {
            cap_hundredths,
            limit_hundredths: cap_hundredths,
            ramp_start_ms: now_ms,
            ramp_ms,
            decreased_at_ms: None,
        }
    }

    /// Returns how many requests may run at `now_ms`, at least 1.
    ///
    /// # Panics
    ///
    /// Panics if the limit is below one slot, which would be a bug.
    #[must_use]
    pub fn limit(&self, now_ms: Millis) -> u32 {
        let limit = self
            .limit_hundredths
            .min(self.cold_start_ramp_hundredths(now_ms))
            / HUNDREDTHS_PER_SLOT;
        assert!(
            limit >= 1,
            "the concurrency limit must be at least 1, or no answer could increase it again"
        );
        limit
    }

    /// Returns when the cold-start ramp next changes the limit, or `None` after the ramp.
    #[must_use]
    pub fn next_change_ms(&self, now_ms: Millis) -> Option<Millis> {
        let end_ms = self.ramp_start_ms.plus(self.ramp_ms);
        if now_ms >= end_ms {
            return None;
        }
        let step_ms = Millis::new((self.ramp_ms.get() / RAMP_STEPS).max(1));
        Some(now_ms.plus(step_ms).min(end_ms))
    }

    /// Sets the number of slots of the endpoint and scales the concurrency limit in proportion.
    pub fn set_slots(&mut self, slots: Slots) {
        let cap_hundredths = u32::from(slots.get().max(1)) * HUNDREDTHS_PER_SLOT;
        let share = u64::from(self.limit_hundredths) * u64::from(cap_hundredths);
        let limit = share / u64::from(self.cap_hundredths);
        self.cap_hundredths = cap_hundredths;
        self.limit_hundredths =
            u32::try_from(limit).map_or(cap_hundredths, |it| it.max(HUNDREDTHS_PER_SLOT));
    }

    /// Adjusts the concurrency limit to the outcome of a request that was started at `started_ms`.
    ///
    /// # Panics
    ///
    /// Panics if the limit leaves its range, which would be a bug.
    pub fn record_signal(&mut self, now_ms: Millis, started_ms: Millis, signal: LoadSignal) {
        match signal {
            LoadSignal::Answered => self.increase_limit(),
            LoadSignal::Shed => self.decrease_limit(now_ms, started_ms),
            LoadSignal::Cancelled => {}
        }
        assert!(
            (HUNDREDTHS_PER_SLOT..=self.cap_hundredths).contains(&self.limit_hundredths),
            "the concurrency limit must stay between one slot and the number of slots",
        );
    }

    /// Raises the concurrency limit by about one slot for every `limit` answered requests.
    fn increase_limit(&mut self) {
        let step = (HUNDREDTHS_PER_SLOT * HUNDREDTHS_PER_SLOT / self.limit_hundredths).max(1);
        self.limit_hundredths = (self.limit_hundredths + step).min(self.cap_hundredths);
    }

    /// Lowers the concurrency limit by a factor, once for all requests that ran concurrently.
    fn decrease_limit(&mut self, now_ms: Millis, started_ms: Millis) {
        if self.decreased_at_ms.is_some_and(|at| started_ms < at) {
            return;
        }
        let decreased = self.limit_hundredths * DECREASE_PERCENT / 100;
        self.limit_hundredths = decreased.max(HUNDREDTHS_PER_SLOT);
        self.decreased_at_ms = Some(now_ms);
    }

    /// Returns the upper bound that the cold-start ramp sets, in hundredths of a slot.
    fn cold_start_ramp_hundredths(&self, now_ms: Millis) -> u32 {
        let passed_ms = now_ms.since(self.ramp_start_ms).get();
        if passed_ms >= self.ramp_ms.get() {
            return self.cap_hundredths;
        }
        let floor = (self.cap_hundredths * COLD_START_PERCENT / 100).max(HUNDREDTHS_PER_SLOT);
        let rise = u64::from(self.cap_hundredths - floor) * passed_ms / self.ramp_ms.get();
        floor + u32::try_from(rise).unwrap_or(0)
    }
}
