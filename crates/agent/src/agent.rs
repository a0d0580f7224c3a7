//! Starts an agent, runs its tasks and stops it gracefully.

mod accept;
mod error;
mod follow_bundle;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use admission::at_most_once;
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
    tunnel::{
        Identity, LiveBalancers, LoadCell, PeerDatagram, SocketParts, SocketState, TunnelSocket,
    },
    upstream::Client,
};

pub use error::StartError;

/// Maximum number of agent events queued for a slow subscriber, which loses the oldest ones beyond
/// that.
const EVENT_QUEUE_MAX: usize = 256;

/// Interval at which a stopping agent checks whether requests are still running.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Wait at the end of a drain, in which the ends of responses reach the agents that handed off the
/// requests.
const HANDOFF_FLUSH_TIME: Duration = Duration::from_millis(300);

/// Timeout for the delivery of the close frames of all connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    state: AgentState,
    quic: quinn::Endpoint,
    peer_datagrams: mpsc::Receiver<PeerDatagram>,
    /// Background tasks, aborted when the agent is dropped.
    tasks: JoinSet<()>,
    accept_task: AbortHandle,
}

/// State that the agent's tasks share.
#[derive(Debug, Clone)]
struct AgentState {
    config: Arc<Config>,
    in_force: Arc<ArcSwap<InForce>>,
    handler: Arc<RequestHandler<EntryFilters>>,
    coordinator: Arc<OnceCoordinator>,
    gate: Arc<Gate>,
    load: Arc<LoadCell>,
    balancers: Arc<LiveBalancers>,
    counters: Arc<Counters>,
    socket: Arc<SocketState>,
    phase: watch::Sender<Phase>,
    /// Number of open connections, pending handshakes included.
    connections: watch::Sender<usize>,
    version: watch::Sender<BundleVersion>,
    highest_seen_version: watch::Sender<BundleVersion>,
    events: broadcast::Sender<AgentEvent>,
}

/// Lifecycle phase of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The agent accepts new requests.
    Serving,
    /// The bundle marks the endpoint as leaving, or the upstream is unreachable; the agent may
    /// return to `Serving`.
    Leaving,
    /// The process is stopping; this phase is final.
    Stopping,
}

/// Change of an agent's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentEvent {
    /// The agent entered another phase.
    PhaseChanged(Phase),
    /// The agent applied the endpoint's settings from a newer bundle.
    BundleApplied(BundleVersion),
    /// A tunnel header named a newer bundle version than any before.
    NewerBundleSeen(BundleVersion),
}

/// Result of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Connections that were still open at the drain timeout and were closed.
    pub connections_cut: usize,
    /// Requests that held or awaited a slot at the drain timeout and were aborted.
    pub requests_cut: u32,
    /// Duration of the drain.
    pub took_ms: Millis,
}

