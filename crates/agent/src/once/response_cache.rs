//! Cache of small responses to non-idempotent requests, for callers that lost the first copy.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use admission::at_most_once::RequestKey;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use tokio::sync::watch;

/// Maximum size of a response body that is cached.
pub(crate) const CACHED_BODY_MAX_BYTES: usize = 64 << 10;

/// Maximum number of cached responses; beyond it the oldest is evicted.
const CACHED_RESPONSES_MAX: usize = 20_000;

/// Maximum total size of the cached bodies; beyond it the oldest response is evicted.
const CACHED_BODIES_MAX_BYTES: usize = 16 << 20;

/// A complete response of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CachedResponse {
    pub(crate) status: StatusCode,
    /// End-to-end headers of the response.
    pub(crate) headers: HeaderMap,
    /// Body of at most [`CACHED_BODY_MAX_BYTES`].
    pub(crate) body: Bytes,
}

/// Cached responses of completed runs, and the runs in progress.
#[derive(Debug, Default)]
pub(super) struct ResponseCache {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    cached: BTreeMap<RequestKey, CachedResponse>,
    /// Keys of `cached` in insertion order.
    order: VecDeque<RequestKey>,
    /// Total size of the bodies in `cached`.
    body_bytes: usize,
    /// Runs in progress, each with a channel that closes when the run ends.
    running: BTreeMap<RequestKey, watch::Sender<()>>,
}

impl ResponseCache {
    /// Registers the run of a request as in progress.
    pub(super) fn begin_run(&self, key: RequestKey) {
        self.lock().running.insert(key, watch::Sender::new(()));
    }

    pub(super) fn insert_response(&self, key: RequestKey, response: CachedResponse) {
        self.lock().insert_response(key, response);
    }

    /// Unregisters the run of a request that ended, and wakes the tasks that wait for the response.
    pub(super) fn end_run(&self, key: RequestKey) {
        self.lock().running.remove(&key);
    }

    /// Waits up to `wait` for a run in progress to end and returns its response if it was cached.
    pub(super) async fn wait_for_response(
        &self,
        key: RequestKey,
        wait: Duration,
    ) -> Option<CachedResponse> {
        let running = self.lock().running.get(&key).map(watch::Sender::subscribe);
        if let Some(mut running) = running {
            // `changed` returns an error once `end_run` has dropped the sender.
            let _ended = tokio::time::timeout(wait, running.changed()).await.ok()?;
        }
        self.lock().cached.get(&key).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn insert_response(&mut self, key: RequestKey, response: CachedResponse) {
        if response.body.len() > CACHED_BODY_MAX_BYTES || self.cached.contains_key(&key) {
            return;
        }
        self.body_bytes += response.body.len();
        self.cached.insert(key, response);
        self.order.push_back(key);
        while self.cached.len() > CACHED_RESPONSES_MAX || self.body_bytes > CACHED_BODIES_MAX_BYTES
        {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            let dropped = self
                .cached
                .remove(&oldest)
                .expect("every key in `order` is cached");
            self.body_bytes -= dropped.body.len();
        }
    }
}
