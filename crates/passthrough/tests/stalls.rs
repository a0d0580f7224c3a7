//! Processes that stood still and go on with old packets and an old catalog.

mod support;

use passthrough::Event;
use support::{Flags, SERVICE_ADDRESS, SimNetwork, agent_ip, balancer_ip, caller, encode_packet};

/// Time for which processes stand still in these tests, in milliseconds.
const STALL_MS: u64 = 4_000;

fn openings_of_all(network: &SimNetwork) -> usize {
    network.endpoints.values().map(|it| it.openings).sum()
}

#[test]
fn retained_openings_are_dropped_after_a_stall() {
    let mut network = SimNetwork::new(1, 3);
    for number in 0..3 {
        network.kill_agent(number);
    }
    let opening = encode_packet(caller(1), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    network.send_caller_packet(0, &opening);
    let balancer = network.freeze_balancer(0);
    network.advance_ms(500);
    for number in 0..3 {
        network.start_agent(number, support::SERVICE);
    }
    // The caller gave up 1.4 s after the opening; the stall may be shorter than that.
    network.unfreeze_balancer(0, balancer);
    network.wake_balancer(0, 500);
    network.advance_ms(700);
    assert_eq!(openings_of_all(&network), 0);
}

#[test]
fn retained_requests_are_dropped_after_a_stall() {
    let mut network = SimNetwork::new(2, 4);
    // No endpoint holds the flow, so the balancer retains the request to look the flow up again.
    let request = encode_packet(caller(1), SERVICE_ADDRESS, Flags::ACK, 11, 900, 10);
    network.send_caller_packet(1, &request);
    network.advance_ms(20);
    let balancer = network.freeze_balancer(1);
    network.advance_ms(STALL_MS);
    network.unfreeze_balancer(1, balancer);
    let before = network.balancer(1).counters().lookups;
    network.wake_balancer(1, STALL_MS);
    network.advance_ms(2_000);
    assert_eq!(network.balancer(1).counters().lookups, before);
}

#[test]
fn woken_balancer_uses_no_endpoint_that_left_meanwhile() {
    let mut network = SimNetwork::new(3, 4);
    network.confirm_unchanged_catalog(1);
    let balancer = network.freeze_balancer(1);
    let gone = agent_ip(2);
    network.advance_ms(1_000);
    network.update_catalog(&[0], |catalog| {
        catalog.endpoints.retain(|it| it.agent_address() != gone);
    });
    network.advance_ms(STALL_MS);
    network.confirm_unchanged_catalog(0);
    network.unfreeze_balancer(1, balancer);
    // The agent has restarted, so that only balancers know that its endpoint left.
    network.start_agent(2, support::SERVICE);
    let before = network.endpoints[&gone].openings;
    network.wake_balancer(1, STALL_MS + 1_000);
    for number in 0..40 {
        let opening = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        network.send_caller_packet(1, &opening);
    }
    network.advance_ms(500);
    assert_eq!(network.endpoints[&gone].openings, before);
    assert!(openings_of_all(&network) >= 40, "openings are only held");
}

#[test]
fn woken_balancer_serves_although_nobody_answers() {
    let mut network = SimNetwork::new(1, 4);
    network.wake_balancer(0, STALL_MS);
    let opening = encode_packet(caller(1), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    network.send_caller_packet(0, &opening);
    network.advance_ms(350);
    assert_eq!(openings_of_all(&network), 1);
}

#[test]
fn woken_balancer_counts_nobody_as_lost() {
    let mut network = SimNetwork::new(3, 4);
    let balancer = network.freeze_balancer(1);
    network.advance_ms(STALL_MS);
    network.unfreeze_balancer(1, balancer);
    let before = network.events.len();
    network.wake_balancer(1, STALL_MS);
    network.advance_ms(2_000);
    let lost: Vec<_> = network.events[before..]
        .iter()
        .filter(|it| it.0 == balancer_ip(1))
        .filter(|it| matches!(it.1, Event::AgentLost { .. } | Event::PeerLost { .. }))
        .collect();
    assert!(lost.is_empty(), "{lost:?}");
}

#[test]
fn woken_agent_forwards_no_old_packet() {
    let mut network = SimNetwork::new(1, 2);
    // The endpoints answer nothing, so that the agents still track the opening.
    network.endpoints.clear();
    let opening = encode_packet(caller(1), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    network.send_caller_packet(0, &opening);
    network.advance_ms(5);
    let offered: u64 = (0..2).map(|it| network.agent(it).counters().offered).sum();
    assert_eq!(offered, 1);
    for number in 0..2 {
        network.wake_agent(number);
    }
    network.advance_ms(60);
    let offered: u64 = (0..2).map(|it| network.agent(it).counters().offered).sum();
    assert_eq!(offered, 1, "the other agent was not asked");
}
