//! Membership cores of many balancers on a simulated clock, at fleet sizes that one machine can't
//! run as processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use membership::{
    AgentSpec, BalancerInfo, Condition, Config, KeyScope, MemberId, Members, Message, Output,
    Responder,
};
use units::{EndpointId, Incarnation, Millis, ServiceId};

use crate::figure::{count_to_f64, to_f64};
use crate::usage;

/// Latency of every simulated datagram, and the step of the simulated clock.
const STEP_MS: u64 = 10;

/// Interval between two ticks of a balancer's membership core.
const TICK_INTERVAL_MS: u64 = 50;

/// Bytes of a datagram's IP and UDP headers and of its tunnel header with the MAC.
const HEADER_BYTES: u64 = 28 + 28;

/// Number of availability zones in the simulated fleet; the first zone fails.
const ZONES: usize = 8;

/// Longest wait until all simulated balancers know one another.
const CONVERGENCE_TIMEOUT_MS: u64 = 30_000;

/// Number of threads that run the balancers' membership cores.
const THREADS: usize = 4;

const IDLE_PERIOD_MS: u64 = 3_000;
const OUTAGE_PERIOD_MS: u64 = 10_000;
const SECOND_MS: u64 = 1_000;

const SERVICE: ServiceId = ServiceId::new(1);

/// Costs of liveness detection at one fleet size, per live balancer where not stated otherwise.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Cost {
    /// Number of members: balancers and agents together.
    pub(super) members: f64,
    pub(super) agents: f64,
    /// Time from the common start of all balancers until they all know one another.
    pub(super) convergence_ms: f64,
    /// Bytes per second that a balancer sends and receives in an idle fleet.
    pub(super) idle_bytes_per_second: f64,
    /// Bytes per second that a balancer sends and receives in the 10 s after a zone's failure.
    pub(super) outage_bytes_per_second: f64,
    /// Bytes that a balancer sends and receives in the busiest second of the 10 s after a zone's
    /// failure.
    pub(super) outage_peak_bytes_per_second: f64,
    /// Time from a zone's failure until no live balancer uses an agent of the zone.
    pub(super) removal_ms: Option<f64>,
    /// Processor time of a balancer in an idle fleet, in percent of a processor core.
    pub(super) idle_processor_percent: f64,
    /// Processor time of a balancer in the 10 s after a zone's failure, in percent of a processor
    /// core.
    pub(super) outage_processor_percent: f64,
    /// Resident memory of a balancer's membership core, in bytes.
    pub(super) resident_bytes: f64,
}

/// Measures the costs of a simulated fleet at its start, when idle and after the failure of a zone.
pub(super) fn measure_liveness_cost(balancers: usize, agents: usize, seed: u64) -> Cost {
    let resident = usage::resident_bytes(std::process::id());
    let mut fleet = Fleet::new(balancers, agents, seed);
    let mut cost = Cost {
        members: count_to_f64(balancers + agents),
        agents: count_to_f64(agents),
        ..Cost::default()
    };
    let known_balancers = |it: &Node| it.core.iter().filter(|it| it.id.is_balancer()).count();
    while fleet.now_ms < CONVERGENCE_TIMEOUT_MS {
        fleet.advance_clock(SECOND_MS);
        if fleet
            .nodes
            .iter()
            .all(|it| known_balancers(it) + 1 == balancers)
        {
            break;
        }
    }
    cost.convergence_ms = to_f64(fleet.now_ms);
    // The introductions of balancers to one another must finish first, because an idle fleet sends
    // none.
    fleet.advance_clock(OUTAGE_PERIOD_MS);
    let idle = fleet.measure_period(IDLE_PERIOD_MS);
    (cost.idle_bytes_per_second, cost.idle_processor_percent) =
        (idle.mean_bytes_per_second, idle.processor_percent);
    cost.resident_bytes =
        (usage::resident_bytes(std::process::id()) - resident) / count_to_f64(balancers);
    fleet.fail_first_zone();
    let outage = fleet.measure_period(OUTAGE_PERIOD_MS);
    (cost.outage_bytes_per_second, cost.outage_processor_percent) =
        (outage.mean_bytes_per_second, outage.processor_percent);
    cost.outage_peak_bytes_per_second = outage.peak_bytes_per_second;
    cost.removal_ms = fleet
        .removed_at_ms
        .map(|it| to_f64(it - fleet.outage_start_ms));
    cost
}

/// Traffic and processor time of a period, per live balancer.
struct PeriodCost {
    mean_bytes_per_second: f64,
    peak_bytes_per_second: f64,
    processor_percent: f64,
}

/// A simulated datagram in flight.
struct Datagram {
    from: SocketAddr,
    scope: KeyScope,
    message: Message,
}

/// A simulated balancer with its membership core.
struct Node {
    core: Members,
    address: SocketAddr,
    inbox: Vec<Datagram>,
    outputs: Vec<Output>,
    is_zone_down: bool,
}

