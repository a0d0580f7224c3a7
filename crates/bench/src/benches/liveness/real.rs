//! Deaths and pauses of real agents, as real balancers tell them.

use std::time::{Duration, Instant};

use crate::{
    error::Result,
    figure::Options,
    fleet::{Fleet, FleetPlan, StatusProbe, endpoint_id},
};

const BALANCERS: usize = 4;

/// Time between two questions to each balancer.
const STEP: Duration = Duration::from_millis(20);

/// Time for balancers to meet and to have heard every agent.
const WARM_UP: Duration = Duration::from_secs(2);

/// Time given to notice a death.
const NOTICE: Duration = Duration::from_secs(5);

/// Agents killed, one after another.
const KILLED: [usize; 3] = [0, 7, 10];

/// The agent that is paused.
const PAUSED: usize = 3;

/// Length of a pause.
const PAUSE: Duration = Duration::from_secs(2);

/// Time after the pause in which the agent must be back.
const RETURN: Duration = Duration::from_secs(4);

/// What real processes did.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Seen {
    /// Longest time from an agent's death until every balancer had taken it out.
    pub(super) stop: Duration,
    /// Longest time for which a balancer took an agent out that was paused for 2 s.
    pub(super) removed: Duration,
    /// Longest time from an agent's new start until every balancer used it.
    pub(super) back: Duration,
}

/// Kills, restarts and pauses agents of both users' deployments.
pub(super) async fn measure(options: &Options) -> Result<Seen> {
    eprintln!("liveness: {BALANCERS} balancers and both users' agents as processes");
    let mut fleet = Fleet::start(FleetPlan::both_users(BALANCERS), options.seed).await?;
    let probe = fleet.status_probe()?;
    tokio::time::sleep(WARM_UP).await;
    let mut seen = Seen::default();
    for agent in KILLED {
        fleet.agents[agent].kill();
        let stop = wait_until(&fleet, &probe, agent, "alive", Wanted::Elsewise).await;
        seen.stop = seen.stop.max(stop);
        fleet.restart_agent(agent)?;
        let back = wait_until(&fleet, &probe, agent, "alive", Wanted::This).await;
        seen.back = seen.back.max(back);
    }
    seen.removed = pause(&fleet, &probe).await;
    Ok(seen)
}

/// Whether a condition is waited for or its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wanted {
    This,
    Elsewise,
}

/// Waits until every balancer tells the wanted of an agent; returns how long it took.
async fn wait_until(
    fleet: &Fleet,
    probe: &StatusProbe,
    agent: usize,
    condition: &str,
    wanted: Wanted,
) -> Duration {
    let start = Instant::now();
    while start.elapsed() < NOTICE {
        let told = conditions(fleet, probe, agent).await;
        let is_met = |it: &String| (it == condition) == (wanted == Wanted::This);
        if told.len() == BALANCERS && told.iter().all(is_met) {
            break;
        }
        tokio::time::sleep(STEP).await;
    }
    start.elapsed()
}

/// Pauses an agent; returns the longest time for which a balancer took it out.
async fn pause(fleet: &Fleet, probe: &StatusProbe) -> Duration {
    let start = Instant::now();
    let mut since = [None; BALANCERS];
    let mut longest = Duration::ZERO;
    let mut is_paused = true;
    fleet.agents[PAUSED].pause();
    while start.elapsed() < PAUSE + RETURN {
        if is_paused && start.elapsed() >= PAUSE {
            fleet.agents[PAUSED].resume();
            is_paused = false;
        }
        let told = conditions(fleet, probe, PAUSED).await;
        for (since, condition) in since.iter_mut().zip(&told) {
            if condition == "alive" {
                *since = None;
                continue;
            }
            let since = *since.get_or_insert_with(Instant::now);
            longest = longest.max(since.elapsed());
        }
        tokio::time::sleep(STEP).await;
    }
    longest
}

/// Asks every balancer for the condition of an agent.
async fn conditions(fleet: &Fleet, probe: &StatusProbe, agent: usize) -> Vec<String> {
    let name = format!("endpoint {}", endpoint_id(agent));
    let mut told = Vec::with_capacity(BALANCERS);
    for balancer in 0..BALANCERS {
        let Some(status) = probe
            .status(fleet.addresses.balancer_control(balancer))
            .await
        else {
            continue;
        };
        let found = status.members.into_iter().find(|it| it.name == name);
        told.extend(found.map(|it| it.condition));
    }
    told
}
