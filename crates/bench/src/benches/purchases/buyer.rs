//! A caller that makes one purchase after another.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use stand_ins::caller::{Caller, CallerConnection};
use tokio::{sync::watch, time::Instant};

use crate::{
    fleet::SERVICE_NAME,
    load::{KeyedRequest, Outcome, REQUEST_KINDS, RequestKind},
};

/// Longest time that a caller waits for one answer, a little over the route's timeout.
const CALL_TIMEOUT: Duration = Duration::from_millis(5_500);

/// Longest time that a caller waits for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time since the start of a purchase after which the purchase is not retried.
const RETRY_WINDOW: Duration = Duration::from_secs(9);

/// Backoff before the first retry of a purchase; the backoff doubles with each further retry.
const BACKOFF_FIRST: Duration = Duration::from_millis(50);

/// Upper limit of the backoff between two attempts of a purchase.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Think time of a caller between two purchases.
const THINK_TIME: Duration = Duration::from_millis(100);

/// Policy by which a caller retries a purchase.
///
/// The variant names are part of the idempotency keys that callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryPolicy {
    /// Retries as the answer allows: with a new idempotency key after a refusal that says "not
    /// run", otherwise with the same key and the next attempt number.
    AsTold,
    /// Never retries a purchase.
    Never,
    /// Retries a purchase after every failure, with a new idempotency key.
    Always,
}

/// A caller that makes one purchase after another.
#[derive(Debug)]
pub(super) struct Buyer {
    caller: Arc<Caller>,
    service: SocketAddr,
    policy: RetryPolicy,
    number: usize,
    connection: Option<CallerConnection>,
}

/// A purchase that has ended, with its idempotency keys and outcome.
#[derive(Debug)]
pub(super) struct Purchase {
    pub(super) policy: RetryPolicy,
    /// Every idempotency key with which the purchase was sent.
    pub(super) keys: Vec<String>,
    /// Idempotency keys of the purchase whose refusal said "not run".
    pub(super) not_run_keys: Vec<String>,
    pub(super) attempts: u32,
    pub(super) final_outcome: FinalOutcome,
}

/// What the caller knows about a purchase at its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FinalOutcome {
    Answered,
    NotRun,
    Unknown,
    /// No answer to the purchase arrived.
    Lost,
}

impl Buyer {
    pub(super) const fn new(
        caller: Arc<Caller>,
        service: SocketAddr,
        policy: RetryPolicy,
        number: usize,
    ) -> Self {
        Self {
            caller,
            service,
            policy,
            number,
            connection: None,
        }
    }

    /// Makes one purchase after another until `stopped` is true, and returns them.
    pub(super) async fn make_purchases(mut self, stopped: watch::Receiver<bool>) -> Vec<Purchase> {
        let work = RequestKind {
            service_idx: 0,
            ..REQUEST_KINDS[1]
        };
        let mut purchases = Vec::new();
        while !*stopped.borrow() {
            let name = format!("{:?}-{}-{}", self.policy, self.number, purchases.len());
            purchases.push(self.make_purchase(&work, &name).await);
            tokio::time::sleep(THINK_TIME).await;
        }
        purchases
    }

    async fn make_purchase(&mut self, work: &RequestKind, name: &str) -> Purchase {
        let begun = Instant::now();
        let mut request = KeyedRequest::new(name.to_owned());
        let mut purchase = Purchase {
            policy: self.policy,
            keys: vec![request.key.clone()],
            not_run_keys: Vec::new(),
            attempts: 0,
            final_outcome: FinalOutcome::Lost,
        };
        let mut backoff = BACKOFF_FIRST;
        loop {
            purchase.attempts += 1;
            let outcome = self.send_attempt(work, &request).await;
            if let Some(final_outcome) = final_outcome_of(&outcome) {
                purchase.final_outcome = final_outcome;
            }
            if outcome == Outcome::NotRun {
                purchase.not_run_keys.push(request.key.clone());
            }
            let is_over =
                purchase.final_outcome == FinalOutcome::Answered || begun.elapsed() > RETRY_WINDOW;
            if is_over || self.policy == RetryPolicy::Never {
                return purchase;
            }
            if outcome == Outcome::NotRun || self.policy == RetryPolicy::Always {
                request.renew_key();
                purchase.keys.push(request.key.clone());
            } else {
                request.attempt += 1;
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Sends one attempt of a purchase, on a new connection if the last attempt failed.
    async fn send_attempt(&mut self, work: &RequestKind, request: &KeyedRequest) -> Outcome {
        let is_open = self
            .connection
            .as_ref()
            .is_some_and(|it| it.close_reason().is_none());
        if !is_open {
            let connecting = self.caller.connect(self.service, SERVICE_NAME);
            self.connection = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
                Ok(Ok(connection)) => Some(connection),
                // The attempt sent no request, but an earlier attempt of the purchase may have sent
                // one.
                Ok(Err(_)) | Err(_) => return Outcome::Timeout,
            };
        }
        let Some(connection) = &self.connection else {
            return Outcome::Timeout;
        };
        let outcome = request.send_attempt(work, connection, CALL_TIMEOUT).await;
        if outcome != Outcome::Complete {
            // A new connection may reach an agent that knows the outcome or has a free slot.
            self.connection = None;
        }
        outcome
    }
}

/// Returns what an attempt's outcome tells about the purchase; `None` if the outcome tells nothing.
const fn final_outcome_of(outcome: &Outcome) -> Option<FinalOutcome> {
    match outcome {
        Outcome::Complete => Some(FinalOutcome::Answered),
        Outcome::NotRun => Some(FinalOutcome::NotRun),
        Outcome::Unknown => Some(FinalOutcome::Unknown),
        Outcome::Timeout | Outcome::ConnectionLost(_) | Outcome::WrongResponse(_) => None,
    }
}
