//! Records of the requests that ran on an upstream.

use units::Millis;

use super::{Upstream, lock};

/// Record of one run of a request in a slot of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Value of the `Idempotency-Key` header; empty if the request had none.
    pub key: String,
    /// Value of the `x-request-id` header; empty if the request had none.
    pub request_id: String,
    /// Path of the request, with its query.
    pub path: String,
    /// Value of the `lovagehall-deadline-ms` header: the time left to the deadline when the request
    /// arrived.
    pub deadline_ms: Option<Millis>,
    /// Start of the run, as time since the upstream's start.
    pub started_ms: Millis,
    /// How the run ended; `None` while the request runs.
    pub end: Option<RunEnd>,
}

/// How a run of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The complete response was handed to the connection for sending.
    Finished,
    /// The connection closed or the peer cancelled the request before the complete response was
    /// handed over.
    Cancelled,
}

/// Returns the idempotency keys whose requests ran more than once across all `upstreams`, sorted.
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
