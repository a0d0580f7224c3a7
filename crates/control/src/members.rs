//! The members controller: drives `membership` with real time and datagrams.

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
    table::{EndpointCell, Liveness},
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
    traffic_monitor::{Evidence, Watched},
};
use crate::{
    Counters,
    peer_link::{PeerLink, PeerPacket, PeerSend, Waiting, pump, scope_of, service_of},
};

/// Time between two ticks of the protocol.
const TICK: Duration = Duration::from_millis(50);

/// What the members controller needs to know at start.
#[derive(Debug, Clone)]
pub struct MembersConfig {
    /// Name and addresses of this balancer.
    pub balancer_info: BalancerInfo,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Tunnel addresses of some other balancers.
    pub seeds: Vec<SocketAddr>,
    /// Control addresses to name until the first balancer is known.
    pub control_seeds: Vec<SocketAddr>,
    /// Where events go.
    pub recorder: Recorder,
    /// Where counters go.
    pub counters: Counters,
    /// Intervals and limits.
    pub protocol: membership::Config,
    /// Seed of the choice of peers and of jitter.
    pub random_seed: u64,
}

impl MembersConfig {
    /// Makes a configuration with the usual intervals.
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

    /// Names some other balancers by tunnel and control addresses.
    #[must_use]
    pub fn with_seeds(mut self, tunnels: Vec<SocketAddr>, controls: Vec<SocketAddr>) -> Self {
        self.seeds = tunnels;
        self.control_seeds = controls;
        self
    }

    /// Counts with these counters.
    #[must_use]
    pub fn with_counters(mut self, counters: Counters) -> Self {
        self.counters = counters;
        self
    }

    /// Replaces the seed of random choices.
    #[must_use]
    pub const fn with_random_seed(mut self, seed: u64) -> Self {
        self.random_seed = seed;
        self
    }
}

/// An agent to watch, with the cell that routing reads.
#[derive(Debug, Clone)]
pub struct MonitoredAgent {
    /// Who it is and where.
    pub spec: AgentSpec,
    /// Gets its liveness, and tells of its traffic.
    pub cell: Arc<EndpointCell>,
}

/// Starts the members controller.
///
/// # Errors
///
/// The actor can't be spawned.
pub async fn start_members<S: PeerSend>(
    config: MembersConfig,
    link: PeerLink<S>,
) -> Result<MembersHandle, ractor::SpawnErr> {
    let shared = Arc::new(Shared::new(&config));
    let waiting = Waiting::default();
    let args = Args {
        config,
        sender: link.sender,
        shared: Arc::clone(&shared),
        waiting: waiting.clone(),
    };
    let (actor, running) = Actor::spawn(None, Controller::new(), args).await?;
    pump(link.incoming, actor.clone(), waiting, MembersMsg::Incoming);
    let ended = Arc::clone(&shared);
    tokio::spawn(async move {
        // Its panic, if any, was printed when it happened.
        drop(running.await);
        ended.is_ended.send_replace(true);
    });
    Ok(MembersHandle { actor, shared })
}

/// What the controller writes and others read.
#[derive(Debug)]
struct Shared {
    view: ArcSwap<MembersView>,
    generation: watch::Sender<u64>,
    control_addresses: watch::Sender<Vec<SocketAddr>>,
    is_ended: watch::Sender<bool>,
}

impl Shared {
    fn new(config: &MembersConfig) -> Self {
        Self {
            view: ArcSwap::default(),
            generation: watch::Sender::new(0),
            control_addresses: watch::Sender::new(config.control_seeds.clone()),
            is_ended: watch::Sender::new(false),
        }
    }
}

/// What the controller is told.
#[derive(Debug)]
pub(crate) enum MembersMsg {
    /// A datagram arrived.
    Incoming(PeerPacket),
    /// Time passed.
    Tick,
    /// The bundles in force name these agents.
    SetAgents(Vec<MonitoredAgent>),
    /// A hint says that an endpoint is gone.
    HintGone(EndpointId),
    /// The process is about to stop.
    Leave,
}

/// The members controller.
#[derive(Debug)]
struct Controller<S>(std::marker::PhantomData<fn() -> S>);

impl<S> Controller<S> {
    const fn new() -> Self {
        Self(std::marker::PhantomData)
    }
}

struct Args<S> {
    config: MembersConfig,
    sender: S,
    shared: Arc<Shared>,
    waiting: Waiting,
}

struct State<S> {
    core: Members,
    sender: S,
    shared: Arc<Shared>,
    waiting: Waiting,
    reporter: Reporter,
    started: Instant,
    /// Sorted by endpoint.
    agents: Vec<Watched>,
    control_seeds: Vec<SocketAddr>,
    /// Reused between messages.
    outputs: Vec<Output>,
    is_view_stale: bool,
}

