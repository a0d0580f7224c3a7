//! Ports that are used again while processes restart, endpoints are silent or drain, and messages are
//! lost, repeated and delayed.

mod support;

use std::collections::BTreeMap;

use passthrough::EndpointState;
use support::{
    Flags, SERVICE, SERVICE_ADDRESS, SimNetwork, agent_ip, caller, encode_packet,
    open_flow::{OpenFlow, closing_network, set_state},
};

const BALANCERS: u8 = 3;
const ENDPOINTS: u8 = 7;
const CALLERS: u16 = 10;
const STEPS: u32 = 120;

/// Time after which no balancer or agent may be without news of a drain.
const DRAIN_KNOWN_MS: u64 = 2_500;

/// Distance from the next expected sequence number within which a caller takes a reset.
const RESET_WINDOW: u32 = 76_800;

struct Run {
    network: SimNetwork,
    random: u64,
    opening: u32,
    flows: BTreeMap<u16, OpenFlow>,
    /// Number of packets that callers have received and this run has looked at.
    seen: usize,
    /// Time at which each silent endpoint answers again.
    silent: BTreeMap<u8, u64>,
    /// The endpoint that drains, since when, and how many flows it had taken when all knew.
    draining: Option<(u8, u64, Option<usize>)>,
    case: String,
}

impl Run {
    fn new(seed: u64, disorder: bool) -> Self {
        let mut network = closing_network(BALANCERS, ENDPOINTS);
        for endpoint in network.endpoints.values_mut() {
            endpoint.closes_after_answer = false;
        }
        network.disorder = if disorder { seed * 2 + 1 } else { 0 };
        Self {
            network,
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            opening: 1_000,
            flows: BTreeMap::new(),
            seen: 0,
            silent: BTreeMap::new(),
            draining: None,
            case: format!("seed {seed}, disorder {disorder}"),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 20) % below
    }

    fn balancer(&mut self) -> u8 {
        u8::try_from(self.draw(BALANCERS.into())).unwrap()
    }

    fn endpoint(&mut self) -> u8 {
        u8::try_from(self.draw(ENDPOINTS.into())).unwrap()
    }

    fn step(&mut self) {
        match self.draw(40) {
            0 | 1 => {
                let number = self.balancer();
                self.network.start_balancer(number);
            }
            2 | 3 => {
                let number = self.endpoint();
                self.network.start_agent(number, SERVICE);
            }
            4 | 5 => {
                let number = self.endpoint();
                let until = self.network.now + self.draw(1_500);
                self.silent.insert(number, until);
                self.set_silent(number, true);
            }
            6 => self.change_drain(),
            _ => self.act_as_caller(),
        }
        let pause_ms = 1 + self.draw(60);
        self.advance(pause_ms);
    }

    fn act_as_caller(&mut self) {
        let number = u16::try_from(self.draw(CALLERS.into())).unwrap();
        let balancer = self.balancer();
        let Some(mut flow) = self.flows.remove(&number) else {
            return self.open(number, balancer);
        };
        match self.draw(6) {
            // The endpoint closes the flow with its answer, and the caller closes it, too.
            0 | 1 => {
                let holder = agent_ip(flow.holder);
                let endpoint = self.network.endpoints.get_mut(&holder).unwrap();
                endpoint.closes_after_answer = true;
                let is_answered = flow.request(&mut self.network, balancer, 40);
                let endpoint = self.network.endpoints.get_mut(&holder).unwrap();
                endpoint.closes_after_answer = false;
                self.check_resets(Some((number, flow)));
                if is_answered {
                    let balancer = self.balancer();
                    flow.close(&mut self.network, balancer);
                }
            }
            // The caller gives the flow up in silence, or resets it.
            2 => {}
            3 => flow.send(&mut self.network, balancer, Flags::RST, 0),
            _ => {
                flow.request(&mut self.network, balancer, 40);
                self.flows.insert(number, flow);
            }
        }
    }

