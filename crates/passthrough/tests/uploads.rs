//! Long uploads through balancers with narrow links.

mod support;

use support::{Flags, SERVICE_ADDRESS, SimNetwork, balancer_ip, caller, encode_packet};

/// Number of data packets in each upload.
const UPLOAD_PACKETS: u32 = 40;

/// Creates a network whose only balancer has a link of `link_mbps`.
fn network_with_link(link_mbps: u32) -> SimNetwork {
    let mut network = SimNetwork::new(0, 2);
    network.links.insert(0, link_mbps);
    network.start_balancer(0);
    network.advance_ms(2_100);
    network
}

/// Opens a flow without sending a request, and returns the endpoint's sequence number.
fn open_flow(network: &mut SimNetwork, number: u16) -> u32 {
    let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    network.send_caller_packet(0, &syn);
    network.advance_ms(15);
    let mut accepted = network.received.iter().rev().map(|it| it.1);
    let accepted = accepted.find(|it| it.syn && it.destination == caller(number));
    accepted.expect("accepted").sequence
}

fn send_data(network: &mut SimNetwork, number: u16, sequence: u32, idx: u32) {
    let at = 1 + idx * 10;
    let bytes = encode_packet(
        caller(number),
        SERVICE_ADDRESS,
        Flags::ACK,
        at,
        sequence + 1,
        10,
    );
    network.send_caller_packet(0, &bytes);
}

/// Lets ten callers upload concurrently, and returns how many of their data packets reached
/// endpoints.
fn count_delivered_of_ten_uploads(network: &mut SimNetwork) -> usize {
    let flows: Vec<(u16, u32)> = (0..10).map(|it| (it, open_flow(network, it))).collect();
    for idx in 0..UPLOAD_PACKETS {
        for (number, sequence) in &flows {
            send_data(network, *number, *sequence, idx);
        }
        network.advance_ms(5);
    }
    network.endpoints.values().map(|it| it.requests).sum()
}

/// Guards against congestion after an outage: all callers upload at once, and the queueing delay of
/// their windows exceeds the 200 ms after which they retransmit.
#[test]
fn narrow_link_limits_concurrent_uploads() {
    let mut network = network_with_link(11);
    let delivered = count_delivered_of_ten_uploads(&mut network);
    // Eight packets of each flow pass before the flow counts as an upload; then four of the ten
    // uploads continue.
    assert_eq!(delivered, 10 * 8 + 4 * 32);
}

#[test]
fn wide_link_forwards_all_uploads() {
    let mut network = network_with_link(200);
    assert_eq!(count_delivered_of_ten_uploads(&mut network), 10 * 40);
}

#[test]
fn short_requests_are_forwarded_while_uploads_wait() {
    let mut network = network_with_link(11);
    count_delivered_of_ten_uploads(&mut network);
    for number in 20..30 {
        let sequence = open_flow(&mut network, number);
        network.send_request(0, caller(number), sequence, 1);
        network.advance_ms(10);
        assert_eq!(network.answer_count(caller(number)), 1, "request {number}");
    }
}

#[test]
fn waiting_uploads_continue_after_others_end() {
    let mut network = network_with_link(11);
    count_delivered_of_ten_uploads(&mut network);
    let before: usize = network.endpoints.values().map(|it| it.requests).sum();
    // The first four uploads end; then the callers of four waiting uploads retransmit.
    for number in 0..4 {
        let next = endpoint_sequence_of(&network, number) + 1;
        let fin = encode_packet(caller(number), SERVICE_ADDRESS, Flags::FIN, 401, next, 0);
        network.send_caller_packet(0, &fin);
    }
    for number in 4..8 {
        let sequence = endpoint_sequence_of(&network, number);
        send_data(&mut network, number, sequence, 8);
    }
    network.advance_ms(10);
    let after: usize = network.endpoints.values().map(|it| it.requests).sum();
    assert_eq!(after - before, 4);
    assert_eq!(
        network.balancer(0).counters().uploads_held_back,
        6 * 32,
        "at {}",
        balancer_ip(0)
    );
}

fn endpoint_sequence_of(network: &SimNetwork, number: u16) -> u32 {
    let mut accepted = network.received.iter().map(|it| it.1);
    let accepted = accepted.find(|it| it.syn && it.destination == caller(number));
    accepted.expect("accepted").sequence
}
