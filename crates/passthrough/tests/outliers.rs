//! Endpoints that fail requests or go down again and again while their health looks good.

mod support;

use passthrough::Event;
use support::{Flags, SERVICE, SERVICE_ADDRESS, World, agent_ip, caller, packet};

/// Time between two callers in these tests; 50 a second.
const GAP_MS: u64 = 20;

/// Opens a flow of its own for one request, as most callers do, and closes it after the answer.
fn call(world: &mut World, number: u16) {
    let syn = packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    world.send(0, &syn);
    world.run(10);
    let mut accepted = world.received.iter().rev().map(|it| it.1);
    if let Some(it) = accepted.find(|it| it.syn && it.destination == caller(number)) {
        world.request(0, caller(number), it.sequence, 1);
    }
    world.run(GAP_MS - 10);
}

fn call_many(world: &mut World, numbers: std::ops::Range<u16>) {
    for number in numbers {
        call(world, number);
    }
}

fn requests(world: &World, endpoint: u8) -> usize {
    world.endpoints[&agent_ip(endpoint)].requests
}

/// Load pattern: one of four endpoints resets each second request.
#[test]
fn failing_endpoint_gets_trials_only() {
    let mut world = World::new(1, 4);
    world.endpoints.get_mut(&agent_ip(0)).unwrap().resets_one_in = 2;
    call_many(&mut world, 0..100);
    let before = requests(&world, 0);
    // Two seconds: eight trials and what one more interval brings.
    call_many(&mut world, 100..200);
    let tried = requests(&world, 0) - before;
    assert!((4..=9).contains(&tried), "{tried} of 100 requests");
}

#[test]
fn endpoint_that_works_again_is_back_within_seconds() {
    let mut world = World::new(1, 4);
    world.endpoints.get_mut(&agent_ip(0)).unwrap().resets_one_in = 2;
    call_many(&mut world, 0..150);
    world.endpoints.get_mut(&agent_ip(0)).unwrap().resets_one_in = 0;
    call_many(&mut world, 150..400);
    let before = requests(&world, 0);
    call_many(&mut world, 400..500);
    let share = requests(&world, 0) - before;
    assert!(share >= 15, "{share} of 100 requests, five seconds after");
}

/// A fault that all endpoints share takes none of them away.
#[test]
fn endpoints_that_fail_alike_share_the_work() {
    let mut world = World::new(1, 4);
    for endpoint in world.endpoints.values_mut() {
        endpoint.resets_one_in = 2;
    }
    call_many(&mut world, 0..300);
    let served: Vec<usize> = (0..4).map(|it| requests(&world, it)).collect();
    assert_eq!(
        served.iter().sum::<usize>(),
        300,
        "all are offered: {served:?}"
    );
    assert!(served.iter().all(|it| *it >= 20), "{served:?}");
}

/// Load pattern: an endpoint goes down and up by turns; while it is up it is empty.
#[test]
fn flapping_endpoint_gets_less_each_time() {
    let mut world = World::new(1, 4);
    let mut number = 0;
    let mut taken = Vec::new();
    for _ in 0..4 {
        world.endpoints.get_mut(&agent_ip(0)).unwrap().dark = true;
        call_many(&mut world, number..number + 40);
        world.endpoints.get_mut(&agent_ip(0)).unwrap().dark = false;
        world.endpoints.get_mut(&agent_ip(0)).unwrap().restart();
        let before = requests(&world, 0);
        call_many(&mut world, number + 40..number + 80);
        taken.push(requests(&world, 0) - before);
        number += 80;
    }
    assert!(taken[3] <= 1, "requests while it was up: {taken:?}");
}

/// Small packets overtake large ones in the network.
#[test]
fn end_that_overtakes_its_answer_is_no_failure() {
    let mut world = World::new(1, 2);
    for endpoint in world.endpoints.values_mut() {
        endpoint.closes_early = true;
    }
    call_many(&mut world, 0..60);
    let is_change = |it: &&(_, Event)| matches!(it.1, Event::EndpointRecordChanged { .. });
    assert_eq!(world.events.iter().find(is_change), None);
}

#[test]
fn crash_of_every_endpoint_delays_no_opening() {
    let mut world = World::new(1, 3);
    for number in 0..3 {
        world.open(0, caller(number)).expect("accepted");
    }
    for endpoint in world.endpoints.values_mut() {
        endpoint.restart();
    }
    // The agents learn of it when the callers go on.
    for number in 0..3 {
        world.request(0, caller(number), 1, 2);
    }
    world.run(20);
    for number in 10..30 {
        let before = world.received.len();
        let syn = packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
        world.send(0, &syn);
        world.run(15);
        assert!(
            world.received.len() > before,
            "opening {number} of {SERVICE}"
        );
    }
}
