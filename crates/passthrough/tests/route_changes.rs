//! Changes of a route's targets while flows are open on the route.

mod support;

use std::net::SocketAddrV4;

use passthrough::{Event, RequestProfile, Route, RouteTarget, ServiceKey};
use support::{
    Flags, SERVICE, SERVICE_ADDRESS, SimNetwork, agent_ip, balancer_ip, caller, encode_packet,
    route_to_service,
};
use units::Revision;

const OTHER_SERVICE: &str = "photos";
const UNRELATED_SERVICE: &str = "feed";

/// Numbers of the endpoints of `SERVICE`, `OTHER_SERVICE` and `UNRELATED_SERVICE`.
const ENDPOINTS: [u8; 3] = [0, 10, 20];
const ENDPOINTS_PER_SERVICE: u8 = 4;

const FLOWS: u16 = 24;

/// Weights of `SERVICE` and `OTHER_SERVICE`; a service without weight is not a target.
type Weights = [u32; 2];

fn route_with(weights: Weights) -> Route {
    let targets = [SERVICE, OTHER_SERVICE]
        .iter()
        .zip(weights)
        .filter(|it| it.1 > 0)
        .map(|(service, weight)| RouteTarget {
            service: ServiceKey::from_name(service),
            weight,
        })
        .collect();
    Route {
        address: SERVICE_ADDRESS,
        targets,
        requests: RequestProfile::default(),
    }
}

/// Creates a network of three services with a route that leads to two of them.
fn network_with_route(balancers: u8, weights: Weights) -> SimNetwork {
    let mut network = SimNetwork::new(0, 0);
    let services = [SERVICE, OTHER_SERVICE, UNRELATED_SERVICE];
    for (service, first) in services.iter().zip(ENDPOINTS) {
        for number in first..first + ENDPOINTS_PER_SERVICE {
            network.add_endpoint(number, service);
        }
    }
    network.catalog.routes = vec![route_with(weights)];
    for number in 0..balancers {
        network.start_balancer(number);
    }
    // Agents know all flows of their endpoints after the idle timeout.
    network.advance_ms(16_000);
    network
}

/// Opens flows through balancer 0 and returns the caller and the endpoint's sequence number of
/// each.
fn open_flows(network: &mut SimNetwork) -> Vec<(SocketAddrV4, u32)> {
    let flows = (0..FLOWS).map(|number| {
        let caller = caller(number);
        let sequence = network
            .open_flow_with_sequence(0, caller)
            .expect("an endpoint accepts");
        network.advance_ms(20);
        (caller, sequence)
    });
    flows.collect()
}

fn change_weights(network: &mut SimNetwork, readers: &[u8], weights: Weights) {
    network.update_catalog(readers, |it| {
        it.routes = vec![route_with(weights)];
        it.settings_changed_at = Revision::new(it.revision.get() + 1);
    });
}

/// Sends the second request on each flow through `balancer` and checks that all are answered.
fn check_flows_answered(network: &mut SimNetwork, flows: &[(SocketAddrV4, u32)], balancer: u8) {
    for (caller, sequence) in flows {
        network.send_request(balancer, *caller, *sequence, 2);
        network.advance_ms(20);
    }
    network.advance_ms(400);
    for (caller, _) in flows {
        assert_eq!(network.reset_count(*caller), 0, "{caller} was reset");
        assert_eq!(network.answer_count(*caller), 2, "{caller} was answered");
    }
    check_unrelated_endpoints_untouched(network);
}

fn check_unrelated_endpoints_untouched(network: &SimNetwork) {
    for number in ENDPOINTS[2]..ENDPOINTS[2] + ENDPOINTS_PER_SERVICE {
        let endpoint = &network.endpoints[&agent_ip(number)];
        assert_eq!(
            (endpoint.openings, endpoint.requests, endpoint.other_packets),
            (0, 0, 0),
            "endpoint {number} belongs to another service"
        );
    }
}

const CHANGES: [(Weights, &[Weights]); 6] = [
    ([90, 10], &[[50, 50]]),
    ([90, 10], &[[10, 90], [50, 50]]),
    ([90, 10], &[[90, 0]]),
    ([90, 10], &[[0, 10]]),
    ([1, 0], &[[0, 1]]),
    ([1, 0], &[[0, 1], [1, 0]]),
];

/// Guards against resets of open flows whose hash leads to another service after a change of their
/// route.
#[test]
fn open_flows_outlast_changes_of_their_route() {
    for (before, changes) in CHANGES {
        for balancer in [0, 1] {
            let mut network = network_with_route(2, before);
            let flows = open_flows(&mut network);
            for weights in changes {
                change_weights(&mut network, &[0], *weights);
                network.advance_ms(40);
            }
            network.advance_ms(4_000);
            check_flows_answered(&mut network, &flows, balancer);
        }
    }
}

