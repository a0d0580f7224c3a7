//! Tunnels through a box that loses track of them.

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
    load::{Arrival, OpenLoop, Outcome, REQUEST_KINDS, RequestKind, poisson_times},
};

/// Longest time until a silent path is replaced.
const TARGET_MS: f64 = 2_000.0;

/// Balancers in the fleet.
const BALANCERS: usize = 3;

/// Connections that stay open for the whole run.
const CONNECTIONS: usize = 40;

/// Requests a second.
const PER_SECOND: f64 = 400.0;

/// Time each request holds a slot.
const RUN_TIME_MS: Millis = Millis::new(10);

/// Longest time a caller waits.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Endpoint whose tunnels go silent.
const TUNNEL_IDX: usize = 2;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(10);

/// Measures how long a silent tunnel stays in use.
pub(super) async fn measure(options: &Options) -> Result<Vec<Figure>> {
    let plan = FleetPlan::fit(BALANCERS).with_tunnels(TunnelPath::ThroughMiddlebox);
    let fleet = Fleet::start(plan, options.seed).await?;
    let callers = OpenLoop::connect(&fleet, 0, CONNECTIONS, options.seed).await?;
    let length = Duration::from_secs(options.seconds);
    let arrivals = arrivals(options.seed, length);
    let (finished, seen) = tokio::join!(callers.run(&arrivals), watch(&fleet, length));
    let seen = seen?;
    let whole = finished
        .iter()
        .filter(|it| it.outcome == Outcome::Complete)
        .count();
    eprintln!("{} requests, {whole} whole", finished.len());
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
            seen.tunnel_ms,
            Some(seen.kept_port_ms),
            TARGET_MS,
        ),
        figure(
            "healthy endpoints condemned for a silent tunnel",
            "endpoints",
            count_to_f64(seen.condemned),
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

/// What was seen while paths went silent.
#[derive(Debug, Clone, Copy)]
struct Seen {
    tunnel_ms: f64,
    kept_port_ms: f64,
    condemned: usize,
}

async fn watch(fleet: &Fleet, length: Duration) -> Result<Seen> {
    let begun = Instant::now();
    let fixed = FixedPort::open(fleet).await?;
    sleep(length / 4).await;
    fixed.wait_for_answer().await?;
    let silenced = Instant::now();
    fleet.middleboxes[TUNNEL_IDX].invalidate_open_paths();
    let half = begun + length * 9 / 10;
    let tunnel_ms = slowest_balancer(fleet, silenced, half).await;
    let kept_port_ms = fixed.silent_for(silenced, half).await;
    let condemned = condemned(fleet).await?;
    Ok(Seen {
        tunnel_ms,
        kept_port_ms,
        condemned,
    })
}

/// Time until the agent answered every balancer on a fresh path.
async fn slowest_balancer(fleet: &Fleet, silenced: Instant, until: Instant) -> f64 {
    let balancers = 0..fleet.balancers.len();
    let senders: Vec<_> = balancers
        .map(|it| fleet.addresses.balancer_tunnel(it).ip())
        .collect();
    loop {
        let answered = senders
            .iter()
            .map(|&it| fleet.middleboxes[TUNNEL_IDX].first_response_at(it));
        let slowest = answered
            .collect::<Option<Vec<_>>>()
            .and_then(|it| it.into_iter().max());
        match slowest {
            Some(at) => return millis(at - silenced),
            None if Instant::now() >= until => return millis(silenced.elapsed()),
            None => sleep(LOOK).await,
        }
    }
}

/// Endpoints that any balancer takes as dead.
async fn condemned(fleet: &Fleet) -> Result<usize> {
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

/// The baseline: asks through the box from one port that it never changes.
#[derive(Debug)]
struct FixedPort {
    socket: UdpSocket,
    to: SocketAddr,
    datagram: Vec<u8>,
}

impl FixedPort {
    async fn open(fleet: &Fleet) -> Result<Self> {
        let failed = |err: &dyn std::fmt::Display| BenchError::setup("asking from one port", err);
        let local = fleet.addresses.baseline();
        let socket = UdpSocket::bind(local).await.map_err(|err| failed(&err))?;
        let service = service_id(0);
        let key = ServiceKey::derive(fleet.fleet_key(), service);
        let keys = ServiceKeys::new(key, Vec::new()).map_err(|err| failed(&err))?;
        let payload = Echo::request(endpoint_id(TUNNEL_IDX), 1).encode();
        let mut datagram = vec![0; PEER_OVERHEAD_BYTES + payload.len()];
        encode_peer(service, &keys, &payload, &mut datagram).map_err(|err| failed(&err))?;
        let to = fleet.addresses.middlebox(TUNNEL_IDX);
        Ok(Self {
            socket,
            to,
            datagram,
        })
    }

    /// Asks until the agent answers.
    async fn wait_for_answer(&self) -> Result<()> {
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            if self.is_answered().await {
                return Ok(());
            }
        }
        Err(BenchError::CheckFailed(
            "the agent answers no echo".to_owned(),
        ))
    }

    /// Asks on until an answer comes or the time is over; returns the time since the silence.
    async fn silent_for(&self, silenced: Instant, until: Instant) -> f64 {
        while Instant::now() < until {
            if self.is_answered().await {
                break;
            }
        }
        millis(silenced.elapsed())
    }

    async fn is_answered(&self) -> bool {
        let mut buffer = [0; 256];
        // A failure is as good as a loss.
        drop(self.socket.send_to(&self.datagram, self.to).await);
        let answer = tokio::time::timeout(LOOK * 10, self.socket.recv(&mut buffer)).await;
        matches!(answer, Ok(Ok(_)))
    }
}

fn arrivals(seed: u64, length: Duration) -> Vec<Arrival> {
    let work = RequestKind {
        service_idx: 0,
        run_time_ms: RUN_TIME_MS,
        ..REQUEST_KINDS[3]
    };
    let mut rng = StdRng::seed_from_u64(seed);
    let times = poisson_times(&mut rng, PER_SECOND, Duration::ZERO, length);
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
