//! Lookup of the endpoint that holds a flow unknown to a balancer.

mod support;

use std::collections::BTreeSet;

use passthrough::{Event, ResetReason};
use support::{Flags, SimNetwork, agent_ip, balancer_ip, caller, encode_packet};

/// Opens flows until one is held by an endpoint whose number satisfies `wanted`. Returns the
/// endpoint's number, the flow's caller and the endpoint's sequence number.
fn open_flow_at(
    network: &mut SimNetwork,
    wanted: impl Fn(u8) -> bool,
) -> (u8, std::net::SocketAddrV4, u32) {
    for number in 0..200 {
        let caller = caller(number);
        let sequence = network
            .open_flow_with_sequence(0, caller)
            .expect("an endpoint accepts");
        network.advance_ms(50);
        let holder = network
            .holder_address(caller)
            .expect("the flow is open")
            .octets()[3];
        if wanted(holder) {
            return (holder, caller, sequence);
        }
    }
    panic!("no endpoint satisfied the condition within 200 flows");
}

#[test]
fn any_balancer_finds_the_holder_of_a_flow() {
    let mut network = SimNetwork::new(3, 7);
    let callers: Vec<_> = (0..40).map(caller).collect();
    let sequences: Vec<_> = callers
        .iter()
        .map(|it| network.open_flow_with_sequence(0, *it).unwrap())
        .collect();
    for (caller, sequence) in callers.iter().zip(&sequences) {
        network.send_request(1, *caller, *sequence, 2);
        network.advance_ms(40);
        network.send_request(2, *caller, *sequence, 3);
        network.advance_ms(40);
    }
    for caller in &callers {
        assert_eq!(network.answer_count(*caller), 3, "{caller}");
        assert_eq!(network.reset_count(*caller), 0, "{caller}");
    }
}

#[test]
fn flows_survive_agent_and_balancer_restarts() {
    let mut network = SimNetwork::new(2, 5);
    let sequence = network.open_flow_with_sequence(0, caller(1)).unwrap();
    network.advance_ms(50);
    for number in 0..5 {
        network.start_agent(number, support::SERVICE);
    }
    network.start_balancer(0);
    network.advance_ms(1_200);
    network.send_request(0, caller(1), sequence, 2);
    network.advance_ms(50);
    assert_eq!(network.answer_count(caller(1)), 2);
    assert_eq!(network.reset_count(caller(1)), 0);
}

#[test]
fn retired_holder_is_found_by_a_new_balancer() {
    let mut network = SimNetwork::new(2, 7);
    let (holder, caller, sequence) = open_flow_at(&mut network, |_| true);
    network.update_catalog(&[0, 1], |catalog| {
        catalog
            .endpoints
            .retain(|it| it.agent_address() != agent_ip(holder));
    });
    network.advance_ms(500);
    // The store no longer lists the endpoint that holds the flow, but the endpoint still runs.
    network.start_balancer(1);
    network.advance_ms(1_500);
    let before = network.answer_count(caller);
    network.send_request(1, caller, sequence, 2);
    network.advance_ms(100);
    assert_eq!(network.answer_count(caller), before + 1);
}

#[test]
fn dead_agent_does_not_prevent_a_lookup() {
    for dead in 0..7 {
        let mut network = SimNetwork::new(2, 7);
        let (_, caller, sequence) = open_flow_at(&mut network, |it| it != dead);
        let before = network.answer_count(caller);
        network.kill_agent(dead);
        network.start_balancer(1);
        // The caller retransmits its request after 200 and 400 ms.
        for pause_ms in [200, 400, 100] {
            network.send_request(1, caller, sequence, 2);
            network.advance_ms(pause_ms);
        }
        assert!(
            network.answer_count(caller) > before,
            "agent {dead} is dead"
        );
        assert_eq!(network.reset_count(caller), 0, "agent {dead} is dead");
    }
}

#[test]
fn lost_flow_is_reset_by_its_agent() {
    let mut network = SimNetwork::new(1, 3);
    let (holder, caller, sequence) = open_flow_at(&mut network, |_| true);
    network
        .endpoints
        .get_mut(&agent_ip(holder))
        .unwrap()
        .restart();
    network.send_request(0, caller, sequence, 2);
    network.advance_ms(20);
    assert_eq!(network.reset_count(caller), 1);
    let reset = network.events.iter().any(|it| {
        matches!(
            it.1,
            Event::ResetSent {
                reason: ResetReason::EndpointForgot,
                ..
            }
        )
    });
    assert!(reset);
}

