//! A fleet of balancers and agents on a simulated clock and network.

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr};

use membership::{
    AgentSpec, BalancerInfo, Condition, Config, KeyScope, MemberId, MemberVersion, Members, Output,
    Responder, decode, encode,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use units::{EndpointId, Incarnation, Millis, ServiceId};

const STEP_MS: u64 = 10;
const TICK_MS: u64 = 50;
/// Length of a datagram's IP, UDP and tunnel headers, including the MAC.
const OVERHEAD_BYTES: u64 = 56;

const SERVICE: ServiceId = ServiceId::new(1);

/// A simulated process: a balancer or an agent.
pub struct Process<T> {
    pub core: T,
    pub address: SocketAddr,
    pub is_dead: bool,
    pub paused_until_ms: u64,
    /// The side of the partition on which the process is; datagrams to the other side are lost.
    pub side: u8,
    inbox: Vec<(SocketAddr, KeyScope, Vec<u8>)>,
}

impl<T> Process<T> {
    fn new(core: T, address: SocketAddr) -> Self {
        Self {
            core,
            address,
            is_dead: false,
            paused_until_ms: 0,
            side: 0,
            inbox: Vec::new(),
        }
    }
}

/// A datagram in flight: arrival time, sequence number, source, destination, key and content.
type InFlightDatagram = Reverse<(u64, u64, SocketAddr, SocketAddr, KeyScope, Vec<u8>)>;

pub struct Fleet {
    pub now_ms: u64,
    pub balancers: Vec<Process<Members>>,
    pub agents: Vec<Process<Responder>>,
    pub loss_percent: u32,
    /// Longest time for which any balancer considered an agent not alive, by agent.
    pub longest_removal_ms: Vec<u64>,
    removed_since_ms: Vec<Vec<Option<u64>>>,
    highest_versions: Vec<Vec<MemberVersion>>,
    /// Bytes sent by balancers, including IP, UDP and tunnel headers.
    pub bytes_sent: u64,
    /// Number of times that a balancer began to consider an agent not alive.
    pub removals: u64,
    /// Number of removals where the indices of the balancer and the agent are both even or both
    /// odd.
    pub own_side_removals: u64,
    /// Duration of the longest of the removals counted in `own_side_removals`.
    pub own_side_longest_removal_ms: u64,
    in_flight: BinaryHeap<InFlightDatagram>,
    sequence: u64,
    rng: StdRng,
}

impl Fleet {
    pub fn new(balancers: u16, agents: u16, seed: u64, config: &Config) -> Self {
        let specs: Vec<_> = (0..agents).map(agent_spec).collect();
        let addresses: Vec<_> = (0..balancers).map(balancer_address).collect();
        let new_members = |idx: u16| {
            let balancer_info = BalancerInfo {
                name: format!("b-{idx}").parse().unwrap(),
                address: addresses[usize::from(idx)],
                control_address: addresses[usize::from(idx)],
            };
            let incarnation = Incarnation::new(1);
            let start = Millis::new(1_000);
            let seed = seed.wrapping_add(u64::from(idx));
            let mut members = Members::new(config.clone(), balancer_info, incarnation, seed, start)
                .with_seeds(addresses.clone());
            members.set_agents(start, &specs);
            Process::new(members, addresses[usize::from(idx)])
        };
        let new_agent = |spec: &AgentSpec| {
            let core = Responder::new(spec.endpoint, SERVICE, Incarnation::new(1));
            Process::new(core, spec.address)
        };
        Self {
            now_ms: 1_000,
            balancers: (0..balancers).map(new_members).collect(),
            agents: specs.iter().map(new_agent).collect(),
            loss_percent: 0,
            longest_removal_ms: vec![0; usize::from(agents)],
            removed_since_ms: vec![vec![None; usize::from(agents)]; usize::from(balancers)],
            highest_versions: vec![
                vec![MemberVersion::default(); usize::from(agents)];
                usize::from(balancers)
            ],
            bytes_sent: 0,
            removals: 0,
            own_side_removals: 0,
            own_side_longest_removal_ms: 0,
            in_flight: BinaryHeap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.advance_step();
        }
    }

    /// Runs the fleet until `is_met` holds for every live balancer; returns the time taken, or
    /// `None` after `max_ms`.
    pub fn run_until(&mut self, max_ms: u64, is_met: impl Fn(&Members) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        while self.now_ms - start_ms < max_ms {
            let live = self.balancers.iter().filter(|it| !it.is_dead);
            if live.into_iter().all(|it| is_met(&it.core)) {
                return Some(self.now_ms - start_ms);
            }
            self.advance_step();
        }
        None
    }

    pub fn advance_step(&mut self) {
        self.now_ms += STEP_MS;
        while self
            .in_flight
            .peek()
            .is_some_and(|it| it.0.0 <= self.now_ms)
        {
            let Some(Reverse((_at, _sequence, from, to, scope, bytes))) = self.in_flight.pop()
            else {
                break;
            };
            self.deliver_datagram(from, to, scope, bytes);
        }
        self.run_balancers();
        self.run_agents();
        self.record_removals();
    }

    fn deliver_datagram(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
        scope: KeyScope,
        bytes: Vec<u8>,
    ) {
        let idx = usize::from(to.port());
        if to.ip().is_loopback() {
            self.balancers[idx].inbox.push((from, scope, bytes));
        } else {
            self.agents[idx].inbox.push((from, scope, bytes));
        }
    }

    fn run_balancers(&mut self) {
        let now = Millis::new(self.now_ms);
        let mut out = Vec::new();
        for idx in 0..self.balancers.len() {
            let it = &mut self.balancers[idx];
            if it.is_dead || it.paused_until_ms > self.now_ms {
                continue;
            }
            for (from, scope, bytes) in std::mem::take(&mut it.inbox) {
                let message = decode(scope, &bytes).unwrap();
                it.core.handle_message(now, from, scope, message, &mut out);
            }
            if self.now_ms.is_multiple_of(TICK_MS) {
                it.core.tick(now, &mut out);
            }
            let address = it.address;
            for output in out.drain(..) {
                self.send(address, output);
            }
        }
    }

    fn run_agents(&mut self) {
        let now = Millis::new(self.now_ms);
        for idx in 0..self.agents.len() {
            let it = &mut self.agents[idx];
            if it.is_dead || it.paused_until_ms > self.now_ms {
                continue;
            }
            let address = it.address;
            for (from, scope, bytes) in std::mem::take(&mut it.inbox) {
                let message = decode(scope, &bytes).unwrap();
                if let Some(output) = self.agents[idx].core.handle_message(now, from, &message) {
                    self.send(address, output);
                }
            }
        }
    }

    pub fn send(&mut self, from: SocketAddr, output: Output) {
        let Output::Send { to, scope, message } = output else {
            return;
        };
        let bytes = encode(&message);
        assert_eq!(bytes.len(), message.encoded_len());
        assert!(
            bytes.len() <= 1_200,
            "a datagram must fit the smallest common path MTU"
        );
        if from.ip().is_loopback() {
            self.bytes_sent += bytes.len() as u64 + OVERHEAD_BYTES;
        }
        if self.partition_side(from) != self.partition_side(to)
            || self.rng.random_range(0..100) < self.loss_percent
        {
            return;
        }
        let at_ms = self.now_ms + self.rng.random_range(1..=20);
        self.sequence += 1;
        self.in_flight
            .push(Reverse((at_ms, self.sequence, from, to, scope, bytes)));
    }

    fn partition_side(&self, address: SocketAddr) -> u8 {
        let idx = usize::from(address.port());
        if address.ip().is_loopback() {
            self.balancers[idx].side
        } else {
            self.agents[idx].side
        }
    }

    /// Asserts that versions never decrease, and records how long agents are considered not alive.
    fn record_removals(&mut self) {
        for (balancer, process) in self.balancers.iter().enumerate() {
            for member in process.core.iter() {
                let MemberId::Agent(endpoint) = member.id else {
                    continue;
                };
                let agent = endpoint.get() as usize;
                let highest_version = &mut self.highest_versions[balancer][agent];
                assert!(
                    member.version >= *highest_version,
                    "the version of a member decreased"
                );
                *highest_version = member.version;
                let removed_since_ms = &mut self.removed_since_ms[balancer][agent];
                if process.paused_until_ms > self.now_ms {
                    // A paused balancer sends no requests, so the time of its pause does not count.
                    *removed_since_ms = removed_since_ms.map(|it| it + STEP_MS);
                    continue;
                }
                if member.condition == Condition::Alive {
                    *removed_since_ms = None;
                    continue;
                }
                let is_own_side = balancer % 2 == agent % 2;
                self.removals += u64::from(removed_since_ms.is_none());
                self.own_side_removals += u64::from(removed_since_ms.is_none() && is_own_side);
                let removal_ms = self.now_ms - *removed_since_ms.get_or_insert(self.now_ms);
                if is_own_side {
                    self.own_side_longest_removal_ms =
                        self.own_side_longest_removal_ms.max(removal_ms);
                }
                self.longest_removal_ms[agent] = self.longest_removal_ms[agent].max(removal_ms);
            }
        }
    }
}

pub fn agent_id(agent: u16) -> MemberId {
    MemberId::Agent(EndpointId::new(u32::from(agent)))
}

pub fn is_alive(members: &Members, id: MemberId) -> bool {
    members
        .find(id)
        .is_some_and(|it| it.condition == Condition::Alive)
}

fn agent_spec(agent: u16) -> AgentSpec {
    AgentSpec {
        endpoint: EndpointId::new(u32::from(agent)),
        service: SERVICE,
        address: SocketAddr::from(([10, 0, 0, 1], agent)),
    }
}

fn balancer_address(balancer: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], balancer))
}
