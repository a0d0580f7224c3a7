//! The agent's life: start, serving, graceful stop.

mod accept;
mod error;
mod follow;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use admission::once;
use arc_swap::ArcSwap;
use bundle::InForce;
use tokio::{
    sync::{broadcast, mpsc, watch},
    task::{AbortHandle, JoinSet},
};
use tonic::transport::ClientTlsConfig;
use units::{BundleVersion, Millis};

use crate::{
    calls::{RequestsService, RequestsServiceState},
    config::Config,
    counters::Counters,
    endpoint,
    filter::{
        AcquireSlot, Chain, Deadline, EntryFilters, ReadBodyStart, ReplayGuard, Route, ValidateHead,
    },
    gate::Gate,
    handoff::{HandOff, OfferServer},
    once::OnceCoordinator,
    peers::Peers,
    request::RequestHandler,
    retries::RetryLimiter,
    tunnel::{Identity, LiveBalancers, LoadCell, PeerDatagram, Shared, SocketParts, TunnelSocket},
    upstream::Client,
};

pub use error::StartError;

/// Events that may wait for a slow subscriber.
const EVENTS_MAX: usize = 256;

/// Time between looks whether the last request has ended.
const END_LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Time for the ends of answers to reach the agents that handed their requests off.
const HANDED_LINGER: Duration = Duration::from_millis(300);

/// Longest time for closed connections to tell their callers.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    parts: Parts,
    quic: quinn::Endpoint,
    peer_datagrams: mpsc::Receiver<PeerDatagram>,
    /// Ended when the agent is dropped.
    tasks: JoinSet<()>,
    accepting: AbortHandle,
}

/// What the agent's tasks share.
#[derive(Debug, Clone)]
struct Parts {
    config: Arc<Config>,
    in_force: Arc<ArcSwap<InForce>>,
    handler: Arc<RequestHandler<EntryFilters>>,
    coordinator: Arc<OnceCoordinator>,
    gate: Arc<Gate>,
    load: Arc<LoadCell>,
    balancers: Arc<LiveBalancers>,
    counters: Arc<Counters>,
    socket: Arc<Shared>,
    phase: watch::Sender<Phase>,
    /// Connections under way, handshakes included.
    connections: watch::Sender<usize>,
    version: watch::Sender<BundleVersion>,
    newer_version: watch::Sender<BundleVersion>,
    events: broadcast::Sender<AgentEvent>,
}

/// Where in its life an agent is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Takes new work.
    Serving,
    /// Its endpoint leaves, by the bundle; the next bundle may call it back.
    Leaving,
    /// The process stops.
    Stopping,
}

/// A change of an agent's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentEvent {
    /// Another phase began.
    PhaseChanged(Phase),
    /// A newer bundle is applied.
    BundleApplied(BundleVersion),
    /// A header named a newer bundle than the one in force.
    NewerBundleSeen(BundleVersion),
}

/// What a graceful stop left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Connections that were still open at the bound and were cut.
    pub connections_cut: usize,
    /// Requests that held or awaited a slot at the bound and were cut.
    pub requests_cut: u32,
    /// How long the stop took.
    pub took_ms: Millis,
}

