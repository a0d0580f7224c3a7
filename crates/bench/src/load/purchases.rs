//! A request that must run at most once, over all attempts of its caller.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stand_ins::caller::{Call, CallerConnection};

use super::{Outcome, RequestKind, classify};

/// Names the request over all attempts.
const KEY_HEADER: &str = "idempotency-key";

/// Counts the attempts, 1 for the first.
const ATTEMPT_HEADER: &str = "lovagehall-attempt";

/// When the first attempt was sent, in milliseconds since the Unix epoch.
const FIRST_SENT_HEADER: &str = "lovagehall-first-sent-ms";

/// A request that must run at most once.
#[derive(Debug, Clone)]
pub(crate) struct KeyedRequest {
    /// Same for every attempt, whatever the key.
    pub(crate) request_id: String,
    /// Names the attempts of which one may run.
    pub(crate) key: String,
    /// Attempts under this key, 1 for the first.
    pub(crate) attempt: u32,
    /// Keys used before this one; nothing ran under any of them.
    pub(crate) key_renewals: u32,
    first_sent_ms: u128,
}

impl KeyedRequest {
    /// Makes a request whose first attempt is sent now.
    pub(crate) fn new(request_id: String) -> Self {
        Self {
            key: request_id.clone(),
            request_id,
            attempt: 1,
            key_renewals: 0,
            first_sent_ms: unix_now_ms(),
        }
    }

    /// Starts over with a new key, after an answer that nothing ran under the present one.
    pub(crate) fn renew_key(&mut self) {
        self.key_renewals += 1;
        self.key = format!("{}.{}", self.request_id, self.key_renewals);
        self.attempt = 1;
        self.first_sent_ms = unix_now_ms();
    }

    /// The call of the current attempt.
    pub(crate) fn call(&self, kind: &RequestKind, timeout: Duration) -> Call {
        kind.call(&self.request_id)
            .with_header(KEY_HEADER, &self.key)
            .with_header(ATTEMPT_HEADER, &self.attempt.to_string())
            .with_header(FIRST_SENT_HEADER, &self.first_sent_ms.to_string())
            .with_timeout(timeout)
    }

    /// Makes the current attempt on a connection.
    pub(crate) async fn attempt(
        &self,
        kind: &RequestKind,
        connection: &CallerConnection,
        timeout: Duration,
    ) -> Outcome {
        let res = connection.request(self.call(kind, timeout)).await;
        classify(kind, &self.request_id, res)
    }
}

fn unix_now_ms() -> u128 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis()
}
