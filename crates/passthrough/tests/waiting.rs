//! Openings that wait at agents while endpoints have no slot for them.

mod support;

use passthrough::{EndpointState, Event};
use support::{Flags, SERVICE_ADDRESS, SimNetwork, agent_ip, caller, encode_packet};

/// Creates a network of one balancer whose endpoints of two slots each work `request_ms`.
fn network_of_endpoints(endpoints: u8, request_ms: u64) -> SimNetwork {
    let mut network = SimNetwork::new(1, endpoints);
    for endpoint in network.endpoints.values_mut() {
        endpoint.request_ms = request_ms;
    }
    network
}

/// Sends the opening packets of callers, or copies of them.
fn send_openings(network: &mut SimNetwork, callers: std::ops::Range<u16>) {
    for number in callers {
        let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        network.send_caller_packet(0, &syn);
    }
}

fn openings(network: &SimNetwork) -> Vec<usize> {
    network.endpoints.values().map(|it| it.openings).collect()
}

/// Guards against openings that fill an endpoint's queue, which rejects requests on open flows then.
#[test]
fn crest_of_openings_leaves_queues_short() {
    let mut network = network_of_endpoints(2, 50);
    send_openings(&mut network, 0..30);
    network.advance_with_requests(20);
    let delivered: usize = openings(&network).iter().sum();
    assert!(
        delivered <= 16,
        "two slots and six more requests each: {delivered}"
    );
    network.advance_with_requests(400);
    assert_eq!(
        openings(&network).iter().sum::<usize>(),
        30,
        "each was delivered once"
    );
    let requests: usize = network.endpoints.values().map(|it| it.requests).sum();
    assert_eq!(requests, 30);
}

/// A caller's copy must not open a second flow beside the opening that waits.
#[test]
fn copies_of_waiting_openings_are_not_delivered() {
    let mut network = network_of_endpoints(3, 100);
    send_openings(&mut network, 0..40);
    network.advance_with_requests(30);
    for _ in 0..4 {
        let is_accepted = |number: &u16| {
            let received = network.received.iter();
            received
                .into_iter()
                .any(|it| it.1.syn && it.1.destination == caller(*number))
        };
        let waiting: Vec<u16> = (0..40).filter(|it| !is_accepted(it)).collect();
        assert!(!waiting.is_empty());
        for number in waiting {
            send_openings(&mut network, number..number + 1);
        }
        network.advance_with_requests(15);
    }
    network.advance_with_requests(800);
    assert_eq!(openings(&network).iter().sum::<usize>(), 40);
}

/// Openings that wait at an endpoint which leaves go to another one at once.
#[test]
fn waiting_openings_leave_a_draining_endpoint() {
    let mut network = network_of_endpoints(2, 120);
    for number in 0..24 {
        send_openings(&mut network, number..number + 1);
        network.advance_with_requests(4);
    }
    let before = openings(&network);
    network.update_catalog(&[0], |catalog| {
        for endpoint in &mut catalog.endpoints {
            if endpoint.agent_address() == agent_ip(1) {
                endpoint.state = EndpointState::Draining;
            }
        }
    });
    network.advance_ms(3);
    assert!(
        network.agent(1).counters().handed_on > 0,
        "some waited there"
    );
    network.advance_with_requests(1_200);
    let after = openings(&network);
    assert_eq!(
        after[1], before[1],
        "nothing is delivered to the draining endpoint"
    );
    assert_eq!(after.iter().sum::<usize>(), 24);
}

/// The expected wait grows with the requests ahead of an opening.
#[test]
fn expected_waits_are_reported() {
    let mut network = network_of_endpoints(1, 20);
    send_openings(&mut network, 0..12);
    network.advance_with_requests(300);
    let expected: Vec<u64> = network
        .events
        .iter()
        .filter_map(|it| match it.1 {
            Event::OpeningWaits { expected_ms, .. } => Some(expected_ms),
            _ => None,
        })
        .collect();
    assert_eq!(expected, vec![15, 30, 45, 60], "30 ms of work, two slots");
    let released = network
        .events
        .iter()
        .filter(|it| matches!(it.1, Event::OpeningReleased { .. }));
    assert_eq!(released.count(), 4);
}
