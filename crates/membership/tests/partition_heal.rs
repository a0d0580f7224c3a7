//! Both sides of a partition serve; after the heal nobody flaps and nobody is flooded.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, agent_id, is_alive};
use membership::{Condition, Config, Members};
use units::Millis;

const BALANCERS: u16 = 12;
const AGENTS: u16 = 40;

/// Bytes a second that a balancer may spend on control.
const BYTES_PER_SECOND_MAX: u64 = 18_000;

/// Longest time for which a healthy endpoint may be out of service.
const REMOVED_MAX_MS: u64 = 3_000;

/// Time that a split lasts at least for members to be declared dead.
const LONG_SPLIT_MS: u64 = 15_000;

/// Splits a fleet by halves for a while.
fn split(seed: u64, split_ms: u64, config: &Config) -> Fleet {
    let mut fleet = Fleet::new(BALANCERS, AGENTS, seed, config);
    fleet.run(3_000);
    for (idx, it) in fleet.balancers.iter_mut().enumerate() {
        it.side = u8::from(idx % 2 == 1);
    }
    for (idx, it) in fleet.agents.iter_mut().enumerate() {
        it.side = u8::from(idx % 2 == 1);
    }
    fleet.run(split_ms);
    fleet
}

fn heal(fleet: &mut Fleet) {
    fleet.balancers.iter_mut().for_each(|it| it.side = 0);
    fleet.agents.iter_mut().for_each(|it| it.side = 0);
}

fn own_side(members: &Members, side: u16) -> impl Iterator<Item = bool> {
    let agents = (0..AGENTS).filter(move |it| it % 2 == side);
    agents.map(|it| is_alive(members, agent_id(it)))
}

#[test]
fn both_sides_serve() {
    let fleet = split(1, LONG_SPLIT_MS, &Config::new());
    for (idx, it) in fleet.balancers.iter().enumerate() {
        let side = u16::from(idx % 2 == 1);
        assert!(own_side(&it.core, side).all(|it| it));
        assert!(own_side(&it.core, 1 - side).all(|it| !it));
    }
}

/// What a heal did to the agents of each balancer's own side.
struct Healed {
    removals: u64,
    removed_max_ms: u64,
}

/// Heals a split fleet and waits until everyone uses everyone again.
fn healed(seed: u64, split_ms: u64, config: &Config) -> Healed {
    let mut fleet = split(seed, split_ms, config);
    let removals = fleet.own_side_removals;
    heal(&mut fleet);
    let everyone = |it: &Members| it.iter().all(|it| it.condition == Condition::Alive);
    let before = fleet.bytes_sent;
    let healed_ms = fleet.run_until(30_000, everyone).unwrap();
    assert!(healed_ms <= 10_000, "seed {seed}: {healed_ms}");
    fleet.run(10_000);
    let seconds = (healed_ms + 10_000) / 1_000;
    let rate = (fleet.bytes_sent - before) / seconds / u64::from(BALANCERS);
    assert!(rate <= BYTES_PER_SECOND_MAX, "{rate} bytes a second");
    Healed {
        removals: fleet.own_side_removals - removals,
        removed_max_ms: fleet.own_side_removed_max_ms,
    }
}

#[test]
fn long_split() {
    for seed in 0..20 {
        let healed = healed(seed, LONG_SPLIT_MS, &Config::new());
        assert_eq!(healed.removals, 0, "seed {seed}");
    }
}

/// Suspicions that are still young when the fleet comes together may cross, but not for long.
#[test]
fn short_split() {
    let check = |split_ms| {
        for seed in 0..20 {
            let healed = healed(seed, split_ms, &Config::new());
            let removed_ms = healed.removed_max_ms;
            assert!(
                removed_ms <= REMOVED_MAX_MS,
                "{split_ms} ms, seed {seed}: {removed_ms}"
            );
        }
    };
    check(1_200);
    check(2_000);
    check(4_000);
}

#[test]
fn long_split_broken() {
    let broken = Config::new()
        .with_report_age_max(Millis::new(u64::MAX))
        .with_corroborating_silence(Millis::new(0))
        .with_sender_probation(Millis::new(0));
    let removals = (0..10).map(|seed| healed(seed, LONG_SPLIT_MS, &broken).removals);
    assert!(removals.sum::<u64>() > 0);
}

#[test]
fn zone_dark() {
    let mut fleet = Fleet::new(BALANCERS, AGENTS, 2, &Config::new());
    fleet.run(3_000);
    let (dark_balancers, dark_agents) = (4, 13);
    for it in &mut fleet.balancers[..dark_balancers] {
        it.is_dead = true;
    }
    for it in &mut fleet.agents[..dark_agents] {
        it.is_dead = true;
    }
    let is_dark = |members: &Members| {
        let dark = u16::try_from(dark_agents).unwrap();
        (0..dark).all(|it| !is_alive(members, agent_id(it)))
    };
    let noticed = fleet.run_until(10_000, is_dark);
    assert!(noticed.is_some_and(|it| it <= 2_000), "{noticed:?}");
    fleet.run(10_000);
    for it in &fleet.balancers[dark_balancers..] {
        let mut others = u16::try_from(dark_agents).unwrap()..AGENTS;
        assert!(others.all(|idx| is_alive(&it.core, agent_id(idx))));
    }
}
