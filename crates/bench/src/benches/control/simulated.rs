//! The liveness core of many balancers on a simulated clock, at sizes no machine runs as processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use membership::{
    AgentSpec, BalancerInfo, Condition, Config, KeyScope, MemberId, Members, Message, Output,
    Responder,
};
use units::{EndpointId, Incarnation, Millis, ServiceId};

use crate::figure::{count_to_f64, to_f64};
use crate::usage;

/// Time that a datagram takes, and the step of the clock.
const STEP_MS: u64 = 10;

/// Time between two ticks of a balancer.
const TICK_MS: u64 = 50;

/// Headers of IP and UDP, and of the tunnel with its MAC.
const HEADER_BYTES: u64 = 28 + 28;

/// Availability zones; the first goes dark.
const ZONES: usize = 8;

/// Longest time for all balancers to meet.
const MEET_MAX_MS: u64 = 30_000;

/// Threads that share the work.
const THREADS: usize = 4;

const IDLE_MS: u64 = 3_000;
const DARK_MS: u64 = 10_000;
const SECOND_MS: u64 = 1_000;

const SERVICE: ServiceId = ServiceId::new(1);

/// What a size costs.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Cost {
    /// Balancers and agents.
    pub(super) members: f64,
    pub(super) agents: f64,
    /// Time from the common start until all balancers know one another.
    pub(super) meet_ms: f64,
    /// Bytes a second sent and received by a balancer with nothing changing.
    pub(super) idle_bytes: f64,
    /// The same over 10 s from a zone's failure.
    pub(super) dark_bytes: f64,
    /// The same in the worst single second after it.
    pub(super) dark_peak_bytes: f64,
    /// Time from the failure until no live balancer uses an agent of the zone.
    pub(super) stop_ms: Option<f64>,
    /// Processor time of a balancer's core in percent of a core, nothing changing.
    pub(super) idle_processor_percent: f64,
    /// The same over 10 s from a zone's failure.
    pub(super) dark_processor_percent: f64,
    /// Memory of a balancer's core in bytes.
    pub(super) resident_bytes: f64,
}

/// Runs a fleet through start, quiet and the failure of a zone.
pub(super) fn measure(balancers: usize, agents: usize, seed: u64) -> Cost {
    let resident = usage::resident_bytes(std::process::id());
    let mut fleet = Fleet::new(balancers, agents, seed);
    let mut cost = Cost {
        members: count_to_f64(balancers + agents),
        agents: count_to_f64(agents),
        ..Cost::default()
    };
    let knows_all = |it: &Node| it.core.iter().filter(|it| it.id.is_balancer()).count();
    while fleet.now_ms < MEET_MAX_MS {
        fleet.run(SECOND_MS);
        if fleet.nodes.iter().all(|it| knows_all(it) + 1 == balancers) {
            break;
        }
    }
    cost.meet_ms = to_f64(fleet.now_ms);
    // Introductions still under way are not the cost of a quiet fleet.
    fleet.run(DARK_MS);
    let quiet = fleet.measure(IDLE_MS);
    (cost.idle_bytes, cost.idle_processor_percent) = (quiet.mean_bytes, quiet.processor_percent);
    cost.resident_bytes =
        (usage::resident_bytes(std::process::id()) - resident) / count_to_f64(balancers);
    fleet.darken();
    let dark = fleet.measure(DARK_MS);
    (cost.dark_bytes, cost.dark_processor_percent) = (dark.mean_bytes, dark.processor_percent);
    cost.dark_peak_bytes = dark.peak_bytes;
    cost.stop_ms = fleet.stopped_ms.map(|it| to_f64(it - fleet.dark_ms));
    cost
}

/// What a stretch of time cost a live balancer, in bytes a second and percent of a core.
struct Stretch {
    mean_bytes: f64,
    peak_bytes: f64,
    processor_percent: f64,
}

/// A datagram under way.
struct Flight {
    from: SocketAddr,
    scope: KeyScope,
    message: Message,
}

struct Node {
    core: Members,
    address: SocketAddr,
    inbox: Vec<Flight>,
    outputs: Vec<Output>,
    is_dark: bool,
}

struct Fleet {
    now_ms: u64,
    nodes: Vec<Node>,
    agents: Vec<(Responder, SocketAddr)>,
    agent_inboxes: Vec<Vec<Flight>>,
    is_dark: bool,
    dark_ms: u64,
    stopped_ms: Option<u64>,
    /// Bytes sent by live balancers and received by them.
    bytes: u64,
}

impl Fleet {
    fn new(balancers: usize, agents: usize, seed: u64) -> Self {
        let specs: Vec<_> = (0..agents).map(agent_spec).collect();
        let start = Millis::new(0);
        let seeds: Vec<_> = (0..balancers.min(8)).map(balancer_address).collect();
        let node = |idx: usize| {
            let address = balancer_address(idx);
            let name = format!("balancer-{idx}");
            let introduction = BalancerInfo {
                name: name
                    .parse()
                    .expect("the name has only letters, digits and `-`"),
                address,
                control_address: address,
            };
            let seed = seed
                .wrapping_mul(1_000_003)
                .wrapping_add(u64::try_from(idx).unwrap_or_default());
            let incarnation = Incarnation::new(1);
            let core = Members::new(Config::new(), introduction, incarnation, seed, start);
            let mut core = core.with_seeds(seeds.clone());
            core.set_agents(start, &specs);
            Node {
                core,
                address,
                inbox: Vec::new(),
                outputs: Vec::new(),
                is_dark: false,
            }
        };
        let agent = |it: &AgentSpec| {
            let core = Responder::new(it.endpoint, SERVICE, Incarnation::new(1));
            (core, it.address)
        };
        Self {
            now_ms: 0,
            nodes: (0..balancers).map(node).collect(),
            agents: specs.iter().map(agent).collect(),
            agent_inboxes: (0..agents).map(|_idx| Vec::new()).collect(),
            is_dark: false,
            dark_ms: 0,
            stopped_ms: None,
            bytes: 0,
        }
    }

