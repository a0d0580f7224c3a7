//! Standby of balancers with narrow links.

mod support;

use support::SimNetwork;

/// Starts balancers in one zone with the given link capacities, and checks which of the balancers
/// become ready.
fn check_readiness(links_mbps: &[u32], ready: &[bool]) {
    let mut network = SimNetwork::new(0, 2);
    for (number, link) in (0..).zip(links_mbps) {
        network.links.insert(number, *link);
        network.start_balancer(number);
    }
    network.advance_ms(2_500);
    let found: Vec<bool> = (0..)
        .zip(links_mbps)
        .map(|(it, _)| network.balancer(it).is_ready())
        .collect();
    assert_eq!(found, ready, "{links_mbps:?}");
}

#[test]
fn balancers_with_narrow_links_stand_by_if_half_of_the_zone_is_faster() {
    check_readiness(&[200, 200, 11, 11], &[true, true, false, false]);
    check_readiness(&[1_000, 1_000, 1_000], &[true; 3]);
    // Routers use every instance of the zone if fewer than half are in rotation.
    check_readiness(&[200, 200, 11, 11, 11], &[true; 5]);
    check_readiness(&[200, 100, 100, 11], &[true, true, true, false]);
    check_readiness(&[11], &[true]);
}

#[test]
fn standby_ends_when_a_faster_balancer_is_lost() {
    let mut network = SimNetwork::new(0, 2);
    for (number, link) in [(0, 200), (1, 200), (2, 11), (3, 11)] {
        network.links.insert(number, link);
        network.start_balancer(number);
    }
    network.advance_ms(2_500);
    assert!(!network.balancer(3).is_ready());
    network.isolated.insert(support::balancer_ip(1));
    network.advance_ms(2_500);
    assert!(network.balancer(2).is_ready());
    assert!(network.balancer(3).is_ready());
}
