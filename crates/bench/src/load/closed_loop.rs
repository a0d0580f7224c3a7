//! One caller: a connection kept open, one request after another.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use stand_ins::caller::{Caller, CallerConnection};
use tokio::sync::watch;

use super::{KeyedRequest, Outcome, RequestKind, Tally, classify};
use crate::fleet::SERVICE_NAME;

/// Longest time a caller waits for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Most attempts under one key.
const ATTEMPTS_MAX: u32 = 3;

/// Most keys that a request uses after the first.
const RENEWALS_MAX: u32 = 6;

/// First pause before an attempt is repeated; it doubles each time.
const BACKOFF: Duration = Duration::from_millis(50);

/// Time a caller has for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// How many times its usual rate a caller asks; shared by all callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RateFactor(pub(crate) f64);

/// One caller's loop.
#[derive(Debug)]
pub(crate) struct ClosedLoopCaller {
    /// The caller whose socket it uses.
    pub(crate) caller: Arc<Caller>,
    /// Address of the service.
    pub(crate) service: SocketAddr,
    /// What it asks.
    pub(crate) kind: RequestKind,
    /// Number that tells its requests from those of others.
    pub(crate) number: usize,
    /// Seed of its think times.
    pub(crate) seed: u64,
    /// How fast it asks.
    pub(crate) rate_factor: watch::Receiver<RateFactor>,
}

impl ClosedLoopCaller {
    /// Asks until `stop` says true; returns what came of it.
    pub(crate) async fn run(self, stop: watch::Receiver<bool>) -> Tally {
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
            let outcome = self.ask(&request_id, &mut connection, &mut tally).await;
            tally.add(&outcome, begun.elapsed());
            self.think(&mut rng).await;
        }
        tally
    }

    /// Makes one request, with the attempts that its answers allow.
    async fn ask(
        &self,
        request_id: &str,
        connection: &mut Option<CallerConnection>,
        tally: &mut Tally,
    ) -> Outcome {
        let mut keyed = KeyedRequest::new(request_id.to_owned());
        let mut pause = BACKOFF;
        loop {
            let outcome = self.attempt(&keyed, connection, tally).await;
            match &outcome {
                // A later attempt that did not run tells nothing of the first.
                Outcome::NotRun if keyed.attempt == 1 && keyed.key_renewals < RENEWALS_MAX => {
                    keyed.renew_key();
                }
                Outcome::NotRun | Outcome::Timeout if keyed.attempt < ATTEMPTS_MAX => {
                    *connection = None;
                    keyed.attempt += 1;
                }
                // A broken flow counts, so it is not hidden behind a later attempt.
                _ => return outcome,
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
    }

    async fn attempt(
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
                // No request was sent, so nothing ran.
                Ok(Err(_)) | Err(_) => return Outcome::NotRun,
            }
            tally.reconnects += 1;
        }
        let Some(open) = connection.as_ref() else {
            return Outcome::NotRun;
        };
        let outcome = if self.kind.is_keyed {
            keyed.attempt(&self.kind, open, CALL_TIMEOUT).await
        } else {
            let call = self.kind.call(&keyed.request_id).with_timeout(CALL_TIMEOUT);
            classify(&self.kind, &keyed.request_id, open.request(call).await)
        };
        if outcome == Outcome::NotRun {
            // An agent that leaves refuses new requests on old connections.
            *connection = None;
        }
        outcome
    }

    async fn think(&self, rng: &mut StdRng) {
        let mean_ms = self.kind.think_ms.get();
        let drawn_ms = rng.random_range(mean_ms / 2..=mean_ms * 3 / 2);
        let rate_factor = self.rate_factor.borrow().0;
        tokio::time::sleep(Duration::from_millis(drawn_ms).div_f64(rate_factor)).await;
    }
}
