//! Hand-off: at most one agent starts an offered request, and offers go to peers with free slots.

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
fn failed_offer_is_requeued_if_safe() {
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
fn duplicate_offer_is_refused() {
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
fn full_peer_is_probed_with_backoff() {
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
        assert_eq!(
            peers.choose_peer(at(now_ms), [0, 0]),
            expect,
            "at {now_ms} ms"
        );
    };
    check(10, None);
    check(15, Some(agent(1, 1)));
    check(40, None);
    check(45, Some(agent(1, 1)));
    check(104, None);
    check(105, Some(agent(1, 1)));
}

#[test]
fn waiting_long_work_leaves_short_slot_free() {
    let mut peers = PeerLoads::default();
    let load = Load {
        free_short: 1,
        waiting: 3,
        ..Load::default()
    };
    peers.record_load(Millis::new(0), agent(1, 1), load);
    let chosen = peers.choose_peer(Millis::new(1), [0, 0]);
    assert_eq!(
        chosen,
        Some(agent(1, 1)),
        "requests that wait beside a free short slot can only be long"
    );
}

#[test]
fn peer_with_more_free_slots_is_chosen() {
    let mut peers = PeerLoads::default();
    let load = |free_short| Load {
        free_short,
        ..Load::default()
    };
    let at = Millis::new;
    assert_eq!(peers.choose_peer(at(0), [0, 1]), None);
    peers.record_load(at(0), agent(1, 1), load(1));
    peers.record_load(at(0), agent(2, 1), load(3));
    assert_eq!(
        peers.choose_peer(at(10), [0, 1]),
        Some(agent(2, 1)),
        "the peer with more free slots is chosen"
    );
    peers.mark_peer_full(at(10), EndpointId::new(2));
    assert_eq!(peers.choose_peer(at(20), [0, 1]), Some(agent(1, 1)));
    assert_eq!(
        peers.choose_peer(at(20), [0, 1]),
        None,
        "the only free slot is already counted as taken"
    );
    peers.record_load(at(30), agent(1, 1), load(1));
    assert_eq!(
        peers.choose_peer(at(2_000), [0, 1]),
        None,
        "a stale load is ignored"
    );
}
