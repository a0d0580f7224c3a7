//! One side at most starts a request that is handed off.

use admission::{
    Load,
    at_most_once::Agent,
    handoff::{OfferId, OfferReply, OriginAction, PeerLoads, SeenOffers, origin_action},
};
use bundle::RetrySafety::{AtMostOnce, Idempotent};
use units::{EndpointId, Incarnation, Millis};

fn agent(endpoint: u32, incarnation: u32) -> Agent {
    Agent {
        endpoint: EndpointId::new(endpoint),
        incarnation: Incarnation::new(incarnation),
    }
}

#[test]
fn unclear_offer() {
    assert_eq!(
        origin_action(OfferReply::Unknown, AtMostOnce),
        OriginAction::OutcomeUnknown
    );
    assert_eq!(
        origin_action(OfferReply::Unknown, Idempotent),
        OriginAction::Requeue
    );
    assert_eq!(
        origin_action(OfferReply::Refused, AtMostOnce),
        OriginAction::Requeue
    );
}

#[test]
fn duplicate_offer() {
    let mut decided = SeenOffers::default();
    let mut check = |origin, offer, expect| {
        assert_eq!(
            decided.insert(origin, OfferId::new(offer)),
            expect,
            "{origin:?} {offer}"
        );
    };
    check(agent(1, 1), 5, true);
    check(agent(1, 1), 5, false);
    check(agent(1, 1), 3, true);
    check(agent(1, 1), 3, false);
    check(agent(1, 1), 100, true);
    check(agent(1, 1), 37, true);
    check(agent(1, 1), 36, false);
    check(agent(2, 1), 5, true);
    check(agent(1, 2), 5, true);
    check(agent(1, 1), 101, false);
}

#[test]
fn probe_full_peer() {
    let mut peers = PeerLoads::default();
    let at = Millis::new;
    peers.record_load(
        at(0),
        agent(1, 1),
        Load {
            free_short: 0,
            ..Load::default()
        },
    );
    let mut check = |now_ms, expect: Option<Agent>| {
        assert_eq!(peers.choose(at(now_ms), [0, 0]), expect, "at {now_ms} ms");
    };
    check(10, None);
    check(15, Some(agent(1, 1)));
    check(40, None);
    check(45, Some(agent(1, 1)));
    check(104, None);
    check(105, Some(agent(1, 1)));
}

#[test]
fn long_work_waits() {
    let mut peers = PeerLoads::default();
    let load = Load {
        free_short: 1,
        waiting: 3,
        ..Load::default()
    };
    peers.record_load(Millis::new(0), agent(1, 1), load);
    let chosen = peers.choose(Millis::new(1), [0, 0]);
    assert_eq!(
        chosen,
        Some(agent(1, 1)),
        "only long work waits where a slot is free for short"
    );
}

#[test]
fn choose_peer() {
    let mut peers = PeerLoads::default();
    let load = |free_short| Load {
        free_short,
        ..Load::default()
    };
    let at = Millis::new;
    assert_eq!(peers.choose(at(0), [0, 1]), None);
    peers.record_load(at(0), agent(1, 1), load(1));
    peers.record_load(at(0), agent(2, 1), load(3));
    assert_eq!(
        peers.choose(at(10), [0, 1]),
        Some(agent(2, 1)),
        "more free slots"
    );
    peers.mark_full(at(10), EndpointId::new(2));
    assert_eq!(peers.choose(at(20), [0, 1]), Some(agent(1, 1)));
    assert_eq!(peers.choose(at(20), [0, 1]), None, "its slot is taken");
    peers.record_load(at(30), agent(1, 1), load(1));
    assert_eq!(peers.choose(at(2_000), [0, 1]), None, "the load is old");
}
