//! Detection of endpoints that fail requests or crash repeatedly while their health checks pass.

mod support;

use passthrough::Event;
use support::{Flags, SERVICE, SERVICE_ADDRESS, SimNetwork, agent_ip, caller, encode_packet};

/// Interval between two calls, in milliseconds: 50 calls a second.
const CALL_INTERVAL_MS: u64 = 20;

/// Opens a flow and sends a single request on the flow, as most callers do.
fn run_call(network: &mut SimNetwork, number: u16) {
    let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    network.send_caller_packet(0, &syn);
    network.advance_ms(10);
    let mut accepted = network.received.iter().rev().map(|it| it.1);
    if let Some(it) = accepted.find(|it| it.syn && it.destination == caller(number)) {
        network.send_request(0, caller(number), it.sequence, 1);
    }
    network.advance_ms(CALL_INTERVAL_MS - 10);
}

fn run_calls(network: &mut SimNetwork, numbers: std::ops::Range<u16>) {
    for number in numbers {
        run_call(network, number);
    }
}

fn received_request_count(network: &SimNetwork, endpoint: u8) -> usize {
    network.endpoints[&agent_ip(endpoint)].requests
}

/// One of four endpoints resets the flow of every second request.
#[test]
fn failing_endpoint_gets_only_trial_openings() {
    let mut network = SimNetwork::new(1, 4);
    network
        .endpoints
        .get_mut(&agent_ip(0))
        .unwrap()
        .resets_one_of = 2;
    run_calls(&mut network, 0..100);
    let before = received_request_count(&network, 0);
    // A hundred calls take two seconds: eight trial openings, and one more at the boundary.
    run_calls(&mut network, 100..200);
    let tried = received_request_count(&network, 0) - before;
    assert!((4..=9).contains(&tried), "{tried} of 100 requests");
}

#[test]
fn recovered_endpoint_gets_its_share_within_seconds() {
    let mut network = SimNetwork::new(1, 4);
    network
        .endpoints
        .get_mut(&agent_ip(0))
        .unwrap()
        .resets_one_of = 2;
    run_calls(&mut network, 0..150);
    network
        .endpoints
        .get_mut(&agent_ip(0))
        .unwrap()
        .resets_one_of = 0;
    run_calls(&mut network, 150..400);
    let before = received_request_count(&network, 0);
    run_calls(&mut network, 400..500);
    let share = received_request_count(&network, 0) - before;
    assert!(share >= 15, "{share} of 100 requests, five seconds after");
}

/// Guards against ejecting all endpoints of a service because of a fault that they share.
#[test]
fn endpoints_that_fail_alike_share_the_load() {
    let mut network = SimNetwork::new(1, 4);
    for endpoint in network.endpoints.values_mut() {
        endpoint.resets_one_of = 2;
    }
    run_calls(&mut network, 0..300);
    let served: Vec<usize> = (0..4)
        .map(|it| received_request_count(&network, it))
        .collect();
    assert_eq!(
        served.iter().sum::<usize>(),
        300,
        "every request is offered: {served:?}"
    );
    assert!(served.iter().all(|it| *it >= 20), "{served:?}");
}

/// The endpoint goes down and up repeatedly, and is idle whenever it comes up.
#[test]
fn flapping_endpoint_gets_fewer_requests_each_time() {
    let mut network = SimNetwork::new(1, 4);
    let mut number = 0;
    let mut taken = Vec::new();
    for _ in 0..4 {
        network
            .endpoints
            .get_mut(&agent_ip(0))
            .unwrap()
            .is_unresponsive = true;
        run_calls(&mut network, number..number + 40);
        network
            .endpoints
            .get_mut(&agent_ip(0))
            .unwrap()
            .is_unresponsive = false;
        network.endpoints.get_mut(&agent_ip(0)).unwrap().restart();
        let before = received_request_count(&network, 0);
        run_calls(&mut network, number + 40..number + 80);
        taken.push(received_request_count(&network, 0) - before);
        number += 80;
    }
    assert!(
        taken[3] <= 1,
        "requests in each period of uptime: {taken:?}"
    );
}

/// Guards against counting an answered request as failed: a small FIN can overtake a large answer
/// in the network.
#[test]
fn fin_that_overtakes_its_answer_is_no_failure() {
    let mut network = SimNetwork::new(1, 2);
    for endpoint in network.endpoints.values_mut() {
        endpoint.closes_early = true;
    }
    run_calls(&mut network, 0..60);
    let is_change = |it: &&(_, Event)| matches!(it.1, Event::EndpointRecordChanged { .. });
    assert_eq!(network.events.iter().find(is_change), None);
}

#[test]
fn crash_of_all_endpoints_delays_no_opening() {
    let mut network = SimNetwork::new(1, 3);
    for number in 0..3 {
        network
            .open_flow_with_sequence(0, caller(number))
            .expect("accepted");
    }
    for endpoint in network.endpoints.values_mut() {
        endpoint.restart();
    }
    // The agents detect the crash when the callers send requests on the lost flows.
    for number in 0..3 {
        network.send_request(0, caller(number), 1, 2);
    }
    network.advance_ms(20);
    for number in 10..30 {
        let before = network.received.len();
        let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        network.send_caller_packet(0, &syn);
        network.advance_ms(15);
        assert!(
            network.received.len() > before,
            "opening {number} of {SERVICE}"
        );
    }
}
