//! Which balancers leave callers to instances with faster links.

mod support;

use support::World;

/// Starts balancers of one zone with the given links and returns which are ready.
fn check(links_mbps: &[u32], ready: &[bool]) {
    let mut world = World::new(0, 2);
    for (number, link) in (0..).zip(links_mbps) {
        world.links.insert(number, *link);
        world.start_balancer(number);
    }
    world.run(2_500);
    let found: Vec<bool> = (0..)
        .zip(links_mbps)
        .map(|(it, _)| world.balancer(it).is_ready())
        .collect();
    assert_eq!(found, ready, "{links_mbps:?}");
}

#[test]
fn narrow_links_stand_by_behind_half_of_the_zone() {
    check(&[200, 200, 11, 11], &[true, true, false, false]);
    check(&[1_000, 1_000, 1_000], &[true; 3]);
    // Routers use every instance when fewer than half are in rotation.
    check(&[200, 200, 11, 11, 11], &[true; 5]);
    check(&[200, 100, 100, 11], &[true, true, true, false]);
    check(&[11], &[true]);
}

#[test]
fn narrow_link_returns_when_a_faster_one_is_lost() {
    let mut world = World::new(0, 2);
    for (number, link) in [(0, 200), (1, 200), (2, 11), (3, 11)] {
        world.links.insert(number, link);
        world.start_balancer(number);
    }
    world.run(2_500);
    assert!(!world.balancer(3).is_ready());
    world.cut.insert(support::balancer_ip(1));
    world.run(2_500);
    assert!(world.balancer(2).is_ready());
    assert!(world.balancer(3).is_ready());
}
