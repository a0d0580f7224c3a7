//! A simulated network of balancers, agents, endpoints and callers in a single thread. The
//! network's clock advances only when the test says so.

#![allow(dead_code, reason = "each test file uses a part")]

mod endpoint;
mod format;
pub(crate) mod open_flow;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
};

use passthrough::{
    Agent, AgentConfig, Balancer, BalancerConfig, Catalog, Endpoint, EndpointKey, EndpointState,
    Event, Outbox, PacketFormat, RequestProfile, Route, RouteTarget, ServiceKey, ZoneKey,
};
use units::{BasisPoints, Millis, Revision, SettingsVersion, Slots, StoreEra};

pub(crate) use endpoint::UpstreamEndpoint;
pub(crate) use format::{Flags, TestFormat, encode_packet};

/// Network delay of every datagram, in milliseconds.
const DELAY_MS: u64 = 1;

/// The service that most tests use, and the address that callers of the service send to.
pub(crate) const SERVICE: &str = "ledger";
pub(crate) const SERVICE_ADDRESS: SocketAddrV4 =
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// The destination of a datagram in the simulated network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Destination {
    Peer { from: Ipv4Addr, to: Ipv4Addr },
    Endpoint(Ipv4Addr),
    Outbound(Ipv4Addr),
    Caller(Ipv4Addr),
}

/// Records the output of a balancer or an agent.
#[derive(Debug, Default)]
struct RecordingOutbox {
    list: Vec<(Destination, Vec<u8>)>,
    own: Option<Ipv4Addr>,
    events: Vec<Event>,
    probes: u32,
}

impl RecordingOutbox {
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

impl Outbox for RecordingOutbox {
    fn send_to_peer(&mut self, instance: Ipv4Addr, message: &[u8]) {
        let from = self.own();
        self.list
            .push((Destination::Peer { from, to: instance }, message.to_vec()));
    }

    fn send_to_caller(&mut self, caller: Ipv4Addr, packet: &[u8]) {
        self.list
            .push((Destination::Caller(caller), packet.to_vec()));
    }

    fn send_endpoint(&mut self, packet: &[u8]) {
        self.list
            .push((Destination::Endpoint(self.own()), packet.to_vec()));
    }

    fn probe_endpoint(&mut self) {
        self.probes += 1;
    }

    fn report_event(&mut self, event: Event) {
        self.events.push(event);
    }
}

/// The simulated network with all its processes.
#[derive(Default)]
pub(crate) struct SimNetwork {
    pub(crate) now: u64,
    balancers: BTreeMap<Ipv4Addr, Balancer<TestFormat>>,
    agents: BTreeMap<Ipv4Addr, Agent<TestFormat>>,
    pub(crate) endpoints: BTreeMap<Ipv4Addr, UpstreamEndpoint>,
    /// Isolated instances: their messages, their packets to callers and messages to them are
    /// dropped.
    pub(crate) isolated: BTreeSet<Ipv4Addr>,
    in_flight: VecDeque<(u64, Destination, Vec<u8>)>,
    /// Packets that callers received, in order.
    pub(crate) received: Vec<(Ipv4Addr, passthrough::Segment)>,
    /// Events that all balancers and agents reported, in order.
    pub(crate) events: Vec<(Ipv4Addr, Event)>,
    /// Catalog that the simulated store holds.
    pub(crate) catalog: Catalog,
    /// Number of bytes that each instance has sent.
    sent_bytes: BTreeMap<Ipv4Addr, usize>,
    /// Link capacities in Mbit/s of the balancers with a link other than 1,000 Mbit/s.
    pub(crate) links: BTreeMap<u8, u32>,
    /// Number of availability zones over which balancers are spread, if more than one.
    pub(crate) balancer_zones: u8,
    /// State of the generator that loses, repeats and delays messages between instances; zero
    /// delivers all messages in order.
    pub(crate) disorder: u64,
    /// Time for which messages wait at the link of an instance, each way, in milliseconds.
    pub(crate) link_waits: BTreeMap<Ipv4Addr, u64>,
    /// Instances of an earlier release, whose messages name no openings and no positions, and which
    /// drop what that release doesn't know.
    pub(crate) earlier_release: BTreeSet<Ipv4Addr>,
    /// Whether every message between instances arrives twice.
    pub(crate) repeats_messages: bool,
}

impl SimNetwork {
    /// Creates a network with `endpoints` endpoints of one service, each with an agent, and
    /// `balancers` balancers that have read the store, and lets the network settle.
    pub(crate) fn new(balancers: u8, endpoints: u8) -> Self {
        let mut network = Self {
            now: 100_000,
            ..Self::default()
        };
        network.catalog = Catalog {
            revision: Revision::new(10),
            settings_version: SettingsVersion::new(1),
            settings_changed_at: Revision::new(10),
            idle_timeout_ms: Millis::new(15_000),
            routes: vec![route_to_service(SERVICE_ADDRESS, SERVICE)],
            cold_starts: Vec::new(),
            evacuated_zones: Vec::new(),
            endpoints: Vec::new(),
        };
        for number in 0..endpoints {
            network.add_endpoint(number, SERVICE);
        }
        for number in 0..balancers {
            network.start_balancer(number);
        }
        network.advance_ms(2_100);
        network
    }

