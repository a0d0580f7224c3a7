//! Openings of endpoints that have just started.

mod support;

use passthrough::{ColdStart, Event, ServiceKey};
use support::{
    Flags, SERVICE, SERVICE_ADDRESS, SimNetwork, agent_ip, balancer_ip, caller, encode_packet,
};
use units::{Millis, PerSecond};

/// Rate that a cold endpoint bears in these tests.
const RATE: u32 = 20;

fn state_rate(network: &mut SimNetwork, rate: u32) {
    network.update_catalog(&[0, 1], |catalog| {
        catalog.cold_starts = vec![ColdStart {
            service: ServiceKey::from_name(SERVICE),
            duration_ms: Millis::new(3_000),
            rate: PerSecond::new(rate),
        }];
    });
}

/// Writes the entry of an endpoint that started again and is cold.
fn restart_cold(network: &mut SimNetwork, number: u8, born_ms: u64, cold_left_ms: u64) {
    let is_it = |it: &&mut passthrough::Endpoint| it.agent_address() == agent_ip(number);
    network.update_catalog(&[0], |catalog| {
        for endpoint in catalog.endpoints.iter_mut().filter(is_it) {
            endpoint.born_ms = born_ms;
            endpoint.cold_left_ms = Millis::new(cold_left_ms);
        }
    });
}

/// Sends an opening each 5 ms, through two balancers by turns, and calls `act` before each.
///
/// Returns the times at which an endpoint received openings.
fn rush(
    network: &mut SimNetwork,
    endpoint: u8,
    ms: u64,
    first_caller: u16,
    mut act: impl FnMut(&mut SimNetwork, u64),
) -> Vec<u64> {
    let mut times = Vec::new();
    let begin = network.now;
    let mut number = first_caller;
    while network.now < begin + ms {
        let elapsed = network.now - begin;
        act(network, elapsed);
        let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        network.send_caller_packet(u8::try_from(number % 2).unwrap(), &syn);
        number += 1;
        for _ in 0..5 {
            let before = network.endpoints[&agent_ip(endpoint)].opened_flows;
            network.advance_ms(1);
            let after = network.endpoints[&agent_ip(endpoint)].opened_flows;
            times.extend(std::iter::repeat_n(network.now, after - before));
        }
    }
    times
}

/// Returns the largest number of openings in any sliding second.
fn busiest_second(times: &[u64]) -> usize {
    let counts = times.iter().map(|from| {
        let second = *from..from + 1_000;
        times.iter().filter(|it| second.contains(it)).count()
    });
    counts.max().unwrap_or_default()
}

#[test]
fn cold_endpoint_gets_no_more_than_its_rate_in_any_second() {
    let cases = [
        ("nothing else happens", RATE),
        ("the agent restarts", RATE + RATE / 2 + 5),
        ("a balancer restarts", RATE),
        ("messages arrive twice", RATE),
        ("a late balancer repeats older news", RATE),
        ("the endpoint becomes cold again", RATE),
    ];
    for (name, limit) in cases {
        let mut network = SimNetwork::new(2, 2);
        state_rate(&mut network, RATE);
        restart_cold(&mut network, 0, 2, 2_950);
        network.advance_ms(1_100);
        restart_cold(&mut network, 0, 3, 2_950);
        network.advance_ms(10);
        let times = rush(&mut network, 0, 2_900, 0, |network, elapsed| {
            match (name, elapsed) {
                ("the agent restarts", 700) => network.start_agent(0, SERVICE),
                ("a balancer restarts", 700) => network.start_balancer_without_store(1),
                ("messages arrive twice", _) => network.repeats_messages = true,
                ("a late balancer repeats older news", 0) => {
                    network.isolated.insert(balancer_ip(1));
                    restart_cold(network, 0, 4, 2_900);
                    network.advance_ms(10);
                    network.isolated.clear();
                    network.isolated.insert(balancer_ip(0));
                }
                ("the endpoint becomes cold again", 1_500) => restart_cold(network, 0, 3, 2_990),
                _ => {}
            }
        });
        let busiest = busiest_second(&times);
        assert!(busiest <= limit as usize, "{name}: {busiest}");
        assert!(times.len() > RATE as usize / 2, "{name}: {}", times.len());
    }
}