/// Guards against the same where a balancer starts after the change and learns from others what the
/// route led to before.
#[test]
fn open_flows_are_found_by_a_balancer_that_started_later() {
    for (before, changes) in CHANGES {
        let mut network = network_with_route(2, before);
        let flows = open_flows(&mut network);
        for weights in changes {
            change_weights(&mut network, &[0], *weights);
            network.advance_ms(40);
        }
        network.start_balancer(2);
        network.advance_ms(20);
        check_flows_answered(&mut network, &flows, 2);
    }
}

/// Guards against the same where no balancer is left that saw the route before the change.
#[test]
fn open_flows_are_found_after_all_balancers_restarted() {
    for (before, changes) in CHANGES {
        let mut network = network_with_route(2, before);
        let flows = open_flows(&mut network);
        for weights in changes {
            change_weights(&mut network, &[0], *weights);
            network.advance_ms(40);
        }
        network.start_balancer(0);
        network.start_balancer(1);
        network.advance_ms(10);
        check_flows_answered(&mut network, &flows, 1);
    }
}

/// Guards against the same where a balancer skipped a revision in which another one placed flows.
#[test]
fn open_flows_are_found_by_a_balancer_that_skipped_a_revision() {
    let mut network = network_with_route(3, [1, 0]);
    network.isolated.insert(balancer_ip(2));
    change_weights(&mut network, &[0], [0, 1]);
    network.advance_ms(40);
    let flows = open_flows(&mut network);
    change_weights(&mut network, &[0], [1, 0]);
    network.isolated.remove(&balancer_ip(2));
    network.advance_ms(1_200);
    check_flows_answered(&mut network, &flows, 2);
}

/// Guards against a reset of an open flow when no process is left that knows of it: the endpoint
/// holds it, its service is no target of the route any more, and all balancers and agents restarted.
#[test]
fn open_flow_that_nobody_knows_is_not_reset() {
    let mut network = network_with_route(2, [1, 0]);
    let flows = open_flows(&mut network);
    change_weights(&mut network, &[0], [0, 1]);
    network.advance_ms(40);
    for (service, first) in [SERVICE, OTHER_SERVICE].iter().zip(ENDPOINTS) {
        for number in first..first + ENDPOINTS_PER_SERVICE {
            network.start_agent(number, service);
        }
    }
    network.start_balancer(0);
    network.start_balancer(1);
    for _ in 0..4 {
        for (caller, sequence) in &flows {
            network.send_request(0, *caller, *sequence, 2);
        }
        network.advance_ms(300);
        for number in [0, 1] {
            network.deliver_catalog(number);
            if let Some(asked) = network.take_confirmation_request(number) {
                network.confirm_revision(number, asked);
            }
        }
    }
    network.advance_ms(2_000);
    for (caller, _) in &flows {
        assert_eq!(network.reset_count(*caller), 0, "{caller} was reset");
    }
    check_unrelated_endpoints_untouched(&network);
}

/// Checks that a flow that no endpoint holds is still reset after a change of its route.
#[test]
fn lost_flow_is_reset_after_a_change_of_its_route() {
    for restarts in [false, true] {
        let mut network = network_with_route(2, [1, 0]);
        let flows = open_flows(&mut network);
        change_weights(&mut network, &[0], [0, 1]);
        network.advance_ms(40);
        for number in ENDPOINTS[0]..ENDPOINTS[0] + ENDPOINTS_PER_SERVICE {
            let endpoint = network.endpoints.get_mut(&agent_ip(number)).unwrap();
            endpoint.restart();
        }
        if restarts {
            network.start_balancer(0);
            network.start_balancer(1);
            network.advance_ms(10);
        }
        for (caller, sequence) in &flows {
            network.send_request(1, *caller, *sequence, 2);
            network.advance_ms(20);
        }
        network.advance_ms(400);
        for (caller, _) in &flows {
            assert_eq!(network.reset_count(*caller), 1, "{caller}, {restarts}");
        }
    }
}