impl Agent {
    /// Starts an agent that serves its endpoint with the settings of the current bundle.
    ///
    /// Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the bundle doesn't contain the endpoint, the tunnel address can't be bound or the
    /// certificate doesn't match its key.
    pub fn start(config: Config, in_force: Arc<ArcSwap<InForce>>) -> Result<Self, StartError> {
        let settings =
            follow_bundle::EndpointSettings::from_bundle(&in_force.load(), config.endpoint)
                .ok_or(StartError::NotInBundle(config.endpoint))?;
        let counters = Arc::new(Counters::default());
        let load = Arc::new(LoadCell::default());
        let balancers = Arc::new(LiveBalancers::new(config.balancers.clone()));
        let version = watch::Sender::new(settings.version);
        let highest_seen_version = watch::Sender::new(settings.version);
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
            highest_seen_version: highest_seen_version.clone(),
        };
        let (socket, peer_datagrams) = TunnelSocket::bind(config.tunnel_address, socket_parts)
            .map_err(StartError::Endpoint)?;
        let shared = socket.shared();
        let quic = endpoint::open_quic_endpoint(Arc::new(socket), &identity, config.tls.clone())
            .map_err(StartError::Endpoint)?;
        let gate = Arc::new(Gate::new(settings.admission, Arc::clone(&load)));
        let client = Arc::new(Client::new(
            settings.upstream_address,
            Arc::clone(&counters),
        ));
        let peers = Arc::new(Peers::new(Arc::clone(&in_force), peer_tls(&config)?));
        let local_agent = at_most_once::Agent {
            endpoint: config.endpoint,
            incarnation: config.incarnation,
        };
        let coordinator = Arc::new(OnceCoordinator::new(
            config.service,
            local_agent,
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
            local_agent,
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
            retry_limiter: RetryLimiter::new(settings.retry_budget_percent),
            counters: Arc::clone(&counters),
        });
        let state = AgentState {
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
            highest_seen_version,
            events: broadcast::Sender::new(EVENT_QUEUE_MAX),
        };
        Ok(Self::spawn_tasks(state, quic, peer_datagrams))
    }

    /// Returns the address of the tunnel socket.
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't report the address.
    pub fn tunnel_address(&self) -> io::Result<SocketAddr> {
        self.state.socket.local_addr()
    }

    /// Returns the agent's counters.
    #[must_use]
    pub fn counters(&self) -> &Arc<Counters> {
        &self.state.counters
    }

    /// Makes the gRPC service `calls` answer the calls of other agents with the state of this
    /// agent.
    pub fn activate_calls(&self, calls: &RequestsService) {
        calls.activate(RequestsServiceState {
            service: self.state.config.service,
            coordinator: Arc::clone(&self.state.coordinator),
            gate: Arc::clone(&self.state.gate),
            offers: OfferServer::new(Arc::clone(&self.state.handler)),
        });
    }

    /// Returns the gate in front of the upstream's slots.
    #[must_use]
    pub fn gate(&self) -> &Arc<Gate> {
        &self.state.gate
    }

    /// Returns the balancers through which datagrams to callers are sent.
    #[must_use]
    pub fn balancers(&self) -> &Arc<LiveBalancers> {
        &self.state.balancers
    }

    /// Returns the load that the agent reports in its tunnel headers.
    #[must_use]
    pub fn load(&self) -> &Arc<LoadCell> {
        &self.state.load
    }

    /// Returns the current lifecycle phase of the agent.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.state.phase.borrow()
    }

    /// Returns a receiver of the highest bundle version seen in tunnel headers, which tells when to
    /// fetch a bundle.
    #[must_use]
    pub fn highest_seen_version(&self) -> watch::Receiver<BundleVersion> {
        self.state.highest_seen_version.subscribe()
    }

    /// Subscribes to the events that report changes of the agent's state.
    #[must_use]
    pub fn events(&self) -> broadcast::Receiver<AgentEvent> {
        self.state.events.subscribe()
    }

    /// Receives the next datagram from another process; returns `None` once the tunnel socket is
    /// closed.
    pub async fn receive_peer_datagram(&mut self) -> Option<PeerDatagram> {
        self.peer_datagrams.recv().await
    }

    /// Returns a sender of datagrams to other processes.
    #[must_use]
    pub fn peer_sender(&self) -> PeerSender {
        PeerSender(Arc::clone(&self.state.socket))
    }

    /// Stops the agent gracefully: accepts no new requests, completes running ones within the
    /// bundle's drain timeout, then closes all connections.
    pub async fn stop(mut self) -> StopReport {
        let began = Instant::now();
        let time_limit = self.state.drain_timeout();
        self.state.set_phase(Phase::Stopping);
        // Requests and connections that remain at the drain timeout are aborted and reported.
        let _ = tokio::time::timeout(time_limit, self.state.wait_until_drained()).await;
        let load = self.state.gate.load();
        let report = StopReport {
            connections_cut: *self.state.connections.borrow(),
            requests_cut: load.running + load.waiting,
            took_ms: Millis::from_duration(began.elapsed()),
        };
        self.accept_task.abort();
        self.quic.close(h3_no_error(), b"");
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.quic.wait_idle()).await;
        self.tasks.abort_all();
        report
    }

    fn spawn_tasks(
        state: AgentState,
        quic: quinn::Endpoint,
        peer_datagrams: mpsc::Receiver<PeerDatagram>,
    ) -> Self {
        let mut tasks = JoinSet::new();
        let accept_task = tasks.spawn(accept::accept_connections(state.clone(), quic.clone()));
        tasks.spawn(follow_bundle::apply_bundles(state.clone()));
        let gate = Arc::clone(&state.gate);
        tasks.spawn(async move { gate.run_tick_timer().await });
        let handoff = Arc::clone(&state.handler.handoff);
        tasks.spawn(async move { handoff.poll_loads().await });
        let client = Arc::clone(&state.handler.client);
        tasks.spawn(async move { client.run_probes().await });
        Self {
            state,
            quic,
            peer_datagrams,
            tasks,
            accept_task,
        }
    }
}

/// Sends datagrams to other processes of the system.
#[derive(Debug, Clone)]
pub struct PeerSender(Arc<SocketState>);

impl PeerSender {
    /// Sends a datagram that is authenticated with the service's key.
    ///
    /// # Errors
    ///
    /// Fails if the socket's send buffer is full or the payload is too large.
    pub fn send(&self, to: SocketAddr, payload: &[u8]) -> io::Result<()> {
        self.0.send_peer(to, payload)
    }
}

impl AgentState {
    /// Waits until no connection is open and no request is running.
    ///
    /// Running requests are checked too, since requests handed off by other agents, and
    /// at-most-once requests whose caller is gone, have no connection to this agent.
    async fn wait_until_drained(&self) {
        let mut connections = self.connections.subscribe();
        // `self` owns the channel's sender, so the wait can't fail.
        let _ = connections.wait_for(|it| *it == 0).await;
        while self.gate.load().running > 0 {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        if self.counters.handoffs_served.get() > 0 {
            tokio::time::sleep(HANDOFF_FLUSH_TIME).await;
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

    /// Enters another lifecycle phase; does nothing once the agent is stopping.
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
        self.emit_event(AgentEvent::PhaseChanged(phase));
    }

    fn emit_event(&self, event: AgentEvent) {
        // Sending an event fails only if there is no subscriber.
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
    quinn::VarInt::from_u64(code).expect("HTTP/3 error codes fit into a varint")
}
