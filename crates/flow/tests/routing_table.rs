//! Datagrams go to the agent that holds or should open their flow.

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
    bundles::{agent, in_force, local},
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
    table.route(local(1), agent(9_999), datagram)
}

fn opening(table: &RoutingTable, number: u64) -> Opening {
    match route(table, &initial(number)) {
        Decision::Opening(opening) => opening,
        other => panic!("{other:?} for an opening"),
    }
}

fn targets(table: &RoutingTable) -> Vec<u32> {
    let target = |it| opening(table, it).target().endpoint.get();
    (0..FLOWS).map(target).collect()
}

#[test]
fn established_flows() {
    let (table, registry) = table(&[1, 2, 3], Some(&[3, 4]), BundleRollout::Complete);
    for endpoint in [1, 3, 4] {
        // Neither death nor leaving changes where a flow's packets go.
        let cell = registry
            .find(EndpointId::new(endpoint))
            .expect("in a bundle");
        cell.set_liveness(Liveness::Dead);
        cell.set_leaving_listed(true);
        let expect = Decision::Established {
            endpoint: EndpointId::new(endpoint),
            incarnation: Incarnation::new(77),
            address: agent(endpoint),
        };
        assert_eq!(route(&table, &established(1, endpoint, 77)), expect);
    }
}

#[test]
fn dropped_datagrams() {
    let (table, _board) = table(&[1, 2], None, BundleRollout::Complete);
    let check = |datagram: &[u8], expect| {
        assert_eq!(route(&table, datagram), Decision::Drop(expect));
    };
    check(&[], DropReason::Malformed);
    check(&[0x40; 17], DropReason::Malformed);
    check(&[0xff; 1_200], DropReason::Malformed);
    check(&established(1, 5, 77), DropReason::UnknownEndpoint);
    check(&established(2, 1, 77), DropReason::UnknownCid);
    check(&initial(1)[..1_199], DropReason::OpeningTooSmall);
    let kind = |first: u8| {
        let mut datagram = initial(1);
        datagram[0] = first;
        datagram
    };
    check(&kind(0xe0), DropReason::UnknownCid);
    check(&kind(0xf0), DropReason::ServerKind);
    let nowhere = table.route(local(2), agent(1), &initial(1));
    assert_eq!(nowhere, Decision::Drop(DropReason::NoService));
}

#[test]
fn less_loaded() {
    let (table, registry) = table(&[1, 2, 3], None, BundleRollout::Complete);
    let load = |endpoint, busy, is_leaving| {
        let cell = registry
            .find(EndpointId::new(endpoint))
            .expect("in the bundle");
        cell.set_load(Load {
            busy: Slots::new(busy),
            total: Slots::new(2),
            is_leaving,
        });
    };
    load(1, 2, false);
    load(2, 0, false);
    load(3, 2, false);
    // One of the first two is endpoint 2 for two thirds of the flows.
    let count = targets(&table).iter().filter(|it| **it == 2).count();
    assert!((1_230..=1_440).contains(&count), "{count} of {FLOWS}");
    load(2, 0, true);
    assert!(targets(&table).iter().all(|it| *it != 2));
}

#[test]
fn homes_ignore_load() {
    let (table, registry) = table(&[1, 2, 3], None, BundleRollout::Complete);
    let homes = || -> Vec<_> {
        (0..FLOWS)
            .map(|it| opening(&table, it).first_decider())
            .collect()
    };
    let before = homes();
    for endpoint in [1, 2, 3] {
        let cell = registry
            .find(EndpointId::new(endpoint))
            .expect("in the bundle");
        cell.set_leaving_listed(endpoint == 1);
        cell.set_ramp_percent(10);
        cell.set_liveness(Liveness::Suspect);
    }
    assert_eq!(homes(), before);
}

#[test]
fn spreading_bundle() {
    let (spreading, _board) = table(&[2, 3], Some(&[1, 2]), BundleRollout::Propagating);
    assert!(targets(&spreading).iter().all(|it| *it == 2));
    let (both, _board) = table(&[2, 3], Some(&[1, 2]), BundleRollout::Overlapping);
    let (old, _board) = table(&[1, 2], None, BundleRollout::Complete);
    let (new, _board) = table(&[2, 3], None, BundleRollout::Complete);
    for number in 0..FLOWS {
        let listed = opening(&both, number);
        let homes = [
            opening(&old, number).first_decider(),
            opening(&new, number).first_decider(),
        ];
        let expect = if homes[0] == homes[1] { 1 } else { 2 };
        assert_eq!(listed.deciders(), &homes[..expect]);
    }
    // Nothing is common to both: waiting would leave the flows nowhere.
    let (replaced, _board) = table(&[3, 4], Some(&[1, 2]), BundleRollout::Propagating);
    assert!(targets(&replaced).iter().all(|it| *it >= 3));
}

#[test]
fn dead_endpoints() {
    let (table, registry) = table(&[1, 2, 3], None, BundleRollout::Complete);
    let kill = |endpoint| {
        let cell = registry
            .find(EndpointId::new(endpoint))
            .expect("in the bundle");
        cell.set_liveness(Liveness::Dead);
    };
    kill(1);
    let is_listed = |it| opening(&table, it).position(EndpointId::new(1)).is_some();
    assert!(!(0..FLOWS).any(is_listed));
    kill(2);
    kill(3);
    // If all seem dead, the evidence is more likely wrong than the bundle.
    assert_eq!(targets(&table).len(), 2_000);
}

#[test]
fn any_datagram() {
    let (table, _board) = table(&[1, 2, 3], Some(&[3, 4]), BundleRollout::Overlapping);
    bolero::check!()
        .with_iterations(20_000)
        .for_each(|bytes: &[u8]| {
            let decision = route(&table, bytes);
            assert!(!matches!(decision, Decision::Established { .. }));
        });
}