/// Checks that flows that were lost with all endpoints are reset, although no process is left that
/// knows what their route led to before: the endpoints registered after the route had changed.
#[test]
fn flow_lost_with_all_endpoints_is_reset() {
    let mut network = network_with_route(2, [1, 0]);
    let flows = open_flows(&mut network);
    change_weights(&mut network, &[0], [0, 1]);
    network.advance_ms(40);
    for (service, first) in [SERVICE, OTHER_SERVICE, UNRELATED_SERVICE]
        .iter()
        .zip(ENDPOINTS)
    {
        for number in first..first + ENDPOINTS_PER_SERVICE {
            let endpoint = network.endpoints.get_mut(&agent_ip(number)).unwrap();
            endpoint.restart();
            network.start_agent(number, service);
        }
    }
    network.update_catalog(&[], |it| {
        for endpoint in &mut it.endpoints {
            endpoint.registered_at = Revision::new(it.revision.get() + 1);
        }
    });
    network.start_balancer(0);
    network.start_balancer(1);
    network.advance_ms(100);
    for (caller, sequence) in &flows {
        network.send_request(1, *caller, *sequence, 2);
        network.advance_ms(20);
    }
    network.advance_ms(400);
    for (caller, _) in &flows {
        assert_eq!(network.reset_count(*caller), 1, "{caller}");
    }
}

/// Guards against an opening placed at a service that its route has left.
#[test]
fn openings_follow_the_route_in_force() {
    let mut network = network_with_route(1, [1, 0]);
    // The endpoints leave the first copy of each opening unanswered.
    for number in ENDPOINTS[0]..ENDPOINTS[0] + ENDPOINTS_PER_SERVICE {
        let endpoint = network.endpoints.get_mut(&agent_ip(number)).unwrap();
        endpoint.is_unresponsive = true;
    }
    for number in 0..FLOWS {
        let opening = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        network.send_caller_packet(0, &opening);
    }
    network.advance_ms(50);
    change_weights(&mut network, &[0], [0, 1]);
    network.advance_ms(50);
    for number in ENDPOINTS[0]..ENDPOINTS[0] + ENDPOINTS_PER_SERVICE {
        let endpoint = network.endpoints.get_mut(&agent_ip(number)).unwrap();
        endpoint.is_unresponsive = false;
    }
    for number in 0..FLOWS {
        let opening = encode_packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        network.send_caller_packet(0, &opening);
    }
    network.advance_ms(500);
    let openings_at = |first: u8| -> usize {
        let numbers = first..first + ENDPOINTS_PER_SERVICE;
        let endpoints = numbers.map(|it| &network.endpoints[&agent_ip(it)]);
        endpoints.map(|it| it.openings).sum()
    };
    assert_eq!(openings_at(ENDPOINTS[0]), 0);
    assert!(openings_at(ENDPOINTS[1]) >= usize::from(FLOWS));
}

/// Returns how many services each lookup since the event with index `begin` has asked.
fn services_asked(network: &SimNetwork, begin: usize) -> Vec<u8> {
    let asked = network.events[begin..].iter().filter_map(|it| match it.1 {
        Event::LookupStarted { services, .. } => Some(services),
        _ => None,
    });
    asked.collect()
}

/// Guards against former targets that balancers tell each other for ever.
#[test]
fn former_targets_are_forgotten_after_the_longest_lifetime_of_a_flow() {
    let mut network = network_with_route(3, [1, 0]);
    change_weights(&mut network, &[0], [0, 1]);
    for (pause_ms, services) in [(30_000, 2), (35_000, 1)] {
        network.advance_ms(pause_ms);
        let begin = network.events.len();
        network.send_request(0, caller(1), 900, 2);
        network.advance_ms(20);
        assert_eq!(services_asked(&network, begin), [services]);
    }
}

/// Guards against a reset that relies on a list of former targets that was full.
#[test]
fn former_targets_past_the_limit_are_counted() {
    const ROUTES: u16 = 5_000;
    let routes_to = |service| -> Vec<Route> {
        let addresses = (0..ROUTES).map(|it| SocketAddrV4::new(*SERVICE_ADDRESS.ip(), 443 + it));
        addresses.map(|it| route_to_service(it, service)).collect()
    };
    let mut network = network_with_route(1, [1, 0]);
    network.update_catalog(&[0], |it| it.routes = routes_to(SERVICE));
    network.update_catalog(&[0], |it| it.routes = routes_to(OTHER_SERVICE));
    assert!(network.balancer(0).limits_exceeded_count() > 0);
    // Nobody holds the flow, but the balancer can't be sure of that.
    network.start_agent(ENDPOINTS[2], UNRELATED_SERVICE);
    network.advance_ms(1_100);
    network.confirm_unchanged_catalog(0);
    network.send_request(0, caller(1), 900, 2);
    network.advance_ms(400);
    assert_eq!(network.reset_count(caller(1)), 0);
}
