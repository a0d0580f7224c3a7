//! Tunnels through a middlebox that loses its connection-tracking state.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use flow::{
    echo::Echo,
    key::{ServiceKey, ServiceKeys},
    tunnel::{PEER_OVERHEAD_BYTES, encode_peer},
};
use rand::{SeedableRng as _, rngs::StdRng};
use tokio::{net::UdpSocket, time::sleep};
use units::Millis;

use crate::{
    error::{BenchError, Result},
    figure::{Figure, Options, count_to_f64},
    fleet::{Fleet, FleetPlan, TunnelPath, endpoint_id, service_id},
    load::{Arrival, OpenLoop, Outcome, REQUEST_KINDS, RequestKind, draw_poisson_times},
};

/// Target for the longest time until a balancer replaces a silent path to an agent by a new one.
const REPLACEMENT_TARGET_MS: f64 = 2_000.0;

/// Number of balancers in the fleet.
const BALANCERS: usize = 3;

/// Number of callers' connections, which stay open for the whole run.
const CONNECTIONS: usize = 40;

/// Rate of the callers' requests.
const REQUESTS_PER_SECOND: f64 = 400.0;

/// Time for which each request holds a slot.
const RUN_TIME_MS: Millis = Millis::new(10);

/// Longest time that a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Index of the endpoint whose tunnel paths go silent.
const SILENCED_ENDPOINT_IDX: usize = 2;

/// Interval at which the bench polls whether the agent has answered on new paths.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Measures how long tunnels stay in use after a middlebox silently drops their datagrams.
pub(super) async fn measure_tunnel_silence(options: &Options) -> Result<Vec<Figure>> {
    let plan = FleetPlan::fit(BALANCERS).with_tunnels(TunnelPath::ThroughMiddlebox);
    let fleet = Fleet::start(plan, options.seed).await?;
    let callers = OpenLoop::connect(&fleet, 0, CONNECTIONS, options.seed).await?;
    let length = Duration::from_secs(options.seconds);
    let arrivals = generate_arrivals(options.seed, length);
    let (finished, measured) = tokio::join!(
        callers.send_at_arrival_times(&arrivals),
        silence_tunnels(&fleet, length)
    );
    let measured = measured?;
    let whole = finished
        .iter()
        .filter(|it| it.outcome == Outcome::Complete)
        .count();
    eprintln!(
        "silence: {} requests, {whole} complete answers",
        finished.len()
    );
    let figure = |metric: &str, unit, ours: f64, baseline, target: f64| Figure {
        bench: "silence",
        metric: metric.to_owned(),
        unit,
        ours,
        baseline,
        target: Some(target),
        met: Some(ours <= target),
        seed: options.seed,
    };
    let broken = finished
        .iter()
        .filter(|it| matches!(it.outcome, Outcome::ConnectionLost(_)))
        .count();
    Ok(vec![
        figure(
            "silent tunnel replaced, slowest balancer, beside one port kept",
            "ms",
            measured.replacement_ms,
            Some(measured.kept_port_ms),
            REPLACEMENT_TARGET_MS,
        ),
        figure(
            "healthy endpoints condemned for a silent tunnel",
            "endpoints",
            count_to_f64(measured.dead_endpoints),
            None,
            0.0,
        ),
        figure(
            "flows broken by a silent tunnel",
            "flows",
            count_to_f64(broken),
            None,
            0.0,
        ),
    ])
}

/// Measurements taken after the paths to one endpoint went silent.
#[derive(Debug, Clone, Copy)]
struct Measured {
    /// Time until the slowest balancer had an answer from the agent on a new path.
    replacement_ms: f64,
    /// Time without an answer for the baseline, which never changes its port.
    kept_port_ms: f64,
    /// Number of healthy endpoints that any balancer reports as dead.
    dead_endpoints: usize,
}

async fn silence_tunnels(fleet: &Fleet, length: Duration) -> Result<Measured> {
    let begun = Instant::now();
    let fixed = FixedPort::bind_in_front_of_middlebox(fleet).await?;
    sleep(length / 4).await;
    fixed.wait_for_answer().await?;
    let silenced = Instant::now();
    fleet.middleboxes[SILENCED_ENDPOINT_IDX].invalidate_open_paths();
    let deadline = begun + length * 9 / 10;
    let replacement_ms = measure_slowest_path_replacement_ms(fleet, silenced, deadline).await;
    let kept_port_ms = fixed.ms_until_answer(silenced, deadline).await;
    let dead_endpoints = count_dead_endpoints(fleet).await?;
    Ok(Measured {
        replacement_ms,
        kept_port_ms,
        dead_endpoints,
    })
}

