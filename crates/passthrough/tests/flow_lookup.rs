//! Finding the endpoint that holds a flow.

mod support;

use std::collections::BTreeSet;

use passthrough::{Event, ResetReason};
use support::{World, agent_ip, balancer_ip, caller};

/// Opens flows until one is held by an endpoint that `wanted` accepts.
fn open_at(world: &mut World, wanted: impl Fn(u8) -> bool) -> (u8, std::net::SocketAddrV4, u32) {
    for number in 0..200 {
        let caller = caller(number);
        let sequence = world.open(0, caller).expect("an endpoint accepts");
        world.run(50);
        let holder = world.holder(caller).expect("the flow is open").octets()[3];
        if wanted(holder) {
            return (holder, caller, sequence);
        }
    }
    panic!("no flow at the wanted endpoint");
}

#[test]
fn any_balancer_finds_the_holder() {
    let mut world = World::new(3, 7);
    let callers: Vec<_> = (0..40).map(caller).collect();
    let sequences: Vec<_> = callers
        .iter()
        .map(|it| world.open(0, *it).unwrap())
        .collect();
    for (caller, sequence) in callers.iter().zip(&sequences) {
        world.request(1, *caller, *sequence, 2);
        world.run(40);
        world.request(2, *caller, *sequence, 3);
        world.run(40);
    }
    for caller in &callers {
        assert_eq!(world.answers(*caller), 3, "{caller}");
        assert_eq!(world.resets(*caller), 0, "{caller}");
    }
}

#[test]
fn restarted_agents_still_serve() {
    let mut world = World::new(2, 5);
    let sequence = world.open(0, caller(1)).unwrap();
    world.run(50);
    for number in 0..5 {
        world.start_agent(number, support::SERVICE);
    }
    world.start_balancer(0);
    world.run(1_200);
    world.request(0, caller(1), sequence, 2);
    world.run(50);
    assert_eq!(world.answers(caller(1)), 2);
    assert_eq!(world.resets(caller(1)), 0);
}

#[test]
fn retired_holder_is_found_by_a_new_balancer() {
    let mut world = World::new(2, 7);
    let (holder, caller, sequence) = open_at(&mut world, |_| true);
    world.change(&[0, 1], |catalog| {
        catalog
            .endpoints
            .retain(|it| it.agent() != agent_ip(holder));
    });
    world.run(500);
    // The store no longer knows the endpoint, which still serves its flows.
    world.start_balancer(1);
    world.run(1_500);
    let before = world.answers(caller);
    world.request(1, caller, sequence, 2);
    world.run(100);
    assert_eq!(world.answers(caller), before + 1);
}

#[test]
fn gone_agent_hides_no_other() {
    for gone in 0..7 {
        let mut world = World::new(2, 7);
        let (_, caller, sequence) = open_at(&mut world, |it| it != gone);
        let before = world.answers(caller);
        world.kill_agent(gone);
        world.start_balancer(1);
        // A caller sends its request again after 200 and 400 ms.
        for pause_ms in [200, 400, 100] {
            world.request(1, caller, sequence, 2);
            world.run(pause_ms);
        }
        assert!(world.answers(caller) > before, "agent {gone} gone");
        assert_eq!(world.resets(caller), 0, "agent {gone} gone");
    }
}

