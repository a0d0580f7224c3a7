//! The routing table follows bundles, ramps new endpoints and forgets removed ones in time.

use std::sync::Arc;

use balancer::RoutingTableUpdater;
use bundle::{Accepted, Bundle, Endpoint, InForce, Leaving, Sharing};
use flow::{
    key::{FleetKey, Secret},
    table::{BUNDLE_OVERLAP_MS, BUNDLE_PROPAGATION_MS, Liveness},
};
use units::{
    BundleDigest, BundleVersion, ByteSize, EndpointId, KeyIndex, Millis, ServiceId, Slots, Weight,
};

const RAMP_MS: Millis = Millis::new(1_000);
const DRAIN_MS: Millis = Millis::new(5_000);

fn updater() -> RoutingTableUpdater {
    let key = FleetKey::new(KeyIndex::new(0), Secret::new([1; 32])).unwrap();
    RoutingTableUpdater::new(key, Vec::new()).unwrap()
}

fn accepted(version: u64, endpoints: &[u32]) -> Arc<Accepted> {
    let bundle = Bundle {
        service: ServiceId::new(1),
        name: "fit".to_owned(),
        version: BundleVersion::new(version),
        previous: None,
        addresses: vec!["10.0.0.1:443".parse().unwrap()],
        endpoints: endpoints.iter().map(|&id| endpoint(id)).collect(),
        routes: Vec::new(),
        sharing: Sharing {
            short_reserve_percent: 20,
            retry_budget_percent: 10,
            cold_start_ramp_ms: RAMP_MS,
            body_max_bytes: ByteSize::new(1_000),
        },
        leaving: Leaving {
            drain_timeout_ms: DRAIN_MS,
        },
    };
    let digest = BundleDigest::default();
    Arc::new(Accepted {
        bundle,
        digest,
        envelope: Arc::from([]),
    })
}

fn endpoint(id: u32) -> Endpoint {
    let address = |port| format!("127.0.0.{id}:{port}").parse().unwrap();
    Endpoint {
        id: EndpointId::new(id),
        zone: "a".parse().unwrap(),
        tunnel_address: address(1),
        control_address: address(2),
        upstream_address: address(3),
        slots: Slots::new(2),
        weight: Weight::new(100),
        is_leaving: false,
    }
}

fn first() -> InForce {
    InForce {
        current: accepted(1, &[1, 2]),
        previous: None,
    }
}

fn second() -> InForce {
    InForce {
        current: accepted(2, &[2, 3]),
        previous: Some(accepted(1, &[1, 2])),
    }
}

fn ramp(updater: &RoutingTableUpdater, id: u32) -> u8 {
    updater
        .registry()
        .find(EndpointId::new(id))
        .unwrap()
        .ramp_percent()
}

#[test]
fn table_changes() {
    let mut updater = updater();
    let now = Millis::new(0);
    assert_eq!(updater.update(now, &[first()]).unwrap().services().len(), 1);
    assert!(updater.update(now, &[first()]).is_none(), "nothing changed");
    assert!(updater.update(now, &[second()]).is_some(), "a newer bundle");
    assert!(
        updater.update(now, &[first()]).is_none(),
        "an older bundle changes nothing"
    );
    let is_spread = now.plus(BUNDLE_PROPAGATION_MS);
    assert!(
        updater.update(is_spread, &[second()]).is_some(),
        "the new endpoint may open flows"
    );
    let overlap_ends = now.plus(BUNDLE_OVERLAP_MS);
    assert!(
        updater.update(overlap_ends, &[second()]).is_some(),
        "one generation decides again"
    );
}

#[test]
fn ramp_up() {
    let mut updater = updater();
    updater.update(Millis::new(0), &[first()]);
    assert_eq!(
        (ramp(&updater, 1), ramp(&updater, 2)),
        (100, 100),
        "known at the start"
    );
    let changed_at = Millis::new(10);
    updater.update(changed_at, &[second()]);
    let check = |updater: &mut RoutingTableUpdater, after_ms: u64, expect: u8| {
        updater.update(changed_at.plus(Millis::new(after_ms)), &[second()]);
        assert_eq!(ramp(updater, 3), expect, "after {after_ms} ms");
        assert_eq!(ramp(updater, 2), 100);
    };
    let spread = BUNDLE_PROPAGATION_MS.get();
    check(&mut updater, 1, 10);
    check(&mut updater, spread, 10);
    check(&mut updater, spread + 500, 55);
    check(&mut updater, spread + 1_000, 100);
}

#[test]
fn back_from_dead() {
    let mut updater = updater();
    let live = |updater: &mut RoutingTableUpdater, at_ms: u64, id: u32, liveness: Liveness| {
        updater
            .registry()
            .find(EndpointId::new(id))
            .unwrap()
            .set_liveness(liveness);
        updater.update(Millis::new(at_ms), &[first()]);
    };
    updater.update(Millis::new(0), &[first()]);
    live(&mut updater, 1, 1, Liveness::Dead);
    live(&mut updater, 2, 1, Liveness::Alive);
    assert_eq!(ramp(&updater, 1), 10);
    live(&mut updater, 3, 2, Liveness::Suspect);
    live(&mut updater, 4, 2, Liveness::Alive);
    assert_eq!(
        ramp(&updater, 2),
        100,
        "a suspicion alone doesn't cool an endpoint down"
    );
}
