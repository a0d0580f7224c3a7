//! Retries of requests that may run more than once, under the service's budget.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use admission::retry::RetryBudget;
use units::Millis;

/// Retries of one request.
const RETRIES_MAX: u32 = 2;

/// The budget for retries, filled by fresh requests.
#[derive(Debug)]
pub(crate) struct Retries {
    inner: Mutex<Inner>,
    started: Instant,
}

#[derive(Debug)]
struct Inner {
    percent: u8,
    budget: RetryBudget,
}

impl Retries {
    pub(crate) fn new(percent: u8) -> Self {
        let budget = RetryBudget::new(percent);
        Self {
            inner: Mutex::new(Inner { percent, budget }),
            started: Instant::now(),
        }
    }

    /// Takes over a changed share; what was saved is lost.
    pub(crate) fn set_percent(&self, percent: u8) {
        let mut inner = self.lock();
        if inner.percent != percent {
            let budget = RetryBudget::new(percent);
            *inner = Inner { percent, budget };
        }
    }

    /// Counts a fresh request.
    pub(crate) fn fresh(&self) {
        self.lock().budget.record_fresh_request();
    }

    /// Takes in that the upstream asks for no retries for a while.
    pub(crate) fn push_back(&self, retry_after: Duration) {
        let now = self.now();
        let retry_after_ms = Millis::from_duration(retry_after);
        self.lock().budget.record_pushback(now, retry_after_ms);
    }

    /// Takes the `retry`th retry of a request, counted from 1, and waits for its time.
    ///
    /// Returns whether there is one before the deadline.
    pub(crate) async fn take(&self, retry: u32, deadline: Instant) -> bool {
        if retry > RETRIES_MAX {
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
