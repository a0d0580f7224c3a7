//! A closed-loop caller: it keeps a connection open and sends one request after another.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use stand_ins::caller::{Caller, CallerConnection};
use tokio::sync::watch;

use super::{KeyedRequest, Outcome, RequestKind, Tally, classify_result};
use crate::fleet::SERVICE_NAME;

/// Longest time that a caller waits for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of attempts of a request under one idempotency key.
const ATTEMPTS_MAX: u32 = 3;

/// Maximum number of new idempotency keys that a request gets after its first key.
const KEY_RENEWALS_MAX: u32 = 6;

/// Backoff before the first retry of a request; the backoff doubles with each retry.
const BACKOFF_START: Duration = Duration::from_millis(50);

/// Longest time that a caller waits for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Factor on the usual request rate of all callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RateFactor(pub(crate) f64);

/// A caller that sends its next request a think time after its last request ended.
#[derive(Debug)]
pub(crate) struct ClosedLoopCaller {
    /// Stand-in for callers; it owns one UDP socket, which several closed-loop callers share.
    pub(crate) caller: Arc<Caller>,
    /// Address of the service that the caller sends requests to.
    pub(crate) service: SocketAddr,
    /// Kind of all requests of the caller.
    pub(crate) kind: RequestKind,
    /// Number of the caller, which makes the caller's request ids unique.
    pub(crate) number: usize,
    /// Seed of the caller's random think times.
    pub(crate) seed: u64,
    /// Current factor on the caller's usual request rate.
    pub(crate) rate_factor: watch::Receiver<RateFactor>,
}

impl ClosedLoopCaller {
    /// Sends one request after another until `stop` is true and returns the tally of their
    /// outcomes.
    pub(crate) async fn send_requests(self, stop: watch::Receiver<bool>) -> Tally {
        let mut rng = StdRng::seed_from_u64(self.seed ^ self.number as u64);
        let mut tally = Tally::new();
        let mut connection = None;
        let mut count = 0_u64;
        while !*stop.borrow() {
            let request_id = format!(
                "{}-{}-{count}",
                self.kind.path.trim_matches('/'),
                self.number
            );
            count += 1;
            let begun = Instant::now();
            let outcome = self
                .send_with_retries(&request_id, &mut connection, &mut tally)
                .await;
            tally.record_outcome(&outcome, begun.elapsed());
            self.sleep_think_time(&mut rng).await;
        }
        tally
    }

    /// Sends a request and retries it as far as the responses allow.
    async fn send_with_retries(
        &self,
        request_id: &str,
        connection: &mut Option<CallerConnection>,
        tally: &mut Tally,
    ) -> Outcome {
        let mut keyed = KeyedRequest::new(request_id.to_owned());
        let mut delay = BACKOFF_START;
        loop {
            let outcome = self.send_attempt(&keyed, connection, tally).await;
            match &outcome {
                // Only a refusal of the first attempt proves that nothing ran under the idempotency
                // key. If a later attempt is refused, an earlier one may have run.
                Outcome::NotRun if keyed.attempt == 1 && keyed.key_renewals < KEY_RENEWALS_MAX => {
                    keyed.renew_key();
                }
                Outcome::NotRun | Outcome::Timeout if keyed.attempt < ATTEMPTS_MAX => {
                    *connection = None;
                    keyed.attempt += 1;
                }
                // A lost connection must be counted, so no retry follows that would hide the loss.
                _ => return outcome,
            }
            tokio::time::sleep(delay).await;
            delay *= 2;
        }
    }

    async fn send_attempt(
        &self,
        keyed: &KeyedRequest,
        connection: &mut Option<CallerConnection>,
        tally: &mut Tally,
    ) -> Outcome {
        if connection
            .as_ref()
            .is_none_or(|it| it.close_reason().is_some())
        {
            let connecting = self.caller.connect(self.service, SERVICE_NAME);
            match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
                Ok(Ok(it)) => *connection = Some(it),
                // A request without a connection was never sent, so it did not run.
                Ok(Err(_)) | Err(_) => return Outcome::NotRun,
            }
            tally.reconnects += 1;
        }
        let Some(open) = connection.as_ref() else {
            return Outcome::NotRun;
        };
        let outcome = if self.kind.is_keyed {
            keyed.send_attempt(&self.kind, open, CALL_TIMEOUT).await
        } else {
            let call = self
                .kind
                .build_call(&keyed.request_id)
                .with_timeout(CALL_TIMEOUT);
            classify_result(&self.kind, &keyed.request_id, open.request(call).await)
        };
        if outcome == Outcome::NotRun {
            // A draining agent refuses new requests on its open connections.
            *connection = None;
        }
        outcome
    }

    async fn sleep_think_time(&self, rng: &mut StdRng) {
        let mean_ms = self.kind.think_ms.get();
        let drawn_ms = rng.random_range(mean_ms / 2..=mean_ms * 3 / 2);
        let rate_factor = self.rate_factor.borrow().0;
        tokio::time::sleep(Duration::from_millis(drawn_ms).div_f64(rate_factor)).await;
    }
}
