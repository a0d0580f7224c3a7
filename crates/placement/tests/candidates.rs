//! How an opening's candidates are divided among the availability zones.

use placement::{CandidatePlan, EndpointLoad, PlanKind, ZoneLoads};

const OWN_ZONE: u64 = 20;
const PLACES: usize = 8;

/// A zone with the mean loads of its endpoints: of requests, and to expect of idle flows.
type Zone = (u64, u16, u16);

/// Plans a list for the given zones.
fn plan(zones: &[Zone], draw: u16) -> CandidatePlan {
    let mut loads = ZoneLoads::default();
    for (zone, working, idle) in zones.iter().copied() {
        for _ in 0..10 {
            loads.record_endpoint(zone, EndpointLoad { working, idle });
        }
    }
    CandidatePlan::new(&loads, OWN_ZONE, PLACES, draw)
}

/// Returns the zones of the first places of a list of ten endpoints a zone.
fn zones_of_list(plan: &CandidatePlan) -> Vec<u64> {
    let mut endpoints: Vec<(u64, u8)> = (0..10)
        .flat_map(|it| [(10, it), (20, it), (30, it)])
        .collect();
    plan.sort_endpoints(&mut endpoints, |it| it.0, |_| 0);
    for zone in [10, 20, 30] {
        let of_zone = endpoints.iter().filter(|it| it.0 == zone);
        assert!(of_zone.is_sorted(), "the order within a zone is kept");
    }
    endpoints.iter().take(PLACES).map(|it| it.0).collect()
}

#[test]
fn list_is_divided_by_the_loads_of_the_zones() {
    let cases: [(&str, &[Zone], PlanKind, [u64; PLACES]); 6] = [
        (
            "nothing is reported",
            &[],
            PlanKind::OwnZone,
            [20, 20, 20, 20, 20, 20, 10, 30],
        ),
        (
            "the own zone has room, though it has more work than others",
            &[(10, 100, 0), (20, 700, 0), (30, 100, 0)],
            PlanKind::OwnZone,
            [20, 20, 20, 20, 20, 20, 10, 30],
        ),
        (
            "all zones are crowded alike",
            &[(10, 900, 0), (20, 900, 0), (30, 900, 0)],
            PlanKind::Shared,
            [20, 20, 20, 20, 10, 10, 30, 30],
        ),
        (
            "the own zone is crowded, others less",
            &[(10, 800, 0), (20, 1_100, 0), (30, 500, 0)],
            PlanKind::Spilled,
            [30, 30, 10, 10, 20, 20, 20, 20],
        ),
        (
            "the own zone holds more of the long flows, and slots are scarce",
            &[(10, 500, 200), (20, 500, 400), (30, 500, 300)],
            PlanKind::Spilled,
            [10, 10, 30, 30, 20, 20, 20, 20],
        ),
        (
            "the own zone holds more of the long flows, and slots are plenty",
            &[(10, 100, 100), (20, 100, 200), (30, 100, 100)],
            PlanKind::OwnZone,
            [20, 20, 20, 20, 20, 20, 10, 30],
        ),
    ];
    for (name, loads, kind, zones) in cases {
        let plan = plan(loads, 0);
        assert_eq!(
            (plan.kind(), zones_of_list(&plan)),
            (kind, zones.to_vec()),
            "{name}"
        );
    }
}

#[test]
fn share_of_spilled_openings_grows_with_the_excess() {
    // (load of the own zone, load of the others, share to expect)
    let cases = [
        (900, 900, 0),
        (900, 1_000, 0),
        (1_000, 850, 300),
        (2_000, 500, 1_000),
    ];
    for (own, other, share) in cases {
        let loads = [(10, other, 0), (OWN_ZONE, own, 0), (30, other, 0)];
        let spilled = (0..1_000).filter(|it| plan(&loads, *it).kind() == PlanKind::Spilled);
        assert_eq!(
            spilled.count(),
            share,
            "{own} in the own zone, {other} in others"
        );
    }
}

#[test]
fn endpoints_move_only_within_their_rank() {
    let plan = plan(&[(10, 100, 0), (OWN_ZONE, 2_000, 0)], 0);
    let mut endpoints = [(OWN_ZONE, 1), (10, 2), (OWN_ZONE, 0), (10, 1)];
    plan.sort_endpoints(&mut endpoints, |it| it.0, |it| it.1);
    assert_eq!(endpoints, [(OWN_ZONE, 0), (10, 1), (OWN_ZONE, 1), (10, 2)]);
}