#[test]
fn flow_without_holder_is_reset_after_two_failed_lookups() {
    let mut network = SimNetwork::new(1, 3);
    let (holder, caller, sequence) = open_flow_at(&mut network, |_| true);
    network
        .endpoints
        .get_mut(&agent_ip(holder))
        .unwrap()
        .restart();
    for number in 0..3 {
        network.start_agent(number, support::SERVICE);
    }
    network.start_balancer(0);
    network.advance_ms(100);
    network.send_request(0, caller, sequence, 2);
    network.advance_ms(100);
    assert_eq!(
        network.reset_count(caller),
        0,
        "one failed lookup proves nothing"
    );
    // The balancer retries the lookup on its own, before the caller retransmits after 200 ms.
    network.advance_ms(90);
    assert_eq!(network.reset_count(caller), 1);
}

#[test]
fn store_confirmation_proves_that_a_flow_has_no_holder() {
    for newer in [false, true] {
        let mut network = SimNetwork::new(1, 3);
        let (holder, caller, sequence) = open_flow_at(&mut network, |_| true);
        network
            .endpoints
            .get_mut(&agent_ip(holder))
            .unwrap()
            .restart();
        for number in 0..3 {
            network.start_agent(number, support::SERVICE);
        }
        network.start_balancer(0);
        network.advance_ms(100);
        network.send_request(0, caller, sequence, 2);
        network.advance_ms(20);
        let asked = network
            .take_confirmation_request(0)
            .expect("a lookup failed");
        network.advance_ms(5);
        if newer {
            // The store then confirms a catalog revision that the balancer has replaced.
            network.update_catalog(&[0], |_| {});
        }
        network.confirm_revision(0, asked);
        network.advance_ms(5);
        assert_eq!(network.reset_count(caller), usize::from(!newer));
    }
}

#[test]
fn flow_is_not_reset_while_an_agent_is_unreachable() {
    let mut network = SimNetwork::new(1, 3);
    let (holder, caller, sequence) = open_flow_at(&mut network, |_| true);
    network.isolated.insert(agent_ip(holder));
    network.start_balancer(0);
    for _ in 0..6 {
        network.send_request(0, caller, sequence, 2);
        network.advance_ms(300);
        // The store keeps confirming that the balancer's catalog is the newest.
        network.deliver_catalog(0);
    }
    assert_eq!(network.reset_count(caller), 0, "the holder was not asked");
    network.isolated.clear();
    network.send_request(0, caller, sequence, 2);
    network.advance_ms(50);
    assert_eq!(network.answer_count(caller), 2);
}

#[test]
fn lookups_reach_only_endpoints_of_the_flows_service() {
    let mut network = SimNetwork::new(1, 4);
    network.update_catalog(&[0], |_| {});
    network.add_endpoint(9, "photos");
    network.update_catalog(&[0], |_| {});
    let sequence = network.open_flow_with_sequence(0, caller(1)).unwrap();
    network.start_balancer(0);
    network.send_request(0, caller(1), sequence, 2);
    network.advance_ms(100);
    let photos = &network.endpoints[&agent_ip(9)];
    assert_eq!(
        (photos.openings, photos.requests, photos.other_packets),
        (0, 0, 0)
    );
    let heard: BTreeSet<_> = network.events.iter().map(|it| it.0).collect();
    assert!(heard.contains(&balancer_ip(0)));
}

#[test]
fn balancer_sends_one_copy_per_lookup() {
    let mut network = SimNetwork::new(1, 30);
    let sequence = network.open_flow_with_sequence(0, caller(1)).unwrap();
    network.advance_ms(50);
    network.start_balancer(0);
    network.advance_ms(1_200);
    let before = network.sent_bytes(balancer_ip(0));
    let request = support::encode_packet(
        caller(1),
        support::SERVICE_ADDRESS,
        support::Flags::ACK,
        100,
        sequence + 1,
        1_200,
    );
    network.send_caller_packet(0, &request);
    let sent = network.sent_bytes(balancer_ip(0)) - before;
    assert!(sent < 1_500, "{sent} bytes sent for one packet");
    network.advance_ms(50);
    assert_eq!(network.answer_count(caller(1)), 2);
}

