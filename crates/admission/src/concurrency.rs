//! Adaptive limit on running requests below the slot cap.
//!
//! Additive increase, multiplicative decrease on the upstream's own answers. Health and load
//! endpoints may lag or mislead, so they are no input here.

use units::{Millis, Slots};

/// The limit is kept in hundredths of a slot.
const SLOT: u32 = 100;

/// What is left of the limit after the upstream shed a request, in percent.
const DECREASE_PERCENT: u32 = 70;

/// Share of the slot cap that a cold upstream starts with, in percent.
const COLD_START_PERCENT: u32 = 25;

/// Looks at the limit during a cold-start ramp.
const RAMP_STEPS: u64 = 32;

/// What an upstream's answer says about its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSignal {
    /// The upstream took and answered the request.
    Answered,
    /// The upstream refused the request because it is overloaded.
    Shed,
    /// The request was given up before its answer ended, which says nothing.
    Cancelled,
}

/// The limit on running requests.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    /// Slots of the endpoint, in hundredths; at least one slot.
    cap_hundredths: u32,
    /// Between one slot and `cap_hundredths`.
    limit_hundredths: u32,
    /// Start of the cold-start ramp and its length.
    ramp_from_ms: Millis,
    ramp_ms: Millis,
    /// When the limit was last lowered. A shed request started before says nothing new.
    lowered_at_ms: Option<Millis>,
}

impl ConcurrencyLimit {
    /// Starts a cold upstream at `now_ms` with `slots`, ramping over `ramp_ms`.
    #[must_use]
    pub fn new(now_ms: Millis, slots: Slots, ramp_ms: Millis) -> Self {
        let cap_hundredths = u32::from(slots.get().max(1)) * SLOT;
        Self {
            cap_hundredths,
            limit_hundredths: cap_hundredths,
            ramp_from_ms: now_ms,
            ramp_ms,
            lowered_at_ms: None,
        }
    }

    /// Returns how many requests may run now, at least 1.
    ///
    /// # Panics
    ///
    /// Panics only on a bug: when no slot is left.
    #[must_use]
    pub fn limit(&self, now_ms: Millis) -> u32 {
        let limit = self.limit_hundredths.min(self.ramp_hundredths(now_ms)) / SLOT;
        assert!(
            limit >= 1,
            "the limit leaves one slot, or it could never recover"
        );
        limit
    }

    /// Returns when a ramp under way next changes the limit.
    #[must_use]
    pub fn next_change_ms(&self, now_ms: Millis) -> Option<Millis> {
        let end_ms = self.ramp_from_ms.plus(self.ramp_ms);
        if now_ms >= end_ms {
            return None;
        }
        let step_ms = Millis::new((self.ramp_ms.get() / RAMP_STEPS).max(1));
        Some(now_ms.plus(step_ms).min(end_ms))
    }

    /// Takes over a changed number of slots and keeps the share of them in use.
    pub fn resize(&mut self, slots: Slots) {
        let cap_hundredths = u32::from(slots.get().max(1)) * SLOT;
        let share = u64::from(self.limit_hundredths) * u64::from(cap_hundredths);
        let limit = share / u64::from(self.cap_hundredths);
        self.cap_hundredths = cap_hundredths;
        self.limit_hundredths = u32::try_from(limit).map_or(cap_hundredths, |it| it.max(SLOT));
    }

    /// Takes in an answer to a request that was started at `started_ms`.
    ///
    /// # Panics
    ///
    /// Panics only on a bug: when the limit leaves its range.
    pub fn record_signal(&mut self, now_ms: Millis, started_ms: Millis, signal: LoadSignal) {
        match signal {
            LoadSignal::Answered => self.raise(),
            LoadSignal::Shed => self.lower(now_ms, started_ms),
            LoadSignal::Cancelled => {}
        }
        assert!(
            (SLOT..=self.cap_hundredths).contains(&self.limit_hundredths),
            "the limit stays between one slot and the cap",
        );
    }

    /// Raises by about one slot for each `limit` answers.
    fn raise(&mut self) {
        let step = (SLOT * SLOT / self.limit_hundredths).max(1);
        self.limit_hundredths = (self.limit_hundredths + step).min(self.cap_hundredths);
    }

    /// Lowers once for all requests that were under way together.
    fn lower(&mut self, now_ms: Millis, started_ms: Millis) {
        if self.lowered_at_ms.is_some_and(|at| started_ms < at) {
            return;
        }
        let lowered = self.limit_hundredths * DECREASE_PERCENT / 100;
        self.limit_hundredths = lowered.max(SLOT);
        self.lowered_at_ms = Some(now_ms);
    }

    fn ramp_hundredths(&self, now_ms: Millis) -> u32 {
        let passed_ms = now_ms.since(self.ramp_from_ms).get();
        if passed_ms >= self.ramp_ms.get() {
            return self.cap_hundredths;
        }
        let floor = (self.cap_hundredths * COLD_START_PERCENT / 100).max(SLOT);
        let rise = u64::from(self.cap_hundredths - floor) * passed_ms / self.ramp_ms.get();
        floor + u32::try_from(rise).unwrap_or(0)
    }
}
