//! Placement of opening packets on endpoints.

mod support;

use passthrough::{EndpointState, Event};
use support::{Flags, SERVICE, SERVICE_ADDRESS, SimNetwork, agent_ip, caller, encode_packet};

#[test]
fn opening_is_offered_to_one_endpoint_without_failures() {
    let mut network = SimNetwork::new(1, 5);
    for number in 0..50 {
        network
            .open_flow_with_sequence(0, caller(number))
            .expect("accepted");
    }
    let openings: usize = network.endpoints.values().map(|it| it.openings).sum();
    assert_eq!(openings, 50);
}

#[test]
fn full_endpoints_forward_openings_to_endpoints_with_free_slots() {
    let mut network = SimNetwork::new(2, 4);
    for endpoint in network.endpoints.values_mut() {
        endpoint.request_ms = 500;
    }
    // The endpoints have eight slots in total, and requests take longer than this test runs.
    for number in 0..8 {
        let balancer = u8::try_from(number % 2).unwrap();
        let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        network.send_caller_packet(balancer, &syn);
        network.advance_ms(6);
        let accepted = network.received.last().expect("accepted").1;
        network.send_request(balancer, caller(number), accepted.sequence, 1);
        network.advance_ms(6);
    }
    let loads: Vec<usize> = network.endpoints.values().map(|it| it.requests).collect();
    assert_eq!(loads, vec![2; 4]);
}

#[test]
fn silent_endpoint_delays_openings_less_than_a_retransmission() {
    for silent in 0..3 {
        let mut network = SimNetwork::new(1, 3);
        network
            .endpoints
            .get_mut(&agent_ip(silent))
            .unwrap()
            .is_unresponsive = true;
        for number in 0..20 {
            let before = network.received.len();
            let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
            network.send_caller_packet(0, &syn);
            network.advance_ms(100);
            assert!(
                network.received.len() > before,
                "endpoint {silent} is silent, opening {number}"
            );
        }
    }
}

#[test]
fn dead_agent_delays_openings_less_than_a_retransmission() {
    for dead in 0..3 {
        let mut network = SimNetwork::new(1, 3);
        network.kill_agent(dead);
        for number in 0..10 {
            let before = network.received.len();
            let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
            network.send_caller_packet(0, &syn);
            network.advance_ms(180);
            assert!(
                network.received.len() > before,
                "agent {dead} is dead, opening {number}"
            );
        }
    }
}

#[test]
fn draining_endpoint_accepts_no_openings() {
    let mut network = SimNetwork::new(2, 3);
    network.update_catalog(&[0], |catalog| {
        let at = catalog
            .endpoints
            .iter()
            .position(|it| it.agent_address() == agent_ip(1))
            .unwrap();
        catalog.endpoints[at].state = EndpointState::Draining;
    });
    network.advance_ms(20);
    let before = network.endpoints[&agent_ip(1)].openings;
    // The second balancer has not read the changed state of the endpoint; the agent learned of the
    // change from the first balancer.
    network.isolated.insert(support::balancer_ip(0));
    for number in 0..40 {
        let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        network.send_caller_packet(1, &syn);
        network.advance_ms(20);
    }
    assert_eq!(network.endpoints[&agent_ip(1)].openings, before);
}

#[test]
fn address_reused_by_another_service_gets_no_packets() {
    let mut network = SimNetwork::new(1, 3);
    // The endpoint's address was reused by another service, which the catalog does not show yet.
    network.start_agent(1, "photos");
    for number in 0..40 {
        network
            .open_flow_with_sequence(0, caller(number))
            .expect("another endpoint accepts");
    }
    let reused = &network.endpoints[&agent_ip(1)];
    assert_eq!(
        (reused.openings, reused.requests, reused.other_packets),
        (0, 0, 0)
    );
}

#[test]
fn openings_are_accepted_after_an_agent_restart() {
    let mut network = SimNetwork::new(1, 2);
    network.start_agent(0, SERVICE);
    for number in 0..20 {
        network
            .open_flow_with_sequence(0, caller(number))
            .expect("accepted");
    }
    let placed = network
        .events
        .iter()
        .filter(|it| matches!(it.1, Event::OpeningPlaced { .. }))
        .count();
    assert!(placed >= 20);
}

#[test]
fn late_replies_cause_at_most_two_retries_of_an_opening() {
    let mut network = SimNetwork::new(1, 8);
    // No reply of an agent reaches the balancer, as if the balancer's link were saturated.
    network.isolated.insert(support::balancer_ip(0));
    let syn = encode_packet(caller(1), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    network.send_caller_packet(0, &syn);
    network.advance_ms(1_300);
    let placed = network
        .events
        .iter()
        .filter(|it| matches!(it.1, Event::OpeningPlaced { .. }))
        .count();
    assert_eq!(placed, 3);
}

#[test]
fn expired_opening_does_not_delay_retries_of_other_openings() {
    let mut network = SimNetwork::new(1, 2);
    network.kill_agent(0);
    network.kill_agent(1);
    let syn = |number| encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    // The first flow's opening packet is offered three times and then waits to expire.
    network.send_caller_packet(0, &syn(1));
    network.advance_ms(450);
    network.start_agent(0, SERVICE);
    network.start_agent(1, SERVICE);
    // The first offer of the second flow's opening packet is lost; the retry must still follow
    // after 70 ms.
    network.isolated.insert(support::balancer_ip(0));
    network.send_caller_packet(0, &syn(2));
    network.advance_ms(10);
    network.isolated.clear();
    network.advance_ms(100);
    assert!(
        network
            .received
            .iter()
            .any(|it| it.1.syn && it.1.destination == caller(2))
    );
}

#[test]
fn refused_probes_reset_the_flows_of_a_dead_endpoint() {
    let mut network = SimNetwork::new(1, 1);
    let sequence = network
        .open_flow_with_sequence(0, caller(1))
        .expect("accepted");
    network.advance_ms(50);
    network
        .endpoints
        .get_mut(&agent_ip(0))
        .unwrap()
        .is_unresponsive = true;
    network.send_request(0, caller(1), sequence, 2);
    // Two unanswered opening packets make the endpoint count as silent, and its listener is probed.
    for number in 2..4 {
        let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        network.send_caller_packet(0, &syn);
        network.advance_ms(40);
    }
    network.report_probe_result(0, true);
    assert_eq!(
        network.reset_count(caller(1)),
        0,
        "one refusal proves nothing"
    );
    network.report_probe_result(0, true);
    network.advance_ms(5);
    assert_eq!(network.reset_count(caller(1)), 1);
}
