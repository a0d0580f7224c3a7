//! The table updater applies bundle changes and slow-starts new and recovered endpoints.

use std::sync::Arc;

use balancer::RoutingTableUpdater;
use bundle::{AcceptedBundle, Bundle, Endpoint, InForce, Leaving, Sharing};
use flow::{
    key::{FleetKey, Secret},
    table::{BUNDLE_OVERLAP_MS, BUNDLE_PROPAGATION_MS, Liveness},
};
use units::{
    BundleDigest, BundleVersion, ByteSize, EndpointId, KeyIndex, Millis, ServiceId, Slots, Weight,
};

const RAMP_MS: Millis = Millis::new(1_000);
const DRAIN_MS: Millis = Millis::new(5_000);

fn new_updater() -> RoutingTableUpdater {
    let key = FleetKey::new(KeyIndex::new(0), Secret::new([1; 32])).unwrap();
    RoutingTableUpdater::new(key, Vec::new()).unwrap()
}

fn accepted_bundle(version: u64, endpoints: &[u32]) -> Arc<AcceptedBundle> {
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
    Arc::new(AcceptedBundle {
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

fn first_bundle() -> InForce {
    InForce {
        current: accepted_bundle(1, &[1, 2]),
        previous: None,
    }
}

fn second_bundle() -> InForce {
    InForce {
        current: accepted_bundle(2, &[2, 3]),
        previous: Some(accepted_bundle(1, &[1, 2])),
    }
}

fn ramp_percent(updater: &RoutingTableUpdater, id: u32) -> u8 {
    updater
        .registry()
        .find(EndpointId::new(id))
        .unwrap()
        .ramp_percent()
}

#[test]
fn bundle_and_rollout_changes_need_a_new_table() {
    let mut updater = new_updater();
    let now = Millis::new(0);
    assert_eq!(
        updater
            .update(now, &[first_bundle()])
            .unwrap()
            .services()
            .len(),
        1
    );
    assert!(
        updater.update(now, &[first_bundle()]).is_none(),
        "an unchanged bundle needs no new table"
    );
    assert!(
        updater.update(now, &[second_bundle()]).is_some(),
        "a newer bundle needs a new table"
    );
    assert!(
        updater.update(now, &[first_bundle()]).is_none(),
        "an older bundle must be ignored"
    );
    let propagated_at = now.plus(BUNDLE_PROPAGATION_MS);
    assert!(
        updater.update(propagated_at, &[second_bundle()]).is_some(),
        "the new endpoint may open flows after propagation"
    );
    let overlap_ends_at = now.plus(BUNDLE_OVERLAP_MS);
    assert!(
        updater
            .update(overlap_ends_at, &[second_bundle()])
            .is_some(),
        "only the new bundle decides after the overlap"
    );
}

#[test]
fn new_endpoint_slow_starts_after_propagation() {
    let mut updater = new_updater();
    updater.update(Millis::new(0), &[first_bundle()]);
    assert_eq!(
        (ramp_percent(&updater, 1), ramp_percent(&updater, 2)),
        (100, 100),
        "endpoints of the first snapshot need no slow start"
    );
    let changed_at = Millis::new(10);
    updater.update(changed_at, &[second_bundle()]);
    let check = |updater: &mut RoutingTableUpdater, after_ms: u64, expect: u8| {
        updater.update(changed_at.plus(Millis::new(after_ms)), &[second_bundle()]);
        assert_eq!(ramp_percent(updater, 3), expect, "after {after_ms} ms");
        assert_eq!(ramp_percent(updater, 2), 100);
    };
    let propagation_ms = BUNDLE_PROPAGATION_MS.get();
    check(&mut updater, 1, 10);
    check(&mut updater, propagation_ms, 10);
    check(&mut updater, propagation_ms + 500, 55);
    check(&mut updater, propagation_ms + 1_000, 100);
}

#[test]
fn recovered_endpoint_restarts_slow_start() {
    let mut updater = new_updater();
    let set_liveness_and_update =
        |updater: &mut RoutingTableUpdater, at_ms: u64, id: u32, liveness: Liveness| {
            updater
                .registry()
                .find(EndpointId::new(id))
                .unwrap()
                .set_liveness(liveness);
            updater.update(Millis::new(at_ms), &[first_bundle()]);
        };
    updater.update(Millis::new(0), &[first_bundle()]);
    set_liveness_and_update(&mut updater, 1, 1, Liveness::Dead);
    set_liveness_and_update(&mut updater, 2, 1, Liveness::Alive);
    assert_eq!(ramp_percent(&updater, 1), 10);
    set_liveness_and_update(&mut updater, 3, 2, Liveness::Suspect);
    set_liveness_and_update(&mut updater, 4, 2, Liveness::Alive);
    assert_eq!(
        ramp_percent(&updater, 2),
        100,
        "suspicion alone must not restart the slow start"
    );
}
