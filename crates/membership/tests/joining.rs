//! Balancers meet after a common start, from islands, and when one joins late.

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

/// A gossip in which a balancer introduces itself.
fn hello(idx: u8) -> Message {
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
fn seeds_after_meeting() {
    let mut out = Vec::new();
    let start = Millis::new(0);
    let incarnation = Incarnation::new(1);
    let mut members = Members::new(Config::new(), balancer_info(1), incarnation, 7, start)
        .with_seeds(vec![address(3)]);
    members.handle_message(start, address(2), KeyScope::Fleet, hello(2), &mut out);
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
    assert!(syncs_to(address(3)) > 0, "an island asks its seeds");
    assert!(syncs_to(address(2)) > 0, "and balancers it knows");
}

const BALANCERS: u16 = 40;

/// Longest time until all have met: a bundle must be in force everywhere within 10 s.
const MET_MAX_MS: u64 = 10_000;

fn knows(members: &Members) -> usize {
    members.iter().filter(|it| it.id.is_balancer()).count()
}

#[test]
fn common_start() {
    let mut fleet = Fleet::new(BALANCERS, 20, 1, &Config::new());
    let others = usize::from(BALANCERS) - 1;
    let met = fleet.run_until(20_000, |it| {
        knows(it) == others && is_alive(it, agent_id(0))
    });
    assert!(met.is_some_and(|it| it <= MET_MAX_MS), "{met:?}");
}

#[test]
fn late_joiner() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(BALANCERS, 20, seed, &Config::new());
        let late = usize::from(BALANCERS) - 1;
        fleet.balancers[late].is_dead = true;
        fleet.run(20_000);
        fleet.balancers[late].is_dead = false;
        let (joiner, others) = (fleet.balancers[late].core.local_id(), late);
        let has_met = |it: &Members| {
            if it.local_id() == joiner {
                knows(it) == others
            } else {
                is_alive(it, joiner)
            }
        };
        let met = fleet.run_until(20_000, has_met);
        assert!(
            met.is_some_and(|it| it <= MET_MAX_MS),
            "seed {seed}: {met:?}"
        );
    }
}
