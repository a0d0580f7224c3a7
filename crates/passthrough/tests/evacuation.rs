//! Availability zones that the operator takes out of use.

mod support;

use passthrough::{EndpointState, Event, ResetReason, ZoneKey};
use support::{Flags, SERVICE_ADDRESS, SimNetwork, agent_ip, balancer_ip, caller, encode_packet};

fn zone(name: &str) -> ZoneKey {
    ZoneKey::from_name(name)
}

/// Creates a network whose endpoints are spread over the zones `a`, `b` and `c` by turns.
fn network_of_three_zones(balancers: u8, endpoints: u8) -> SimNetwork {
    let mut network = SimNetwork::new(balancers, endpoints);
    let readers: Vec<u8> = (0..balancers).collect();
    network.update_catalog(&readers, |catalog| {
        for endpoint in &mut catalog.endpoints {
            let name = zone_of(endpoint.agent_address().octets()[3]);
            endpoint.zone = zone(name);
        }
    });
    network.advance_ms(1_100);
    network
}

const fn zone_of(number: u8) -> &'static str {
    ["a", "b", "c"][number as usize % 3]
}

fn evacuate(network: &mut SimNetwork, readers: &[u8], zones: &[&str]) {
    network.update_catalog(readers, |catalog| {
        catalog.evacuated_zones = zones.iter().map(|it| zone(it)).collect();
    });
}

/// Returns the number of opening packets that the endpoints of each zone received.
fn openings_by_zone(network: &SimNetwork) -> [usize; 3] {
    let mut openings = [0; 3];
    for (ip, endpoint) in &network.endpoints {
        openings[usize::from(ip.octets()[3] % 3)] += endpoint.openings;
    }
    openings
}

fn send_opening(network: &mut SimNetwork, balancer: u8, number: u16) {
    let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    network.send_caller_packet(balancer, &syn);
}

/// Opens flows, each after the one before counts no longer as an expected request, and returns how
/// many openings each zone got meanwhile.
fn open_flows(network: &mut SimNetwork, balancer: u8, numbers: std::ops::Range<u16>) -> [usize; 3] {
    let before = openings_by_zone(network);
    for number in numbers {
        send_opening(network, balancer, number);
        network.advance_ms(300);
    }
    let after = openings_by_zone(network);
    [0, 1, 2].map(|idx| after[idx] - before[idx])
}

#[test]
fn zone_out_of_use_gets_no_openings_and_the_others_share_them() {
    let mut network = network_of_three_zones(2, 9);
    assert_eq!(open_flows(&mut network, 1, 0..60), [60, 0, 0]);
    evacuate(&mut network, &[0], &["a"]);
    network.advance_ms(20);
    let [out, first, second] = open_flows(&mut network, 1, 100..160);
    assert_eq!((out, first + second), (0, 60));
    assert!(first.min(second) >= 20, "{first} and {second} of 60");
    let counters = network.balancer(1).counters();
    assert_eq!(counters.openings_out_of_zone, 60);
    evacuate(&mut network, &[0], &[]);
    network.advance_ms(20);
    assert_eq!(open_flows(&mut network, 1, 200..230), [30, 0, 0]);
}

#[test]
fn agents_refuse_openings_of_balancers_that_have_not_heard() {
    let mut network = network_of_three_zones(2, 6);
    network.isolated.insert(balancer_ip(1));
    evacuate(&mut network, &[0], &["a"]);
    network.advance_ms(20);
    network.isolated.clear();
    network.isolated.insert(balancer_ip(0));
    // The notices of the second balancer have an older revision.
    let [out, first, second] = open_flows(&mut network, 1, 0..60);
    let revision = network.balancer(1).catalog_view().catalog().revision;
    assert!(revision < network.catalog.revision);
    assert_eq!((out, first + second), (0, 60));
}

#[test]
fn open_flows_stay_in_a_zone_out_of_use() {
    let mut network = network_of_three_zones(1, 6);
    let sequence = network.open_flow_with_sequence(0, caller(1)).unwrap();
    network.advance_ms(20);
    evacuate(&mut network, &[0], &["a"]);
    for number in 2..12 {
        network.advance_ms(500);
        network.send_request(0, caller(1), sequence, number);
    }
    network.advance_ms(20);
    assert_eq!(network.answer_count(caller(1)), 11);
    let holder = network.holder_address(caller(1)).unwrap();
    assert_eq!(zone_of(holder.octets()[3]), "a");
}

#[test]
fn reused_port_of_a_closed_flow_opens_no_flow_in_a_zone_out_of_use() {
    for (agents_restart, balancer_has_heard) in [(false, true), (true, true), (false, false)] {
        let case = format!("{agents_restart} {balancer_has_heard}");
        let mut network = network_of_three_zones(2, 6);
        let sequence = network.open_flow_with_sequence(1, caller(1)).unwrap();
        network.advance_ms(20);
        let fin = encode_packet(caller(1), SERVICE_ADDRESS, Flags::FIN, 21, sequence + 1, 0);
        network.send_caller_packet(1, &fin);
        network.advance_ms(20);
        if !balancer_has_heard {
            network.isolated.insert(balancer_ip(1));
        }
        evacuate(&mut network, &[0], &["a"]);
        network.advance_ms(20);
        network.isolated.clear();
        if agents_restart {
            for number in [0, 3] {
                network.start_agent(number, support::SERVICE);
            }
        }
        assert_eq!(open_flows(&mut network, 1, 1..2)[0], 0, "{case}");
    }
}

