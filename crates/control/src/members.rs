//! The members controller: runs the `membership` protocol with real time and datagrams.

mod handle;
mod report;
mod traffic_monitor;
mod view;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use flow::{
    table::{EndpointStatus, Liveness},
    tunnel::Load,
};
use membership::{AgentSpec, BalancerInfo, Condition, MemberId, Members, Output, decode, encode};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use timeline::Recorder;
use tokio::sync::watch;
use units::{EndpointId, Incarnation, Millis};

pub use self::{
    handle::MembersHandle,
    view::{BalancerState, EndpointState, MembersView},
};
use self::{
    report::Reporter,
    traffic_monitor::{Evidence, TrafficMonitor},
};
use crate::{
    Counters,
    peer_link::{
        PeerLink, PeerPacket, PeerSend, QueueDepth, forward_packets, key_scope, scope_service_id,
    },
};

/// Interval of the membership protocol's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Configuration of the members controller.
#[derive(Debug, Clone)]
pub struct MembersConfig {
    /// Name and addresses of this balancer, as announced to other members of the fleet.
    pub balancer_info: BalancerInfo,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Tunnel addresses of the balancers through which this one joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Control addresses to publish until the first other balancer is known.
    pub control_seeds: Vec<SocketAddr>,
    /// Recorder of timeline events.
    pub recorder: Recorder,
    /// Counters that the members controller increments.
    pub counters: Counters,
    /// Intervals and limits of the membership protocol.
    pub protocol: membership::Config,
    /// Seed of the random choices, such as peers and jitter.
    pub random_seed: u64,
}

impl MembersConfig {
    /// Creates a configuration with the default settings of the membership protocol and a random
    /// seed.
    #[must_use]
    pub fn new(balancer_info: BalancerInfo, incarnation: Incarnation, recorder: Recorder) -> Self {
        Self {
            balancer_info,
            incarnation,
            seeds: Vec::new(),
            control_seeds: Vec::new(),
            recorder,
            counters: Counters::new(),
            protocol: membership::Config::new(),
            random_seed: rand::random(),
        }
    }

    /// Sets the tunnel and control addresses of some other balancers through which this one joins
    /// the fleet.
    #[must_use]
    pub fn with_seeds(mut self, tunnels: Vec<SocketAddr>, controls: Vec<SocketAddr>) -> Self {
        self.seeds = tunnels;
        self.control_seeds = controls;
        self
    }

    /// Sets the counters that the members controller increments.
    #[must_use]
    pub fn with_counters(mut self, counters: Counters) -> Self {
        self.counters = counters;
        self
    }

    /// Sets the seed of the random choices.
    #[must_use]
    pub const fn with_random_seed(mut self, seed: u64) -> Self {
        self.random_seed = seed;
        self
    }
}

/// Agent whose liveness is monitored, with the shared cell that routing reads.
#[derive(Debug, Clone)]
pub struct MonitoredAgent {
    /// Endpoint, service and address of the agent.
    pub spec: AgentSpec,
    /// Cell that receives the agent's liveness and counts the traffic with it.
    pub cell: Arc<EndpointStatus>,
}

/// Starts the members controller.
///
/// # Errors
///
/// Returns an error if the actor cannot be spawned.
pub async fn start_members<S: PeerSend>(
    config: MembersConfig,
    link: PeerLink<S>,
) -> Result<MembersHandle, ractor::SpawnErr> {
    let shared = Arc::new(PublishedState::new(&config));
    let queue_depth = QueueDepth::default();
    let args = MembersArgs {
        config,
        sender: link.sender,
        shared: Arc::clone(&shared),
        queue_depth: queue_depth.clone(),
    };
    let (actor, running) = Actor::spawn(None, MembersController::new(), args).await?;
    forward_packets(
        link.incoming,
        actor.clone(),
        queue_depth,
        MembersMsg::Incoming,
    );
    let published = Arc::clone(&shared);
    tokio::spawn(async move {
        // A panic of the actor has already been printed.
        drop(running.await);
        published.is_ended.send_replace(true);
    });
    Ok(MembersHandle { actor, shared })
}