impl<S: PeerSend> Actor for Controller<S> {
    type Msg = MembersMsg;
    type State = State<S>;
    type Arguments = Args<S>;

    async fn pre_start(
        &self,
        myself: ActorRef<MembersMsg>,
        args: Args<S>,
    ) -> Result<State<S>, ActorProcessingErr> {
        myself.send_interval(TICK, || MembersMsg::Tick);
        Ok(State::new(args))
    }

    async fn handle(
        &self,
        _myself: ActorRef<MembersMsg>,
        message: MembersMsg,
        state: &mut State<S>,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.now();
        match message {
            MembersMsg::Incoming(packet) => state.take(now, &packet),
            MembersMsg::Tick => state.tick(now),
            MembersMsg::SetAgents(agents) => state.set_agents(now, agents),
            MembersMsg::HintGone(endpoint) => {
                state.core.check_after_hint(now, MemberId::Agent(endpoint));
            }
            MembersMsg::Leave => state.core.leave(now),
        }
        state.flush(now);
        Ok(())
    }
}

impl<S: PeerSend> State<S> {
    fn new(args: Args<S>) -> Self {
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
            waiting: args.waiting,
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

    fn take(&mut self, now: Millis, packet: &PeerPacket) {
        self.waiting.taken();
        let scope = scope_of(packet.scope);
        match decode(scope, &packet.payload) {
            Ok(message) => {
                let outputs = &mut self.outputs;
                self.core
                    .handle_message(now, packet.from, scope, message, outputs);
            }
            Err(reject) => self.reporter.rejected(now, packet.from, reject),
        }
    }

    fn tick(&mut self, now: Millis) {
        self.read_traffic(now);
        self.core.tick(now, &mut self.outputs);
        let known = self.core.iter().count();
        self.reporter.count(now, &self.core.counters(), known);
        if self.is_view_stale {
            self.publish();
        }
    }

    /// Takes answers on the tunnels as evidence, so that busy agents need no probes, and has agents
    /// checked that give none, so that a balancer that sends needs no word from others.
    fn read_traffic(&mut self, now: Millis) {
        for it in &mut self.agents {
            let id = MemberId::Agent(it.link.spec.endpoint);
            match it.look(now) {
                Evidence::Answered => self.core.record_traffic(now, id),
                Evidence::Unanswered => self.core.check_after_unanswered_traffic(now, id),
                Evidence::Nothing => {}
            }
        }
    }

    fn set_agents(&mut self, now: Millis, mut agents: Vec<MonitoredAgent>) {
        agents.sort_by_key(|it| it.spec.endpoint);
        let specs: Vec<_> = agents.iter().map(|it| it.spec).collect();
        self.core.set_agents(now, &specs);
        self.agents = agents.into_iter().map(Watched::new).collect();
        // A cell may be older than what the core holds of an endpoint back in the bundle.
        for spec in &specs {
            if let Some(it) = self.core.find(MemberId::Agent(spec.endpoint)) {
                self.set_cell(spec.endpoint, it.condition, it.is_leaving);
            }
        }
        self.is_view_stale = true;
    }

    /// Sends what is to be sent and shows what changed.
    fn flush(&mut self, now: Millis) {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            match &output {
                Output::Send { to, scope, message } => {
                    self.sender
                        .send_peer(*to, service_of(*scope), &encode(message));
                }
                Output::MemberChanged {
                    id: MemberId::Agent(endpoint),
                    condition,
                    is_leaving,
                    ..
                } => {
                    self.set_cell(*endpoint, *condition, *is_leaving);
                    self.is_view_stale = true;
                }
                Output::MemberChanged { .. } => self.is_view_stale = true,
                Output::Paused { .. } | Output::Isolated { .. } => {}
            }
            self.reporter.report(now, &output);
        }
        self.outputs = outputs;
    }

    fn set_cell(&self, endpoint: EndpointId, condition: Condition, is_leaving: bool) {
        let found = self
            .agents
            .binary_search_by_key(&endpoint, |it| it.link.spec.endpoint);
        let Ok(idx) = found else {
            return;
        };
        let cell = &self.agents[idx].link.cell;
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

    fn publish(&mut self) {
        self.is_view_stale = false;
        let view = MembersView::new(&self.core);
        let mut addresses = view.control_addresses();
        if addresses.is_empty() {
            addresses.clone_from(&self.control_seeds);
        }
        let is_changed = |held: &mut Vec<SocketAddr>| {
            let is_changed = *held != addresses;
            if is_changed {
                held.clone_from(&addresses);
            }
            is_changed
        };
        self.shared.control_addresses.send_if_modified(is_changed);
        self.shared.view.store(Arc::new(view));
        self.shared.generation.send_modify(|it| *it += 1);
    }
}
