//! Open-loop load: requests are sent at given times, independent of responses.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use stand_ins::caller::{Caller, CallerConnection};
use tokio::{sync::mpsc, task::JoinSet, time::sleep_until};

use super::{KeyedRequest, Outcome, RequestKind, classify_result};
use crate::{
    error::{BenchError, Result},
    fleet::{Fleet, SERVICE_NAME},
};

/// Time that a caller waits beyond its request's timeout, for a response in transit.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Number of connections that share one caller's UDP socket.
const CONNECTIONS_PER_SOCKET: usize = 16;

/// A request of the load and the time at which it is sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    /// Time of the request since the start of the load.
    pub(crate) at: Duration,
    /// Kind of the request that is sent.
    pub(crate) kind: RequestKind,
    /// Timeout of the request, after which its caller gives up.
    pub(crate) timeout: Duration,
}

/// A request of the load that has ended, with its outcome.
#[derive(Debug, Clone)]
pub(crate) struct FinishedRequest {
    /// Index of the request in the list of arrivals.
    pub(crate) idx: usize,
    /// Index of the connection that carried the request.
    pub(crate) connection_idx: usize,
    /// Id under which upstreams record the request's runs.
    pub(crate) request_id: String,
    /// Outcome of the request as its caller sees it.
    pub(crate) outcome: Outcome,
    /// Time from the sending of the request to its end.
    pub(crate) latency: Duration,
}

/// Open-loop load generator with open connections, on which requests are sent at given times.
#[derive(Debug)]
pub(crate) struct OpenLoop {
    connections: Vec<Arc<CallerConnection>>,
    /// Callers of the connections, kept so that their sockets stay open.
    _callers: Vec<Arc<Caller>>,
    seed: u64,
}

impl OpenLoop {
    /// Opens `connections` connections to a service.
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
                callers.push(Arc::new(fleet.create_caller()?));
            }
            let caller = Arc::clone(&callers[idx / CONNECTIONS_PER_SOCKET]);
            opening.spawn(open_connection(caller, service));
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

    /// Sends each request at its arrival time on a random connection. Returns the finished requests
    /// in the order of the arrivals.
    pub(crate) async fn send_at_arrival_times(&self, arrivals: &[Arrival]) -> Vec<FinishedRequest> {
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
                let outcome = send_request(&connection, &arrival, &request_id).await;
                let latency = sent.elapsed();
                // Sending on the channel can't fail, because the receiver outlives every request.
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

/// Draws the arrival times of a Poisson process with the rate `per_second` between `from` and `to`.
pub(crate) fn draw_poisson_times(
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

async fn open_connection(caller: Arc<Caller>, service: SocketAddr) -> Result<CallerConnection> {
    caller
        .connect(service, SERVICE_NAME)
        .await
        .map_err(|err| BenchError::setup("opening a connection", &err))
}

async fn send_request(
    connection: &CallerConnection,
    arrival: &Arrival,
    request_id: &str,
) -> Outcome {
    if arrival.kind.is_keyed {
        let keyed = KeyedRequest::new(request_id.to_owned());
        return keyed
            .send_attempt(&arrival.kind, connection, arrival.timeout)
            .await;
    }
    let timeout_ms = arrival.timeout.as_millis().to_string();
    let call = arrival
        .kind
        .build_call(request_id)
        .with_header("lovagehall-timeout-ms", &timeout_ms)
        .with_timeout(arrival.timeout + RESPONSE_GRACE);
    classify_result(&arrival.kind, request_id, connection.request(call).await)
}
