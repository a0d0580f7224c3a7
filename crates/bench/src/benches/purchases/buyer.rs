//! One caller that buys, one purchase after another.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use stand_ins::caller::{Caller, CallerConnection};
use tokio::{sync::watch, time::Instant};

use crate::{
    fleet::SERVICE_NAME,
    load::{KeyedRequest, Outcome, REQUEST_KINDS, RequestKind},
};

/// Longest time for one answer, a little over the route's timeout.
const CALL_TIMEOUT: Duration = Duration::from_millis(5_500);

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which no further attempt is made.
const PATIENCE: Duration = Duration::from_secs(9);

/// First pause before an attempt; it doubles up to the longest.
const PAUSE: Duration = Duration::from_millis(50);
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// Time between two purchases.
const THINK: Duration = Duration::from_millis(100);

/// When a caller sends a purchase again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Policy {
    /// As the answer allows: with the same key and the attempt counted, with a new key only after
    /// "not run".
    AsTold,
    /// Never.
    Never,
    /// After every failure with a new key.
    Always,
}

/// One caller.
#[derive(Debug)]
pub(super) struct Buyer {
    caller: Arc<Caller>,
    service: SocketAddr,
    policy: Policy,
    number: usize,
    connection: Option<CallerConnection>,
}

/// One purchase that came to its end.
#[derive(Debug)]
pub(super) struct Purchase {
    pub(super) policy: Policy,
    /// Every key it was sent with.
    pub(super) keys: Vec<String>,
    /// Keys that were told "not run".
    pub(super) denied: Vec<String>,
    pub(super) attempts: u32,
    pub(super) fate: Fate,
}

/// What the caller knows at the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    Answered,
    NotRun,
    Unknown,
    /// Nothing: no answer of any kind came.
    Lost,
}

impl Buyer {
    pub(super) const fn new(
        caller: Arc<Caller>,
        service: SocketAddr,
        policy: Policy,
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

    /// Buys until `stopped` says true.
    pub(super) async fn run(mut self, stopped: watch::Receiver<bool>) -> Vec<Purchase> {
        let work = RequestKind {
            service_idx: 0,
            ..REQUEST_KINDS[1]
        };
        let mut purchases = Vec::new();
        while !*stopped.borrow() {
            let name = format!("{:?}-{}-{}", self.policy, self.number, purchases.len());
            purchases.push(self.buy(&work, &name).await);
            tokio::time::sleep(THINK).await;
        }
        purchases
    }

    async fn buy(&mut self, work: &RequestKind, name: &str) -> Purchase {
        let begun = Instant::now();
        let mut keyed = KeyedRequest::new(name.to_owned());
        let mut purchase = Purchase {
            policy: self.policy,
            keys: vec![keyed.key.clone()],
            denied: Vec::new(),
            attempts: 0,
            fate: Fate::Lost,
        };
        let mut pause = PAUSE;
        loop {
            purchase.attempts += 1;
            let outcome = self.attempt(work, &keyed).await;
            if let Some(fate) = fate_of(&outcome) {
                purchase.fate = fate;
            }
            if outcome == Outcome::NotRun {
                purchase.denied.push(keyed.key.clone());
            }
            let is_over = purchase.fate == Fate::Answered || begun.elapsed() > PATIENCE;
            if is_over || self.policy == Policy::Never {
                return purchase;
            }
            if outcome == Outcome::NotRun || self.policy == Policy::Always {
                keyed.renew_key();
                purchase.keys.push(keyed.key.clone());
            } else {
                keyed.attempt += 1;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }

    /// Makes one attempt, on a fresh connection if the last one failed.
    async fn attempt(&mut self, work: &RequestKind, keyed: &KeyedRequest) -> Outcome {
        let is_open = self
            .connection
            .as_ref()
            .is_some_and(|it| it.close_reason().is_none());
        if !is_open {
            let connecting = self.caller.connect(self.service, SERVICE_NAME);
            self.connection = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
                Ok(Ok(connection)) => Some(connection),
                // No request was sent on it, but an earlier attempt may have been.
                Ok(Err(_)) | Err(_) => return Outcome::Timeout,
            };
        }
        let Some(connection) = &self.connection else {
            return Outcome::Timeout;
        };
        let outcome = keyed.attempt(work, connection, CALL_TIMEOUT).await;
        if outcome != Outcome::Complete {
            // Another agent may know more or have more room.
            self.connection = None;
        }
        outcome
    }
}

/// Returns what an outcome tells, `None` if it tells nothing.
const fn fate_of(outcome: &Outcome) -> Option<Fate> {
    match outcome {
        Outcome::Complete => Some(Fate::Answered),
        Outcome::NotRun => Some(Fate::NotRun),
        Outcome::Unknown => Some(Fate::Unknown),
        Outcome::Timeout | Outcome::ConnectionLost(_) | Outcome::WrongResponse(_) => None,
    }
}
