//! A request with an idempotency key, which must run at most once over all attempts.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stand_ins::caller::{Call, CallerConnection};

use super::{Outcome, RequestKind, classify_result};

/// Header with the idempotency key, which is the same for all attempts under that key.
const KEY_HEADER: &str = "idempotency-key";

/// Header with the number of the attempt under the idempotency key, 1 for the first.
const ATTEMPT_HEADER: &str = "lovagehall-attempt";

/// Header with the sending time of the first attempt, in milliseconds since the Unix epoch.
const FIRST_SENT_HEADER: &str = "lovagehall-first-sent-ms";

/// A request that must run at most once over all attempts.
#[derive(Debug, Clone)]
pub(crate) struct KeyedRequest {
    /// Id of the request, which is the same for all attempts and idempotency keys.
    pub(crate) request_id: String,
    /// Current idempotency key of the request; at most one of the attempts under a key may run.
    pub(crate) key: String,
    /// Number of the current attempt under the current idempotency key, 1 for the first.
    pub(crate) attempt: u32,
    /// Number of idempotency keys used before the current one; the request ran under none of these.
    pub(crate) key_renewals: u32,
    first_sent_ms: u128,
}

impl KeyedRequest {
    /// Creates a request whose first attempt is to be sent now.
    pub(crate) fn new(request_id: String) -> Self {
        Self {
            key: request_id.clone(),
            request_id,
            attempt: 1,
            key_renewals: 0,
            first_sent_ms: unix_now_ms(),
        }
    }

    /// Replaces the idempotency key and restarts the attempt numbers, after a response that nothing
    /// ran under the old key.
    pub(crate) fn renew_key(&mut self) {
        self.key_renewals += 1;
        self.key = format!("{}.{}", self.request_id, self.key_renewals);
        self.attempt = 1;
        self.first_sent_ms = unix_now_ms();
    }

    /// Builds the call of the request's current attempt.
    pub(crate) fn build_call(&self, kind: &RequestKind, timeout: Duration) -> Call {
        kind.build_call(&self.request_id)
            .with_header(KEY_HEADER, &self.key)
            .with_header(ATTEMPT_HEADER, &self.attempt.to_string())
            .with_header(FIRST_SENT_HEADER, &self.first_sent_ms.to_string())
            .with_timeout(timeout)
    }

    /// Sends the request's current attempt on a connection and returns the attempt's outcome.
    pub(crate) async fn send_attempt(
        &self,
        kind: &RequestKind,
        connection: &CallerConnection,
        timeout: Duration,
    ) -> Outcome {
        let res = connection.request(self.build_call(kind, timeout)).await;
        classify_result(kind, &self.request_id, res)
    }
}

fn unix_now_ms() -> u128 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis()
}
