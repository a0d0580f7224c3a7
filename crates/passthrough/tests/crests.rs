//! Crests that fill the endpoints of one availability zone while others have room.

mod support;

use support::{Flags, SERVICE_ADDRESS, SimNetwork, caller, encode_packet};

/// Endpoints, half of them in the zone of the only balancer, with two slots each.
const ENDPOINTS: u8 = 24;

/// Opens a flow and sends a request on it, without waiting for the answer.
fn start_request(network: &mut SimNetwork, number: u16) {
    let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    network.send_caller_packet(0, &syn);
    network.advance_ms(14);
    let mut accepted = network.received.iter().rev().map(|it| it.1);
    let accepted = accepted
        .find(|it| it.syn && it.destination == caller(number))
        .expect("an endpoint accepts");
    network.send_request(0, caller(number), accepted.sequence, 1);
    network.advance_ms(2);
}

fn network_with_slow_requests() -> SimNetwork {
    let mut network = SimNetwork::new(1, ENDPOINTS);
    for endpoint in network.endpoints.values_mut() {
        endpoint.request_ms = 5_000;
    }
    network
}

/// Returns the numbers of requests that run at endpoints of the balancer's zone and at others, and
/// the number of requests that wait for a slot.
fn requests_by_zone(network: &SimNetwork) -> (usize, usize, usize) {
    let counts: Vec<usize> = network.endpoints.values().map(|it| it.requests).collect();
    let of = |parity| counts.iter().skip(parity).step_by(2).map(|it| *it.min(&2));
    let waiting = counts.iter().map(|it| it.saturating_sub(2)).sum();
    (of(0).sum(), of(1).sum(), waiting)
}

/// A list of candidates of the own zone alone queues requests there, since the zone has more
/// endpoints than the list has places.
#[test]
fn crest_of_one_zone_uses_free_slots_of_others() {
    for pause_ms in [0, 2_500] {
        let mut network = network_with_slow_requests();
        for number in 0..20 {
            start_request(&mut network, number);
        }
        // After the pause, the reports show the crest; before, they don't.
        network.advance_ms(pause_ms);
        for number in 20..40 {
            start_request(&mut network, number);
        }
        let (own, others, waiting) = requests_by_zone(&network);
        assert_eq!((own + others, waiting), (40, 0), "after {pause_ms} ms");
    }
}

#[test]
fn zone_with_room_keeps_its_openings() {
    let mut network = network_with_slow_requests();
    for number in 0..12 {
        start_request(&mut network, number);
        network.advance_ms(200);
    }
    assert_eq!(requests_by_zone(&network), (12, 0, 0));
}
