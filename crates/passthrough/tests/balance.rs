//! Distribution of flows over endpoints while many callers keep their flows open.

mod support;

use std::collections::BTreeMap;

use support::{Flags, SERVICE_ADDRESS, SimNetwork, agent_ip, caller, encode_packet};

/// Time that the endpoints take to answer a request, in milliseconds.
const REQUEST_MS: u64 = 20;

/// Opens a flow, sends a request on the flow and on a flow that was opened before, and waits for
/// the answers.
fn open_flow_and_request(network: &mut SimNetwork, number: u16) {
    let sequence = open_flow(network, number);
    network.send_request(0, caller(number), sequence, 1);
    let (used, request) = (number / 2, 2 + u32::from(number));
    if let Some(it) = endpoint_sequence_of(network, used) {
        network.send_request(0, caller(used), it, request);
    }
    network.advance_ms(REQUEST_MS + 4);
}

fn endpoint_sequence_of(network: &SimNetwork, number: u16) -> Option<u32> {
    let accepted = network.received.iter().rev().map(|it| it.1);
    let mut accepted = accepted.filter(|it| it.syn && it.destination == caller(number));
    accepted.next().map(|it| it.sequence)
}

fn open_flow(network: &mut SimNetwork, number: u16) -> u32 {
    let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    network.send_caller_packet(0, &syn);
    network.advance_ms(12);
    endpoint_sequence_of(network, number).expect("accepted")
}

fn network_with_timed_requests(endpoints: u8) -> SimNetwork {
    let mut network = SimNetwork::new(1, endpoints);
    for endpoint in network.endpoints.values_mut() {
        endpoint.request_ms = REQUEST_MS;
    }
    network
}

fn flows_by_endpoint(network: &SimNetwork, flows: u16) -> Vec<usize> {
    let mut counts: BTreeMap<_, usize> = network.endpoints.keys().map(|it| (*it, 0)).collect();
    for number in 0..flows {
        let holder = network
            .holder_address(caller(number))
            .expect("every flow is held");
        *counts.entry(holder).or_default() += 1;
    }
    counts.into_values().collect()
}

/// Guards against an uneven load peak: callers of one availability zone open flows while load is
/// low and keep the flows open. At the peak all callers send requests at once, and flows can't be
/// moved to another endpoint.
#[test]
fn idle_flows_are_balanced_across_zones() {
    const FLOWS: u16 = 320;
    let mut network = network_with_timed_requests(8);
    for number in 0..FLOWS {
        open_flow_and_request(&mut network, number);
    }
    let counts = flows_by_endpoint(&network, FLOWS);
    let mean = usize::from(FLOWS) / counts.len();
    // At a load of three quarters of the capacity, requests queue once the busiest endpoint exceeds
    // the mean by a quarter.
    let busiest = counts.iter().max().copied().unwrap_or_default();
    assert!(busiest * 4 <= mean * 5, "flows by endpoint: {counts:?}");
}

/// Guards against a new endpoint that stays underused because the other endpoints already hold many
/// idle flows.
#[test]
fn new_endpoint_gets_most_new_flows() {
    let mut network = network_with_timed_requests(3);
    for number in 0..150 {
        open_flow_and_request(&mut network, number);
    }
    network.add_endpoint(3, support::SERVICE);
    network.update_catalog(&[0], |_| {});
    network.advance_ms(1_100);
    let before = network.endpoints[&agent_ip(3)].openings;
    for number in 150..180 {
        open_flow_and_request(&mut network, number);
    }
    let taken = network.endpoints[&agent_ip(3)].openings - before;
    assert!(taken >= 15, "the empty endpoint took {taken} of 30");
}

/// With all concurrency slots taken, new flows must go to the endpoint with the shortest queue.
#[test]
fn new_flows_go_to_the_shortest_queue_under_overload() {
    let mut network = SimNetwork::new(1, 4);
    for endpoint in network.endpoints.values_mut() {
        endpoint.request_ms = 2_000;
    }
    for number in 0..24 {
        let sequence = open_flow(&mut network, number);
        network.send_request(0, caller(number), sequence, 1);
        network.advance_ms(5);
    }
    let requests: Vec<usize> = network.endpoints.values().map(|it| it.requests).collect();
    assert_eq!(requests, vec![6; 4]);
}

/// Guards against overbooking at a load peak, when requests are delayed in a busy balancer after
/// their flows have opened.
#[test]
fn openings_count_as_load_before_their_requests_arrive() {
    let mut network = SimNetwork::new(1, 4);
    for number in 0..8 {
        open_flow(&mut network, number);
    }
    let openings: Vec<usize> = network.endpoints.values().map(|it| it.openings).collect();
    assert_eq!(openings, vec![2; 4], "two slots each");
}
