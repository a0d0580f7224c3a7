//! A simulated network: balancers, agents, endpoints and callers in one thread, with a clock that
//! only the test moves.

#![allow(dead_code, reason = "each test file uses a part")]

mod endpoint;
mod format;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
};

use passthrough::{
    Agent, AgentConfig, Balancer, BalancerConfig, Catalog, Endpoint, EndpointKey, EndpointState,
    Event, Outbox, PacketFormat, Route, RouteTarget, ServiceKey, ZoneKey,
};
use units::{Millis, Revision, SettingsVersion, Slots};

pub(crate) use endpoint::UpstreamEndpoint;
pub(crate) use format::{Flags, TestFormat, packet};

/// Time that a datagram is under way.
const DELAY_MS: u64 = 1;

/// The service that most tests use, and its address.
pub(crate) const SERVICE: &str = "ledger";
pub(crate) const SERVICE_ADDRESS: SocketAddrV4 =
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Where a datagram is going.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    Peer { from: Ipv4Addr, to: Ipv4Addr },
    Endpoint(Ipv4Addr),
    Outbound(Ipv4Addr),
    Caller(Ipv4Addr),
}

/// What a decision sent.
#[derive(Debug, Default)]
struct Sent {
    list: Vec<(Place, Vec<u8>)>,
    own: Option<Ipv4Addr>,
    events: Vec<Event>,
    checks: u32,
}

impl Sent {
    fn new(own: Ipv4Addr) -> Self {
        Self {
            own: Some(own),
            ..Self::default()
        }
    }

    fn own(&self) -> Ipv4Addr {
        self.own.expect("set by new")
    }
}

impl Outbox for Sent {
    fn send_peer(&mut self, instance: Ipv4Addr, message: &[u8]) {
        let from = self.own();
        self.list
            .push((Place::Peer { from, to: instance }, message.to_vec()));
    }

    fn send_caller(&mut self, caller: Ipv4Addr, packet: &[u8]) {
        self.list.push((Place::Caller(caller), packet.to_vec()));
    }

    fn send_endpoint(&mut self, packet: &[u8]) {
        self.list
            .push((Place::Endpoint(self.own()), packet.to_vec()));
    }

    fn probe_endpoint(&mut self) {
        self.checks += 1;
    }

    fn event(&mut self, event: Event) {
        self.events.push(event);
    }
}

/// The network and all that is on it.
#[derive(Default)]
pub(crate) struct World {
    pub(crate) now: u64,
    balancers: BTreeMap<Ipv4Addr, Balancer<TestFormat>>,
    agents: BTreeMap<Ipv4Addr, Agent<TestFormat>>,
    pub(crate) endpoints: BTreeMap<Ipv4Addr, UpstreamEndpoint>,
    /// Instances that neither send nor receive.
    pub(crate) cut: BTreeSet<Ipv4Addr>,
    under_way: VecDeque<(u64, Place, Vec<u8>)>,
    /// Packets that callers received, in order.
    pub(crate) received: Vec<(Ipv4Addr, passthrough::Segment)>,
    /// Events of all processes, in order.
    pub(crate) events: Vec<(Ipv4Addr, Event)>,
    /// What the store holds.
    pub(crate) catalog: Catalog,
    /// Bytes that each instance sent to others.
    sent_bytes: BTreeMap<Ipv4Addr, usize>,
    /// Links of balancers that differ from the usual 1,000 Mbit/s.
    pub(crate) links: BTreeMap<u8, u32>,
}

impl World {
    /// Makes a network with `endpoints` endpoints of one service, each with an agent, and
    /// `balancers` balancers that know all of them.
    pub(crate) fn new(balancers: u8, endpoints: u8) -> Self {
        let mut world = Self {
            now: 100_000,
            ..Self::default()
        };
        world.catalog = Catalog {
            revision: Revision::new(10),
            settings_version: SettingsVersion::new(1),
            idle_timeout_ms: Millis::new(15_000),
            routes: vec![route(SERVICE_ADDRESS, SERVICE)],
            endpoints: Vec::new(),
        };
        for number in 0..endpoints {
            world.add_endpoint(number, SERVICE);
        }
        for number in 0..balancers {
            world.start_balancer(number);
        }
        world.run(2_100);
        world
    }

