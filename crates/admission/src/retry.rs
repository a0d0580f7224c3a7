//! Retries under a budget, with backoff.

use units::Millis;

/// Thousandths of a retry.
const RETRY: u64 = 1000;

/// Retries that may be saved up, so that a quiet service can still retry.
const SAVED_MAX: u64 = 10 * RETRY;

/// First backoff.
const BACKOFF_FIRST_MS: u64 = 50;

/// Longest backoff.
const BACKOFF_MAX_MS: u64 = 5000;

/// Retries allowed for the fresh requests of one service.
///
/// Over any run, retries are at most the given share of fresh requests plus `SAVED_MAX`.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    budget_percent: u8,
    /// In thousandths of a retry; at most [`SAVED_MAX`].
    saved: u64,
    /// Until when the server asked for no retries at all.
    pushed_back_until_ms: Millis,
}

impl RetryBudget {
    /// Starts with nothing saved.
    #[must_use]
    pub const fn new(budget_percent: u8) -> Self {
        Self {
            budget_percent,
            saved: 0,
            pushed_back_until_ms: Millis::new(0),
        }
    }

    /// Counts a fresh request, which earns its share of a retry.
    pub fn record_fresh_request(&mut self) {
        let earned = RETRY * u64::from(self.budget_percent) / 100;
        self.saved = (self.saved + earned).min(SAVED_MAX);
    }

    /// Notes that the server asks for no retries for a while.
    pub fn record_pushback(&mut self, now_ms: Millis, retry_after_ms: Millis) {
        self.pushed_back_until_ms = self.pushed_back_until_ms.max(now_ms.plus(retry_after_ms));
    }

    /// Takes one retry from the budget and returns how long to wait before it, or `None` if there
    /// must be none.
    ///
    /// `retry` counts from 1; `random` is a uniform number. The wait is uniform between half and
    /// the whole of a backoff that doubles with each retry, and never ends before the push-back.
    pub fn try_take_retry(&mut self, now_ms: Millis, retry: u32, random: u64) -> Option<Millis> {
        if self.saved < RETRY {
            return None;
        }
        self.saved -= RETRY;
        let backoff_ms = backoff_ms(retry);
        let jittered_ms = backoff_ms / 2 + random % (backoff_ms / 2 + 1);
        let push_back_ms = self.pushed_back_until_ms.since(now_ms);
        Some(push_back_ms.plus(Millis::new(jittered_ms)))
    }
}

fn backoff_ms(retry: u32) -> u64 {
    let doublings = retry.saturating_sub(1).min(16);
    (BACKOFF_FIRST_MS << doublings).min(BACKOFF_MAX_MS)
}
