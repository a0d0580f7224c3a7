//! A flow: one connection that stays open and carries a small request every few seconds.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use quinn::ConnectionError;
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use stand_ins::caller::{Caller, CallerConnection};
use tokio::sync::{Semaphore, watch};
use units::Millis;

use crate::{
    fleet::SERVICE_NAME,
    load::{Outcome, RequestKind, classify_result},
};

/// Mean think time between two requests of a flow.
const THINK_TIME: Duration = Duration::from_secs(8);

/// Longest time that a flow waits for the answer to a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time that a flow waits for its connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum number of handshakes that run at the same time.
const CONCURRENT_HANDSHAKES_MAX: usize = 128;

/// HTTP/3 error code of a connection that is closed without an error.
const H3_NO_ERROR: u64 = 0x100;

/// Maximum number of broken flows whose reasons are kept for printing.
const BREAK_REASONS_MAX: usize = 10;

/// The requests that flows send to one service, and the service's share of the flows.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceWork {
    pub(super) path: &'static str,
    /// Number of the service's endpoints in `FleetPlan::both_users`. Each service gets flows in
    /// proportion to its endpoints.
    endpoints: usize,
}

/// The requests to each service, in the order of the services in `FleetPlan::both_users`.
pub(super) const SERVICES: [ServiceWork; 4] = [
    ServiceWork {
        path: "/balances",
        endpoints: 7,
    },
    ServiceWork {
        path: "/tariffs",
        endpoints: 3,
    },
    ServiceWork {
        path: "/fit",
        endpoints: 7,
    },
    ServiceWork {
        path: "/thumbnails",
        endpoints: 3,
    },
];

/// Returns the index of the service that the flow with this number uses.
pub(super) fn service_of(number: usize) -> usize {
    let all: usize = SERVICES.iter().map(|it| it.endpoints).sum();
    let mut left = number % all;
    for (idx, service) in SERVICES.iter().enumerate() {
        if left < service.endpoints {
            return idx;
        }
        left -= service.endpoints;
    }
    unreachable!("the remainder is less than the number of all endpoints")
}

/// Counters of flows, requests and failures, over all flows of the bench.
#[derive(Debug)]
pub(super) struct Counts {
    open: AtomicUsize,
    broken: AtomicUsize,
    moved: AtomicUsize,
    requests: AtomicUsize,
    timeouts: AtomicUsize,
    refused: AtomicUsize,
    wrong: AtomicUsize,
    failed_connects: AtomicUsize,
    break_reasons: Mutex<Vec<String>>,
    handshakes: Semaphore,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            open: AtomicUsize::new(0),
            broken: AtomicUsize::new(0),
            moved: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            timeouts: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
            wrong: AtomicUsize::new(0),
            failed_connects: AtomicUsize::new(0),
            break_reasons: Mutex::new(Vec::new()),
            handshakes: Semaphore::new(CONCURRENT_HANDSHAKES_MAX),
        }
    }
}