/// Returns the milliseconds from `silenced` until the agent answered every balancer on a new path.
async fn measure_slowest_path_replacement_ms(
    fleet: &Fleet,
    silenced: Instant,
    until: Instant,
) -> f64 {
    let balancers = 0..fleet.balancers.len();
    let senders: Vec<_> = balancers
        .map(|it| fleet.addresses.balancer_tunnel(it).ip())
        .collect();
    loop {
        let answered = senders
            .iter()
            .map(|&it| fleet.middleboxes[SILENCED_ENDPOINT_IDX].first_response_at(it));
        let slowest = answered
            .collect::<Option<Vec<_>>>()
            .and_then(|it| it.into_iter().max());
        match slowest {
            Some(at) => return millis(at - silenced),
            None if Instant::now() >= until => return millis(silenced.elapsed()),
            None => sleep(POLL_INTERVAL).await,
        }
    }
}

/// Counts the endpoints that any balancer reports as dead.
async fn count_dead_endpoints(fleet: &Fleet) -> Result<usize> {
    let mut names = Vec::new();
    for status in fleet.balancer_statuses().await? {
        let dead = status
            .members
            .into_iter()
            .filter(|it| it.condition == "dead");
        names.extend(dead.map(|it| it.name));
    }
    names.sort_unstable();
    names.dedup();
    Ok(names.len())
}

/// Baseline that sends echo requests through the middlebox, always from the same port.
#[derive(Debug)]
struct FixedPort {
    socket: UdpSocket,
    to: SocketAddr,
    datagram: Vec<u8>,
}

impl FixedPort {
    async fn bind_in_front_of_middlebox(fleet: &Fleet) -> Result<Self> {
        let failed = |err: &dyn std::fmt::Display| {
            BenchError::setup("sending echo requests from a fixed port", err)
        };
        let local = fleet.addresses.baseline();
        let socket = UdpSocket::bind(local).await.map_err(|err| failed(&err))?;
        let service = service_id(0);
        let key = ServiceKey::derive(fleet.fleet_key(), service);
        let keys = ServiceKeys::new(key, Vec::new()).map_err(|err| failed(&err))?;
        let payload = Echo::new_request(endpoint_id(SILENCED_ENDPOINT_IDX), 1).encode();
        let mut datagram = vec![0; PEER_OVERHEAD_BYTES + payload.len()];
        encode_peer(service, &keys, &payload, &mut datagram).map_err(|err| failed(&err))?;
        let to = fleet.addresses.middlebox(SILENCED_ENDPOINT_IDX);
        Ok(Self {
            socket,
            to,
            datagram,
        })
    }

    /// Sends echo requests until the agent answers; fails if no answer arrives before `TIMEOUT`.
    async fn wait_for_answer(&self) -> Result<()> {
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            if self.is_echo_answered().await {
                return Ok(());
            }
        }
        Err(BenchError::CheckFailed(
            "the agent did not answer any echo request before the silence".to_owned(),
        ))
    }

    /// Sends echo requests until an answer arrives or `until` has passed. Returns the milliseconds
    /// since `silenced`.
    async fn ms_until_answer(&self, silenced: Instant, until: Instant) -> f64 {
        while Instant::now() < until {
            if self.is_echo_answered().await {
                break;
            }
        }
        millis(silenced.elapsed())
    }

    /// Sends one echo request; returns whether the agent's answer arrives in time.
    async fn is_echo_answered(&self) -> bool {
        let mut buffer = [0; 256];
        // A failed send counts as loss of the echo request.
        drop(self.socket.send_to(&self.datagram, self.to).await);
        let answer = tokio::time::timeout(POLL_INTERVAL * 10, self.socket.recv(&mut buffer)).await;
        matches!(answer, Ok(Ok(_)))
    }
}

fn generate_arrivals(seed: u64, length: Duration) -> Vec<Arrival> {
    let work = RequestKind {
        service_idx: 0,
        run_time_ms: RUN_TIME_MS,
        ..REQUEST_KINDS[3]
    };
    let mut rng = StdRng::seed_from_u64(seed);
    let times = draw_poisson_times(&mut rng, REQUESTS_PER_SECOND, Duration::ZERO, length);
    times
        .into_iter()
        .map(|at| Arrival {
            at,
            kind: work,
            timeout: TIMEOUT,
        })
        .collect()
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