/// State that the members controller writes and [`MembersHandle`] reads.
#[derive(Debug)]
struct PublishedState {
    view: ArcSwap<MembersView>,
    generation: watch::Sender<u64>,
    control_addresses: watch::Sender<Vec<SocketAddr>>,
    is_ended: watch::Sender<bool>,
}

impl PublishedState {
    fn new(config: &MembersConfig) -> Self {
        Self {
            view: ArcSwap::default(),
            generation: watch::Sender::new(0),
            control_addresses: watch::Sender::new(config.control_seeds.clone()),
            is_ended: watch::Sender::new(false),
        }
    }
}

/// Message to the members controller.
#[derive(Debug)]
pub(crate) enum MembersMsg {
    /// A membership datagram arrived.
    Incoming(PeerPacket),
    /// The tick interval elapsed.
    Tick,
    /// Replaces the monitored agents by those of the bundles in force.
    SetAgents(Vec<MonitoredAgent>),
    /// Probes an endpoint's agent at once, since the agent may be gone.
    CheckEndpoint(EndpointId),
    /// Announces that this balancer is about to stop.
    Leave,
}

/// Actor that runs the membership protocol.
#[derive(Debug)]
struct MembersController<S>(std::marker::PhantomData<fn() -> S>);

impl<S> MembersController<S> {
    const fn new() -> Self {
        Self(std::marker::PhantomData)
    }
}

struct MembersArgs<S> {
    config: MembersConfig,
    sender: S,
    shared: Arc<PublishedState>,
    queue_depth: QueueDepth,
}

struct MembersState<S> {
    core: Members,
    sender: S,
    shared: Arc<PublishedState>,
    queue_depth: QueueDepth,
    reporter: Reporter,
    started: Instant,
    /// Monitored agents, sorted by endpoint.
    agents: Vec<TrafficMonitor>,
    control_seeds: Vec<SocketAddr>,
    /// Outputs of the membership protocol; the allocation is reused for each message.
    outputs: Vec<Output>,
    is_view_stale: bool,
}

impl<S: PeerSend> Actor for MembersController<S> {
    type Msg = MembersMsg;
    type State = MembersState<S>;
    type Arguments = MembersArgs<S>;

    async fn pre_start(
        &self,
        myself: ActorRef<MembersMsg>,
        args: MembersArgs<S>,
    ) -> Result<MembersState<S>, ActorProcessingErr> {
        myself.send_interval(TICK_INTERVAL, || MembersMsg::Tick);
        Ok(MembersState::new(args))
    }

    async fn handle(
        &self,
        _myself: ActorRef<MembersMsg>,
        message: MembersMsg,
        state: &mut MembersState<S>,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.now();
        match message {
            MembersMsg::Incoming(packet) => state.handle_packet(now, &packet),
            MembersMsg::Tick => state.run_protocol_tick(now),
            MembersMsg::SetAgents(agents) => state.set_agents(now, agents),
            MembersMsg::CheckEndpoint(endpoint) => {
                state
                    .core
                    .start_failure_check_after_hint(now, MemberId::Agent(endpoint));
            }
            MembersMsg::Leave => state.core.announce_leaving(now),
        }
        state.apply_outputs(now);
        Ok(())
    }
}

impl<S: PeerSend> MembersState<S> {
    fn new(args: MembersArgs<S>) -> Self {
        let config = args.config;
        let core = Members::new(
            config.protocol,
            config.balancer_info,
            config.incarnation,
            config.random_seed,
            Millis::new(0),
        );
        Self {
            core: core.with_seeds(config.seeds),
            sender: args.sender,
            shared: args.shared,
            queue_depth: args.queue_depth,
            reporter: Reporter::new(config.recorder, config.counters),
            started: Instant::now(),
            agents: Vec::new(),
            control_seeds: config.control_seeds,
            outputs: Vec::new(),
            is_view_stale: false,
        }
    }

    fn now(&self) -> Millis {
        Millis::from_duration(self.started.elapsed())
    }