macro_rules! getters {
    ($($(#[$doc:meta])* $name:ident),*) => {
        impl Counts {
            $(
                $(#[$doc])*
                pub(super) fn $name(&self) -> usize {
                    self.$name.load(Ordering::Relaxed)
                }
            )*
        }
    };
}

getters! {
    /// Returns the number of flows that are open now.
    open,
    /// Returns the number of broken flows, which closed although neither the service nor the caller
    /// closed them.
    broken,
    /// Returns the number of flows that an agent closed without an error so that they move to
    /// another endpoint.
    moved,
    /// Returns the number of requests that were sent.
    requests,
    /// Returns the number of requests that got no answer in time.
    timeouts,
    /// Returns the number of requests that were refused as not run.
    refused,
    /// Returns the number of wrong answers, which belonged to another request, were incomplete or
    /// left the outcome unknown.
    wrong,
    /// Returns the number of connection attempts that failed.
    failed_connects
}

impl Counts {
    /// Returns the reasons for which the first few broken flows broke.
    pub(super) fn break_reasons(&self) -> Vec<String> {
        let break_reasons = self.break_reasons.lock();
        break_reasons
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn record_broken_flow(&self, why: String) {
        increment(&self.broken);
        let mut break_reasons = self
            .break_reasons
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if break_reasons.len() < BREAK_REASONS_MAX {
            break_reasons.push(why);
        }
    }
}

/// One flow of a caller to a service.
#[derive(Debug)]
pub(super) struct Flow {
    pub(super) caller: Arc<Caller>,
    pub(super) service: SocketAddr,
    pub(super) path: &'static str,
    pub(super) number: usize,
    pub(super) seed: u64,
    pub(super) counts: Arc<Counts>,
}

impl Flow {
    /// Keeps the flow open and sends requests on it, and reopens the flow when it closes, until
    /// `stopped` is true.
    pub(super) async fn keep_open(self, mut stopped: watch::Receiver<bool>) {
        let mut rng = StdRng::seed_from_u64(self.seed ^ self.number as u64);
        while !*stopped.borrow() {
            let Some(connection) = self.connect().await else {
                increment(&self.counts.failed_connects);
                continue;
            };
            increment(&self.counts.open);
            self.send_requests(&connection, &mut rng, &mut stopped)
                .await;
            self.counts.open.fetch_sub(1, Ordering::Relaxed);
        }
    }

    async fn connect(&self) -> Option<CallerConnection> {
        let _permit = self.counts.handshakes.acquire().await.ok()?;
        let connecting = self.caller.connect(self.service, SERVICE_NAME);
        tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .ok()?
            .ok()
    }

    /// Sends the flow's requests on a connection until the connection closes or `stopped` changes.
    async fn send_requests(
        &self,
        connection: &CallerConnection,
        rng: &mut StdRng,
        stopped: &mut watch::Receiver<bool>,
    ) {
        let mut count = 0_u32;
        loop {
            let think = THINK_TIME.mul_f64(rng.random_range(0.5..1.5));
            tokio::select! {
                _changed = stopped.changed() => return,
                reason = connection.quic_connection().closed() => return self.record_close(&reason),
                () = tokio::time::sleep(think) => {}
            }
            count += 1;
            if !self.send_request(connection, count).await {
                return;
            }
        }
    }

    /// Sends one request of the flow; returns whether the connection can carry another request.
    async fn send_request(&self, connection: &CallerConnection, count: u32) -> bool {
        let work = self.request_kind();
        let request_id = format!("{}-{count}", self.number);
        let call = work.build_call(&request_id).with_timeout(CALL_TIMEOUT);
        increment(&self.counts.requests);
        match classify_result(&work, &request_id, connection.request(call).await) {
            Outcome::Complete => return true,
            Outcome::NotRun => increment(&self.counts.refused),
            Outcome::Timeout => increment(&self.counts.timeouts),
            Outcome::ConnectionLost(why) => self.counts.record_broken_flow(why),
            Outcome::Unknown | Outcome::WrongResponse(_) => increment(&self.counts.wrong),
        }
        false
    }

    fn record_close(&self, reason: &ConnectionError) {
        match reason {
            ConnectionError::ApplicationClosed(it) if it.error_code.into_inner() == H3_NO_ERROR => {
                increment(&self.counts.moved);
            }
            other => self.counts.record_broken_flow(other.to_string()),
        }
    }

    fn request_kind(&self) -> RequestKind {
        RequestKind {
            name: "small request",
            service_idx: 0,
            method: "GET",
            path: self.path,
            run_time_ms: Millis::new(1),
            body_bytes: 0,
            response_bytes: 200,
            is_keyed: false,
            callers: 0,
            think_ms: Millis::new(0),
        }
    }
}

fn increment(counter: &AtomicUsize) {
    counter.fetch_add(1, Ordering::Relaxed);
}
