//! The leave to run one attempt.

use std::sync::Arc;

use admission::at_most_once::{Attempt, NotStarted, RequestKey};
use units::Millis;

use super::{KeptAnswer, Keys};

/// An attempt of a non-idempotent request, as its caller names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Attempted {
    pub(crate) key: RequestKey,
    pub(crate) attempt: Attempt,
    pub(crate) first_sent_ms: Millis,
}

/// An attempt at this agent, not yet started.
#[derive(Debug)]
pub(crate) struct Ticket {
    keys: Arc<Keys>,
    attempted: Attempted,
}

/// An attempt that was started; its end is noted when dropped.
#[derive(Debug)]
pub(crate) struct Run {
    keys: Arc<Keys>,
    key: RequestKey,
}

impl Ticket {
    pub(crate) fn new(keys: Arc<Keys>, attempted: Attempted) -> Self {
        Self { keys, attempted }
    }

    /// Marks the attempt as started; must come before a byte of it is sent.
    ///
    /// # Errors
    ///
    /// Returns why it never starts here.
    pub(crate) fn start(self) -> Result<Run, NotStarted> {
        let Attempted {
            key,
            attempt,
            first_sent_ms,
        } = self.attempted;
        self.keys.lock().start(key, attempt, first_sent_ms)?;
        self.keys.answers.open(key);
        Ok(Run {
            keys: self.keys,
            key,
        })
    }

    /// Promises that the attempt never starts here; returns whether that holds.
    pub(crate) fn abandon(self) -> bool {
        let Attempted {
            key,
            attempt,
            first_sent_ms,
        } = self.attempted;
        self.keys.lock().abandon(key, attempt, first_sent_ms)
    }
}

impl Run {
    /// Keeps the answer for repeats.
    pub(crate) fn keep(&self, answer: KeptAnswer) {
        self.keys.answers.keep(self.key, answer);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.keys.lock().finish(self.key);
        self.keys.answers.close(self.key);
    }
}
