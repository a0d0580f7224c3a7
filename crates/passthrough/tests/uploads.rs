//! Long uploads through balancers with narrow links.

mod support;

use support::{Flags, SERVICE_ADDRESS, World, balancer_ip, caller, packet};

/// Data packets of one upload.
const UPLOAD_PACKETS: u32 = 40;

/// A world whose only balancer has a link of the given width.
fn world_with_link(link_mbps: u32) -> World {
    let mut world = World::new(0, 2);
    world.links.insert(0, link_mbps);
    world.start_balancer(0);
    world.run(2_100);
    world
}

/// Opens a flow without a request.
fn open(world: &mut World, number: u16) -> u32 {
    let syn = packet(caller(number), SERVICE_ADDRESS, Flags::SYN, 1, 0, 0);
    world.send(0, &syn);
    world.run(15);
    let mut accepted = world.received.iter().rev().map(|it| it.1);
    let accepted = accepted.find(|it| it.syn && it.destination == caller(number));
    accepted.expect("accepted").sequence
}

fn send_data(world: &mut World, number: u16, sequence: u32, idx: u32) {
    let at = 1 + idx * 10;
    let bytes = packet(
        caller(number),
        SERVICE_ADDRESS,
        Flags::ACK,
        at,
        sequence + 1,
        10,
    );
    world.send(0, &bytes);
}

/// Lets ten callers upload at once; returns how many of their packets reached endpoints.
fn upload_together(world: &mut World) -> usize {
    let flows: Vec<(u16, u32)> = (0..10).map(|it| (it, open(world, it))).collect();
    for idx in 0..UPLOAD_PACKETS {
        for (number, sequence) in &flows {
            send_data(world, *number, *sequence, idx);
        }
        world.run(5);
    }
    world.endpoints.values().map(|it| it.requests).sum()
}

/// Load pattern: after an outage all callers upload at once, and their windows together wait longer than
/// the 200 ms after which callers send copies.
#[test]
fn narrow_link_carries_few_uploads_at_once() {
    let mut world = world_with_link(11);
    let delivered = upload_together(&mut world);
    // Eight packets of each pass before it counts as an upload; then four of the ten go on.
    assert_eq!(delivered, 10 * 8 + 4 * 32);
}

#[test]
fn wide_link_carries_all() {
    let mut world = world_with_link(200);
    assert_eq!(upload_together(&mut world), 10 * 40);
}

#[test]
fn short_requests_pass_while_uploads_wait() {
    let mut world = world_with_link(11);
    upload_together(&mut world);
    for number in 20..30 {
        let sequence = open(&mut world, number);
        world.request(0, caller(number), sequence, 1);
        world.run(10);
        assert_eq!(world.answers(caller(number)), 1, "request {number}");
    }
}

#[test]
fn uploads_that_waited_go_on_after_the_others() {
    let mut world = world_with_link(11);
    upload_together(&mut world);
    let before: usize = world.endpoints.values().map(|it| it.requests).sum();
    // The first four have their places; they end, and the callers of the others send copies.
    for number in 0..4 {
        let fin = packet(caller(number), SERVICE_ADDRESS, Flags::FIN, 401, 0, 0);
        world.send(0, &fin);
    }
    for number in 4..8 {
        let sequence = sequence_of(&world, number);
        send_data(&mut world, number, sequence, 8);
    }
    world.run(10);
    let after: usize = world.endpoints.values().map(|it| it.requests).sum();
    assert_eq!(after - before, 4);
    assert_eq!(
        world.balancer(0).counters().uploads_held_back,
        6 * 32,
        "at {}",
        balancer_ip(0)
    );
}

fn sequence_of(world: &World, number: u16) -> u32 {
    let mut accepted = world.received.iter().map(|it| it.1);
    let accepted = accepted.find(|it| it.syn && it.destination == caller(number));
    accepted.expect("accepted").sequence
}
