//! Small answers of non-idempotent requests, kept for repeats whose caller lost them.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use admission::at_most_once::RequestKey;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use tokio::sync::watch;

/// Largest body kept.
pub(crate) const KEPT_BODY_MAX_BYTES: usize = 64 << 10;

/// Answers kept; the oldest makes room.
const ANSWERS_MAX: usize = 20_000;

/// Bytes of bodies kept; the oldest answer makes room.
const BODIES_MAX_BYTES: usize = 16 << 20;

/// A whole answer of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KeptAnswer {
    /// Status.
    pub(crate) status: StatusCode,
    /// Fields.
    pub(crate) headers: HeaderMap,
    /// Body, at most [`KEPT_BODY_MAX_BYTES`].
    pub(crate) body: Bytes,
}

/// Answers of runs that ended, and runs under way to wait for.
#[derive(Debug, Default)]
pub(super) struct Answers {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    kept: BTreeMap<RequestKey, KeptAnswer>,
    /// Keys of `kept`, oldest first.
    order: VecDeque<RequestKey>,
    /// Sum of the bodies in `kept`.
    body_bytes: usize,
    /// Runs under way; the channel closes with the run.
    running: BTreeMap<RequestKey, watch::Sender<()>>,
}

impl Answers {
    /// Notes that a run is under way.
    pub(super) fn open(&self, key: RequestKey) {
        self.lock().running.insert(key, watch::Sender::new(()));
    }

    pub(super) fn keep(&self, key: RequestKey, answer: KeptAnswer) {
        self.lock().keep(key, answer);
    }

    /// Notes that a run ended, and wakes who waits for its answer.
    pub(super) fn close(&self, key: RequestKey) {
        self.lock().running.remove(&key);
    }

    /// Waits until the run ended and returns its answer, if that is kept.
    pub(super) async fn wait_for(&self, key: RequestKey, wait: Duration) -> Option<KeptAnswer> {
        let running = self.lock().running.get(&key).map(watch::Sender::subscribe);
        if let Some(mut running) = running {
            // Ends when the run drops its sender.
            let _ended = tokio::time::timeout(wait, running.changed()).await.ok()?;
        }
        self.lock().kept.get(&key).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn keep(&mut self, key: RequestKey, answer: KeptAnswer) {
        if answer.body.len() > KEPT_BODY_MAX_BYTES || self.kept.contains_key(&key) {
            return;
        }
        self.body_bytes += answer.body.len();
        self.kept.insert(key, answer);
        self.order.push_back(key);
        while self.kept.len() > ANSWERS_MAX || self.body_bytes > BODIES_MAX_BYTES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            let dropped = self
                .kept
                .remove(&oldest)
                .expect("each key in order is kept");
            self.body_bytes -= dropped.body.len();
        }
    }
}
