//! The report where an opening would go now.

mod support;

use std::collections::BTreeSet;

use passthrough::{
    EndpointState, Event, Flow, LeftOutReason, PlacementOutcome, PlacementReport, RouteTarget,
    ServiceKey, ServiceRule, ZoneKey,
};
use support::{
    Flags, SERVICE, SERVICE_ADDRESS, SimNetwork, agent_ip, balancer_ip, caller, encode_packet,
};
use units::Millis;

const fn flow(number: u16) -> Flow {
    Flow {
        caller: caller(number),
        service_address: SERVICE_ADDRESS,
    }
}

/// Asks the first balancer, and checks that the question leaves the balancer's whole state as it was.
fn ask(network: &SimNetwork, flow: Flow) -> PlacementReport {
    let balancer = network.balancer(0);
    let before = (format!("{balancer:?}"), network.sent_bytes(balancer_ip(0)));
    let report = balancer.report_placement(Millis::new(network.now), flow);
    let after = (format!("{balancer:?}"), network.sent_bytes(balancer_ip(0)));
    assert_eq!(before, after);
    report
}

/// Sends an opening, and returns the agent to which it went first and the number of candidates.
fn place_opening(network: &mut SimNetwork, number: u16) -> (std::net::Ipv4Addr, usize) {
    let syn = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    network.send_caller_packet(0, &syn);
    network.advance_ms(2);
    let name = flow(number);
    let placed = network.events.iter().find_map(|it| match it.1 {
        Event::OpeningPlaced {
            flow,
            agent,
            candidates,
            ..
        } if flow == name => Some((agent, usize::from(candidates))),
        _ => None,
    });
    placed.unwrap()
}

/// Creates a network with endpoints in the zones `a`, `b` and `c`, of which `c` is out of use, one
/// endpoint is draining, one is cold and the agent of one is silent.
fn network_with_all_states() -> SimNetwork {
    let mut network = SimNetwork::new(1, 12);
    network.update_catalog(&[0], |catalog| {
        for endpoint in &mut catalog.endpoints {
            let number = endpoint.agent_address().octets()[3];
            endpoint.zone = ZoneKey::from_name(["a", "b", "c"][usize::from(number % 3)]);
            if number == 3 {
                endpoint.state = EndpointState::Draining;
            }
            if number == 4 {
                endpoint.cold_left_ms = Millis::new(9_000);
            }
        }
        catalog.evacuated_zones = vec![ZoneKey::from_name("c")];
    });
    network.kill_agent(0);
    network.advance_ms(4_000);
    network
}

#[test]
fn report_names_the_place_where_the_opening_goes_then() {
    let mut network = network_with_all_states();
    let mut first_agents = BTreeSet::new();
    for number in 0..60 {
        let report = ask(&network, flow(number));
        assert_eq!(report.outcome, PlacementOutcome::Offered);
        let first = report.candidates[0].agent;
        first_agents.insert(first);
        let placed = place_opening(&mut network, number);
        assert_eq!(placed, (first, report.candidates.len()), "flow {number}");
    }
    assert!(first_agents.len() > 1, "{first_agents:?}");
}

#[test]
fn report_says_what_is_known_of_each_endpoint() {
    let network = network_with_all_states();
    let report = ask(&network, flow(1));
    assert_eq!(report.catalog_revision, 11);
    assert_eq!((report.settings_version, report.store_era), (1, 0));
    assert_eq!(report.service_rule, Some(ServiceRule::OnlyTarget));
    let find = |number| {
        let agent = agent_ip(number);
        report.candidates.iter().find(|it| it.agent == agent)
    };
    let silent = find(0).unwrap();
    assert!(silent.is_last_resort);
    assert!(silent.unanswered_ms.unwrap() > Millis::new(1_500));
    assert_eq!(report.candidates.last(), Some(silent));
    assert_eq!(find(4).unwrap().cold_left_ms, Millis::new(9_000));
    let warm = find(1).unwrap();
    assert_eq!((warm.slots, warm.is_own_zone), (2, false));
    assert_eq!(warm.utilization, Some(0));
    assert!(warm.report_age_ms.unwrap() <= Millis::new(1_100));
    let left_out = report.left_out.iter().map(|it| (it.agent, it.reason));
    let expected = [
        (agent_ip(3), LeftOutReason::Draining),
        (agent_ip(2), LeftOutReason::ZoneOutOfUse),
        (agent_ip(5), LeftOutReason::ZoneOutOfUse),
        (agent_ip(8), LeftOutReason::ZoneOutOfUse),
        (agent_ip(11), LeftOutReason::ZoneOutOfUse),
    ];
    assert_eq!(left_out.collect::<Vec<_>>(), expected);
    assert_eq!(report.candidates.len() + report.left_out_count, 12);
}

