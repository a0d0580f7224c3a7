//! Waiting times between attempts: exponential, bounded, with jitter.

use rand::Rng;
use units::Millis;

/// Waiting times between attempts: exponential, bounded, with jitter.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    base: Millis,
    max: Millis,
    /// Failures since the last success.
    failures: u32,
}

impl Backoff {
    /// Starts at `base` and never waits longer than `max`.
    #[must_use]
    pub const fn new(base: Millis, max: Millis) -> Self {
        Self {
            base,
            max,
            failures: 0,
        }
    }

    /// Notes a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the failures since the last success.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Notes a failure and returns how long to wait, between half and the whole of the bound.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Millis {
        let factor = 1_u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        self.failures = self.failures.saturating_add(1).min(32);
        let bound = self.base.get().saturating_mul(factor).min(self.max.get());
        Millis::new(rng.random_range(bound / 2..=bound))
    }
}
