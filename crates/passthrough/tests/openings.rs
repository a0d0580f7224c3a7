//! Placing the openings of flows.

mod support;

use passthrough::{EndpointState, Event};
use support::{Flags, SERVICE, SERVICE_ADDRESS, World, agent_ip, caller, packet};

#[test]
fn opening_is_offered_once_while_all_is_well() {
    let mut world = World::new(1, 5);
    for number in 0..50 {
        world.open(0, caller(number)).expect("accepted");
    }
    let openings: usize = world.endpoints.values().map(|it| it.openings).sum();
    assert_eq!(openings, 50);
}

#[test]
fn full_endpoints_pass_openings_on() {
    let mut world = World::new(2, 4);
    for endpoint in world.endpoints.values_mut() {
        endpoint.work_ms = 500;
    }
    // Eight slots in all; requests last longer than this test sends.
    for number in 0..8 {
        let balancer = u8::try_from(number % 2).unwrap();
        let syn = packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        world.send(balancer, &syn);
        world.run(6);
        let accepted = world.received.last().expect("accepted").1;
        world.request(balancer, caller(number), accepted.sequence, 1);
        world.run(6);
    }
    let loads: Vec<usize> = world.endpoints.values().map(|it| it.requests).collect();
    assert_eq!(loads, vec![2; 4]);
}

#[test]
fn silent_endpoint_costs_less_than_the_callers_copy() {
    for dark in 0..3 {
        let mut world = World::new(1, 3);
        world.endpoints.get_mut(&agent_ip(dark)).unwrap().dark = true;
        for number in 0..20 {
            let before = world.received.len();
            let syn = packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
            world.send(0, &syn);
            world.run(100);
            assert!(
                world.received.len() > before,
                "endpoint {dark} dark, opening {number}"
            );
        }
    }
}

#[test]
fn dead_agent_costs_less_than_the_callers_copy() {
    for dead in 0..3 {
        let mut world = World::new(1, 3);
        world.kill_agent(dead);
        for number in 0..10 {
            let before = world.received.len();
            let syn = packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
            world.send(0, &syn);
            world.run(180);
            assert!(
                world.received.len() > before,
                "agent {dead} dead, opening {number}"
            );
        }
    }
}

#[test]
fn draining_endpoint_takes_no_openings() {
    let mut world = World::new(2, 3);
    world.change(&[0], |catalog| {
        let at = catalog
            .endpoints
            .iter()
            .position(|it| it.agent() == agent_ip(1))
            .unwrap();
        catalog.endpoints[at].state = EndpointState::Draining;
    });
    world.run(20);
    let before = world.endpoints[&agent_ip(1)].openings;
    // The second balancer has not read the change; the agent knows it from the first.
    world.cut.insert(support::balancer_ip(0));
    for number in 0..40 {
        let syn = packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        world.send(1, &syn);
        world.run(20);
    }
    assert_eq!(world.endpoints[&agent_ip(1)].openings, before);
}

#[test]
fn address_of_another_service_takes_nothing() {
    let mut world = World::new(1, 3);
    // The endpoint's address went to another service; the list doesn't say so yet.
    world.start_agent(1, "photos");
    for number in 0..40 {
        world
            .open(0, caller(number))
            .expect("another endpoint accepts");
    }
    let reused = &world.endpoints[&agent_ip(1)];
    assert_eq!((reused.openings, reused.requests, reused.strays), (0, 0, 0));
}

#[test]
fn stopping_agent_takes_no_openings() {
    let mut world = World::new(1, 2);
    world.start_agent(0, SERVICE);
    for number in 0..20 {
        world.open(0, caller(number)).expect("accepted");
    }
    let placed = world
        .events
        .iter()
        .filter(|it| matches!(it.1, Event::OpeningPlaced { .. }))
        .count();
    assert!(placed >= 20);
}

#[test]
fn late_answers_cause_two_repeats_at_most() {
    let mut world = World::new(1, 8);
    // No answer reaches the balancer, as behind a link that is full.
    world.cut.insert(support::balancer_ip(0));
    let syn = packet(caller(1), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    world.send(0, &syn);
    world.run(1_300);
    let placed = world
        .events
        .iter()
        .filter(|it| matches!(it.1, Event::OpeningPlaced { .. }))
        .count();
    assert_eq!(placed, 3);
}

#[test]
fn given_up_opening_holds_no_other_up() {
    let mut world = World::new(1, 2);
    world.kill_agent(0);
    world.kill_agent(1);
    let syn = |number| packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    // This one is offered three times and then waits to expire.
    world.send(0, &syn(1));
    world.run(450);
    world.start_agent(0, SERVICE);
    world.start_agent(1, SERVICE);
    // Its first offer is lost; the next one must come after 70 ms all the same.
    world.cut.insert(support::balancer_ip(0));
    world.send(0, &syn(2));
    world.run(10);
    world.cut.clear();
    world.run(100);
    assert!(
        world
            .received
            .iter()
            .any(|it| it.1.syn && it.1.destination == caller(2))
    );
}

#[test]
fn refused_listener_ends_the_flows_of_a_dead_endpoint() {
    let mut world = World::new(1, 1);
    let sequence = world.open(0, caller(1)).expect("accepted");
    world.run(50);
    world.endpoints.get_mut(&agent_ip(0)).unwrap().dark = true;
    world.request(0, caller(1), sequence, 2);
    // Two openings without an answer make the endpoint silent; its listener is checked then.
    for number in 2..4 {
        let syn = packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        world.send(0, &syn);
        world.run(40);
    }
    world.checked(0, true);
    assert_eq!(world.resets(caller(1)), 0, "one refusal proves nothing");
    world.checked(0, true);
    world.run(5);
    assert_eq!(world.resets(caller(1)), 1);
}
