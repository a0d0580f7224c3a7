//! Balancers stop using a dead agent within a time limit and use it again soon after a restart.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, agent_id, is_alive};
use membership::Config;
use units::{EndpointId, Incarnation, ServiceId};

/// Maximum time from a member's death until no balancer considers it alive.
const DETECTION_MAX_MS: u64 = 2_000;

/// Kills an agent of a fleet and returns the time until no balancer considers it alive.
fn agent_death_detection_ms(
    balancers: u16,
    agents: u16,
    loss_percent: u32,
    seed: u64,
) -> Option<u64> {
    let mut fleet = Fleet::new(balancers, agents, seed, &Config::new());
    fleet.run(3_000);
    fleet.loss_percent = loss_percent;
    fleet.run(seed % 700);
    fleet.agents[0].is_dead = true;
    fleet.run_until(10_000, |it| !is_alive(it, agent_id(0)))
}

#[test]
fn dead_agent_is_detected() {
    let check = |balancers, agents| {
        for seed in 0..20 {
            let detected = agent_death_detection_ms(balancers, agents, 0, seed * 37);
            assert!(
                detected.is_some_and(|it| it <= DETECTION_MAX_MS),
                "{balancers} balancers, seed {seed}: {detected:?} ms"
            );
        }
    };
    check(1, 10);
    check(4, 20);
    check(24, 60);
}

#[test]
fn restarted_agent_recovers() {
    let mut fleet = Fleet::new(6, 20, 5, &Config::new());
    fleet.run(3_000);
    fleet.agents[3].is_dead = true;
    fleet.run(9_000);
    assert!(
        fleet
            .balancers
            .iter()
            .all(|it| !is_alive(&it.core, agent_id(3)))
    );
    fleet.agents[3].is_dead = false;
    let endpoint = EndpointId::new(3);
    let incarnation = Incarnation::new(2);
    fleet.agents[3].core = membership::Responder::new(endpoint, ServiceId::new(1), incarnation);
    let recovered_ms = fleet.run_until(5_000, |it| is_alive(it, agent_id(3)));
    assert!(
        recovered_ms.is_some_and(|it| it <= 3_000),
        "{recovered_ms:?}"
    );
    fleet.run(10_000);
    assert!(
        fleet
            .balancers
            .iter()
            .all(|it| is_alive(&it.core, agent_id(3)))
    );
}

#[test]
fn leaving_agent_is_disseminated() {
    let mut fleet = Fleet::new(6, 20, 6, &Config::new());
    fleet.run(3_000);
    for output in fleet.agents[2].core.announce_leaving() {
        let address = fleet.agents[2].address;
        fleet.send(address, output);
    }
    let accepts_new_work =
        |it: &membership::Members| it.find(agent_id(2)).unwrap().accepts_new_work();
    let informed_ms = fleet.run_until(3_000, |it| !accepts_new_work(it));
    assert!(informed_ms.is_some_and(|it| it <= 1_000), "{informed_ms:?}");
    fleet.run(5_000);
    assert!(fleet.balancers.iter().all(|it| !accepts_new_work(&it.core)));
}

#[test]
fn dead_balancer_is_detected() {
    let mut fleet = Fleet::new(8, 10, 7, &Config::new());
    fleet.run(3_000);
    let dead = fleet.balancers[5].core.local_id();
    fleet.balancers[5].is_dead = true;
    let detected = fleet.run_until(5_000, |it| !is_alive(it, dead));
    assert!(
        detected.is_some_and(|it| it <= DETECTION_MAX_MS),
        "{detected:?}"
    );
}