    /// Creates a network of one balancer and two endpoints that has just started.
    pub(crate) fn with_one_balancer() -> Self {
        let mut network = Self {
            now: 100_000,
            ..Self::default()
        };
        network.catalog.revision = Revision::new(10);
        network.catalog.settings_version = SettingsVersion::new(1);
        network
            .catalog
            .routes
            .push(route_to_service(SERVICE_ADDRESS, SERVICE));
        for number in 0..2 {
            network.add_endpoint(number, SERVICE);
        }
        network.start_balancer(0);
        network
    }

    /// Injects a datagram between two instances.
    pub(crate) fn inject_datagram(&mut self, from: Ipv4Addr, to: Ipv4Addr, bytes: &[u8]) {
        let destination = Destination::Peer { from, to };
        self.in_flight
            .push_front((self.now, destination, bytes.to_vec()));
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
            cold_left_ms: Millis::new(0),
            registered_at: self.catalog.revision,
            retired_at: None,
        });
        self.catalog.sort_entries();
    }

    /// Starts an agent, replacing the previous agent with the same number.
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

    /// Starts a balancer, replacing the previous balancer with the same number, and lets it read
    /// the catalog from the store.
    pub(crate) fn start_balancer(&mut self, number: u8) {
        self.start_balancer_without_store(number);
        self.deliver_catalog(number);
    }

    /// Starts a balancer that has not read the catalog from the store.
    pub(crate) fn start_balancer_without_store(&mut self, number: u8) {
        let config = BalancerConfig {
            address: balancer_ip(number),
            zone: self.balancer_zone(number),
            link_mbps: self.links.get(&number).copied().unwrap_or(1_000),
            seeds: vec![balancer_ip(0)],
        };
        let balancer = Balancer::new(config, Millis::new(self.now));
        self.balancers.insert(balancer_ip(number), balancer);
    }

    /// Changes the share of extra openings that a balancer may spend.
    pub(crate) fn set_extra_openings(&mut self, number: u8, share: BasisPoints) {
        self.with_balancer(balancer_ip(number), |balancer, _, _| {
            balancer.set_extra_openings(share);
        });
    }

    /// Returns the availability zone of a balancer.
    pub(crate) fn balancer_zone(&self, number: u8) -> ZoneKey {
        let zone = number % self.balancer_zones.max(1);
        ZoneKey::from_name(["a", "b", "c", "d", "e"][usize::from(zone)])
    }

    /// Passes the store's catalog to a balancer, as if the balancer had read the store.
    pub(crate) fn deliver_catalog(&mut self, number: u8) {
        let ip = balancer_ip(number);
        let catalog = self.catalog.clone();
        self.with_balancer(ip, |balancer, now, out| {
            balancer.on_store_read(now, Some(catalog), out);
        });
    }

    /// Changes the store's catalog and lets the given balancers read the change.
    pub(crate) fn update_catalog(&mut self, readers: &[u8], change: impl FnOnce(&mut Catalog)) {
        change(&mut self.catalog);
        self.catalog.revision = Revision::new(self.catalog.revision.get() + 1);
        self.catalog.sort_entries();
        for reader in readers {
            self.deliver_catalog(*reader);
        }
    }

    /// Brings the store back from an older copy of its list, in its next era. Revisions after the
    /// copy's are given out again.
    pub(crate) fn restore_store(&mut self, copy: &Catalog) {
        let era = StoreEra::new(self.catalog.revision.era().get() + 1);
        let in_era = |it: Revision| Revision::in_era(era, it.number()).expect("a low number");
        self.catalog = copy.clone();
        self.catalog.revision = in_era(copy.revision);
        self.catalog.settings_changed_at = in_era(copy.settings_changed_at);
        for endpoint in &mut self.catalog.endpoints {
            endpoint.registered_at = in_era(endpoint.registered_at);
        }
    }

    /// Tells a balancer the era of a response of the store; returns whether the response counts.
    pub(crate) fn observe_era(&mut self, number: u8, era: u16) -> bool {
        let balancer = self.balancers.get_mut(&balancer_ip(number));
        balancer
            .expect("the balancer runs")
            .observe_era(StoreEra::new(era))
    }

    pub(crate) fn balancer(&self, number: u8) -> &Balancer<TestFormat> {
        &self.balancers[&balancer_ip(number)]
    }

    pub(crate) fn has_balancer(&self, number: u8) -> bool {
        self.balancers.contains_key(&balancer_ip(number))
    }

    /// Lets the store confirm to a balancer that the catalog did not change.
    pub(crate) fn confirm_unchanged_catalog(&mut self, number: u8) {
        self.with_balancer(balancer_ip(number), |balancer, now, out| {
            balancer.on_store_read(now, None, out);
        });
    }

    /// Returns the catalog revision that a balancer wants the store to confirm, with the time of
    /// the balancer's request.
    pub(crate) fn take_confirmation_request(&mut self, number: u8) -> Option<(Millis, Revision)> {
        let now = Millis::new(self.now);
        let balancer = self.balancers.get_mut(&balancer_ip(number))?;
        balancer.take_confirmation_request(now).map(|it| (now, it))
    }

    /// Lets the store confirm to a balancer the catalog revision of the balancer's earlier request.
    pub(crate) fn confirm_revision(
        &mut self,
        number: u8,
        (asked_at, revision): (Millis, Revision),
    ) {
        self.with_balancer(balancer_ip(number), |balancer, now, out| {
            balancer.on_store_confirmation(now, asked_at, revision, out);
        });
    }

    /// Tells a balancer that its process stood still until now.
    pub(crate) fn wake_balancer(&mut self, number: u8, stalled_ms: u64) {
        self.with_balancer(balancer_ip(number), |balancer, now, out| {
            balancer.on_stall(now, Millis::new(stalled_ms), out);
        });
    }

    /// Tells an agent that its process stood still until now.
    pub(crate) fn wake_agent(&mut self, number: u8) {
        self.with_agent(agent_ip(number), |agent, _, _| agent.on_stall());
    }

    /// Removes a balancer from the network, so that neither messages nor timers reach it, until it is
    /// put back.
    pub(crate) fn freeze_balancer(&mut self, number: u8) -> Balancer<TestFormat> {
        self.balancers
            .remove(&balancer_ip(number))
            .expect("the balancer runs")
    }

    pub(crate) fn unfreeze_balancer(&mut self, number: u8, balancer: Balancer<TestFormat>) {
        self.balancers.insert(balancer_ip(number), balancer);
    }

    /// Asks a balancer to shut down; the balancer still forwards packets.
    pub(crate) fn shut_down_balancer(&mut self, number: u8) {
        self.with_balancer(balancer_ip(number), |balancer, now, out| {
            balancer.begin_shutdown(now, out);
        });
    }

    pub(crate) fn agent(&self, number: u8) -> &Agent<TestFormat> {
        &self.agents[&agent_ip(number)]
    }

    /// Passes the result of a connection probe of an agent's endpoint to the agent.
    pub(crate) fn report_probe_result(&mut self, number: u8, refused: bool) {
        let ip = agent_ip(number);
        self.with_agent(ip, |agent, now, out| {
            agent.on_endpoint_probed(now, refused, out);
        });
    }

    /// Sends a caller's packet to a balancer.
    pub(crate) fn send_caller_packet(&mut self, balancer: u8, bytes: &[u8]) {
        let mut bytes = bytes.to_vec();
        self.with_balancer(balancer_ip(balancer), |balancer, now, out| {
            balancer.on_caller_packet(now, &mut bytes, out);
        });
    }

    /// Opens a flow through a balancer and sends a request on the flow. Returns the endpoint's
    /// sequence number, which further requests need.
    pub(crate) fn open_flow_with_sequence(
        &mut self,
        balancer: u8,
        caller: SocketAddrV4,
    ) -> Option<u32> {
        let before = self.received.len();
        self.send_caller_packet(
            balancer,
            &encode_packet(caller, SERVICE_ADDRESS, Flags::SYN, 1, 0, 0),
        );
        self.advance_ms(300);
        let accepted = self.received[before..]
            .iter()
            .find(|it| it.1.syn && it.1.ack && it.1.destination == caller)?;
        let sequence = accepted.1.sequence;
        self.send_request(balancer, caller, sequence, 1);
        Some(sequence)
    }

    /// Sends a request of 10 bytes on an open flow; `number` distinguishes the flow's requests.
    pub(crate) fn send_request(
        &mut self,
        balancer: u8,
        caller: SocketAddrV4,
        sequence: u32,
        number: u32,
    ) {
        let bytes = encode_packet(
            caller,
            SERVICE_ADDRESS,
            Flags::ACK,
            1 + number * 10,
            sequence + 1,
            10,
        );
        self.send_caller_packet(balancer, &bytes);
    }

    /// Advances the clock, with callers that send a request on each flow that an endpoint accepts.
    pub(crate) fn advance_with_requests(&mut self, ms: u64) {
        for _ in 0..ms {
            let seen = self.received.len();
            self.advance_ms(1);
            self.send_requests_on_accepted_flows(seen);
        }
    }

    fn send_requests_on_accepted_flows(&mut self, seen: usize) {
        let accepted: Vec<_> = self.received[seen..]
            .iter()
            .filter(|it| it.1.syn)
            .map(|it| (it.1.destination, it.1.sequence))
            .collect();
        for (caller, sequence) in accepted {
            self.send_request(0, caller, sequence, 1);
        }
    }

    /// Returns how many answers to requests a caller received.
    pub(crate) fn answer_count(&self, caller: SocketAddrV4) -> usize {
        let is_answer = |it: &&(Ipv4Addr, passthrough::Segment)| {
            it.1.destination == caller && it.1.data_bytes > 0
        };
        self.received.iter().filter(is_answer).count()
    }

    /// Returns how many resets of flows a caller received.
    pub(crate) fn reset_count(&self, caller: SocketAddrV4) -> usize {
        let is_reset =
            |it: &&(Ipv4Addr, passthrough::Segment)| it.1.destination == caller && it.1.rst;
        self.received.iter().filter(is_reset).count()
    }

    /// Returns the address of the endpoint that holds a caller's flow.
    pub(crate) fn holder_address(&self, caller: SocketAddrV4) -> Option<Ipv4Addr> {
        let holds = |it: &(&Ipv4Addr, &UpstreamEndpoint)| it.1.holds_open_flow(caller);
        self.endpoints.iter().find(holds).map(|it| *it.0)
    }

    /// Returns how many bytes an instance has sent.
    pub(crate) fn sent_bytes(&self, instance: Ipv4Addr) -> usize {
        self.sent_bytes.get(&instance).copied().unwrap_or(0)
    }

    /// Advances the network's clock by `ms` milliseconds, delivering datagrams and running timers.
    pub(crate) fn advance_ms(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            self.deliver_due_datagrams();
            for ip in self.balancers.keys().copied().collect::<Vec<_>>() {
                self.with_balancer(ip, |balancer, now, out| {
                    if now >= balancer.next_deadline() {
                        balancer.on_timer(now, out);
                    }
                });
            }
            for ip in self.agents.keys().copied().collect::<Vec<_>>() {
                self.with_agent(ip, |agent, now, out| {
                    if now >= agent.next_deadline() {
                        agent.on_timer(now, out);
                    }
                });
            }
        }
    }

    fn deliver_due_datagrams(&mut self) {
        while self.in_flight.front().is_some_and(|it| it.0 <= self.now) {
            let Some((_, destination, mut bytes)) = self.in_flight.pop_front() else {
                return;
            };
            match destination {
                Destination::Peer { from, to } => {
                    self.with_balancer(to, |it, now, out| {
                        it.on_datagram(now, from, &mut bytes, out);
                    });
                    self.with_agent(to, |it, now, out| {
                        it.on_datagram(now, from, &mut bytes, out);
                    });
                }
                Destination::Endpoint(ip) => self.deliver_to_endpoint(ip, &bytes),
                Destination::Outbound(ip) => {
                    self.with_agent(ip, |it, now, out| {
                        it.on_endpoint_packet(now, &mut bytes, out);
                    });
                }
                Destination::Caller(ip) => {
                    let segment = TestFormat::decode_segment(&bytes)
                        .expect("callers receive only valid packets");
                    self.received.push((ip, segment));
                }
            }
        }
    }

    fn deliver_to_endpoint(&mut self, ip: Ipv4Addr, bytes: &[u8]) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(&ip) else {
            return;
        };
        endpoint.now = now;
        for (delay, answer) in endpoint.on_packet(ip, bytes) {
            let at = now + DELAY_MS + delay;
            let destination = Destination::Outbound(ip);
            let idx = self.in_flight.partition_point(|it| it.0 <= at);
            self.in_flight.insert(idx, (at, destination, answer));
        }
    }

    fn with_balancer(
        &mut self,
        ip: Ipv4Addr,
        act: impl FnOnce(&mut Balancer<TestFormat>, Millis, &mut RecordingOutbox),
    ) {
        let Some(balancer) = self.balancers.get_mut(&ip) else {
            return;
        };
        let mut sent = RecordingOutbox::new(ip);
        act(balancer, Millis::new(self.now), &mut sent);
        self.enqueue_output(ip, sent);
    }

    fn with_agent(
        &mut self,
        ip: Ipv4Addr,
        act: impl FnOnce(&mut Agent<TestFormat>, Millis, &mut RecordingOutbox),
    ) {
        let Some(agent) = self.agents.get_mut(&ip) else {
            return;
        };
        let mut sent = RecordingOutbox::new(ip);
        act(agent, Millis::new(self.now), &mut sent);
        self.enqueue_output(ip, sent);
    }

    fn enqueue_output(&mut self, ip: Ipv4Addr, sent: RecordingOutbox) {
        self.events
            .extend(sent.events.into_iter().map(|it| (ip, it)));
        for (destination, mut bytes) in sent.list {
            if let Destination::Peer { to, .. } = destination {
                if self.earlier_release.contains(&ip) {
                    cut_to_earlier_release(&mut bytes);
                }
                if self.earlier_release.contains(&to) && is_unknown_to_earlier_release(&bytes) {
                    continue;
                }
            }
            let at = self.now + DELAY_MS + self.link_wait(destination);
            *self.sent_bytes.entry(ip).or_default() += bytes.len();
            let is_isolated = match destination {
                Destination::Peer { from, to } => {
                    self.isolated.contains(&from) || self.isolated.contains(&to)
                }
                Destination::Caller(_) => self.isolated.contains(&ip),
                Destination::Endpoint(_) | Destination::Outbound(_) => false,
            };
            if is_isolated {
                continue;
            }
            let is_message = matches!(destination, Destination::Peer { .. });
            if is_message && self.repeats_messages {
                self.schedule(at, destination, bytes.clone());
            }
            if self.disorder == 0 || !is_message {
                self.schedule(at, destination, bytes);
                continue;
            }
            // One message in ten is lost, and one in ten arrives twice.
            let copies = match self.next_random() % 10 {
                0 => 0,
                1 => 2,
                _ => 1,
            };
            for _ in 0..copies {
                let delay = self.next_random() % 40;
                self.schedule(at + delay, destination, bytes.clone());
            }
        }
    }

    fn link_wait(&self, destination: Destination) -> u64 {
        let Destination::Peer { from, to } = destination else {
            return 0;
        };
        let wait = |it| self.link_waits.get(it).copied().unwrap_or(0);
        wait(&from) + wait(&to)
    }

    fn schedule(&mut self, at: u64, destination: Destination, bytes: Vec<u8>) {
        let idx = self.in_flight.partition_point(|it| it.0 <= at);
        self.in_flight.insert(idx, (at, destination, bytes));
    }

    fn next_random(&mut self) -> u64 {
        // Xorshift, whose state is never zero.
        self.disorder ^= self.disorder << 13;
        self.disorder ^= self.disorder >> 7;
        self.disorder ^= self.disorder << 17;
        self.disorder
    }
}

/// Index of the kind in a message, and of the class in a forwarded packet's header.
const KIND_AT: usize = 3;
const CLASS_AT: usize = 16;

/// Removes from a message what an earlier release doesn't send.
fn cut_to_earlier_release(bytes: &mut Vec<u8>) {
    match bytes[KIND_AT] {
        3 => bytes.truncate(26),
        11 => bytes.truncate(16),
        14 => bytes.truncate(18),
        _ => {}
    }
}

/// Returns whether a message is a forwarded packet of a class that an earlier release doesn't know.
fn is_unknown_to_earlier_release(bytes: &[u8]) -> bool {
    bytes[KIND_AT] == 1 && bytes[CLASS_AT] > 2
}

pub(crate) fn route_to_service(address: SocketAddrV4, service: &str) -> Route {
    let service = ServiceKey::from_name(service);
    Route {
        address,
        targets: vec![RouteTarget { service, weight: 1 }],
        requests: RequestProfile::default(),
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