impl Agent {
    /// Starts an agent that serves by the bundle in force.
    ///
    /// Must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Fails if the bundle doesn't name the endpoint, the tunnel address can't be bound or the
    /// certificate doesn't fit its key.
    pub fn start(config: Config, in_force: Arc<ArcSwap<InForce>>) -> Result<Self, StartError> {
        let own = follow::Own::find(&in_force.load(), config.endpoint)
            .ok_or(StartError::NotInBundle(config.endpoint))?;
        let counters = Arc::new(Counters::default());
        let load = Arc::new(LoadCell::default());
        let balancers = Arc::new(LiveBalancers::new(config.balancers.clone()));
        let version = watch::Sender::new(own.version);
        let newer_version = watch::Sender::new(own.version);
        let identity = Identity {
            service: config.service,
            endpoint: config.endpoint,
            incarnation: config.incarnation,
            keys: Arc::clone(&config.keys),
        };
        let socket_parts = SocketParts {
            identity: identity.clone(),
            balancers: Arc::clone(&balancers),
            load: Arc::clone(&load),
            counters: Arc::clone(&counters),
            version: version.subscribe(),
            newer_version: newer_version.clone(),
        };
        let (socket, peer_datagrams) = TunnelSocket::bind(config.tunnel_address, socket_parts)
            .map_err(StartError::Endpoint)?;
        let shared = socket.shared();
        let quic = endpoint::open(Arc::new(socket), &identity, config.tls.clone())
            .map_err(StartError::Endpoint)?;
        let gate = Arc::new(Gate::new(own.admission, Arc::clone(&load)));
        let client = Arc::new(Client::new(own.upstream_address, Arc::clone(&counters)));
        let peers = Arc::new(Peers::new(Arc::clone(&in_force), peer_tls(&config)?));
        let me = once::Agent {
            endpoint: config.endpoint,
            incarnation: config.incarnation,
        };
        let coordinator = Arc::new(OnceCoordinator::new(
            config.service,
            me,
            Arc::clone(&in_force),
            Arc::clone(&peers),
        ));
        let route = Route {
            in_force: Arc::clone(&in_force),
        };
        let replay_guard = ReplayGuard {
            coordinator: Arc::clone(&coordinator),
        };
        let acquire_slot = AcquireSlot {
            gate: Arc::clone(&gate),
        };
        let handoff = HandOff::new(
            me,
            config.service,
            route.clone(),
            replay_guard,
            acquire_slot,
            peers,
            Arc::clone(&counters),
        );
        let handler = Arc::new(RequestHandler {
            entry_filters: Chain(ValidateHead, Chain(route, Chain(Deadline, ReadBodyStart))),
            handoff: Arc::new(handoff),
            client,
            retry_limiter: RetryLimiter::new(own.retry_budget_percent),
            counters: Arc::clone(&counters),
        });
        let parts = Parts {
            config: Arc::new(config),
            in_force,
            handler,
            coordinator,
            gate,
            load,
            balancers,
            counters,
            socket: shared,
            phase: watch::Sender::new(Phase::Serving),
            connections: watch::Sender::new(0),
            version,
            newer_version,
            events: broadcast::Sender::new(EVENTS_MAX),
        };
        Ok(Self::spawn(parts, quic, peer_datagrams))
    }

    /// Returns the address of the tunnel socket.
    ///
    /// # Errors
    ///
    /// Fails if the socket is unusable.
    pub fn tunnel_address(&self) -> io::Result<SocketAddr> {
        self.parts.socket.local_addr()
    }

    /// Returns the agent's counts.
    #[must_use]
    pub fn counters(&self) -> &Arc<Counters> {
        &self.parts.counters
    }

    /// Answers the calls of other agents through `calls` from now on.
    pub fn activate_calls(&self, calls: &RequestsService) {
        calls.activate(RequestsServiceState {
            service: self.parts.config.service,
            coordinator: Arc::clone(&self.parts.coordinator),
            gate: Arc::clone(&self.parts.gate),
            offers: OfferServer::new(Arc::clone(&self.parts.handler)),
        });
    }

    /// Returns the gate in front of the upstream's slots.
    #[must_use]
    pub fn gate(&self) -> &Arc<Gate> {
        &self.parts.gate
    }

    /// Returns the balancers that answers go through.
    #[must_use]
    pub fn balancers(&self) -> &Arc<LiveBalancers> {
        &self.parts.balancers
    }

    /// Returns the load that answers carry.
    #[must_use]
    pub fn load(&self) -> &Arc<LoadCell> {
        &self.parts.load
    }

