//! Healthy members stay in service under loss and pauses, also after pauses of a balancer.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, agent_id, is_alive};
use membership::Config;
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use units::Millis;

/// Longest time for which a healthy endpoint may be out of service.
const REMOVED_MAX_MS: u64 = 3_000;

/// Time for which a process that was paused runs at least before its next pause.
const RUNNING_MIN_MS: u64 = 4_000;

const PAUSE_MS: u64 = 2_000;

/// Runs a fleet under loss and random pauses; returns the longest removal.
fn removed_ms(balancers: u16, agents: u16, seed: u64, config: &Config) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(balancers, agents, seed, config);
    fleet.run(3_000);
    fleet.loss_percent = 20;
    for _ in 0..100 {
        fleet.run(200);
        let now_ms = fleet.now_ms;
        if rng.random_ratio(3, 10) {
            let idx = rng.random_range(0..fleet.agents.len());
            pause(&mut fleet.agents[idx].paused_until_ms, now_ms);
        }
        if rng.random_ratio(1, 20) {
            let idx = rng.random_range(0..fleet.balancers.len());
            pause(&mut fleet.balancers[idx].paused_until_ms, now_ms);
        }
    }
    fleet.loss_percent = 0;
    let everyone = |it: &membership::Members| (0..agents).all(|idx| is_alive(it, agent_id(idx)));
    let settled = fleet.run_until(5_000, everyone);
    assert!(settled.is_some(), "seed {seed}: an agent stays removed");
    fleet.removed_max_ms.iter().copied().max().unwrap()
}

fn pause(until_ms: &mut u64, now_ms: u64) {
    if now_ms >= *until_ms + RUNNING_MIN_MS {
        *until_ms = now_ms + PAUSE_MS;
    }
}

#[test]
fn loss_and_pauses() {
    bolero::check!()
        .with_iterations(30)
        .with_type::<u64>()
        .for_each(|&seed| {
            let removed = removed_ms(6, 20, seed, &Config::new());
            assert!(removed <= REMOVED_MAX_MS, "seed {seed}: {removed} ms");
        });
}

/// Pauses one balancer while the others go on; returns how often it took a healthy agent out.
fn removals_after_pause(config: &Config) -> u64 {
    let mut removals = 0;
    for seed in 0..10 {
        let mut fleet = Fleet::new(4, 20, seed, config);
        fleet.run(3_000 + seed * 130);
        fleet.balancers[0].paused_until_ms = fleet.now_ms + 2_000;
        // Datagrams sent to a paused process may overflow its socket: none arrives.
        fleet.balancers[0].side = 1;
        fleet.run(2_000);
        fleet.run(600);
        fleet.balancers[0].side = 0;
        fleet.run(3_000);
        removals += fleet.removals;
    }
    removals
}

#[test]
fn paused_prober() {
    assert_eq!(removals_after_pause(&Config::new()), 0);
}

#[test]
fn paused_prober_broken() {
    let broken = Config::new()
        .with_pause_threshold(Millis::new(u64::MAX))
        .with_tick_lag_factor(0)
        .with_isolation_threshold(Millis::new(u64::MAX));
    assert!(removals_after_pause(&broken) > 0);
}

/// Cuts one balancer off for a while; returns how often agents were taken out.
fn removals_when_cut_off(config: &Config) -> u64 {
    let mut fleet = Fleet::new(4, 20, 3, config);
    fleet.run(3_000);
    fleet.balancers[0].side = 1;
    fleet.run(10_000);
    fleet.balancers[0].side = 0;
    fleet.run(3_000);
    fleet.removals
}

#[test]
fn isolated_prober() {
    assert_eq!(removals_when_cut_off(&Config::new()), 0);
}

#[test]
fn isolated_prober_broken() {
    let broken = Config::new().with_isolation_threshold(Millis::new(u64::MAX));
    assert!(removals_when_cut_off(&broken) > 0);
}

#[test]
fn hint_alone() {
    let mut fleet = Fleet::new(4, 20, 4, &Config::new());
    fleet.run(3_000);
    for _ in 0..20 {
        let now = Millis::new(fleet.now_ms);
        for balancer in &mut fleet.balancers {
            balancer.core.check_after_hint(now, agent_id(1));
        }
        fleet.run(500);
    }
    assert_eq!(fleet.removals, 0);
}
