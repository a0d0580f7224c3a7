//! Test double of an upstream: an HTTP/1.1 server with concurrency slots that records every request
//! it runs.

mod behavior;
mod io;
mod runs;
mod serve;

use std::{
    io as std_io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{net::TcpListener, sync::watch, task::JoinHandle};
use units::{Millis, Slots};

pub use behavior::{Behavior, ColdStart, Stragglers};
pub use runs::{Run, RunEnd};
pub use serve::{REQUEST_ID_HEADER, RESPONSE_BYTES_HEADER, RUN_TIME_HEADER};

/// Longest time to wait until an address that is in use can be bound.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two attempts to bind an address that is in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A running upstream. When the value is dropped, the upstream accepts no more connections and
/// silences the open ones.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

/// State that all tasks of an upstream's server share.
#[derive(Debug)]
pub(crate) struct Shared {
    slots: usize,
    started: Instant,
    /// Number of requests that are running now, each in a slot.
    running_requests: AtomicUsize,
    /// Number of requests that were refused because they arrived while every slot was busy.
    slot_violations: AtomicU64,
    /// Number of requests that the upstream refused by load shedding.
    shed_count: AtomicU64,
    /// Highest number of requests that ran on the upstream at the same time.
    peak_running_requests: AtomicUsize,
    /// Number of connections that the upstream has accepted.
    accepted_connections: AtomicU64,
    /// Connections whose number is below this one are silenced.
    silent_below: AtomicU64,
    /// Connections whose number is below this one are closed.
    closed_below: watch::Sender<u64>,
    behavior: Mutex<Behavior>,
    runs: Mutex<Vec<Run>>,
}

impl Upstream {
    /// Starts an upstream on an ephemeral loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub async fn start(slots: Slots, behavior: Behavior) -> std_io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), slots, behavior).await
    }

    /// Starts an upstream on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the upstream's address can't be bound.
    pub async fn start_at(
        address: SocketAddr,
        slots: Slots,
        behavior: Behavior,
    ) -> std_io::Result<Self> {
        let listener = bind_with_retries(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(slots, behavior));
        let accepting = tokio::spawn(serve::accept_connections(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accepting,
        })
    }

    /// Returns the address that the upstream listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the upstream handles requests from now on.
    pub fn update_behavior(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut lock(&self.shared.behavior));
    }

    /// Stops all reads and writes on the upstream's open connections for good; new connections
    /// work.
    pub fn silence_open_connections(&self) {
        let accepted = self.shared.accepted_connections.load(Ordering::SeqCst);
        self.shared.silent_below.store(accepted, Ordering::SeqCst);
    }

    /// Closes the upstream's open connections, even if requests run on them; new connections work.
    pub fn close_open_connections(&self) {
        let accepted = self.shared.accepted_connections.load(Ordering::SeqCst);
        self.shared.closed_below.send_replace(accepted);
    }

    /// Returns the records of all runs on the upstream, in the order of their start.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Returns how many runs have started on the upstream.
    #[must_use]
    pub fn run_count(&self) -> usize {
        lock(&self.shared.runs).len()
    }

    /// Returns how often the request with this id ran on the upstream.
    #[must_use]
    pub fn run_count_of(&self, request_id: &str) -> usize {
        let runs = lock(&self.shared.runs);
        runs.iter().filter(|it| it.request_id == request_id).count()
    }

    /// Returns the idempotency keys whose requests ran more than once on the upstream, sorted.
    #[must_use]
    pub fn keys_run_twice(&self) -> Vec<String> {
        runs::keys_run_twice(std::iter::once(self))
    }

    /// Returns how many requests arrived while every slot of the upstream was busy.
    #[must_use]
    pub fn slot_violation_count(&self) -> u64 {
        self.shared.slot_violations.load(Ordering::SeqCst)
    }

    /// Returns how many requests the upstream refused by load shedding.
    #[must_use]
    pub fn shed_count(&self) -> u64 {
        self.shared.shed_count.load(Ordering::SeqCst)
    }

    /// Returns how many requests are running on the upstream now.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.shared.running_requests.load(Ordering::SeqCst)
    }

    /// Returns the highest number of requests that ran on the upstream at the same time.
    #[must_use]
    pub fn peak_running_requests(&self) -> usize {
        self.shared.peak_running_requests.load(Ordering::SeqCst)
    }

    /// Returns how many connections the upstream has accepted.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        self.shared.accepted_connections.load(Ordering::SeqCst)
    }

    /// Returns the time since the upstream's start.
    #[must_use]
    pub fn uptime(&self) -> Millis {
        self.shared.uptime()
    }

    /// Returns when the last run on the upstream started, as time since the upstream's start.
    #[must_use]
    pub fn last_run_start(&self) -> Option<Millis> {
        lock(&self.shared.runs).last().map(|it| it.started_ms)
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.accepting.abort();
        self.shared.silent_below.store(u64::MAX, Ordering::SeqCst);
    }
}

/// Returns the idempotency keys whose requests ran more than once across all `upstreams`, sorted.
#[must_use]
pub fn keys_run_twice(upstreams: &[Upstream]) -> Vec<String> {
    runs::keys_run_twice(upstreams.iter())
}

impl Shared {
    fn new(slots: Slots, behavior: Behavior) -> Self {
        Self {
            slots: usize::from(slots.get()),
            started: Instant::now(),
            running_requests: AtomicUsize::new(0),
            slot_violations: AtomicU64::new(0),
            shed_count: AtomicU64::new(0),
            peak_running_requests: AtomicUsize::new(0),
            accepted_connections: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
            closed_below: watch::Sender::new(0),
            behavior: Mutex::new(behavior),
            runs: Mutex::new(Vec::new()),
        }
    }

    fn uptime(&self) -> Millis {
        Millis::from_duration(self.started.elapsed())
    }
}

/// Binds a TCP listener to an address. Retries while the address is in use, because a dropped
/// upstream may not have released it yet.
async fn bind_with_retries(address: SocketAddr) -> std_io::Result<TcpListener> {
    let began = Instant::now();
    loop {
        match TcpListener::bind(address).await {
            Err(err)
                if err.kind() == std_io::ErrorKind::AddrInUse && began.elapsed() < BIND_TIMEOUT =>
            {
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            bound => return bound,
        }
    }
}

/// Locks a mutex and ignores poisoning, because no holder leaves the value half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
