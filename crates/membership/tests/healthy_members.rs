//! Healthy members stay in service under packet loss and pauses of agents and balancers.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, agent_id, is_alive};
use membership::Config;
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use units::Millis;

/// Maximum time for which any balancer may consider a healthy agent not alive.
const REMOVAL_MAX_MS: u64 = 3_000;

/// Minimum time between the end of a process's pause and the start of its next pause.
const PAUSE_GAP_MIN_MS: u64 = 4_000;

const PAUSE_MS: u64 = 2_000;

/// Runs a fleet under packet loss and random pauses; returns the longest time for which an agent
/// was removed.
fn longest_removal_ms(balancers: u16, agents: u16, seed: u64, config: &Config) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(balancers, agents, seed, config);
    fleet.run(3_000);
    fleet.loss_percent = 20;
    for _ in 0..100 {
        fleet.run(200);
        let now_ms = fleet.now_ms;
        if rng.random_ratio(3, 10) {
            let idx = rng.random_range(0..fleet.agents.len());
            pause_process(&mut fleet.agents[idx].paused_until_ms, now_ms);
        }
        if rng.random_ratio(1, 20) {
            let idx = rng.random_range(0..fleet.balancers.len());
            pause_process(&mut fleet.balancers[idx].paused_until_ms, now_ms);
        }
    }
    fleet.loss_percent = 0;
    let all_agents_alive =
        |it: &membership::Members| (0..agents).all(|idx| is_alive(it, agent_id(idx)));
    let recovered_ms = fleet.run_until(5_000, all_agents_alive);
    assert!(
        recovered_ms.is_some(),
        "seed {seed}: an agent is still removed 5 s after the loss ended"
    );
    fleet.longest_removal_ms.iter().copied().max().unwrap()
}

fn pause_process(until_ms: &mut u64, now_ms: u64) {
    if now_ms >= *until_ms + PAUSE_GAP_MIN_MS {
        *until_ms = now_ms + PAUSE_MS;
    }
}

#[test]
fn loss_and_pauses_bound_removals() {
    bolero::check!()
        .with_iterations(30)
        .with_type::<u64>()
        .for_each(|&seed| {
            let removed = longest_removal_ms(6, 20, seed, &Config::new());
            assert!(removed <= REMOVAL_MAX_MS, "seed {seed}: {removed} ms");
        });
}

/// Pauses one balancer; returns how often balancers removed a healthy agent.
fn removals_after_pause(config: &Config) -> u64 {
    let mut removals = 0;
    for seed in 0..10 {
        let mut fleet = Fleet::new(4, 20, seed, config);
        fleet.run(3_000 + seed * 130);
        fleet.balancers[0].paused_until_ms = fleet.now_ms + 2_000;
        // The socket buffer of a paused process may overflow, so the balancer receives nothing.
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
fn paused_prober_removes_no_agent() {
    assert_eq!(removals_after_pause(&Config::new()), 0);
}

#[test]
fn paused_prober_without_safeguards_removes_agents() {
    let config = Config::new()
        .with_pause_threshold(Millis::new(u64::MAX))
        .with_tick_lag_factor(0)
        .with_isolation_threshold(Millis::new(u64::MAX));
    assert!(removals_after_pause(&config) > 0);
}

/// Isolates one balancer for 10 s; returns how often balancers removed a healthy agent.
fn removals_while_isolated(config: &Config) -> u64 {
    let mut fleet = Fleet::new(4, 20, 3, config);
    fleet.run(3_000);
    fleet.balancers[0].side = 1;
    fleet.run(10_000);
    fleet.balancers[0].side = 0;
    fleet.run(3_000);
    fleet.removals
}

#[test]
fn isolated_prober_removes_no_agent() {
    assert_eq!(removals_while_isolated(&Config::new()), 0);
}

#[test]
fn isolated_prober_without_threshold_removes_agents() {
    let config = Config::new().with_isolation_threshold(Millis::new(u64::MAX));
    assert!(removals_while_isolated(&config) > 0);
}

#[test]
fn hints_remove_no_agent() {
    let mut fleet = Fleet::new(4, 20, 4, &Config::new());
    fleet.run(3_000);
    for _ in 0..20 {
        let now = Millis::new(fleet.now_ms);
        for balancer in &mut fleet.balancers {
            balancer
                .core
                .start_failure_check_after_hint(now, agent_id(1));
        }
        fleet.run(500);
    }
    assert_eq!(fleet.removals, 0);
}
