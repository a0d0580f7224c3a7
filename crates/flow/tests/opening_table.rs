//! All opening packets of a flow reach the same agent, and opening tables stay bounded.

use std::net::SocketAddr;

use flow::{
    opening::{Limits, OpeningAction, OpeningTable, Refusal},
    tunnel::{Candidate, Opening, Stage},
};
use units::{EndpointId, Millis};

const LIMITS: Limits = Limits {
    lifetime_ms: Millis::new(1_000),
    warmup_ms: Millis::new(100),
    entries_max: 4,
};
const AFTER_WARMUP: Millis = Millis::new(200);

fn agent_address(id: u32) -> SocketAddr {
    let [.., a, b] = id.to_be_bytes();
    SocketAddr::from(([10, 0, a, b], 4_433))
}

fn candidates<const N: usize>(ids: [u32; N]) -> [Candidate; N] {
    ids.map(|id| Candidate {
        endpoint: EndpointId::new(id),
        address: agent_address(id),
    })
}

fn table(id: u32) -> OpeningTable {
    OpeningTable::new(EndpointId::new(id), Millis::new(0), LIMITS, 1)
}

fn decide(table: &mut OpeningTable, now: Millis, flow: u8, opening: &Opening) -> OpeningAction {
    let key = table.key(agent_address(9_999), &[flow]);
    table.decide(now, key, opening)
}

/// Forwards an opening packet between agents 1 to 4 until one of them takes it.
///
/// Returns that agent's id and the number of hops.
fn forward_until_taken(
    tables: &mut [OpeningTable],
    now: Millis,
    mut opening: Opening,
) -> (u32, u8) {
    let mut at = opening.first_decider().endpoint;
    loop {
        let idx = usize::try_from(at.get()).expect("ids are 1 to 4") - 1;
        match decide(&mut tables[idx], now, 1, &opening) {
            OpeningAction::Open | OpeningAction::Deliver => return (at.get(), opening.hops()),
            OpeningAction::Forward { to, opening: next } => (at, opening) = (to.endpoint, next),
            OpeningAction::Refuse(refusal) => panic!("agent {at} refused the opening: {refusal:?}"),
        }
    }
}

fn opening(ids: &[Candidate], deciders: usize, target: usize) -> Opening {
    Opening::new(ids, deciders, target).expect("valid list")
}

#[test]
fn later_packets_keep_the_first_decision() {
    let list = candidates([1, 2, 3]);
    let mut tables = [1, 2, 3].map(table);
    let first = opening(&list, 1, 2);
    assert_eq!(
        forward_until_taken(&mut tables, AFTER_WARMUP, first),
        (3, 1)
    );
    for target in [0, 1, 2] {
        let other = opening(&list, 1, target);
        assert_eq!(
            forward_until_taken(&mut tables, AFTER_WARMUP, other),
            (3, 1)
        );
    }
}

#[test]
fn previous_bundles_decider_decides_first() {
    let mut tables = [1, 2, 3].map(table);
    let new = opening(&candidates([1, 2, 3]), 2, 2);
    assert_eq!(forward_until_taken(&mut tables, AFTER_WARMUP, new), (3, 2));
    let old = opening(&candidates([1]), 1, 0);
    assert_eq!(forward_until_taken(&mut tables, AFTER_WARMUP, old).0, 3);
}

#[test]
fn previous_decider_opens_flow_that_targets_it() {
    let mut tables = [1, 2].map(table);
    let via_both = opening(&candidates([1, 2]), 2, 0);
    assert_eq!(
        forward_until_taken(&mut tables, AFTER_WARMUP, via_both),
        (1, 2)
    );
    assert_eq!(
        forward_until_taken(&mut tables, AFTER_WARMUP, via_both),
        (1, 0)
    );
}

#[test]
fn restarted_decider_learns_its_decision_from_candidates() {
    let list = candidates([1, 2, 3, 4]);
    let mut tables = [1, 2, 3, 4].map(table);
    assert_eq!(
        forward_until_taken(&mut tables, AFTER_WARMUP, opening(&list, 1, 3)).0,
        4
    );
    tables[0] = OpeningTable::new(EndpointId::new(1), AFTER_WARMUP, LIMITS, 2);
    assert_eq!(
        forward_until_taken(&mut tables, AFTER_WARMUP, opening(&list, 1, 1)).0,
        4
    );
}

#[test]
fn agents_that_all_just_started_still_agree() {
    let list = candidates([1, 2, 3, 4]);
    let mut tables = [1, 2, 3, 4].map(table);
    let start = Millis::new(0);
    assert_eq!(
        forward_until_taken(&mut tables, start, opening(&list, 2, 2)).0,
        3
    );
    assert_eq!(
        forward_until_taken(&mut tables, start, opening(&list, 2, 1)).0,
        3
    );
}

#[test]
fn full_table_refuses_new_openings_until_entries_expire() {
    let mut table = table(1);
    let only_own = opening(&candidates([1]), 1, 0);
    for flow in 0..4 {
        assert_eq!(
            decide(&mut table, AFTER_WARMUP, flow, &only_own),
            OpeningAction::Open
        );
    }
    let full = OpeningAction::Refuse(Refusal::TableFull);
    assert_eq!(decide(&mut table, AFTER_WARMUP, 9, &only_own), full);
    assert_eq!(
        decide(&mut table, AFTER_WARMUP, 3, &only_own),
        OpeningAction::Deliver
    );
    let expired = AFTER_WARMUP.plus(LIMITS.lifetime_ms);
    assert_eq!(
        decide(&mut table, expired, 9, &only_own),
        OpeningAction::Open
    );
    assert_eq!(table.len(), 1);
}

#[test]
fn opening_at_hop_limit_is_refused() {
    let list = candidates([1, 2]);
    let at_hop_limit =
        opening(&list, 1, 1).with_stage_and_hops(Stage::Decide, flow::tunnel::HOPS_MAX);
    let action = decide(
        &mut table(1),
        AFTER_WARMUP,
        1,
        &at_hop_limit.expect("hops are at the limit, not above"),
    );
    assert_eq!(action, OpeningAction::Refuse(Refusal::HopLimit));
}

/// All packets of one flow must reach the same agent, at random times and with random targets.
/// The test fails if two agents open the flow.
#[test]
fn random_packets_of_one_flow_reach_one_agent() {
    bolero::check!()
        .with_type::<Vec<(u8, u8)>>()
        .with_iterations(2_000)
        .for_each(|packets| {
            let list = candidates([1, 2, 3, 4]);
            let mut tables = [1, 2, 3, 4].map(table);
            let mut owner = None;
            for &(target, time_ms) in packets {
                let now = Millis::new(u64::from(time_ms));
                let packet = opening(&list, 2, usize::from(target % 4));
                let (at, _hops) = forward_until_taken(&mut tables, now, packet);
                assert_eq!(*owner.get_or_insert(at), at);
            }
        });
}