/// Guards against a reset of a live flow by a restarted balancer. The balancer reads the catalog
/// from the store before its peers tell it of a retired endpoint that still holds the flow (soak
/// seed 324).
#[test]
fn new_balancer_sends_no_reset_before_it_knows_retired_endpoints() {
    let mut network = SimNetwork::new(3, 3);
    let (holder, caller, sequence) = open_flow_at(&mut network, |_| true);
    network.update_catalog(&[0, 1, 2], |catalog| {
        catalog
            .endpoints
            .retain(|it| it.agent_address() != agent_ip(holder));
    });
    network.advance_ms(50);
    // At first, neither the balancer's seed nor the other balancer receives its messages.
    network.isolated.extend([balancer_ip(0), balancer_ip(1)]);
    network.start_balancer(2);
    network.advance_ms(10);
    network.send_request(2, caller, sequence, 2);
    network.advance_ms(30);
    let asked = network
        .take_confirmation_request(2)
        .expect("a lookup failed");
    network.confirm_revision(2, asked);
    network.advance_ms(170);
    assert_eq!(
        network.reset_count(caller),
        0,
        "the retired endpoints are not known yet"
    );
    network.isolated.clear();
    network.advance_ms(600);
    network.send_request(2, caller, sequence, 2);
    network.advance_ms(300);
    assert_eq!(network.reset_count(caller), 0);
    assert!(network.answer_count(caller) > 0, "the holder is found");
}

/// Guards against resetting a flow whose endpoint's entry is restored after the lookup failed, but
/// before the store confirmed the catalog.
#[test]
fn added_endpoints_are_asked_before_a_reset() {
    let mut network = SimNetwork::new(1, 3);
    let (holder, caller, sequence) = open_flow_at(&mut network, |_| true);
    let full = network.catalog.endpoints.clone();
    network
        .catalog
        .endpoints
        .retain(|it| it.agent_address() != agent_ip(holder));
    network.start_balancer(0);
    network.advance_ms(100);
    network.isolated.insert(agent_ip(holder));
    network.send_request(0, caller, sequence, 2);
    network.advance_ms(20);
    network.update_catalog(&[0], |catalog| catalog.endpoints = full);
    let asked = network
        .take_confirmation_request(0)
        .expect("a lookup failed");
    network.confirm_revision(0, asked);
    network.advance_ms(5);
    assert_eq!(
        network.reset_count(caller),
        0,
        "the restored endpoint was not asked"
    );
    network.isolated.clear();
    network.advance_ms(200);
    network.send_request(0, caller, sequence, 2);
    network.advance_ms(50);
    assert_eq!(network.reset_count(caller), 0);
    assert!(network.answer_count(caller) > 0, "the holder is found");
}

/// Checks that a balancer that has never seen a flow finds its holder among `endpoints` endpoints
/// within the two retransmissions that follow a request of `data_bytes`.
fn check_holder_found(endpoints: u8, data_bytes: u16) {
    let mut network = SimNetwork::new(2, endpoints);
    for number in 0..12 {
        let caller = caller(number);
        let sequence = network.open_flow_with_sequence(0, caller).unwrap();
        network.advance_ms(50);
        let packet = encode_packet(
            caller,
            support::SERVICE_ADDRESS,
            Flags::ACK,
            21,
            sequence + 1,
            data_bytes,
        );
        network.send_caller_packet(1, &packet);
        network.advance_ms(200);
        assert_eq!(
            network.answer_count(caller),
            2,
            "{endpoints} endpoints, {data_bytes} bytes, flow {number}"
        );
    }
}

#[test]
fn holder_is_found_in_a_service_of_any_size() {
    check_holder_found(56, 10);
    check_holder_found(57, 10);
    check_holder_found(109, 10);
    check_holder_found(109, 1_200);
    check_holder_found(190, 1_200);
}

#[test]
fn flow_without_holder_is_reset_in_a_large_service() {
    for data_bytes in [10, 1_200] {
        let mut network = SimNetwork::new(1, 109);
        let dead_flow = encode_packet(
            caller(7),
            support::SERVICE_ADDRESS,
            Flags::ACK,
            500,
            900,
            data_bytes,
        );
        network.confirm_unchanged_catalog(0);
        network.send_caller_packet(0, &dead_flow);
        network.advance_ms(400);
        assert_eq!(network.reset_count(caller(7)), 1, "{data_bytes} bytes");
    }
}

/// Guards against a reset of a live flow because the end of one chain of agents was reported twice and
/// counted for another chain, whose agent was not reached.
#[test]
fn repeated_reports_of_one_chain_prove_nothing() {
    let mut network = SimNetwork::new(1, 9);
    let (holder, caller, sequence) = open_flow_at(&mut network, |_| true);
    network.start_balancer(0);
    network.advance_ms(1_400);
    network.isolated.insert(agent_ip(holder));
    network.repeats_messages = true;
    for _ in 0..6 {
        network.send_request(0, caller, sequence, 2);
        network.advance_ms(300);
        network.deliver_catalog(0);
    }
    assert_eq!(network.reset_count(caller), 0, "the holder was not asked");
}