    /// Makes a network of one balancer and two endpoints that has just started.
    pub(crate) fn small() -> Self {
        let mut world = Self {
            now: 100_000,
            ..Self::default()
        };
        world.catalog.revision = Revision::new(10);
        world.catalog.settings_version = SettingsVersion::new(1);
        world.catalog.routes.push(route(SERVICE_ADDRESS, SERVICE));
        for number in 0..2 {
            world.add_endpoint(number, SERVICE);
        }
        world.start_balancer(0);
        world
    }

    /// Puts a datagram between two instances on the network.
    pub(crate) fn inject(&mut self, from: Ipv4Addr, to: Ipv4Addr, bytes: &[u8]) {
        let place = Place::Peer { from, to };
        self.under_way.push_front((self.now, place, bytes.to_vec()));
    }

    /// Adds an endpoint with its agent to the network and to the store.
    pub(crate) fn add_endpoint(&mut self, number: u8, service: &str) {
        let ip = agent_ip(number);
        self.endpoints.insert(ip, UpstreamEndpoint::new(self.now));
        self.start_agent(number, service);
        self.catalog.endpoints.push(Endpoint {
            key: EndpointKey::from_name(&format!("{service}-{number}")),
            service: ServiceKey::from_name(service),
            address: SocketAddrV4::new(ip, 9_000),
            zone: ZoneKey::from_name(if number.is_multiple_of(2) { "a" } else { "b" }),
            slots: Slots::new(2),
            state: EndpointState::Ready,
            born_ms: 1,
            retired_at: None,
        });
        self.catalog.sort();
    }

    /// Starts an agent, in place of the one that ran.
    pub(crate) fn start_agent(&mut self, number: u8, service: &str) {
        let address = agent_ip(number);
        let config = AgentConfig {
            service: ServiceKey::from_name(service),
            address,
        };
        self.agents.insert(address, Agent::new(config));
    }

    pub(crate) fn kill_agent(&mut self, number: u8) {
        self.agents.remove(&agent_ip(number));
    }

    /// Starts a balancer, in place of the one that ran, and lets it read the store.
    pub(crate) fn start_balancer(&mut self, number: u8) {
        self.start_blind_balancer(number);
        self.publish_to(number);
    }

    /// Starts a balancer that can't read the store.
    pub(crate) fn start_blind_balancer(&mut self, number: u8) {
        let config = BalancerConfig {
            address: balancer_ip(number),
            zone: ZoneKey::from_name("a"),
            link_mbps: self.links.get(&number).copied().unwrap_or(1_000),
            seeds: vec![balancer_ip(0)],
        };
        let balancer = Balancer::new(config, Millis::new(self.now));
        self.balancers.insert(balancer_ip(number), balancer);
    }

    /// Lets a balancer read what the store holds.
    pub(crate) fn publish_to(&mut self, number: u8) {
        let ip = balancer_ip(number);
        let catalog = self.catalog.clone();
        self.at_balancer(ip, |balancer, now, out| {
            balancer.on_store_read(now, Some(catalog), out);
        });
    }

    /// Changes what the store holds and lets the given balancers read it.
    pub(crate) fn change(&mut self, readers: &[u8], change: impl FnOnce(&mut Catalog)) {
        change(&mut self.catalog);
        self.catalog.revision = Revision::new(self.catalog.revision.get() + 1);
        self.catalog.sort();
        for reader in readers {
            self.publish_to(*reader);
        }
    }

    pub(crate) fn balancer(&self, number: u8) -> &Balancer<TestFormat> {
        &self.balancers[&balancer_ip(number)]
    }

    pub(crate) fn has_balancer(&self, number: u8) -> bool {
        self.balancers.contains_key(&balancer_ip(number))
    }

