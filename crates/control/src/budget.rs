//! A bound on calls to the platform: a token bucket sized by the fleet.

use units::Millis;

/// Calls a second that the whole fleet may make.
const FLEET_CALLS_PER_SECOND: u64 = 400;

/// Fewest tokens a full bucket holds.
const BURST_MIN: u64 = 2;

/// Tokens are counted in thousandths.
const MILLI: u64 = 1_000;

/// A token bucket whose rate is this process's share of the fleet's calls.
#[derive(Debug, Clone, Copy)]
pub struct CallBudget {
    /// Thousandths of a call; at most the burst.
    milli_tokens: u64,
    refilled_at: Millis,
}

impl CallBudget {
    /// Starts with a full bucket.
    #[must_use]
    pub fn new(now: Millis, fleet_size: u64) -> Self {
        Self {
            milli_tokens: burst(fleet_size) * MILLI,
            refilled_at: now,
        }
    }

    /// Takes one call, or returns how long to wait for it.
    ///
    /// # Errors
    ///
    /// The time until a call is free.
    pub fn try_acquire(&mut self, now: Millis, fleet_size: u64) -> Result<(), Millis> {
        self.refill(now, fleet_size);
        if let Some(left) = self.milli_tokens.checked_sub(MILLI) {
            self.milli_tokens = left;
            return Ok(());
        }
        let missing = MILLI - self.milli_tokens;
        let wait_ms = missing * fleet_size.max(1) / FLEET_CALLS_PER_SECOND;
        Err(Millis::new(wait_ms.max(1)))
    }

    fn refill(&mut self, now: Millis, fleet_size: u64) {
        let passed_ms = now.since(self.refilled_at).get();
        let added = passed_ms.saturating_mul(FLEET_CALLS_PER_SECOND) / fleet_size.max(1);
        if added == 0 {
            return;
        }
        self.refilled_at = now;
        self.milli_tokens = (self.milli_tokens + added).min(burst(fleet_size) * MILLI);
    }
}

fn burst(fleet_size: u64) -> u64 {
    (FLEET_CALLS_PER_SECOND / fleet_size.max(1)).max(BURST_MIN)
}
