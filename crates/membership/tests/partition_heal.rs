//! Both sides of a partition keep serving; healing it removes no members for long and keeps control
//! traffic within its limit.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, agent_id, is_alive};
use membership::{Condition, Config, Members};
use units::Millis;

const BALANCERS: u16 = 12;
const AGENTS: u16 = 40;

/// Maximum control traffic that a balancer may send, in bytes per second.
const BYTES_PER_SECOND_MAX: u64 = 18_000;

/// Maximum time for which a balancer may consider a healthy agent of its own side not alive.
const REMOVAL_MAX_MS: u64 = 3_000;

/// Length of a partition that is long enough for members to be declared dead.
const LONG_PARTITION_MS: u64 = 15_000;

/// Runs a fleet and partitions it into halves for `partition_ms`.
fn partition_fleet(seed: u64, partition_ms: u64, config: &Config) -> Fleet {
    let mut fleet = Fleet::new(BALANCERS, AGENTS, seed, config);
    fleet.run(3_000);
    for (idx, it) in fleet.balancers.iter_mut().enumerate() {
        it.side = u8::from(idx % 2 == 1);
    }
    for (idx, it) in fleet.agents.iter_mut().enumerate() {
        it.side = u8::from(idx % 2 == 1);
    }
    fleet.run(partition_ms);
    fleet
}

fn heal_partition(fleet: &mut Fleet) {
    fleet.balancers.iter_mut().for_each(|it| it.side = 0);
    fleet.agents.iter_mut().for_each(|it| it.side = 0);
}

/// Returns, for each agent on a side of the partition, whether a balancer considers it alive.
fn agents_alive_on_side(members: &Members, side: u16) -> impl Iterator<Item = bool> {
    let agents = (0..AGENTS).filter(move |it| it % 2 == side);
    agents.map(|it| is_alive(members, agent_id(it)))
}

#[test]
fn both_sides_keep_own_agents() {
    let fleet = partition_fleet(1, LONG_PARTITION_MS, &Config::new());
    for (idx, it) in fleet.balancers.iter().enumerate() {
        let side = u16::from(idx % 2 == 1);
        assert!(agents_alive_on_side(&it.core, side).all(|it| it));
        assert!(agents_alive_on_side(&it.core, 1 - side).all(|it| !it));
    }
}

/// The removals of agents on each balancer's own side that healing a partition caused.
struct HealResult {
    removals: u64,
    longest_removal_ms: u64,
}

/// Heals a partition and waits until every balancer considers all members alive; checks the rate
/// of control traffic.
fn measure_partition_heal(seed: u64, partition_ms: u64, config: &Config) -> HealResult {
    let mut fleet = partition_fleet(seed, partition_ms, config);
    let removals = fleet.own_side_removals;
    heal_partition(&mut fleet);
    let all_members_alive = |it: &Members| it.iter().all(|it| it.condition == Condition::Alive);
    let before = fleet.bytes_sent;
    let healed_ms = fleet.run_until(30_000, all_members_alive).unwrap();
    assert!(healed_ms <= 10_000, "seed {seed}: {healed_ms}");
    fleet.run(10_000);
    let seconds = (healed_ms + 10_000) / 1_000;
    let rate = (fleet.bytes_sent - before) / seconds / u64::from(BALANCERS);
    assert!(rate <= BYTES_PER_SECOND_MAX, "{rate} bytes per second");
    HealResult {
        removals: fleet.own_side_removals - removals,
        longest_removal_ms: fleet.own_side_longest_removal_ms,
    }
}

#[test]
fn long_partition_removes_no_agent() {
    for seed in 0..20 {
        let healed = measure_partition_heal(seed, LONG_PARTITION_MS, &Config::new());
        assert_eq!(healed.removals, 0, "seed {seed}");
    }
}

/// Suspicions that are still recent when the partition heals may spread to the side of the
/// suspected members and remove them there, but only briefly.
#[test]
fn short_partition_bounds_removals() {
    let check = |partition_ms| {
        for seed in 0..20 {
            let healed = measure_partition_heal(seed, partition_ms, &Config::new());
            let removal_ms = healed.longest_removal_ms;
            assert!(
                removal_ms <= REMOVAL_MAX_MS,
                "{partition_ms} ms, seed {seed}: {removal_ms}"
            );
        }
    };
    check(1_200);
    check(2_000);
    check(4_000);
}

#[test]
fn long_partition_without_safeguards_removes_agents() {
    let config = Config::new()
        .with_report_age_max(Millis::new(u64::MAX))
        .with_corroborating_silence(Millis::new(0))
        .with_sender_probation(Millis::new(0));
    let removals =
        (0..10).map(|seed| measure_partition_heal(seed, LONG_PARTITION_MS, &config).removals);
    assert!(removals.sum::<u64>() > 0);
}

#[test]
fn zone_failure_removes_only_its_agents() {
    let mut fleet = Fleet::new(BALANCERS, AGENTS, 2, &Config::new());
    fleet.run(3_000);
    let (failed_balancers, failed_agents) = (4, 13);
    for it in &mut fleet.balancers[..failed_balancers] {
        it.is_dead = true;
    }
    for it in &mut fleet.agents[..failed_agents] {
        it.is_dead = true;
    }
    let is_zone_removed = |members: &Members| {
        let failed = u16::try_from(failed_agents).unwrap();
        (0..failed).all(|it| !is_alive(members, agent_id(it)))
    };
    let detected = fleet.run_until(10_000, is_zone_removed);
    assert!(detected.is_some_and(|it| it <= 2_000), "{detected:?}");
    fleet.run(10_000);
    for it in &fleet.balancers[failed_balancers..] {
        let mut others = u16::try_from(failed_agents).unwrap()..AGENTS;
        assert!(others.all(|idx| is_alive(&it.core, agent_id(idx))));
    }
}