/// A simulated fleet of balancers and agents.
struct Fleet {
    now_ms: u64,
    nodes: Vec<Node>,
    agents: Vec<(Responder, SocketAddr)>,
    agent_inboxes: Vec<Vec<Datagram>>,
    is_zone_down: bool,
    outage_start_ms: u64,
    removed_at_ms: Option<u64>,
    /// Number of bytes that live balancers have sent and received.
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
                is_zone_down: false,
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
            is_zone_down: false,
            outage_start_ms: 0,
            removed_at_ms: None,
            bytes: 0,
        }
    }

    fn fail_first_zone(&mut self) {
        self.is_zone_down = true;
        self.outage_start_ms = self.now_ms;
        for it in self.nodes.iter_mut().step_by(ZONES) {
            it.is_zone_down = true;
        }
    }

    fn measure_period(&mut self, duration_ms: u64) -> PeriodCost {
        let live = count_to_f64(self.nodes.iter().filter(|it| !it.is_zone_down).count());
        let (bytes, processor) = (self.bytes, usage::cpu_seconds(std::process::id()));
        let mut peak = 0;
        for _ in 0..duration_ms / SECOND_MS {
            let before = self.bytes;
            self.advance_clock(SECOND_MS);
            peak = peak.max(self.bytes - before);
        }
        let seconds = to_f64(duration_ms / SECOND_MS);
        let processor = usage::cpu_seconds(std::process::id()) - processor;
        PeriodCost {
            mean_bytes_per_second: to_f64(self.bytes - bytes) / seconds / live,
            peak_bytes_per_second: to_f64(peak) / live,
            processor_percent: processor / seconds / live * 100.0,
        }
    }

    fn advance_clock(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.step_agents();
            self.step_balancers();
            self.record_removal_time();
        }
    }

    /// Runs one clock step of every live balancer on several threads, then sends the datagrams that
    /// the balancers produced.
    fn step_balancers(&mut self) {
        let now = Millis::new(self.now_ms);
        let is_tick = self.now_ms.is_multiple_of(TICK_INTERVAL_MS);
        let share = self.nodes.len().div_ceil(THREADS);
        std::thread::scope(|scope| {
            for nodes in self.nodes.chunks_mut(share) {
                scope.spawn(move || nodes.iter_mut().for_each(|it| it.run_step(now, is_tick)));
            }
        });
        for idx in 0..self.nodes.len() {
            let mut outputs = std::mem::take(&mut self.nodes[idx].outputs);
            let from = self.nodes[idx].address;
            for output in outputs.drain(..) {
                self.send_datagram(from, output);
            }
            self.nodes[idx].outputs = outputs;
        }
    }

    fn step_agents(&mut self) {
        let now = Millis::new(self.now_ms);
        for idx in 0..self.agents.len() {
            let inbox = std::mem::take(&mut self.agent_inboxes[idx]);
            if self.is_zone_down && idx.is_multiple_of(ZONES) {
                continue;
            }
            for it in inbox {
                let (core, address) = &mut self.agents[idx];
                let answer = core.handle_message(now, it.from, &it.message);
                let from = *address;
                if let Some(answer) = answer {
                    self.send_datagram(from, answer);
                }
            }
        }
    }

    fn send_datagram(&mut self, from: SocketAddr, output: Output) {
        let Output::Send { to, scope, message } = output else {
            return;
        };
        let bytes = HEADER_BYTES + u64::try_from(message.encoded_len()).unwrap_or_default();
        let datagram = Datagram {
            from,
            scope,
            message,
        };
        self.bytes += if is_balancer(from) { bytes } else { 0 };
        if !is_balancer(to) {
            self.agent_inboxes[idx_of_address(to)].push(datagram);
            return;
        }
        let node = &mut self.nodes[idx_of_address(to)];
        if !node.is_zone_down {
            self.bytes += bytes;
            node.inbox.push(datagram);
        }
    }

    /// Records the time at which no live balancer uses agents of the failed zone any more.
    fn record_removal_time(&mut self) {
        if !self.is_zone_down
            || self.removed_at_ms.is_some()
            || !self.now_ms.is_multiple_of(TICK_INTERVAL_MS)
        {
            return;
        }
        let failed: Vec<_> = (0..self.agents.len())
            .step_by(ZONES)
            .map(agent_id)
            .collect();
        let is_used = |core: &Members, id| {
            core.find(id)
                .is_some_and(|it| it.condition == Condition::Alive)
        };
        let live = self.nodes.iter().filter(|it| !it.is_zone_down);
        let mut uses = live.map(|it| failed.iter().any(|id| is_used(&it.core, *id)));
        if !uses.any(|it| it) {
            self.removed_at_ms = Some(self.now_ms);
        }
    }
}

impl Node {
    fn run_step(&mut self, now: Millis, is_tick: bool) {
        let inbox = std::mem::take(&mut self.inbox);
        if self.is_zone_down {
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
    MemberId::Agent(endpoint_id(idx))
}

fn endpoint_id(idx: usize) -> EndpointId {
    EndpointId::new(u32::try_from(idx).unwrap_or(u32::MAX))
}

fn agent_spec(idx: usize) -> AgentSpec {
    AgentSpec {
        endpoint: endpoint_id(idx),
        service: SERVICE,
        address: simulated_address(20, idx),
    }
}

fn balancer_address(idx: usize) -> SocketAddr {
    simulated_address(10, idx)
}

fn simulated_address(net: u8, idx: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(idx).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(net, 0, high, low)), 7_000)
}

fn idx_of_address(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 256 + usize::from(ip.octets()[3]),
        IpAddr::V6(_) => 0,
    }
}

fn is_balancer(address: SocketAddr) -> bool {
    matches!(address.ip(), IpAddr::V4(ip) if ip.octets()[0] == 10)
}
