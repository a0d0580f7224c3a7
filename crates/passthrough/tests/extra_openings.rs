//! Openings that are offered to a second endpoint because the first answers late.

mod support;

use std::net::Ipv4Addr;

use passthrough::{Event, RequestKind};
use support::{Flags, SERVICE_ADDRESS, SimNetwork, agent_ip, caller, encode_packet};
use units::BasisPoints;

/// The first caller that opens a flow after the waits of openings are known.
const LATE_CALLER: u16 = 500;

/// Creates a network of one balancer and two endpoints with a route of the given kind, in which the
/// balancer knows the waits of 120 openings, most of them within the last ten seconds.
fn network_with_waits(kind: RequestKind, share: u16) -> SimNetwork {
    let mut network = SimNetwork::new(1, 2);
    network.update_catalog(&[0], |it| it.routes[0].requests.kind = kind);
    network.set_extra_openings(0, BasisPoints::new(share));
    for number in 0..120 {
        network
            .open_flow_with_sequence(0, caller(number))
            .expect("accepted");
    }
    network.advance_ms(300);
    network
}

/// Sends an opening packet and returns the numbers of the agents that it was and wasn't offered to.
fn send_opening(network: &mut SimNetwork, number: u16) -> (u8, u8) {
    let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    network.send_caller_packet(0, &syn);
    let placed = network.events.iter().rev().find_map(|it| match it.1 {
        Event::OpeningPlaced { agent, .. } => Some(agent),
        _ => None,
    });
    let first = u8::from(placed.expect("placed") == agent_ip(1));
    (first, 1 - first)
}

/// Returns the sequence numbers with which endpoints accepted a caller's flow, in order of arrival.
fn accepted_sequences(network: &SimNetwork, number: u16) -> Vec<u32> {
    let accepted = network
        .received
        .iter()
        .filter(|it| it.1.syn && it.1.ack && it.1.destination == caller(number));
    accepted.map(|it| it.1.sequence).collect()
}

fn request_count(network: &SimNetwork) -> usize {
    network.endpoints.values().map(|it| it.requests).sum()
}

/// Returns how many extra openings were made, refused for the budget, refused for load, and won.
fn outcomes(network: &SimNetwork) -> (u64, u64, u64, u64) {
    let it = network.balancer(0).counters();
    (
        it.extra_openings,
        it.extra_openings_refused_budget,
        it.extra_openings_refused_busy,
        it.extra_openings_won,
    )
}

#[test]
fn second_endpoint_answers_for_a_silent_one() {
    let mut network = network_with_waits(RequestKind::Idempotent, 500);
    let before = request_count(&network);
    let (first, second) = send_opening(&mut network, LATE_CALLER);
    let passed_on = network.agent(first).counters().passed_on;
    let endpoint = network.endpoints.get_mut(&agent_ip(first)).unwrap();
    endpoint.is_unresponsive = true;
    // The first agent notices after 30 ms that its endpoint is silent.
    network.advance_ms(15);
    let accepted = accepted_sequences(&network, LATE_CALLER);
    assert_eq!(accepted.len(), 1, "the second endpoint has answered");
    network.send_request(0, caller(LATE_CALLER), accepted[0], 1);
    network.advance_ms(60);
    assert_eq!(network.answer_count(caller(LATE_CALLER)), 1);
    assert_eq!(request_count(&network), before + 1);
    assert_eq!(
        network.holder_address(caller(LATE_CALLER)),
        Some(agent_ip(second))
    );
    assert_eq!(outcomes(&network), (1, 0, 0, 1));
    // The first agent neither passes the opening on nor expects its request, and still counts the miss.
    let agent = network.agent(first);
    assert_eq!(agent.running_request_count(), 0);
    assert_eq!(agent.counters().unanswered, 1);
    assert_eq!(network.endpoints[&agent_ip(second)].other_packets, 0);
    assert_eq!(agent.counters().passed_on, passed_on);
}