    fn open(&mut self, number: u16, balancer: u8) {
        self.opening = self.opening.wrapping_add(0x3779_B97F);
        let opening = self.opening;
        let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, opening, 0, 0);
        for pause_ms in [100, 100, 400, 800] {
            let seen = self.network.received.len();
            self.network.send_caller_packet(balancer, &syn);
            self.advance(pause_ms);
            let received = self.network.received[seen..].iter();
            let accepted = received.map(|it| it.1).find(|it| {
                it.syn && it.destination == caller(number) && it.acknowledged == opening + 1
            });
            let Some(accepted) = accepted else {
                continue;
            };
            let mut flow = OpenFlow {
                caller: caller(number),
                next: opening + 1,
                expected: accepted.sequence.wrapping_add(1),
                holder: 0,
            };
            flow.request(&mut self.network, balancer, 40);
            let holds = |it: &u8| self.holds(*it, &flow);
            if let Some(holder) = (0..ENDPOINTS).find(holds) {
                flow.holder = holder;
                self.flows.insert(number, flow);
            }
            return;
        }
    }

    fn holds(&self, number: u8, flow: &OpenFlow) -> bool {
        self.network.endpoints[&agent_ip(number)].holds_flow_at(flow.caller, flow.expected)
    }

    fn set_silent(&mut self, number: u8, is_silent: bool) {
        let endpoint = self.network.endpoints.get_mut(&agent_ip(number));
        endpoint.unwrap().is_unresponsive = is_silent;
    }

    fn change_drain(&mut self) {
        let readers: Vec<u8> = (0..BALANCERS).collect();
        if let Some((number, ..)) = self.draining.take() {
            return set_state(&mut self.network, &readers, number, EndpointState::Ready);
        }
        let number = self.endpoint();
        set_state(&mut self.network, &readers, number, EndpointState::Draining);
        self.draining = Some((number, self.network.now, None));
    }

    fn advance(&mut self, pause_ms: u64) {
        self.network.advance_ms(pause_ms);
        let now = self.network.now;
        let awake: Vec<u8> = self
            .silent
            .iter()
            .filter(|it| *it.1 <= now)
            .map(|it| *it.0)
            .collect();
        for number in awake {
            self.silent.remove(&number);
            self.set_silent(number, false);
        }
        if let Some((number, since, taken)) = &mut self.draining
            && now >= *since + DRAIN_KNOWN_MS
        {
            let opened = self.network.endpoints[&agent_ip(*number)].opened_flows;
            let taken = *taken.get_or_insert(opened);
            assert_eq!(opened, taken, "{}: endpoint {number} drains", self.case);
        }
        self.check_resets(None);
    }

    /// Asserts that no caller was reset on a flow that its endpoint holds.
    fn check_resets(&mut self, other: Option<(u16, OpenFlow)>) {
        for (_, segment) in &self.network.received[self.seen..] {
            let flows = self.flows.values().chain(other.as_ref().map(|it| &it.1));
            let is_of = |it: &&OpenFlow| {
                let distance = segment.sequence.wrapping_sub(it.expected).cast_signed();
                it.caller == segment.destination && distance.unsigned_abs() <= RESET_WINDOW
            };
            if segment.rst
                && let Some(flow) = flows.into_iter().find(is_of)
            {
                let is_held = self.holds(flow.holder, flow);
                assert!(!is_held, "{}: {} was reset", self.case, flow.caller);
            }
        }
        self.seen = self.network.received.len();
    }

    /// Ends all faults, and asserts that each open flow is served.
    fn finish(mut self) {
        self.network.disorder = 0;
        for number in std::mem::take(&mut self.silent).into_keys() {
            self.set_silent(number, false);
        }
        self.advance(2_000);
        for (number, mut flow) in self.flows.clone() {
            if !self.holds(flow.holder, &flow) {
                continue;
            }
            let balancer = self.balancer();
            let mut pauses_ms = [200, 400, 800].into_iter();
            let is_served = pauses_ms.any(|it| flow.request(&mut self.network, balancer, it));
            assert!(is_served, "{}: caller {number}", self.case);
            self.check_resets(None);
        }
    }
}

#[test]
fn ports_in_disorder() {
    for seed in 1..60 {
        for disorder in [false, true] {
            let mut run = Run::new(seed, disorder);
            for _ in 0..STEPS {
                run.step();
            }
            run.finish();
        }
    }
}
