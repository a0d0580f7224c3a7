//! Questions of starting balancers for the endpoints that left the store's list, and their answers.

mod support;

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use passthrough::{
    Balancer, BalancerConfig, Catalog, Endpoint, EndpointKey, EndpointState, Event, Outbox,
    ServiceKey, ZoneKey,
};
use support::TestFormat;
use units::{Millis, Revision, SettingsVersion, Slots};

/// Time at which the first starting balancer starts, long after all others.
const START_MS: u64 = 100_000;

/// Bytes that a starting balancer may receive and send until it is told: two lists of 1,024 retired
/// endpoints of at most 64 bytes, and 16 questions with answers of at most 1,472 bytes each.
const RECEIVED_MAX_BYTES: usize = 2 * 1_024 * 64 + 2 * 16 * 1_472;

/// Bytes that it may send: 16 questions and a round of eight digests.
const SENT_MAX_BYTES: usize = (16 + 8) * 1_472;

/// Link capacity of all balancers, and the bytes of a millisecond that lists may take: one eighth.
const LINK_MBPS: u32 = 20;
const SHARE_BYTES_PER_MS: usize = 20 * 125 / 8;

/// Bytes that may be sent at once, and those of digests beside the lists.
const BURST_BYTES: usize = 12_000;

fn address(number: usize) -> Ipv4Addr {
    let [.., high, low] = number.to_be_bytes();
    Ipv4Addr::new(10, 2, high, low)
}

fn endpoint(number: u32) -> Endpoint {
    let [.., high, low] = number.to_be_bytes();
    Endpoint {
        key: EndpointKey::from_name(&format!("endpoint-{number}")),
        service: ServiceKey::from_name("ledger"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, high, low), 9_000),
        zone: ZoneKey::from_name("a"),
        slots: Slots::new(2),
        state: EndpointState::Ready,
        cold_left_ms: Millis::new(0),
        born_ms: 1_700_000_000_000,
        registered_at: Revision::new(10),
        retired_at: None,
    }
}

fn catalog(revision: u64, endpoints: u32) -> Catalog {
    let mut catalog = Catalog {
        revision: Revision::new(revision),
        settings_version: SettingsVersion::new(1),
        settings_changed_at: Revision::new(1),
        endpoints: (0..endpoints).map(endpoint).collect(),
        ..Catalog::default()
    };
    catalog.sort_entries();
    catalog
}

#[derive(Default)]
struct Sent(Vec<(Ipv4Addr, Vec<u8>)>);

impl Outbox for Sent {
    fn send_to_peer(&mut self, instance: Ipv4Addr, message: &[u8]) {
        self.0.push((instance, message.to_vec()));
    }

    fn send_to_caller(&mut self, _caller: Ipv4Addr, _packet: &[u8]) {}

    fn send_endpoint(&mut self, _packet: &[u8]) {}

    fn probe_endpoint(&mut self) {}

    fn report_event(&mut self, _event: Event) {}
}

/// Balancers without agents, of which the last ones start.
struct Fleet {
    now: u64,
    balancers: BTreeMap<Ipv4Addr, Balancer<TestFormat>>,
    in_flight: Vec<(Ipv4Addr, Ipv4Addr, Vec<u8>)>,
    /// Bytes that each balancer has sent and received.
    sent: BTreeMap<Ipv4Addr, usize>,
    received: BTreeMap<Ipv4Addr, usize>,
}

impl Fleet {
    /// Starts `established` balancers, of whose endpoints `retired` leave the store's list shortly
    /// before others start.
    fn new(established: usize, retired: u32) -> Self {
        let mut fleet = Self {
            now: START_MS,
            balancers: BTreeMap::new(),
            in_flight: Vec::new(),
            sent: BTreeMap::new(),
            received: BTreeMap::new(),
        };
        for number in 0..established {
            let started = Millis::new(START_MS - 20_000);
            let mut balancer = Balancer::new(config(number, Vec::new()), started);
            let out = &mut Sent::default();
            balancer.on_store_read(started, Some(catalog(10, retired)), out);
            let left = Millis::new(START_MS - 1_000);
            balancer.on_store_read(left, Some(catalog(11, 0)), out);
            balancer.on_timer(left, out);
            fleet.balancers.insert(address(number), balancer);
        }
        fleet
    }

    /// Starts a balancer that knows the addresses of all others.
    fn start_balancer(&mut self, number: usize) {
        let seeds = self.balancers.keys().copied().collect();
        let now = Millis::new(self.now);
        let mut balancer = Balancer::new(config(number, seeds), now);
        let mut out = Sent::default();
        balancer.on_store_read(now, Some(catalog(11, 0)), &mut out);
        self.balancers.insert(address(number), balancer);
        self.send(address(number), out);
    }

