//! Every packet of an opening ends at one agent, and tables stay bounded.

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
const LATER: Millis = Millis::new(200);

fn agent(id: u32) -> SocketAddr {
    let [.., a, b] = id.to_be_bytes();
    SocketAddr::from(([10, 0, a, b], 4_433))
}

fn candidates<const N: usize>(ids: [u32; N]) -> [Candidate; N] {
    ids.map(|id| Candidate {
        endpoint: EndpointId::new(id),
        address: agent(id),
    })
}

fn table(id: u32) -> OpeningTable {
    OpeningTable::new(EndpointId::new(id), Millis::new(0), LIMITS, 1)
}

fn decide(table: &mut OpeningTable, now: Millis, flow: u8, opening: &Opening) -> OpeningAction {
    let key = table.key(agent(9_999), &[flow]);
    table.decide(now, key, opening)
}

/// Follows an opening through agents 1 to 4 and returns who opened or got it, and the hops.
fn follow(tables: &mut [OpeningTable], now: Millis, mut opening: Opening) -> (u32, u8) {
    let mut at = opening.first_decider().endpoint;
    loop {
        let idx = usize::try_from(at.get()).expect("small id") - 1;
        match decide(&mut tables[idx], now, 1, &opening) {
            OpeningAction::Open | OpeningAction::Deliver => return (at.get(), opening.hops()),
            OpeningAction::Forward { to, opening: next } => (at, opening) = (to.endpoint, next),
            OpeningAction::Refuse(refusal) => panic!("{refusal:?} at {at}"),
        }
    }
}

fn opening(ids: &[Candidate], deciders: usize, target: usize) -> Opening {
    Opening::new(ids, deciders, target).expect("valid list")
}

#[test]
fn first_decision_holds() {
    let list = candidates([1, 2, 3]);
    let mut tables = [1, 2, 3].map(table);
    let first = opening(&list, 1, 2);
    assert_eq!(follow(&mut tables, LATER, first), (3, 1));
    for target in [0, 1, 2] {
        let other = opening(&list, 1, target);
        assert_eq!(follow(&mut tables, LATER, other), (3, 1));
    }
}

#[test]
fn older_home_first() {
    let mut tables = [1, 2, 3].map(table);
    let new = opening(&candidates([1, 2, 3]), 2, 2);
    assert_eq!(follow(&mut tables, LATER, new), (3, 2));
    let old = opening(&candidates([1]), 1, 0);
    assert_eq!(follow(&mut tables, LATER, old).0, 3);
}

#[test]
fn target_is_older_home() {
    let mut tables = [1, 2].map(table);
    let through = opening(&candidates([1, 2]), 2, 0);
    assert_eq!(follow(&mut tables, LATER, through), (1, 2));
    assert_eq!(follow(&mut tables, LATER, through), (1, 0));
}

#[test]
fn restarted_home() {
    let list = candidates([1, 2, 3, 4]);
    let mut tables = [1, 2, 3, 4].map(table);
    assert_eq!(follow(&mut tables, LATER, opening(&list, 1, 3)).0, 4);
    tables[0] = OpeningTable::new(EndpointId::new(1), LATER, LIMITS, 2);
    assert_eq!(follow(&mut tables, LATER, opening(&list, 1, 1)).0, 4);
}

#[test]
fn young_fleet() {
    let list = candidates([1, 2, 3, 4]);
    let mut tables = [1, 2, 3, 4].map(table);
    let start = Millis::new(0);
    assert_eq!(follow(&mut tables, start, opening(&list, 2, 2)).0, 3);
    assert_eq!(follow(&mut tables, start, opening(&list, 2, 1)).0, 3);
}

#[test]
fn bounded_entries() {
    let mut table = table(1);
    let own = opening(&candidates([1]), 1, 0);
    for flow in 0..4 {
        assert_eq!(decide(&mut table, LATER, flow, &own), OpeningAction::Open);
    }
    let full = OpeningAction::Refuse(Refusal::TableFull);
    assert_eq!(decide(&mut table, LATER, 9, &own), full);
    assert_eq!(decide(&mut table, LATER, 3, &own), OpeningAction::Deliver);
    let expired = LATER.plus(LIMITS.lifetime_ms);
    assert_eq!(decide(&mut table, expired, 9, &own), OpeningAction::Open);
    assert_eq!(table.len(), 1);
}

#[test]
fn endless_passing() {
    let list = candidates([1, 2]);
    let tired = opening(&list, 1, 1).with_progress(Stage::Decide, flow::tunnel::HOPS_MAX);
    let verdict = decide(&mut table(1), LATER, 1, &tired.expect("at the bound"));
    assert_eq!(verdict, OpeningAction::Refuse(Refusal::HopLimit));
}

/// Random packets of few flows through random lists: a flow opened at two agents would be a bug.
#[test]
fn random_openings() {
    bolero::check!()
        .with_type::<Vec<(u8, u8)>>()
        .with_iterations(2_000)
        .for_each(|packets| {
            let list = candidates([1, 2, 3, 4]);
            let mut tables = [1, 2, 3, 4].map(table);
            let mut holder = None;
            for &(target, lag) in packets {
                let now = Millis::new(u64::from(lag));
                let packet = opening(&list, 2, usize::from(target % 4));
                let (at, _hops) = follow(&mut tables, now, packet);
                assert_eq!(*holder.get_or_insert(at), at);
            }
        });
}