    fn darken(&mut self) {
        self.is_dark = true;
        self.dark_ms = self.now_ms;
        for it in self.nodes.iter_mut().step_by(ZONES) {
            it.is_dark = true;
        }
    }

    fn measure(&mut self, for_ms: u64) -> Stretch {
        let live = count_to_f64(self.nodes.iter().filter(|it| !it.is_dark).count());
        let (bytes, processor) = (self.bytes, usage::cpu_seconds(std::process::id()));
        let mut peak = 0;
        for _ in 0..for_ms / SECOND_MS {
            let before = self.bytes;
            self.run(SECOND_MS);
            peak = peak.max(self.bytes - before);
        }
        let seconds = to_f64(for_ms / SECOND_MS);
        let processor = usage::cpu_seconds(std::process::id()) - processor;
        Stretch {
            mean_bytes: to_f64(self.bytes - bytes) / seconds / live,
            peak_bytes: to_f64(peak) / live,
            processor_percent: processor / seconds / live * 100.0,
        }
    }

    fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.run_agents();
            self.run_nodes();
            self.note_stop();
        }
    }

    /// Lets every live balancer take what arrived, on several threads.
    fn run_nodes(&mut self) {
        let now = Millis::new(self.now_ms);
        let is_tick = self.now_ms.is_multiple_of(TICK_MS);
        let share = self.nodes.len().div_ceil(THREADS);
        std::thread::scope(|scope| {
            for nodes in self.nodes.chunks_mut(share) {
                scope.spawn(move || nodes.iter_mut().for_each(|it| it.step(now, is_tick)));
            }
        });
        for idx in 0..self.nodes.len() {
            let mut outputs = std::mem::take(&mut self.nodes[idx].outputs);
            let from = self.nodes[idx].address;
            for output in outputs.drain(..) {
                self.send(from, output);
            }
            self.nodes[idx].outputs = outputs;
        }
    }

    fn run_agents(&mut self) {
        let now = Millis::new(self.now_ms);
        for idx in 0..self.agents.len() {
            let inbox = std::mem::take(&mut self.agent_inboxes[idx]);
            if self.is_dark && idx.is_multiple_of(ZONES) {
                continue;
            }
            for it in inbox {
                let (core, address) = &mut self.agents[idx];
                let answer = core.handle_message(now, it.from, &it.message);
                let from = *address;
                if let Some(answer) = answer {
                    self.send(from, answer);
                }
            }
        }
    }

    fn send(&mut self, from: SocketAddr, output: Output) {
        let Output::Send { to, scope, message } = output else {
            return;
        };
        let bytes = HEADER_BYTES + u64::try_from(message.encoded_len()).unwrap_or_default();
        let flight = Flight {
            from,
            scope,
            message,
        };
        self.bytes += if is_balancer(from) { bytes } else { 0 };
        if !is_balancer(to) {
            self.agent_inboxes[idx_of(to)].push(flight);
            return;
        }
        let node = &mut self.nodes[idx_of(to)];
        if !node.is_dark {
            self.bytes += bytes;
            node.inbox.push(flight);
        }
    }

    /// Notes when the last balancer stopped to use the dark zone's agents.
    fn note_stop(&mut self) {
        if !self.is_dark || self.stopped_ms.is_some() || !self.now_ms.is_multiple_of(TICK_MS) {
            return;
        }
        let dark: Vec<_> = (0..self.agents.len())
            .step_by(ZONES)
            .map(agent_id)
            .collect();
        let is_used = |core: &Members, id| {
            core.find(id)
                .is_some_and(|it| it.condition == Condition::Alive)
        };
        let live = self.nodes.iter().filter(|it| !it.is_dark);
        let mut uses = live.map(|it| dark.iter().any(|id| is_used(&it.core, *id)));
        if !uses.any(|it| it) {
            self.stopped_ms = Some(self.now_ms);
        }
    }
}

impl Node {
    fn step(&mut self, now: Millis, is_tick: bool) {
        let inbox = std::mem::take(&mut self.inbox);
        if self.is_dark {
            return;
        }
        for it in inbox {
            self.core
                .handle_message(now, it.from, it.scope, it.message, &mut self.outputs);
        }
        if is_tick {
            self.core.tick(now, &mut self.outputs);
        }
    }
}

fn agent_id(idx: usize) -> MemberId {
    MemberId::Agent(endpoint(idx))
}

fn endpoint(idx: usize) -> EndpointId {
    EndpointId::new(u32::try_from(idx).unwrap_or(u32::MAX))
}

fn agent_spec(idx: usize) -> AgentSpec {
    AgentSpec {
        endpoint: endpoint(idx),
        service: SERVICE,
        address: address(20, idx),
    }
}

fn balancer_address(idx: usize) -> SocketAddr {
    address(10, idx)
}

fn address(net: u8, idx: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(idx).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(net, 0, high, low)), 7_000)
}

fn idx_of(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 256 + usize::from(ip.octets()[3]),
        IpAddr::V6(_) => 0,
    }
}

fn is_balancer(address: SocketAddr) -> bool {
    matches!(address.ip(), IpAddr::V4(ip) if ip.octets()[0] == 10)
}
