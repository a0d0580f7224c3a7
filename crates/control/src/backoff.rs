//! Exponential backoff with jitter.

use rand::Rng;
use units::Millis;

/// Exponential backoff between retries, with a maximum delay and jitter.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    base: Millis,
    max: Millis,
    /// Consecutive failures since the last success, at most 32.
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose first delay is at most `base` and whose later delays are at most
    /// `max`.
    #[must_use]
    pub const fn new(base: Millis, max: Millis) -> Self {
        Self {
            base,
            max,
            failures: 0,
        }
    }

    /// Records a success, so that the next delay starts from the base delay again.
    pub const fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of consecutive failures since the last success, at most 32.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failure and returns the delay before the next attempt.
    ///
    /// The delay is random between half the current exponential bound and the whole bound.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Millis {
        let factor = 1_u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        self.failures = self.failures.saturating_add(1).min(32);
        let bound = self.base.get().saturating_mul(factor).min(self.max.get());
        Millis::new(rng.random_range(bound / 2..=bound))
    }
}