    /// Returns where the agent is in its life.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.parts.phase.borrow()
    }

    /// Returns the highest bundle version that headers named: the cue to pull it.
    #[must_use]
    pub fn newer_version(&self) -> watch::Receiver<BundleVersion> {
        self.parts.newer_version.subscribe()
    }

    /// Returns changes of state from now on.
    #[must_use]
    pub fn events(&self) -> broadcast::Receiver<AgentEvent> {
        self.parts.events.subscribe()
    }

    /// Receives the next datagram of another process; `None` once the socket is closed.
    pub async fn receive_peer_datagram(&mut self) -> Option<PeerDatagram> {
        self.peer_datagrams.recv().await
    }

    /// Returns what sends datagrams to other processes.
    #[must_use]
    pub fn peer_sender(&self) -> PeerSender {
        PeerSender(Arc::clone(&self.parts.socket))
    }

    /// Stops: takes no new work, ends what is in flight within the bundle's bound, then closes.
    pub async fn stop(mut self) -> StopReport {
        let began = Instant::now();
        let bound = self.parts.drain_timeout();
        self.parts.set_phase(Phase::Stopping);
        // At the bound the rest is cut and reported.
        let _ = tokio::time::timeout(bound, self.parts.ended()).await;
        let load = self.parts.gate.load();
        let report = StopReport {
            connections_cut: *self.parts.connections.borrow(),
            requests_cut: load.running + load.waiting,
            took_ms: Millis::from_duration(began.elapsed()),
        };
        self.accepting.abort();
        self.quic.close(h3_no_error(), b"");
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.quic.wait_idle()).await;
        self.tasks.abort_all();
        report
    }

    fn spawn(
        parts: Parts,
        quic: quinn::Endpoint,
        peer_datagrams: mpsc::Receiver<PeerDatagram>,
    ) -> Self {
        let mut tasks = JoinSet::new();
        let accepting = tasks.spawn(accept::run(parts.clone(), quic.clone()));
        tasks.spawn(follow::run(parts.clone()));
        let gate = Arc::clone(&parts.gate);
        tasks.spawn(async move { gate.run_timer().await });
        let handoff = Arc::clone(&parts.handler.handoff);
        tasks.spawn(async move { handoff.poll_loads().await });
        let client = Arc::clone(&parts.handler.client);
        tasks.spawn(async move { client.probe().await });
        Self {
            parts,
            quic,
            peer_datagrams,
            tasks,
            accepting,
        }
    }
}

/// Sends datagrams to other processes of the system.
#[derive(Debug, Clone)]
pub struct PeerSender(Arc<Shared>);

impl PeerSender {
    /// Sends a datagram, signed with the service's key.
    ///
    /// # Errors
    ///
    /// Fails if the socket has no room or the payload is too large.
    pub fn send(&self, to: SocketAddr, payload: &[u8]) -> io::Result<()> {
        self.0.send_peer(to, payload)
    }
}

impl Parts {
    /// Waits until no connection is left, and no request that runs without one.
    ///
    /// Requests handed off by other agents and those that outlive their callers have none here.
    async fn ended(&self) {
        let mut connections = self.connections.subscribe();
        // The sender lives as long as this.
        let _ = connections.wait_for(|it| *it == 0).await;
        while self.gate.load().running > 0 {
            tokio::time::sleep(END_LOOK_INTERVAL).await;
        }
        if self.counters.handoffs_served.get() > 0 {
            tokio::time::sleep(HANDED_LINGER).await;
        }
    }

    fn drain_timeout(&self) -> Duration {
        let in_force = self.in_force.load();
        in_force
            .current
            .bundle
            .leaving
            .drain_timeout_ms
            .to_duration()
    }

    /// Enters another phase; a stopping process never comes back.
    fn set_phase(&self, phase: Phase) {
        let is_changed = self.phase.send_if_modified(|it| {
            let is_changed = *it != phase && *it != Phase::Stopping;
            if is_changed {
                *it = phase;
            }
            is_changed
        });
        if !is_changed {
            return;
        }
        match phase {
            Phase::Serving => {
                self.load.set_serving();
                self.gate.end_drain();
            }
            Phase::Leaving | Phase::Stopping => {
                self.load.set_leaving();
                self.gate.begin_drain();
            }
        }
        self.emit(AgentEvent::PhaseChanged(phase));
    }

    fn emit(&self, event: AgentEvent) {
        // Nobody may be listening.
        let _ = self.events.send(event);
    }
}

fn peer_tls(config: &Config) -> Result<Option<ClientTlsConfig>, StartError> {
    let tls = config.peer_tls.as_ref().map(control::client_tls);
    tls.transpose()
        .map_err(|err| StartError::Endpoint(io::Error::other(err)))
}

fn h3_no_error() -> quinn::VarInt {
    let code = h3::error::Code::H3_NO_ERROR.value();
    quinn::VarInt::from_u64(code).expect("HTTP/3 codes fit")
}
