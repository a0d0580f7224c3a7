//! Baseline of liveness detection: each balancer sends heartbeats to each agent and considers an
//! agent dead if it doesn't respond for a fixed time.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{SeedableRng as _, rngs::StdRng};
use tokio::net::UdpSocket;

use super::{Faults, LoopbackFleet, ProcessState, derive_seed, link};
use crate::error::{BenchError, Result};

/// Time between two heartbeats from a balancer to an agent.
const INTERVAL: Duration = Duration::from_millis(500);

/// Time without a response to heartbeats after which an agent counts as dead: three heartbeat
/// intervals.
const TIMEOUT_MS: u64 = 1_500;

/// Heartbeats of all balancers to all agents, under the same faults as the fleet's own datagrams.
#[derive(Debug)]
pub(crate) struct Heartbeats {
    started: Instant,
    /// When each balancer last heard from each agent, in milliseconds since `started`.
    heard_ms: Vec<Arc<Vec<AtomicU64>>>,
}

impl Heartbeats {
    /// Starts heartbeats alongside a fleet's own probes. The heartbeats end with the runtime.
    pub(crate) async fn start(fleet: &LoopbackFleet, seed: u64) -> Result<Self> {
        let mut addresses = Vec::new();
        for (idx, agent) in fleet.agents.iter().enumerate() {
            let io = bind_loopback().await?;
            addresses.push(io.local_addr().map_err(|err| socket_error(&err))?);
            let rng = StdRng::seed_from_u64(derive_seed(seed, idx, 4));
            let (state, faults) = (Arc::clone(&agent.state), Arc::clone(&fleet.faults));
            tokio::spawn(echo_heartbeats(io, state, faults, rng));
        }
        let mut heartbeats = Self {
            started: Instant::now(),
            heard_ms: Vec::new(),
        };
        let addresses = Arc::new(addresses);
        for idx in 0..fleet.balancers.len() {
            let rng = StdRng::seed_from_u64(derive_seed(seed, idx, 5));
            let addresses = Arc::clone(&addresses);
            heartbeats
                .start_balancer(addresses, Arc::clone(&fleet.faults), rng)
                .await?;
        }
        Ok(heartbeats)
    }

    async fn start_balancer(
        &mut self,
        addresses: Arc<Vec<SocketAddr>>,
        faults: Arc<Faults>,
        rng: StdRng,
    ) -> Result<()> {
        let io = Arc::new(bind_loopback().await?);
        let heard: Vec<_> = addresses.iter().map(|_it| AtomicU64::new(0)).collect();
        let heard = Arc::new(heard);
        self.heard_ms.push(Arc::clone(&heard));
        tokio::spawn(send_heartbeats(Arc::clone(&io), addresses, faults, rng));
        tokio::spawn(receive_responses(io, heard, self.started));
        Ok(())
    }

    /// Returns whether a balancer has heard from an agent recently enough to send it new flows.
    pub(crate) fn may_send_to(&self, balancer: usize, agent: usize) -> bool {
        let heard_ms = self.heard_ms[balancer][agent].load(Ordering::Relaxed);
        millis_since(self.started).saturating_sub(heard_ms) < TIMEOUT_MS
    }
}

async fn echo_heartbeats(
    io: UdpSocket,
    state: Arc<ProcessState>,
    faults: Arc<Faults>,
    mut rng: StdRng,
) {
    let mut buffer = [0; 8];
    loop {
        link::wait_while_paused(&state).await;
        let Ok((len, from)) = io.recv_from(&mut buffer).await else {
            continue;
        };
        link::wait_while_paused(&state).await;
        if state.is_dead.load(Ordering::Relaxed) {
            return;
        }
        if !link::draw_loss(&faults, &mut rng) {
            // A failed send, for example into a full socket, counts as packet loss.
            drop(io.try_send_to(&buffer[..len], from));
        }
    }
}

async fn send_heartbeats(
    io: Arc<UdpSocket>,
    addresses: Arc<Vec<SocketAddr>>,
    faults: Arc<Faults>,
    mut rng: StdRng,
) {
    let mut ticks = tokio::time::interval(INTERVAL);
    loop {
        ticks.tick().await;
        for (idx, address) in addresses.iter().enumerate() {
            if link::draw_loss(&faults, &mut rng) {
                continue;
            }
            let idx = u64::try_from(idx).unwrap_or_default();
            drop(io.try_send_to(&idx.to_be_bytes(), *address));
        }
    }
}

async fn receive_responses(io: Arc<UdpSocket>, heard_ms: Arc<Vec<AtomicU64>>, started: Instant) {
    let mut buffer = [0; 8];
    loop {
        if io.recv_from(&mut buffer).await.is_err() {
            continue;
        }
        let idx = usize::try_from(u64::from_be_bytes(buffer)).unwrap_or(usize::MAX);
        if let Some(it) = heard_ms.get(idx) {
            it.store(millis_since(started), Ordering::Relaxed);
        }
    }
}

async fn bind_loopback() -> Result<UdpSocket> {
    UdpSocket::bind("127.0.0.1:0")
        .await
        .map_err(|err| socket_error(&err))
}

fn socket_error(err: &std::io::Error) -> BenchError {
    BenchError::setup("opening a socket on loopback", err)
}

fn millis_since(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
