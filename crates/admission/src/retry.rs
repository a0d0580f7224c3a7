//! Retry budget and exponential backoff with jitter.

use units::Millis;

/// Fixed-point scale of the token bucket.
const THOUSANDTHS_PER_RETRY: u64 = 1000;

/// Capacity of the token bucket; lets a service with little traffic retry in a short burst.
const BUCKET_CAPACITY_THOUSANDTHS: u64 = 10 * THOUSANDTHS_PER_RETRY;

/// Backoff before the first retry; doubles with each further retry.
const BACKOFF_FIRST_MS: u64 = 50;

/// Upper bound of the backoff.
const BACKOFF_MAX_MS: u64 = 5000;

/// Token bucket that limits the retries of one service to a share of its fresh requests.
///
/// Over any period, the retries are at most this share of the fresh requests plus the capacity of
/// the token bucket.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    budget_percent: u8,
    /// Tokens in the bucket, in thousandths of a retry; at most [`BUCKET_CAPACITY_THOUSANDTHS`].
    tokens_thousandths: u64,
    /// Time before which the server asked to get no retries.
    pushback_until_ms: Millis,
}

impl RetryBudget {
    /// Creates an empty token bucket that gains `budget_percent` of a retry for each fresh request.
    #[must_use]
    pub const fn new(budget_percent: u8) -> Self {
        Self {
            budget_percent,
            tokens_thousandths: 0,
            pushback_until_ms: Millis::new(0),
        }
    }

    /// Counts a fresh request, which adds its share of a retry to the token bucket.
    pub fn record_fresh_request(&mut self) {
        let earned_thousandths = THOUSANDTHS_PER_RETRY * u64::from(self.budget_percent) / 100;
        self.tokens_thousandths =
            (self.tokens_thousandths + earned_thousandths).min(BUCKET_CAPACITY_THOUSANDTHS);
    }

    /// Delays retries for at least `retry_after_ms`, as the server asked.
    pub fn record_pushback(&mut self, now_ms: Millis, retry_after_ms: Millis) {
        self.pushback_until_ms = self.pushback_until_ms.max(now_ms.plus(retry_after_ms));
    }

    /// Takes one retry from the token bucket and returns the delay before it, or `None` if the
    /// bucket holds less than one retry.
    ///
    /// `retry` counts from 1; `random` is a uniform random number. The delay is uniform between
    /// half and all of a backoff that doubles with each retry; the delay is added to what is left
    /// of the server's pushback.
    pub fn try_take_retry(&mut self, now_ms: Millis, retry: u32, random: u64) -> Option<Millis> {
        if self.tokens_thousandths < THOUSANDTHS_PER_RETRY {
            return None;
        }
        self.tokens_thousandths -= THOUSANDTHS_PER_RETRY;
        let backoff_ms = backoff_ms(retry);
        let jittered_ms = backoff_ms / 2 + random % (backoff_ms / 2 + 1);
        let pushback_ms = self.pushback_until_ms.since(now_ms);
        Some(pushback_ms.plus(Millis::new(jittered_ms)))
    }
}

fn backoff_ms(retry: u32) -> u64 {
    let doublings = retry.saturating_sub(1).min(16);
    (BACKOFF_FIRST_MS << doublings).min(BACKOFF_MAX_MS)
}
