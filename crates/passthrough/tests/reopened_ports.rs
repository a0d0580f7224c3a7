//! Placement of new flows whose callers use their ports again.

mod support;

use passthrough::{ColdStart, EndpointState, ServiceKey};
use support::{
    Flags, SERVICE, SERVICE_ADDRESS, SimNetwork, agent_ip, caller, encode_packet,
    open_flow::{closing_network, open, set_state, try_open},
};
use units::{Millis, PerSecond};

const ENDPOINTS: u8 = 4;

/// How callers end their flows and open the next ones from the same ports.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Habit {
    /// Both ends close each flow; the next opening has another sequence number.
    Closes,
    /// Both ends close each flow; all openings have the same sequence number.
    ClosesAndRepeatsNumber,
    /// The caller gives each flow up in silence.
    GivesUp,
}

/// What happens after the endpoint began to drain.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Nothing,
    BalancerStarts,
    AgentRestarts,
    /// The flows' ends and the next openings pass different balancers.
    BalancersAlternate,
}

/// Lets callers open and end a flow each from one port, and returns how many flows were opened at the
/// endpoint `number`.
fn open_by_turns(
    network: &mut SimNetwork,
    habit: Habit,
    balancers: [u8; 2],
    round: u32,
    number: u8,
) -> usize {
    let before = network.endpoints[&agent_ip(number)].openings;
    for port in 0..8 {
        let opening = match habit {
            Habit::ClosesAndRepeatsNumber => 1_000,
            _ => 1_000 + round * 10_000_000,
        };
        let mut flow = open(network, balancers[0], caller(port), opening);
        assert!(flow.request(network, balancers[0], 20), "{habit:?}");
        if habit != Habit::GivesUp {
            flow.close(network, balancers[1]);
        }
    }
    network.endpoints[&agent_ip(number)].openings - before
}

/// Guards against new flows at an endpoint that drains, from callers that use their ports again within
/// the time for which agents and balancers remember flows that have ended (`review/8`).
#[test]
fn draining_endpoint_gets_no_reopened_port() {
    for habit in [Habit::Closes, Habit::ClosesAndRepeatsNumber, Habit::GivesUp] {
        for event in [
            Event::Nothing,
            Event::BalancerStarts,
            Event::AgentRestarts,
            Event::BalancersAlternate,
        ] {
            let case = format!("{habit:?}, {event:?}");
            let mut network = closing_network(2, ENDPOINTS);
            let balancers = match event {
                Event::BalancersAlternate => [0, 1],
                _ => [0, 0],
            };
            let mut taken = 0;
            let draining = 0;
            for round in 0..4 {
                taken += open_by_turns(&mut network, habit, balancers, round, draining);
            }
            assert!(taken > 0, "{case}: the endpoint took flows before");
            set_state(&mut network, &[0, 1], draining, EndpointState::Draining);
            match event {
                Event::BalancerStarts => network.start_balancer(0),
                Event::AgentRestarts => network.start_agent(draining, SERVICE),
                Event::Nothing | Event::BalancersAlternate => {}
            }
            for round in 4..10 {
                let taken = open_by_turns(&mut network, habit, balancers, round, draining);
                assert_eq!(taken, 0, "{case}, round {round}");
            }
        }
    }
}

/// Copies of an opening go to the endpoint that accepted it, whatever its state has become.
#[test]
fn copies_of_an_opening_open_one_flow() {
    let mut network = SimNetwork::new(2, ENDPOINTS);
    for port in 0..8 {
        let flow = open(&mut network, 0, caller(port), 1_000);
        set_state(&mut network, &[0, 1], flow.holder, EndpointState::Draining);
        let opened = |network: &SimNetwork| -> usize {
            network.endpoints.values().map(|it| it.opened_flows).sum()
        };
        let before = opened(&network);
        let copy = encode_packet(caller(port), SERVICE_ADDRESS, Flags::SYN, 1_000, 0, 0);
        network.send_caller_packet(0, &copy);
        network.advance_ms(50);
        assert_eq!(opened(&network), before, "port {port}");
        set_state(&mut network, &[0, 1], flow.holder, EndpointState::Ready);
    }
}

/// Guards against a cold endpoint's pace that openings from ports used again pass by.
#[test]
fn cold_endpoint_keeps_its_pace_for_reopened_ports() {
    let mut network = closing_network(1, 1);
    for round in 0..2 {
        open_by_turns(&mut network, Habit::Closes, [0, 0], round, 0);
    }
    network.update_catalog(&[0], |catalog| {
        catalog.endpoints[0].born_ms = 2;
        catalog.endpoints[0].cold_left_ms = Millis::new(5_000);
        catalog.cold_starts.push(ColdStart {
            service: ServiceKey::from_name(SERVICE),
            duration_ms: Millis::new(5_000),
            rate: PerSecond::new(4),
        });
    });
    network.advance_ms(1_100);
    let before = network.endpoints[&agent_ip(0)].openings;
    let mut opened = 0;
    for number in 0..40 {
        let caller = caller(number % 4);
        if let Some(mut flow) = try_open(
            &mut network,
            0,
            caller,
            50_000_000 + u32::from(number) * 10_000_000,
        ) {
            opened += 1;
            if flow.request(&mut network, 0, 5) {
                flow.close(&mut network, 0);
            }
        }
    }
    // 40 openings of 20 ms or a little more each, within two seconds.
    let taken = network.endpoints[&agent_ip(0)].openings - before;
    assert!(opened > 0 && taken <= 8, "{taken} openings taken");
}

/// A new opening ends what is known of the earlier one of its port, also while it waits at an agent.
#[test]
fn newer_opening_replaces_a_waiting_one() {
    let mut network = SimNetwork::new(1, 1);
    for endpoint in network.endpoints.values_mut() {
        endpoint.slots = 1;
        endpoint.request_ms = 400;
    }
    let mut ports = 0..12;
    while let Some(mut flow) = try_open(&mut network, 0, caller(ports.next().unwrap()), 1_000) {
        flow.request(&mut network, 0, 1);
    }
    assert!(network.agent(0).waiting_opening_count() > 0);
    for opening in [5_000_000, 15_000_000, 25_000_000] {
        let syn = encode_packet(caller(50), SERVICE_ADDRESS, Flags::SYN, opening, 0, 0);
        network.send_caller_packet(0, &syn);
        network.advance_ms(5);
    }
    network.advance_ms(1_300);
    let accepted = network.received.iter().map(|it| it.1);
    let mut accepted = accepted.rev();
    let last = accepted.find(|it| it.syn && it.destination == caller(50));
    assert_eq!(last.map(|it| it.acknowledged), Some(25_000_001));
}