    fn handle_packet(&mut self, now: Millis, packet: &PeerPacket) {
        self.queue_depth.decrement();
        let scope = key_scope(packet.scope);
        match decode(scope, &packet.payload) {
            Ok(message) => {
                let outputs = &mut self.outputs;
                self.core
                    .handle_message(now, packet.from, scope, message, outputs);
            }
            Err(reject) => self.reporter.report_rejected(now, packet.from, reject),
        }
    }

    fn run_protocol_tick(&mut self, now: Millis) {
        self.check_traffic(now);
        self.core.tick(now, &mut self.outputs);
        let member_count = self.core.iter().count();
        self.reporter
            .export_counters(now, &self.core.counters(), member_count);
        if self.is_view_stale {
            self.publish_view();
        }
    }

    /// Passes the traffic on the tunnels to the membership protocol as passive health signals.
    ///
    /// An agent that answers traffic needs no probes. An agent that does not answer gets a failure
    /// check, so that a balancer that sends to a dead agent does not depend on reports from other
    /// balancers.
    fn check_traffic(&mut self, now: Millis) {
        for it in &mut self.agents {
            let id = MemberId::Agent(it.agent.spec.endpoint);
            match it.observe_traffic(now) {
                Evidence::Answered => self.core.record_traffic(now, id),
                Evidence::Unanswered => self
                    .core
                    .start_failure_check_after_unanswered_traffic(now, id),
                Evidence::Inconclusive => {}
            }
        }
    }

    fn set_agents(&mut self, now: Millis, mut agents: Vec<MonitoredAgent>) {
        agents.sort_by_key(|it| it.spec.endpoint);
        let specs: Vec<_> = agents.iter().map(|it| it.spec).collect();
        self.core.set_agents(now, &specs);
        self.agents = agents.into_iter().map(TrafficMonitor::new).collect();
        // The shared cell of an endpoint that returns to the bundle may be older than the
        // protocol's state.
        for spec in &specs {
            if let Some(it) = self.core.find(MemberId::Agent(spec.endpoint)) {
                self.update_endpoint_cell(spec.endpoint, it.condition, it.is_leaving);
            }
        }
        self.is_view_stale = true;
    }

    /// Carries out the membership protocol's outputs: sends messages, updates the shared cells of
    /// endpoints and reports changes.
    fn apply_outputs(&mut self, now: Millis) {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            match &output {
                Output::Send { to, scope, message } => {
                    self.sender
                        .send_peer(*to, scope_service_id(*scope), &encode(message));
                }
                Output::MemberChanged {
                    id: MemberId::Agent(endpoint),
                    condition,
                    is_leaving,
                    ..
                } => {
                    self.update_endpoint_cell(*endpoint, *condition, *is_leaving);
                    self.is_view_stale = true;
                }
                Output::MemberChanged { .. } => self.is_view_stale = true,
                Output::Paused { .. } | Output::Isolated { .. } => {}
            }
            self.reporter.report_output(now, &output);
        }
        self.outputs = outputs;
    }

    fn update_endpoint_cell(&self, endpoint: EndpointId, condition: Condition, is_leaving: bool) {
        let found = self
            .agents
            .binary_search_by_key(&endpoint, |it| it.agent.spec.endpoint);
        let Ok(idx) = found else {
            return;
        };
        let cell = &self.agents[idx].agent.cell;
        cell.set_liveness(match condition {
            Condition::Alive => Liveness::Alive,
            Condition::Suspect => Liveness::Suspect,
            Condition::Dead => Liveness::Dead,
        });
        let load = cell.load();
        if load.is_leaving != is_leaving {
            cell.set_load(Load { is_leaving, ..load });
        }
    }

    fn publish_view(&mut self) {
        self.is_view_stale = false;
        let view = MembersView::new(&self.core);
        let mut addresses = view.control_addresses();
        if addresses.is_empty() {
            addresses.clone_from(&self.control_seeds);
        }
        let is_changed = |published: &mut Vec<SocketAddr>| {
            let is_changed = *published != addresses;
            if is_changed {
                published.clone_from(&addresses);
            }
            is_changed
        };
        self.shared.control_addresses.send_if_modified(is_changed);
        self.shared.view.store(Arc::new(view));
        self.shared.generation.send_modify(|it| *it += 1);
    }
}
