//! Balancers learn of each other after a simultaneous start, when each knows only part of the
//! fleet, and when one balancer joins late.

#[path = "support/fleet.rs"]
mod fleet;

use std::net::SocketAddr;

use fleet::{Fleet, agent_id, is_alive};
use membership::{
    BalancerInfo, Config, KeyScope, MemberId, MemberUpdate, MemberVersion, Members, Message,
    MessageKind, Output,
};
use units::{Incarnation, Millis};

fn address(idx: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, idx], 7_000))
}

fn balancer_info(idx: u8) -> BalancerInfo {
    BalancerInfo {
        name: format!("b-{idx}").parse().unwrap(),
        address: address(idx),
        control_address: address(idx),
    }
}

/// Returns a gossip message in which a balancer announces itself.
fn announcement(idx: u8) -> Message {
    let id = MemberId::balancer(&balancer_info(idx).name);
    let update = MemberUpdate {
        id,
        version: MemberVersion::new(Incarnation::new(1), 0),
        is_suspect: false,
        is_leaving: false,
        age_ms: Millis::new(0),
        balancer_info: Some(balancer_info(idx)),
    };
    Message {
        kind: MessageKind::Gossip,
        sender: id,
        updates: vec![update],
    }
}

#[test]
fn joining_balancer_syncs_with_seeds() {
    let mut out = Vec::new();
    let start = Millis::new(0);
    let incarnation = Incarnation::new(1);
    let mut members = Members::new(Config::new(), balancer_info(1), incarnation, 7, start)
        .with_seeds(vec![address(3)]);
    members.handle_message(
        start,
        address(2),
        KeyScope::Fleet,
        announcement(2),
        &mut out,
    );
    for tick in 0..200 {
        members.tick(Millis::new(tick * 50), &mut out);
    }
    let syncs_to = |to: SocketAddr| {
        let is_sync = |it: &&Output| {
            matches!(it, Output::Send { to: sent, message, .. }
                if *sent == to && matches!(message.kind, MessageKind::Sync { .. }))
        };
        out.iter().filter(is_sync).count()
    };
    assert!(
        syncs_to(address(3)) > 0,
        "a joining balancer syncs with its seeds"
    );
    assert!(
        syncs_to(address(2)) > 0,
        "a joining balancer syncs with known balancers"
    );
}

const BALANCERS: u16 = 40;

/// Maximum time until all balancers know each other: a bundle must be in force on every balancer
/// within 10 s.
const JOIN_MAX_MS: u64 = 10_000;

fn known_balancers(members: &Members) -> usize {
    members.iter().filter(|it| it.id.is_balancer()).count()
}

#[test]
fn simultaneously_started_balancers_join() {
    let mut fleet = Fleet::new(BALANCERS, 20, 1, &Config::new());
    let others = usize::from(BALANCERS) - 1;
    let joined_ms = fleet.run_until(20_000, |it| {
        known_balancers(it) == others && is_alive(it, agent_id(0))
    });
    assert!(
        joined_ms.is_some_and(|it| it <= JOIN_MAX_MS),
        "{joined_ms:?}"
    );
}

#[test]
fn late_balancer_joins() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(BALANCERS, 20, seed, &Config::new());
        let late = usize::from(BALANCERS) - 1;
        fleet.balancers[late].is_dead = true;
        fleet.run(20_000);
        fleet.balancers[late].is_dead = false;
        let (joiner, others) = (fleet.balancers[late].core.local_id(), late);
        let has_joined = |it: &Members| {
            if it.local_id() == joiner {
                known_balancers(it) == others
            } else {
                is_alive(it, joiner)
            }
        };
        let joined_ms = fleet.run_until(20_000, has_joined);
        assert!(
            joined_ms.is_some_and(|it| it <= JOIN_MAX_MS),
            "seed {seed}: {joined_ms:?}"
        );
    }
}