#[test]
fn unopened_flow_is_reset_only_if_all_that_would_take_it_is_out_of_use() {
    // Zones out of use and draining ones, the balancer's uptime, and the expected resets and openings.
    type Case = (
        &'static [&'static str],
        &'static [&'static str],
        u64,
        usize,
        usize,
    );
    let cases: [Case; 5] = [
        (&["a", "b", "c"], &[], 4_000, 1, 0),
        (&["a", "b"], &["c"], 4_000, 1, 0),
        (&["a", "b"], &[], 4_000, 0, 1),
        (&[], &["a", "b", "c"], 4_000, 0, 0),
        (&["a", "b", "c"], &[], 100, 0, 0),
    ];
    for (idx, (evacuated, draining, uptime_ms, resets, openings)) in cases.iter().enumerate() {
        let mut network = network_of_three_zones(1, 6);
        network.update_catalog(&[0], |catalog| {
            catalog.evacuated_zones = evacuated.iter().map(|it| zone(it)).collect();
            for endpoint in &mut catalog.endpoints {
                let name = zone_of(endpoint.agent_address().octets()[3]);
                if draining.contains(&name) {
                    endpoint.state = EndpointState::Draining;
                }
            }
        });
        network.start_balancer(0);
        for _ in 0..uptime_ms / 100 {
            network.advance_ms(100);
            network.confirm_unchanged_catalog(0);
        }
        let opened = open_flows(&mut network, 0, 1..2);
        assert_eq!(network.reset_count(caller(1)), *resets, "case {idx}");
        assert_eq!(opened.iter().sum::<usize>(), *openings, "case {idx}");
        let reason = ResetReason::ZonesOutOfUse;
        let is_reset =
            |it: &&(_, Event)| matches!(it.1, Event::ResetSent { reason: it, .. } if it == reason);
        let events = network.events.iter().filter(is_reset).count();
        assert_eq!(events, *resets, "case {idx}");
    }
}

#[test]
fn large_service_is_placed_outside_a_zone_that_surrounds_the_flow_on_the_ring() {
    let mut network = SimNetwork::new(1, 200);
    network.update_catalog(&[0], |catalog| {
        for endpoint in &mut catalog.endpoints {
            let is_outside = endpoint.agent_address() == agent_ip(7);
            endpoint.zone = zone(if is_outside { "b" } else { "a" });
        }
        catalog.evacuated_zones = vec![zone("a")];
    });
    network.advance_ms(4_000);
    for number in 0..20 {
        send_opening(&mut network, 0, number);
        network.advance_ms(300);
        assert_eq!(network.reset_count(caller(number)), 0, "flow {number}");
    }
    assert_eq!(network.endpoints[&agent_ip(7)].openings, 20);
}

#[test]
fn zones_out_of_use_reach_all_balancers() {
    let check = |network: &SimNetwork, numbers: std::ops::Range<u8>, is_out| {
        for number in numbers {
            let catalog = network.balancer(number).catalog_view().catalog();
            assert_eq!(catalog.is_evacuated(zone("b")), is_out, "balancer {number}");
        }
    };
    let mut network = network_of_three_zones(5, 6);
    let whole_copies = network.balancer(2).counters().catalogs_sent;
    network.freeze_balancer(4);
    network.isolated.insert(balancer_ip(3));
    evacuate(&mut network, &[2], &["b"]);
    network.advance_ms(20);
    check(&network, 0..3, true);
    let counters = network.balancer(2).counters();
    assert_eq!(counters.catalogs_sent, whole_copies);
    assert!(counters.deltas_sent > 0);
    // A balancer that was cut off pulls the change; one that starts without the store gets it with
    // the whole list.
    network.isolated.clear();
    network.start_balancer_without_store(4);
    network.advance_ms(1_200);
    check(&network, 3..5, true);
    // All balancers restart while the store is away for all but one.
    for number in 0..5 {
        network.start_balancer_without_store(number);
    }
    network.deliver_catalog(1);
    network.advance_ms(1_200);
    check(&network, 0..5, true);
    evacuate(&mut network, &[4], &[]);
    network.advance_ms(20);
    check(&network, 0..5, false);
}

#[test]
fn zones_out_of_use_are_reported() {
    let mut network = network_of_three_zones(1, 6);
    evacuate(&mut network, &[0], &["b"]);
    network.advance_ms(700);
    evacuate(&mut network, &[0], &["b", "moon"]);
    let now = units::Millis::new(network.now);
    let (count, longest) = network.balancer(0).zones_out_of_use(now);
    assert_eq!((count, longest.get()), (2, 700));
    evacuate(&mut network, &[0], &["moon"]);
    let first = network.catalog.revision.get() - 2;
    let reports = network.events.iter().filter_map(|it| match it.1 {
        Event::ZoneOutOfUse {
            zone,
            endpoints,
            endpoints_elsewhere,
            revision,
        } => Some((
            "out",
            zone,
            revision - first,
            endpoints,
            endpoints_elsewhere,
        )),
        Event::ZoneBackInUse {
            zone,
            after_ms: 700,
            revision,
        } => Some(("back", zone, revision - first, 0, 0)),
        Event::ZoneUnknown { zone, revision } => Some(("unknown", zone, revision - first, 0, 0)),
        _ => None,
    });
    let expected = [
        ("out", zone("b"), 0, 2, 4),
        ("out", zone("moon"), 1, 0, 6),
        ("unknown", zone("moon"), 1, 0, 0),
        ("back", zone("b"), 2, 0, 0),
    ];
    assert_eq!(reports.collect::<Vec<_>>(), expected);
}
