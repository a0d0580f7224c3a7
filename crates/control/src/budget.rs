//! Rate limit on calls to the platform: a token bucket whose rate depends on the fleet size.

use units::Millis;

/// Calls to the platform per second that the processes of the fleet may make together.
const FLEET_CALLS_PER_SECOND: u64 = 400;

/// Minimum capacity of a token bucket in calls, for large fleets.
const BURST_MIN_CALLS: u64 = 2;

/// Number of millitokens that one call costs.
const MILLITOKENS_PER_CALL: u64 = 1_000;

/// Token bucket that refills at this process's share of the fleet's rate of calls to the platform.
#[derive(Debug, Clone, Copy)]
pub struct CallBudget {
    /// Available tokens in thousandths of a call, at most the bucket's capacity.
    millitokens: u64,
    refilled_at: Millis,
}

impl CallBudget {
    /// Creates a full token bucket.
    #[must_use]
    pub fn new(now: Millis, fleet_size: u64) -> Self {
        Self {
            millitokens: capacity_calls(fleet_size) * MILLITOKENS_PER_CALL,
            refilled_at: now,
        }
    }

    /// Takes the token for one call from the bucket if it is available.
    ///
    /// # Errors
    ///
    /// Returns the time until the token is available if the bucket is empty.
    pub fn try_acquire(&mut self, now: Millis, fleet_size: u64) -> Result<(), Millis> {
        self.refill_bucket(now, fleet_size);
        if let Some(left) = self.millitokens.checked_sub(MILLITOKENS_PER_CALL) {
            self.millitokens = left;
            return Ok(());
        }
        let missing = MILLITOKENS_PER_CALL - self.millitokens;
        let wait_ms = missing * fleet_size.max(1) / FLEET_CALLS_PER_SECOND;
        Err(Millis::new(wait_ms.max(1)))
    }

    fn refill_bucket(&mut self, now: Millis, fleet_size: u64) {
        let passed_ms = now.since(self.refilled_at).get();
        let added = passed_ms.saturating_mul(FLEET_CALLS_PER_SECOND) / fleet_size.max(1);
        if added == 0 {
            return;
        }
        self.refilled_at = now;
        self.millitokens =
            (self.millitokens + added).min(capacity_calls(fleet_size) * MILLITOKENS_PER_CALL);
    }
}

/// Returns the token bucket's capacity: one second of this process's share of calls, at least
/// [`BURST_MIN_CALLS`].
fn capacity_calls(fleet_size: u64) -> u64 {
    (FLEET_CALLS_PER_SECOND / fleet_size.max(1)).max(BURST_MIN_CALLS)
}
