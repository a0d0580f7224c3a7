//! A request that must run at most once, over all attempts of its caller.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stand_ins::caller::{Call, CallerConnection};

use super::{Outcome, Work, classify};

/// Names the request over all attempts.
const KEY_HEADER: &str = "idempotency-key";

/// Counts the attempts, 1 for the first.
const ATTEMPT_HEADER: &str = "lovagehall-attempt";

/// When the first attempt was sent, in milliseconds since the Unix epoch.
const FIRST_SENT_HEADER: &str = "lovagehall-first-sent-ms";

/// A request that must run at most once.
#[derive(Debug, Clone)]
pub(crate) struct KeyedRequest {
    pub(crate) key: String,
    pub(crate) attempt: u32,
    first_sent_ms: u128,
}

impl KeyedRequest {
    /// Makes a request whose first attempt is sent now.
    pub(crate) fn new(key: String) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            key,
            attempt: 1,
            first_sent_ms: since_epoch.as_millis(),
        }
    }

    /// The call of the current attempt.
    pub(crate) fn call(&self, work: &Work, timeout: Duration) -> Call {
        work.call(&self.key)
            .with_header(KEY_HEADER, &self.key)
            .with_header(ATTEMPT_HEADER, &self.attempt.to_string())
            .with_header(FIRST_SENT_HEADER, &self.first_sent_ms.to_string())
            .with_timeout(timeout)
    }

    /// Makes the current attempt on a connection.
    pub(crate) async fn attempt(
        &self,
        work: &Work,
        connection: &CallerConnection,
        timeout: Duration,
    ) -> Outcome {
        let res = connection.request(self.call(work, timeout)).await;
        classify(work, &self.key, res)
    }
}
