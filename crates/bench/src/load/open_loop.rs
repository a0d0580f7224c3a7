//! Requests that come at a rate of their own, whatever the answers do.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use stand_ins::caller::{Caller, CallerConnection};
use tokio::{sync::mpsc, task::JoinSet, time::sleep_until};

use super::{KeyedRequest, Outcome, RequestKind, classify};
use crate::{
    error::{BenchError, Result},
    fleet::{Fleet, SERVICE_NAME},
};

/// Time that a caller waits beyond the deadline it told, for an answer on its way.
const SLACK: Duration = Duration::from_millis(500);

/// Connections that share one socket.
const CONNECTIONS_PER_SOCKET: usize = 16;

/// One request to come.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    /// Time since the start of the load.
    pub(crate) at: Duration,
    /// What is asked.
    pub(crate) kind: RequestKind,
    /// Longest time the caller waits.
    pub(crate) timeout: Duration,
}

/// One request that ended.
#[derive(Debug, Clone)]
pub(crate) struct FinishedRequest {
    /// Position in the list of arrivals.
    pub(crate) idx: usize,
    /// Position of the connection it was sent on.
    pub(crate) connection_idx: usize,
    /// Id by which upstreams know it.
    pub(crate) request_id: String,
    /// What came of it.
    pub(crate) outcome: Outcome,
    /// Time from its arrival to its end.
    pub(crate) latency: Duration,
}

/// Connections kept open, and requests sent on them at given times.
#[derive(Debug)]
pub(crate) struct OpenLoop {
    connections: Vec<Arc<CallerConnection>>,
    /// Keeps the sockets open.
    _callers: Vec<Arc<Caller>>,
    seed: u64,
}

impl OpenLoop {
    /// Opens connections to a service.
    pub(crate) async fn connect(
        fleet: &Fleet,
        service_idx: usize,
        connections: usize,
        seed: u64,
    ) -> Result<Self> {
        let service = fleet.service_address(service_idx);
        let mut callers = Vec::new();
        let mut opening = JoinSet::new();
        for idx in 0..connections {
            if idx % CONNECTIONS_PER_SOCKET == 0 {
                callers.push(Arc::new(fleet.new_caller()?));
            }
            let caller = Arc::clone(&callers[idx / CONNECTIONS_PER_SOCKET]);
            opening.spawn(open(caller, service));
        }
        let mut open = Vec::with_capacity(connections);
        while let Some(res) = opening.join_next().await {
            let connection = res.map_err(|err| BenchError::setup("opening a connection", &err))?;
            open.push(Arc::new(connection?));
        }
        Ok(Self {
            connections: open,
            _callers: callers,
            seed,
        })
    }

    /// Sends every request at its time on a random connection; returns how each ended.
    pub(crate) async fn run(&self, arrivals: &[Arrival]) -> Vec<FinishedRequest> {
        let (ended, mut all_ended) = mpsc::unbounded_channel();
        let begun = tokio::time::Instant::now();
        let mut rng = StdRng::seed_from_u64(self.seed);
        for (idx, arrival) in arrivals.iter().enumerate() {
            sleep_until(begun + arrival.at).await;
            let connection_idx = rng.random_range(0..self.connections.len());
            let connection = Arc::clone(&self.connections[connection_idx]);
            let request_id = format!(
                "{}-{}-{idx}",
                arrival.kind.path.trim_matches('/'),
                self.seed
            );
            let (arrival, ended) = (*arrival, ended.clone());
            tokio::spawn(async move {
                let sent = Instant::now();
                let outcome = send(&connection, &arrival, &request_id).await;
                let latency = sent.elapsed();
                // The receiver outlives every request.
                drop(ended.send(FinishedRequest {
                    idx,
                    connection_idx,
                    request_id,
                    outcome,
                    latency,
                }));
            });
        }
        drop(ended);
        let mut finished = Vec::with_capacity(arrivals.len());
        while let Some(it) = all_ended.recv().await {
            finished.push(it);
        }
        finished.sort_by_key(|it| it.idx);
        finished
    }
}

/// Draws the times of requests that come independently at `per_second` from `from` to `to`.
pub(crate) fn poisson_times(
    rng: &mut StdRng,
    per_second: f64,
    from: Duration,
    to: Duration,
) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at = from.as_secs_f64();
    loop {
        let unit: f64 = rng.random();
        at -= (1.0 - unit).ln() / per_second;
        if at >= to.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

async fn open(caller: Arc<Caller>, service: SocketAddr) -> Result<CallerConnection> {
    caller
        .connect(service, SERVICE_NAME)
        .await
        .map_err(|err| BenchError::setup("opening a connection", &err))
}

async fn send(connection: &CallerConnection, arrival: &Arrival, request_id: &str) -> Outcome {
    if arrival.kind.is_keyed {
        let keyed = KeyedRequest::new(request_id.to_owned());
        return keyed
            .attempt(&arrival.kind, connection, arrival.timeout)
            .await;
    }
    let timeout_ms = arrival.timeout.as_millis().to_string();
    let call = arrival
        .kind
        .call(request_id)
        .with_header("lovagehall-timeout-ms", &timeout_ms)
        .with_timeout(arrival.timeout + SLACK);
    classify(&arrival.kind, request_id, connection.request(call).await)
}
