//! Datagrams are routed to the agent that owns their flow or to the deciders of their opening.

#[path = "fixtures/bundles.rs"]
mod bundles;
#[path = "fixtures/datagrams.rs"]
mod datagrams;

use flow::{
    table::{
        BundleRollout, Decision, DropReason, EndpointRegistry, Liveness, RoutingTable, ServiceInput,
    },
    tunnel::{Load, Opening},
};
use units::{EndpointId, Incarnation, Slots};

use self::{
    bundles::{in_force, service_address, tunnel_address},
    datagrams::{established, initial, keys},
};

const FLOWS: u64 = 2_000;

fn table(
    current: &[u32],
    previous: Option<&[u32]>,
    rollout: BundleRollout,
) -> (RoutingTable, EndpointRegistry) {
    let mut registry = EndpointRegistry::new();
    let in_force = in_force(1, current, previous);
    let input = ServiceInput {
        in_force: &in_force,
        keys: keys(1),
        rollout,
        retired: &[],
    };
    (RoutingTable::new(&[input], &mut registry), registry)
}

fn route(table: &RoutingTable, datagram: &[u8]) -> Decision {
    table.route(service_address(1), tunnel_address(9_999), datagram)
}

fn route_opening(table: &RoutingTable, number: u64) -> Opening {
    match route(table, &initial(number)) {
        Decision::Opening(opening) => opening,
        other => panic!("an Initial packet was routed as {other:?}"),
    }
}

fn target_endpoints(table: &RoutingTable) -> Vec<u32> {
    let target = |it| route_opening(table, it).target().endpoint.get();
    (0..FLOWS).map(target).collect()
}

#[test]
fn established_flow_stays_with_dead_or_leaving_endpoint() {
    let (table, registry) = table(&[1, 2, 3], Some(&[3, 4]), BundleRollout::Complete);
    for endpoint in [1, 3, 4] {
        // An established flow stays with its endpoint even if the endpoint is dead or leaving.
        let status = registry
            .find(EndpointId::new(endpoint))
            .expect("the endpoint is in a bundle");
        status.set_liveness(Liveness::Dead);
        status.set_leaving_listed(true);
        let expect = Decision::Established {
            endpoint: EndpointId::new(endpoint),
            incarnation: Incarnation::new(77),
            address: tunnel_address(endpoint),
        };
        assert_eq!(route(&table, &established(1, endpoint, 77)), expect);
    }
}

#[test]
fn undeliverable_datagrams_are_dropped_with_the_reason() {
    let (table, _registry) = table(&[1, 2], None, BundleRollout::Complete);
    let check = |datagram: &[u8], expect| {
        assert_eq!(route(&table, datagram), Decision::Drop(expect));
    };
    check(&[], DropReason::Malformed);
    check(&[0x40; 17], DropReason::Malformed);
    check(&[0xff; 1_200], DropReason::Malformed);
    check(&established(1, 5, 77), DropReason::UnknownEndpoint);
    check(&established(2, 1, 77), DropReason::UnknownCid);
    check(&initial(1)[..1_199], DropReason::OpeningTooSmall);
    let initial_with_first_byte = |first: u8| {
        let mut datagram = initial(1);
        datagram[0] = first;
        datagram
    };
    check(&initial_with_first_byte(0xe0), DropReason::UnknownCid);
    check(&initial_with_first_byte(0xf0), DropReason::ServerKind);
    let unknown_address = table.route(service_address(2), tunnel_address(1), &initial(1));
    assert_eq!(unknown_address, Decision::Drop(DropReason::NoService));
}

#[test]
fn less_loaded_endpoint_is_target_and_leaving_one_is_not() {
    let (table, registry) = table(&[1, 2, 3], None, BundleRollout::Complete);
    let set_load = |endpoint, busy, is_leaving| {
        let status = registry
            .find(EndpointId::new(endpoint))
            .expect("in the bundle");
        status.set_load(Load {
            busy: Slots::new(busy),
            total: Slots::new(2),
            is_leaving,
        });
    };
    set_load(1, 2, false);
    set_load(2, 0, false);
    set_load(3, 2, false);
    // Endpoint 2 is among the two highest scores for two thirds of the flows.
    let count = target_endpoints(&table)
        .iter()
        .filter(|it| **it == 2)
        .count();
    assert!((1_230..=1_440).contains(&count), "{count} of {FLOWS}");
    set_load(2, 0, true);
    assert!(target_endpoints(&table).iter().all(|it| *it != 2));
}

#[test]
fn deciders_ignore_leaving_slow_start_and_suspicion() {
    let (table, registry) = table(&[1, 2, 3], None, BundleRollout::Complete);
    let deciders = || -> Vec<_> {
        (0..FLOWS)
            .map(|it| route_opening(&table, it).first_decider())
            .collect()
    };
    let before = deciders();
    for endpoint in [1, 2, 3] {
        let status = registry
            .find(EndpointId::new(endpoint))
            .expect("in the bundle");
        status.set_leaving_listed(endpoint == 1);
        status.set_ramp_percent(10);
        status.set_liveness(Liveness::Suspect);
    }
    assert_eq!(deciders(), before);
}

#[test]
fn rollout_limits_targets_and_keeps_previous_decider_first() {
    let (propagating, _registry) = table(&[2, 3], Some(&[1, 2]), BundleRollout::Propagating);
    assert!(target_endpoints(&propagating).iter().all(|it| *it == 2));
    let (overlapping, _registry) = table(&[2, 3], Some(&[1, 2]), BundleRollout::Overlapping);
    let (old, _registry) = table(&[1, 2], None, BundleRollout::Complete);
    let (new, _registry) = table(&[2, 3], None, BundleRollout::Complete);
    for number in 0..FLOWS {
        let listed = route_opening(&overlapping, number);
        let deciders = [
            route_opening(&old, number).first_decider(),
            route_opening(&new, number).first_decider(),
        ];
        let expect = if deciders[0] == deciders[1] { 1 } else { 2 };
        assert_eq!(listed.deciders(), &deciders[..expect]);
    }
    // If the bundles have no endpoint in common, the new endpoints must open flows at once.
    let (replaced, _registry) = table(&[3, 4], Some(&[1, 2]), BundleRollout::Propagating);
    assert!(target_endpoints(&replaced).iter().all(|it| *it >= 3));
}

#[test]
fn dead_endpoints_are_no_candidates_unless_all_are_dead() {
    let (table, registry) = table(&[1, 2, 3], None, BundleRollout::Complete);
    let mark_dead = |endpoint| {
        let status = registry
            .find(EndpointId::new(endpoint))
            .expect("in the bundle");
        status.set_liveness(Liveness::Dead);
    };
    mark_dead(1);
    let is_listed = |it| {
        route_opening(&table, it)
            .position(EndpointId::new(1))
            .is_some()
    };
    assert!(!(0..FLOWS).any(is_listed));
    mark_dead(2);
    mark_dead(3);
    // If all endpoints appear dead, the liveness evidence is more likely wrong than the bundle.
    assert_eq!(target_endpoints(&table).len(), 2_000);
}

#[test]
fn arbitrary_datagrams_belong_to_no_established_flow() {
    let (table, _registry) = table(&[1, 2, 3], Some(&[3, 4]), BundleRollout::Overlapping);
    bolero::check!()
        .with_iterations(20_000)
        .for_each(|bytes: &[u8]| {
            let decision = route(&table, bytes);
            assert!(!matches!(decision, Decision::Established { .. }));
        });
}
