//! One flow: a connection kept open, with a small request now and then.

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
    load::{Outcome, RequestKind, classify},
};

/// Mean time between two requests of a flow.
const THINK: Duration = Duration::from_secs(8);

/// Longest time for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(8);

/// Handshakes under way at once.
const HANDSHAKES_MAX: usize = 128;

/// Code with which HTTP/3 ends a connection that it is done with.
const H3_NO_ERROR: u64 = 0x100;

/// Broken flows whose reasons are kept.
const SAMPLES_MAX: usize = 10;

/// What flows ask of one service.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceWork {
    pub(super) path: &'static str,
    /// Endpoints in the plan of both users, which flows are shared by.
    endpoints: usize,
}

/// By position of the service in the plan of both users.
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

/// Returns the position of the service that a flow uses.
pub(super) fn service_of(number: usize) -> usize {
    let all: usize = SERVICES.iter().map(|it| it.endpoints).sum();
    let mut left = number % all;
    for (idx, service) in SERVICES.iter().enumerate() {
        if left < service.endpoints {
            return idx;
        }
        left -= service.endpoints;
    }
    unreachable!("less than all endpoints are left")
}

/// What all flows saw.
#[derive(Debug)]
pub(super) struct Counts {
    open: AtomicUsize,
    broken: AtomicUsize,
    moved: AtomicUsize,
    requests: AtomicUsize,
    timeouts: AtomicUsize,
    refused: AtomicUsize,
    wrong: AtomicUsize,
    unconnected: AtomicUsize,
    samples: Mutex<Vec<String>>,
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
            unconnected: AtomicUsize::new(0),
            samples: Mutex::new(Vec::new()),
            handshakes: Semaphore::new(HANDSHAKES_MAX),
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
    /// Flows open now.
    open,
    /// Flows that ended other than by the service's wish or the caller's.
    broken,
    /// Flows that an agent ended in good order.
    moved,
    /// Requests made.
    requests,
    /// Requests without an answer in time.
    timeouts,
    /// Requests refused, with the word that they did not run.
    refused,
    /// Answers that were not the request's own, or not whole.
    wrong,
    /// Attempts to connect that failed.
    unconnected
}

impl Counts {
    /// Returns why some flows broke.
    pub(super) fn samples(&self) -> Vec<String> {
        let samples = self.samples.lock();
        samples.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn break_flow(&self, why: String) {
        bump(&self.broken);
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        if samples.len() < SAMPLES_MAX {
            samples.push(why);
        }
    }
}

/// One flow.
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
    /// Keeps the flow open, and opens it again when it ends, until told to stop.
    pub(super) async fn run(self, mut stopped: watch::Receiver<bool>) {
        let mut rng = StdRng::seed_from_u64(self.seed ^ self.number as u64);
        while !*stopped.borrow() {
            let Some(connection) = self.connect().await else {
                bump(&self.counts.unconnected);
                continue;
            };
            bump(&self.counts.open);
            self.use_up(&connection, &mut rng, &mut stopped).await;
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

    /// Uses a connection until it ends or all shall stop.
    async fn use_up(
        &self,
        connection: &CallerConnection,
        rng: &mut StdRng,
        stopped: &mut watch::Receiver<bool>,
    ) {
        let mut count = 0_u32;
        loop {
            let think = THINK.mul_f64(rng.random_range(0.5..1.5));
            tokio::select! {
                _changed = stopped.changed() => return,
                reason = connection.quic().closed() => return self.end(&reason),
                () = tokio::time::sleep(think) => {}
            }
            count += 1;
            if !self.ask(connection, count).await {
                return;
            }
        }
    }

    /// Makes one request; returns whether the connection can be used on.
    async fn ask(&self, connection: &CallerConnection, count: u32) -> bool {
        let work = self.work();
        let request_id = format!("{}-{count}", self.number);
        let call = work.call(&request_id).with_timeout(CALL_TIMEOUT);
        bump(&self.counts.requests);
        match classify(&work, &request_id, connection.request(call).await) {
            Outcome::Complete => return true,
            Outcome::NotRun => bump(&self.counts.refused),
            Outcome::Timeout => bump(&self.counts.timeouts),
            Outcome::ConnectionLost(why) => self.counts.break_flow(why),
            Outcome::Unknown | Outcome::WrongResponse(_) => bump(&self.counts.wrong),
        }
        false
    }

    fn end(&self, reason: &ConnectionError) {
        match reason {
            ConnectionError::ApplicationClosed(it) if it.error_code.into_inner() == H3_NO_ERROR => {
                bump(&self.counts.moved);
            }
            other => self.counts.break_flow(other.to_string()),
        }
    }

    fn work(&self) -> RequestKind {
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

fn bump(counter: &AtomicUsize) {
    counter.fetch_add(1, Ordering::Relaxed);
}
