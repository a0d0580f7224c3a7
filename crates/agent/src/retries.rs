//! Limits the retries of idempotent requests by the retry budget of the service.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use admission::retry::RetryBudget;
use units::Millis;

/// Maximum number of retries of one request.
const RETRIES_PER_REQUEST_MAX: u32 = 2;

/// Limits retries by a retry budget that first attempts replenish.
#[derive(Debug)]
pub(crate) struct RetryLimiter {
    inner: Mutex<Inner>,
    started: Instant,
}

#[derive(Debug)]
struct Inner {
    percent: u8,
    budget: RetryBudget,
}

impl RetryLimiter {
    pub(crate) fn new(percent: u8) -> Self {
        let budget = RetryBudget::new(percent);
        Self {
            inner: Mutex::new(Inner { percent, budget }),
            started: Instant::now(),
        }
    }

    /// Sets the retry budget as a percentage of requests; a change discards the saved budget.
    pub(crate) fn set_retry_budget_percent(&self, percent: u8) {
        let mut inner = self.lock();
        if inner.percent != percent {
            let budget = RetryBudget::new(percent);
            *inner = Inner { percent, budget };
        }
    }

    /// Records the first attempt of a request, which replenishes the retry budget.
    pub(crate) fn record_request(&self) {
        self.lock().budget.record_fresh_request();
    }

    /// Suspends retries for the time that the upstream asked for.
    pub(crate) fn apply_pushback(&self, retry_after: Duration) {
        let now = self.now();
        let retry_after_ms = Millis::from_duration(retry_after);
        self.lock().budget.record_pushback(now, retry_after_ms);
    }

    /// Takes one retry from the retry budget and waits for its backoff.
    ///
    /// `retry` counts the retries of the request from 1. Returns `false` if the request must not be
    /// retried: it reached the maximum of retries, the budget is empty, or the backoff would pass
    /// the deadline.
    pub(crate) async fn wait_for_retry(&self, retry: u32, deadline: Instant) -> bool {
        if retry > RETRIES_PER_REQUEST_MAX {
            return false;
        }
        let now = self.now();
        let wait = self
            .lock()
            .budget
            .try_take_retry(now, retry, rand::random());
        let Some(wait) = wait.map(Millis::to_duration) else {
            return false;
        };
        if Instant::now() + wait >= deadline {
            return false;
        }
        tokio::time::sleep(wait).await;
        true
    }

    fn now(&self) -> Millis {
        Millis::from_duration(self.started.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
