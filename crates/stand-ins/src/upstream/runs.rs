//! Records of the requests that ran on an upstream.

use units::Millis;

use super::{Upstream, lock};

/// A run of a request in a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Value of `Idempotency-Key`; empty if the request had none.
    pub key: String,
    /// Value of `x-request-id`; empty if the request had none.
    pub request_id: String,
    /// Path with query.
    pub path: String,
    /// Value of `lovagehall-deadline-ms`, the time left when the request arrived.
    pub deadline_ms: Option<Millis>,
    /// When the run started, as time since the upstream's start.
    pub started_ms: Millis,
    /// How the run ended; `None` while it lasts.
    pub end: Option<RunEnd>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The complete response was handed to the connection.
    Finished,
    /// The connection closed or the peer cancelled the request before that.
    Cancelled,
}

/// Returns the idempotency keys that ran more than once across all `upstreams`, sorted.
pub(crate) fn keys_run_twice<'a>(upstreams: impl Iterator<Item = &'a Upstream>) -> Vec<String> {
    let mut keys = Vec::new();
    for upstream in upstreams {
        let runs = lock(&upstream.shared.runs);
        keys.extend(runs.iter().map(|it| it.key.clone()));
    }
    keys.retain(|it| !it.is_empty());
    keys.sort_unstable();
    let mut twice = Vec::new();
    for pair in keys.windows(2) {
        if pair[0] == pair[1] && twice.last() != Some(&pair[0]) {
            twice.push(pair[0].clone());
        }
    }
    twice
}