    /// Lets the store confirm to a balancer that nothing changed.
    pub(crate) fn confirm(&mut self, number: u8) {
        self.at_balancer(balancer_ip(number), |balancer, now, out| {
            balancer.on_store_read(now, None, out);
        });
    }

    /// Returns what a balancer wants the store to confirm, and when it asked.
    pub(crate) fn take_confirmation_request(&mut self, number: u8) -> Option<(Millis, Revision)> {
        let now = Millis::new(self.now);
        let balancer = self.balancers.get_mut(&balancer_ip(number))?;
        balancer.take_confirmation_request(now).map(|it| (now, it))
    }

    /// Lets the store confirm to a balancer what it asked.
    pub(crate) fn confirmed(&mut self, number: u8, (asked_at, revision): (Millis, Revision)) {
        self.at_balancer(balancer_ip(number), |balancer, now, out| {
            balancer.on_store_confirmation(now, asked_at, revision, out);
        });
    }

    /// Asks a balancer to stop; it still forwards.
    pub(crate) fn stop_balancer(&mut self, number: u8) {
        self.at_balancer(balancer_ip(number), |balancer, now, out| {
            balancer.begin_shutdown(now, out);
        });
    }

    pub(crate) fn agent(&self, number: u8) -> &Agent<TestFormat> {
        &self.agents[&agent_ip(number)]
    }

    /// Gives an agent the result of a check of its endpoint.
    pub(crate) fn checked(&mut self, number: u8, refused: bool) {
        let ip = agent_ip(number);
        self.at_agent(ip, |agent, now, out| {
            agent.on_endpoint_probed(now, refused, out);
        });
    }

    /// Sends a caller's packet to a balancer.
    pub(crate) fn send(&mut self, balancer: u8, bytes: &[u8]) {
        let mut bytes = bytes.to_vec();
        self.at_balancer(balancer_ip(balancer), |balancer, now, out| {
            balancer.on_caller_packet(now, &mut bytes, out);
        });
    }

    /// Opens a flow; returns the endpoint's sequence number, with which the caller goes on.
    pub(crate) fn open(&mut self, balancer: u8, caller: SocketAddrV4) -> Option<u32> {
        let before = self.received.len();
        self.send(
            balancer,
            &packet(caller, SERVICE_ADDRESS, Flags::SYN, 1, 0, 0),
        );
        self.run(300);
        let accepted = self.received[before..]
            .iter()
            .find(|it| it.1.syn && it.1.ack && it.1.destination == caller)?;
        let sequence = accepted.1.sequence;
        self.request(balancer, caller, sequence, 1);
        Some(sequence)
    }

    /// Sends a request of 10 bytes on an open flow, `number` telling requests apart.
    pub(crate) fn request(
        &mut self,
        balancer: u8,
        caller: SocketAddrV4,
        sequence: u32,
        number: u32,
    ) {
        let bytes = packet(
            caller,
            SERVICE_ADDRESS,
            Flags::ACK,
            1 + number * 10,
            sequence + 1,
            10,
        );
        self.send(balancer, &bytes);
    }

    /// Returns how many answers a caller received.
    pub(crate) fn answers(&self, caller: SocketAddrV4) -> usize {
        let is_answer = |it: &&(Ipv4Addr, passthrough::Segment)| {
            it.1.destination == caller && it.1.data_bytes > 0
        };
        self.received.iter().filter(is_answer).count()
    }

    /// Returns how many resets a caller received.
    pub(crate) fn resets(&self, caller: SocketAddrV4) -> usize {
        let is_reset =
            |it: &&(Ipv4Addr, passthrough::Segment)| it.1.destination == caller && it.1.rst;
        self.received.iter().filter(is_reset).count()
    }

    /// Returns the endpoint that holds a flow.
    pub(crate) fn holder(&self, caller: SocketAddrV4) -> Option<Ipv4Addr> {
        let holds = |it: &(&Ipv4Addr, &UpstreamEndpoint)| it.1.holds(caller);
        self.endpoints.iter().find(holds).map(|it| *it.0)
    }