    fn advance_ms(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            let now = Millis::new(self.now);
            for (from, to, mut bytes) in std::mem::take(&mut self.in_flight) {
                *self.received.entry(to).or_default() += bytes.len();
                let mut out = Sent::default();
                if let Some(balancer) = self.balancers.get_mut(&to) {
                    balancer.on_datagram(now, from, &mut bytes, &mut out);
                }
                self.send(to, out);
            }
            for address in self.balancers.keys().copied().collect::<Vec<_>>() {
                let mut out = Sent::default();
                let balancer = self.balancers.get_mut(&address).expect("just listed");
                if now >= balancer.next_deadline() {
                    balancer.on_timer(now, &mut out);
                }
                self.send(address, out);
            }
        }
    }

    fn send(&mut self, from: Ipv4Addr, out: Sent) {
        for (to, bytes) in out.0 {
            // Notices to agents aren't counted.
            if !self.balancers.contains_key(&to) {
                continue;
            }
            *self.sent.entry(from).or_default() += bytes.len();
            self.in_flight.push((from, to, bytes));
        }
    }

    fn retired_count(&self, number: usize) -> usize {
        let view = self.balancers[&address(number)].catalog_view();
        view.retired_endpoints().len()
    }
}

fn config(number: usize, seeds: Vec<Ipv4Addr>) -> BalancerConfig {
    BalancerConfig {
        address: address(number),
        zone: ZoneKey::from_name(["a", "b", "c", "d"][number % 4]),
        link_mbps: LINK_MBPS,
        seeds,
    }
}

/// Guards against a starting balancer that asks every other one for its whole list.
#[test]
fn starting_balancer_asks_few_others() {
    for established in [60, 620] {
        let mut fleet = Fleet::new(established, 1_024);
        fleet.start_balancer(established);
        let mut waited_ms = 0;
        while fleet.retired_count(established) < 1_024 && waited_ms < 1_000 {
            fleet.advance_ms(1);
            waited_ms += 1;
        }
        let sent = fleet.sent[&address(established)];
        assert!(
            sent <= SENT_MAX_BYTES,
            "{established} others: {sent} bytes sent within {waited_ms} ms"
        );
        // All that is still under way.
        fleet.advance_ms(300);
        assert_eq!(fleet.retired_count(established), 1_024);
        let bytes = fleet.received[&address(established)];
        assert!(
            bytes <= RECEIVED_MAX_BYTES,
            "{established} others: {bytes} bytes received within {waited_ms} ms"
        );
    }
}

/// Guards against several starting balancers that take an established one's link.
#[test]
fn answers_to_many_starting_balancers_are_paced() {
    let mut fleet = Fleet::new(1, 1_024);
    for number in 1..=12 {
        fleet.start_balancer(number);
    }
    for ms in 1..=1_200 {
        fleet.advance_ms(1);
        let sent = fleet.sent.get(&address(0)).copied().unwrap_or(0);
        // Digests to each of them, beside the lists.
        let digests = 12 * (1 + ms / 500) * 3 * 500;
        let share = BURST_BYTES + ms * SHARE_BYTES_PER_MS + digests;
        assert!(sent <= share, "{sent} bytes after {ms} ms, not {share}");
    }
}

/// Guards against a balancer that drops what it is told past its limit without a count.
#[test]
fn endpoints_past_the_limit_are_counted() {
    let mut fleet = Fleet::new(2, 1_100);
    fleet.start_balancer(2);
    fleet.advance_ms(1_000);
    assert_eq!(fleet.retired_count(2), 1_024);
    let starting = &fleet.balancers[&address(2)];
    assert!(starting.limits_exceeded_count() > 0);
}

/// Checks that balancers that start together know soon that nobody runs for longer.
#[test]
fn many_starting_balancers_ask_each_other_at_once() {
    let mut fleet = Fleet::new(0, 0);
    for number in 0..100 {
        fleet.start_balancer(number);
    }
    for number in 0..100 {
        let others = (0..100).map(address).collect::<Vec<_>>();
        let now = Millis::new(fleet.now);
        let balancer = fleet.balancers.get_mut(&address(number)).expect("started");
        balancer.add_seed_balancers(now, &others);
    }
    // Questions go out 10 ms after the first, and are answered within a few more.
    fleet.advance_ms(25);
    for number in 0..100 {
        let heard = fleet.received[&address(number)];
        assert!(heard > 99 * 60, "balancer {number}: {heard} bytes");
    }
}