#[test]
fn request_runs_once_where_the_caller_opened_the_flow() {
    // Time for which the first agent's notice to the balancer waits, beside the extra opening.
    for wait_ms in [0, 3, 6, 10, 40] {
        let mut network = network_with_waits(RequestKind::Download, 500);
        let before = request_count(&network);
        let lookups = network.balancer(0).counters().lookups;
        let (first, _) = send_opening(&mut network, LATE_CALLER);
        network.link_waits.insert(agent_ip(first), wait_ms);
        network.advance_ms(20);
        let accepted = accepted_sequences(&network, LATE_CALLER);
        assert_eq!(accepted.len(), 1 + usize::from(wait_ms > 0), "{wait_ms}");
        for number in 1..=3 {
            network.send_request(0, caller(LATE_CALLER), accepted[0], number);
            network.advance_ms(200);
        }
        assert_eq!(
            network.answer_count(caller(LATE_CALLER)),
            3,
            "{wait_ms} ms of wait"
        );
        assert_eq!(request_count(&network), before + 3);
        let holder: Option<Ipv4Addr> = network.holder_address(caller(LATE_CALLER));
        assert_eq!(holder, Some(agent_ip(first)), "{wait_ms} ms of wait");
        assert_eq!(network.reset_count(caller(LATE_CALLER)), 0);
        // The notice of the endpoint that accepted second doesn't mislead the balancer.
        let is_first_noticed_first = wait_ms <= 6;
        let lookups = network.balancer(0).counters().lookups - lookups;
        assert_eq!(lookups, u64::from(!is_first_noticed_first), "{wait_ms}");
    }
}

#[test]
fn agent_that_is_told_to_give_up_expects_no_request() {
    let mut network = network_with_waits(RequestKind::Idempotent, 500);
    let (first, second) = send_opening(&mut network, LATE_CALLER);
    // The first agent's notice arrives after the extra opening was sent, and before it arrives.
    network.link_waits.insert(agent_ip(first), 4);
    network.link_waits.insert(agent_ip(second), 20);
    network.advance_ms(30);
    assert_eq!(accepted_sequences(&network, LATE_CALLER).len(), 2);
    network.advance_ms(60);
    assert_eq!(network.agent(second).running_request_count(), 0);
    assert_eq!(
        network.agent(first).running_request_count(),
        1,
        "the caller's request is expected where the flow is open"
    );
    assert_eq!(outcomes(&network), (1, 0, 0, 0));
}

#[test]
fn extra_openings_keep_to_the_route_and_the_limits() {
    let cases = [
        (RequestKind::Idempotent, 500, false, (1, 0, 0, 1)),
        (RequestKind::Download, 500, false, (1, 0, 0, 1)),
        (RequestKind::NonIdempotent, 2_000, false, (0, 0, 0, 0)),
        (RequestKind::Upload, 2_000, false, (0, 0, 0, 0)),
        (RequestKind::Idempotent, 0, false, (0, 0, 0, 0)),
        (RequestKind::Idempotent, 1, false, (0, 1, 0, 0)),
        (RequestKind::Idempotent, 2_000, true, (0, 0, 1, 0)),
    ];
    for (kind, share, is_busy, expected) in cases {
        let mut network = network_with_waits(kind, share);
        if is_busy {
            for endpoint in network.endpoints.values_mut() {
                endpoint.request_ms = 9_000;
            }
            for number in 200..204 {
                network
                    .open_flow_with_sequence(0, caller(number))
                    .expect("accepted");
            }
            network.advance_ms(4_000);
        }
        let (first, _) = send_opening(&mut network, LATE_CALLER);
        let endpoint = network.endpoints.get_mut(&agent_ip(first)).unwrap();
        endpoint.is_unresponsive = true;
        network.advance_ms(25);
        assert_eq!(
            outcomes(&network),
            expected,
            "{kind:?} with {share}, busy: {is_busy}"
        );
    }
}

#[test]
fn port_of_an_earlier_flow_opens_a_new_one() {
    let mut network = network_with_waits(RequestKind::Idempotent, 500);
    let (first, second) = send_opening(&mut network, LATE_CALLER);
    let endpoint = network.endpoints.get_mut(&agent_ip(first)).unwrap();
    endpoint.is_unresponsive = true;
    network.advance_ms(100);
    assert_eq!(outcomes(&network), (1, 0, 0, 1));
    // The agent that accepted the flow first moves to another service and returns the next opening.
    network.start_agent(second, "photos");
    let endpoint = network.endpoints.get_mut(&agent_ip(first)).unwrap();
    endpoint.is_unresponsive = false;
    for _ in 0..2 {
        send_opening(&mut network, LATE_CALLER);
        network.advance_ms(20);
    }
    let repeated = network.balancer(0).counters().openings_repeated;
    network.advance_ms(500);
    // The opening that was returned is offered again at once, so both are answered.
    assert_eq!(accepted_sequences(&network, LATE_CALLER).len(), 3);
    let counters = network.balancer(0).counters();
    assert_eq!(counters.openings_repeated, repeated, "the notice is taken");
}