    /// Returns the bytes that an instance sent so far.
    pub(crate) fn sent_bytes(&self, instance: Ipv4Addr) -> usize {
        self.sent_bytes.get(&instance).copied().unwrap_or(0)
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            self.deliver_due();
            for ip in self.balancers.keys().copied().collect::<Vec<_>>() {
                self.at_balancer(ip, |balancer, now, out| {
                    if now >= balancer.next_deadline() {
                        balancer.on_timer(now, out);
                    }
                });
            }
            for ip in self.agents.keys().copied().collect::<Vec<_>>() {
                self.at_agent(ip, |agent, now, out| {
                    if now >= agent.next_deadline() {
                        agent.on_timer(now, out);
                    }
                });
            }
        }
    }

    fn deliver_due(&mut self) {
        while self.under_way.front().is_some_and(|it| it.0 <= self.now) {
            let Some((_, place, mut bytes)) = self.under_way.pop_front() else {
                return;
            };
            match place {
                Place::Peer { from, to } => {
                    self.at_balancer(to, |it, now, out| {
                        it.on_datagram(now, from, &mut bytes, out);
                    });
                    self.at_agent(to, |it, now, out| {
                        it.on_datagram(now, from, &mut bytes, out);
                    });
                }
                Place::Endpoint(ip) => self.at_endpoint(ip, &bytes),
                Place::Outbound(ip) => {
                    self.at_agent(ip, |it, now, out| {
                        it.on_endpoint_packet(now, &mut bytes, out);
                    });
                }
                Place::Caller(ip) => {
                    let segment = TestFormat::decode(&bytes).expect("callers get packets only");
                    self.received.push((ip, segment));
                }
            }
        }
    }

    fn at_endpoint(&mut self, ip: Ipv4Addr, bytes: &[u8]) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(&ip) else {
            return;
        };
        for (delay, answer) in endpoint.on_packet(ip, bytes) {
            let at = now + DELAY_MS + delay;
            let place = Place::Outbound(ip);
            let idx = self.under_way.partition_point(|it| it.0 <= at);
            self.under_way.insert(idx, (at, place, answer));
        }
    }

    fn at_balancer(
        &mut self,
        ip: Ipv4Addr,
        act: impl FnOnce(&mut Balancer<TestFormat>, Millis, &mut Sent),
    ) {
        let Some(balancer) = self.balancers.get_mut(&ip) else {
            return;
        };
        let mut sent = Sent::new(ip);
        act(balancer, Millis::new(self.now), &mut sent);
        self.take(ip, sent);
    }

    fn at_agent(
        &mut self,
        ip: Ipv4Addr,
        act: impl FnOnce(&mut Agent<TestFormat>, Millis, &mut Sent),
    ) {
        let Some(agent) = self.agents.get_mut(&ip) else {
            return;
        };
        let mut sent = Sent::new(ip);
        act(agent, Millis::new(self.now), &mut sent);
        self.take(ip, sent);
    }

    fn take(&mut self, ip: Ipv4Addr, sent: Sent) {
        self.events
            .extend(sent.events.into_iter().map(|it| (ip, it)));
        let at = self.now + DELAY_MS;
        for (place, bytes) in sent.list {
            *self.sent_bytes.entry(ip).or_default() += bytes.len();
            let is_cut = match place {
                Place::Peer { from, to } => self.cut.contains(&from) || self.cut.contains(&to),
                Place::Caller(_) => self.cut.contains(&ip),
                Place::Endpoint(_) | Place::Outbound(_) => false,
            };
            if !is_cut {
                let idx = self.under_way.partition_point(|it| it.0 <= at);
                self.under_way.insert(idx, (at, place, bytes));
            }
        }
    }
}

pub(crate) fn route(address: SocketAddrV4, service: &str) -> Route {
    let service = ServiceKey::from_name(service);
    Route {
        address,
        targets: vec![RouteTarget { service, weight: 1 }],
    }
}

pub(crate) const fn agent_ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, number)
}

pub(crate) const fn balancer_ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

pub(crate) const fn caller(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_000 + number)
}