#[test]
fn report_tells_why_an_opening_has_no_place() {
    type Change = fn(&mut passthrough::Catalog);
    let cases: [(Change, PlacementOutcome); 4] = [
        (|it| it.routes.clear(), PlacementOutcome::NoRoute),
        (
            |it| it.routes[0].targets[0].service = ServiceKey::from_name("none"),
            PlacementOutcome::NoEndpoint,
        ),
        (
            |it| {
                for endpoint in &mut it.endpoints {
                    endpoint.state = EndpointState::Draining;
                }
            },
            PlacementOutcome::NoEndpoint,
        ),
        (
            |it| it.evacuated_zones = ["a", "b"].map(ZoneKey::from_name).to_vec(),
            PlacementOutcome::ZonesOutOfUse,
        ),
    ];
    for (idx, (change, outcome)) in cases.into_iter().enumerate() {
        let mut network = SimNetwork::new(1, 4);
        for _ in 0..30 {
            network.advance_ms(100);
            network.confirm_unchanged_catalog(0);
        }
        network.update_catalog(&[0], |catalog| {
            change(catalog);
            catalog.evacuated_zones.sort_unstable();
        });
        network.advance_ms(20);
        let report = ask(&network, flow(1));
        assert_eq!(report.outcome, outcome, "case {idx}");
        assert!(report.candidates.is_empty(), "case {idx}");
        let syn = encode_packet(caller(1), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        network.send_caller_packet(0, &syn);
        network.advance_ms(20);
        let is_reset = network.reset_count(caller(1)) > 0;
        assert_eq!(
            is_reset,
            outcome == PlacementOutcome::ZonesOutOfUse,
            "case {idx}"
        );
        assert_eq!(network.balancer(0).counters().openings, 0, "case {idx}");
    }
    let mut network = SimNetwork::new(1, 1);
    network.catalog = passthrough::Catalog::default();
    network.start_balancer(0);
    let report = ask(&network, flow(1));
    assert_eq!(report.outcome, PlacementOutcome::NoSettings);
}

#[test]
fn report_tells_by_which_rule_the_service_is_chosen() {
    let mut network = SimNetwork::new(1, 2);
    network.add_endpoint(7, "other");
    network.update_catalog(&[0], |catalog| {
        let other = ServiceKey::from_name("other");
        let target = |service| RouteTarget { service, weight: 1 };
        catalog.routes[0].targets = vec![target(ServiceKey::from_name(SERVICE)), target(other)];
    });
    network.advance_ms(1_100);
    let mut services = BTreeSet::new();
    for number in 0..20 {
        let report = ask(&network, flow(number));
        assert_eq!(report.service_rule, Some(ServiceRule::DrawnByWeight));
        services.insert(report.service);
        let placed = place_opening(&mut network, number).0;
        assert_eq!(placed, report.candidates[0].agent, "flow {number}");
    }
    assert_eq!(services.len(), 2);
}

#[test]
fn report_tells_that_openings_are_held_after_a_stall() {
    let mut network = SimNetwork::new(1, 2);
    network.wake_balancer(0, 2_000);
    let report = ask(&network, flow(1));
    assert_eq!(report.outcome, PlacementOutcome::Held);
    assert_eq!(report.held_ms, Some(Millis::new(300)));
    assert_eq!(report.candidates.len(), 2);
    network.advance_ms(400);
    let report = ask(&network, flow(1));
    assert_eq!(report.outcome, PlacementOutcome::Offered);
    assert_eq!(report.held_ms, None);
}