#[test]
fn endpoint_is_warm_after_its_time() {
    let mut network = SimNetwork::new(2, 2);
    state_rate(&mut network, RATE);
    restart_cold(&mut network, 0, 2, 1_500);
    network.advance_ms(10);
    rush(&mut network, 0, 1_400, 0, |_, _| {});
    let paced = network.agent(0).counters().paced;
    assert!(paced > 0);
    network.advance_ms(1_200);
    let times = rush(&mut network, 0, 1_500, 1_000, |_, _| {});
    assert!(busiest_second(&times) > RATE as usize * 2);
    assert_eq!(network.agent(0).counters().paced, paced);
    let reported = network.events.iter().filter_map(|it| match it.1 {
        Event::EndpointCold {
            left_ms,
            rate,
            is_learned,
        } => Some((left_ms, rate, is_learned)),
        Event::EndpointWarm { .. } => Some((0, 0, false)),
        _ => None,
    });
    assert_eq!(
        reported.collect::<Vec<_>>(),
        [(1_500, RATE, false), (0, 0, false)]
    );
}

#[test]
fn endpoints_of_a_zone_that_is_taken_back_are_paced_until_they_have_said_how_warm_they_are() {
    let mut network = SimNetwork::new(2, 2);
    state_rate(&mut network, RATE);
    let zone = network.catalog.endpoints[0].zone;
    let number = network.catalog.endpoints[0].agent_address().octets()[3];
    network.update_catalog(&[0], |catalog| catalog.evacuated_zones = vec![zone]);
    network.advance_ms(1_100);
    network.update_catalog(&[0], |catalog| catalog.evacuated_zones.clear());
    network.advance_ms(5);
    let times = rush(&mut network, number, 2_900, 0, |network, elapsed| {
        if elapsed == 1_000 {
            restart_cold(network, number, 1, 2_000);
        }
    });
    assert!(busiest_second(&times) <= RATE as usize);
    assert!(!times.is_empty());
}

#[test]
fn pace_is_learned_where_no_rate_is_stated() {
    // Each endpoint has two slots, so one bears 20 requests a second of 100 ms, or 100 of 20 ms.
    for (request_ms, at_least, at_most) in [(100, 18, 24), (20, 90, 110)] {
        let mut network = SimNetwork::new(2, 2);
        state_rate(&mut network, 0);
        for endpoint in network.endpoints.values_mut() {
            endpoint.request_ms = request_ms;
            endpoint.slots = 2;
        }
        restart_cold(&mut network, 0, 2, 5_000);
        network.advance_ms(10);
        let mut answered = 0;
        let times = rush(&mut network, 0, 4_900, 0, |network, _| {
            // Callers send their request as soon as their flow is open.
            let opened = network.received[answered..].to_vec();
            answered = network.received.len();
            for (_, segment) in opened.iter().filter(|it| it.1.syn) {
                network.send_request(0, segment.destination, segment.sequence, 1);
            }
        });
        let busiest = busiest_second(&times);
        assert!(
            (at_least..=at_most).contains(&busiest),
            "{busiest} openings of {request_ms} ms"
        );
    }
}

#[test]
fn endpoint_that_crashed_is_paced_before_it_has_said_so() {
    let mut network = SimNetwork::new(2, 2);
    state_rate(&mut network, RATE);
    network.advance_ms(1_100);
    let sequence = network.open_flow_with_sequence(0, caller(1)).unwrap();
    network.advance_ms(20);
    let holder = network.holder_address(caller(1)).unwrap();
    network.endpoints.get_mut(&holder).unwrap().restart();
    network.send_request(0, caller(1), sequence, 2);
    network.advance_ms(20);
    let number = holder.octets()[3];
    let times = rush(&mut network, number, 1_900, 10, |_, _| {});
    assert!(busiest_second(&times) <= RATE as usize, "{}", times.len());
    assert!(!times.is_empty());
}

#[test]
fn agent_that_nobody_told_takes_few_openings() {
    let mut network = SimNetwork::new(2, 2);
    network.advance_ms(300);
    network.start_agent(0, SERVICE);
    // No notice reaches the agent, and openings do.
    let times = rush(&mut network, 0, 400, 0, |_, _| {});
    assert!(busiest_second(&times) <= 5, "{}", times.len());
}