#[test]
fn lost_flow_is_reset_by_its_agent() {
    let mut world = World::new(1, 3);
    let (holder, caller, sequence) = open_at(&mut world, |_| true);
    world
        .endpoints
        .get_mut(&agent_ip(holder))
        .unwrap()
        .restart();
    world.request(0, caller, sequence, 2);
    world.run(20);
    assert_eq!(world.resets(caller), 1);
    let reset = world.events.iter().any(|it| {
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
fn flow_held_by_none_is_reset_on_proof_only() {
    let mut world = World::new(1, 3);
    let (holder, caller, sequence) = open_at(&mut world, |_| true);
    world
        .endpoints
        .get_mut(&agent_ip(holder))
        .unwrap()
        .restart();
    for number in 0..3 {
        world.start_agent(number, support::SERVICE);
    }
    world.start_balancer(0);
    world.run(100);
    world.request(0, caller, sequence, 2);
    world.run(100);
    assert_eq!(world.resets(caller), 0, "one failed lookup proves nothing");
    // The balancer asks again by itself, before the caller's copy after 200 ms.
    world.run(90);
    assert_eq!(world.resets(caller), 1);
}

#[test]
fn confirmed_list_proves_that_nobody_holds_a_flow() {
    for newer in [false, true] {
        let mut world = World::new(1, 3);
        let (holder, caller, sequence) = open_at(&mut world, |_| true);
        world
            .endpoints
            .get_mut(&agent_ip(holder))
            .unwrap()
            .restart();
        for number in 0..3 {
            world.start_agent(number, support::SERVICE);
        }
        world.start_balancer(0);
        world.run(100);
        world.request(0, caller, sequence, 2);
        world.run(20);
        let asked = world.take_confirmation_request(0).expect("a lookup failed");
        world.run(5);
        if newer {
            // The confirmation is about a list that is no longer in force.
            world.change(&[0], |_| {});
        }
        world.confirmed(0, asked);
        world.run(5);
        assert_eq!(world.resets(caller), usize::from(!newer));
    }
}

#[test]
fn unreachable_agent_prevents_a_reset() {
    let mut world = World::new(1, 3);
    let (holder, caller, sequence) = open_at(&mut world, |_| true);
    world.cut.insert(agent_ip(holder));
    world.start_balancer(0);
    for _ in 0..6 {
        world.request(0, caller, sequence, 2);
        world.run(300);
        // The store confirms its list all the while.
        world.publish_to(0);
    }
    assert_eq!(world.resets(caller), 0, "the holder was not asked");
    world.cut.clear();
    world.request(0, caller, sequence, 2);
    world.run(50);
    assert_eq!(world.answers(caller), 2);
}

#[test]
fn lookups_reach_own_service_only() {
    let mut world = World::new(1, 4);
    world.change(&[0], |_| {});
    world.add_endpoint(9, "photos");
    world.change(&[0], |_| {});
    let sequence = world.open(0, caller(1)).unwrap();
    world.start_balancer(0);
    world.request(0, caller(1), sequence, 2);
    world.run(100);
    let photos = &world.endpoints[&agent_ip(9)];
    assert_eq!((photos.openings, photos.requests, photos.strays), (0, 0, 0));
    let heard: BTreeSet<_> = world.events.iter().map(|it| it.0).collect();
    assert!(heard.contains(&balancer_ip(0)));
}

#[test]
fn balancer_sends_one_copy_of_a_packet_looked_up() {
    let mut world = World::new(1, 30);
    let sequence = world.open(0, caller(1)).unwrap();
    world.run(50);
    world.start_balancer(0);
    world.run(1_200);
    let before = world.sent_bytes(balancer_ip(0));
    let request = support::packet(
        caller(1),
        support::SERVICE_ADDRESS,
        support::Flags::ACK,
        100,
        sequence + 1,
        1_200,
    );
    world.send(0, &request);
    let sent = world.sent_bytes(balancer_ip(0)) - before;
    assert!(sent < 1_500, "{sent} bytes sent for one packet");
    world.run(50);
    assert_eq!(world.answers(caller(1)), 2);
}

/// A balancer starts anew and finds the store's list before it hears of an endpoint that left the list and
/// still holds flows. Found by soak seed 324.
#[test]
fn new_balancer_resets_nothing_before_it_is_told_who_left() {
    let mut world = World::new(3, 3);
    let (holder, caller, sequence) = open_at(&mut world, |_| true);
    world.change(&[0, 1, 2], |catalog| {
        catalog
            .endpoints
            .retain(|it| it.agent() != agent_ip(holder));
    });
    world.run(50);
    // Its seed and the other balancer don't hear it at first.
    world.cut.extend([balancer_ip(0), balancer_ip(1)]);
    world.start_balancer(2);
    world.run(10);
    world.request(2, caller, sequence, 2);
    world.run(30);
    let asked = world.take_confirmation_request(2).expect("a lookup failed");
    world.confirmed(2, asked);
    world.run(170);
    assert_eq!(world.resets(caller), 0, "nobody has told it who left");
    world.cut.clear();
    world.run(600);
    world.request(2, caller, sequence, 2);
    world.run(300);
    assert_eq!(world.resets(caller), 0);
    assert!(world.answers(caller) > 0, "the holder is found");
}

/// An endpoint's entry comes back between a failed lookup and the store's confirmation of the list.
#[test]
fn endpoints_that_come_in_are_asked_before_a_reset() {
    let mut world = World::new(1, 3);
    let (holder, caller, sequence) = open_at(&mut world, |_| true);
    let full = world.catalog.endpoints.clone();
    world
        .catalog
        .endpoints
        .retain(|it| it.agent() != agent_ip(holder));
    world.start_balancer(0);
    world.run(100);
    world.cut.insert(agent_ip(holder));
    world.request(0, caller, sequence, 2);
    world.run(20);
    world.change(&[0], |catalog| catalog.endpoints = full);
    let asked = world.take_confirmation_request(0).expect("a lookup failed");
    world.confirmed(0, asked);
    world.run(5);
    assert_eq!(
        world.resets(caller),
        0,
        "the endpoint that came back was not asked"
    );
    world.cut.clear();
    world.run(200);
    world.request(0, caller, sequence, 2);
    world.run(50);
    assert_eq!(world.resets(caller), 0);
    assert!(world.answers(caller) > 0, "the holder is found");
}
