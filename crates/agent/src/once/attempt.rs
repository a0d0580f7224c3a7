//! Lifecycle of one attempt of a non-idempotent request at this agent.

use std::sync::Arc;

use admission::at_most_once::{Attempt, NotStarted, RequestKey};
use units::Millis;

use super::{CachedResponse, OnceCoordinator};

/// An attempt of a non-idempotent request, as described by the headers of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestAttempt {
    pub(crate) key: RequestKey,
    pub(crate) attempt: Attempt,
    pub(crate) first_sent_ms: Millis,
}

/// An attempt of a non-idempotent request that this agent has not started yet.
#[derive(Debug)]
pub(crate) struct PendingAttempt {
    coordinator: Arc<OnceCoordinator>,
    request_attempt: RequestAttempt,
}

/// Guard of an attempt that was started; dropping it records that the run has ended.
#[derive(Debug)]
pub(crate) struct RunGuard {
    coordinator: Arc<OnceCoordinator>,
    key: RequestKey,
}

impl PendingAttempt {
    pub(crate) fn new(coordinator: Arc<OnceCoordinator>, request_attempt: RequestAttempt) -> Self {
        Self {
            coordinator,
            request_attempt,
        }
    }

    /// Marks the attempt as started.
    ///
    /// Must be called before any byte of the request is sent to the upstream.
    ///
    /// # Errors
    ///
    /// Fails if the attempt can never start at this agent, for example because it was fenced.
    pub(crate) fn start(self) -> Result<RunGuard, NotStarted> {
        let RequestAttempt {
            key,
            attempt,
            first_sent_ms,
        } = self.request_attempt;
        self.coordinator
            .lock()
            .start_attempt(key, attempt, first_sent_ms)?;
        self.coordinator.cache.begin_run(key);
        Ok(RunGuard {
            coordinator: self.coordinator,
            key,
        })
    }

    /// Rules out that the attempt ever starts at this agent.
    ///
    /// Returns `false` if the attempt was started already.
    pub(crate) fn abandon(self) -> bool {
        let RequestAttempt {
            key,
            attempt,
            first_sent_ms,
        } = self.request_attempt;
        self.coordinator
            .lock()
            .abandon_attempt(key, attempt, first_sent_ms)
    }
}

impl RunGuard {
    /// Caches the response for later attempts of the same request.
    pub(crate) fn cache_response(&self, response: CachedResponse) {
        self.coordinator.cache.insert_response(self.key, response);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.coordinator.lock().finish_attempt(self.key);
        self.coordinator.cache.end_run(self.key);
    }
}
