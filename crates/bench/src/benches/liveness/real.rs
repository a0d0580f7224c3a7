//! Reactions of real balancers to kills, restarts and pauses of real agents, as the balancers
//! report them in their status.

use std::time::{Duration, Instant};

use crate::{
    error::Result,
    figure::Options,
    fleet::{Fleet, FleetPlan, StatusProbe, endpoint_id},
};

const BALANCERS: usize = 4;

/// Interval at which each balancer is asked for its status.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Warm-up time, in which the balancers discover one another and hear from every agent.
const WARM_UP: Duration = Duration::from_secs(2);

/// Longest wait until every balancer reports a change of an agent's condition.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Indices of the agents that are killed one after another.
const KILLED_AGENTS: [usize; 3] = [0, 7, 10];

/// Index of the agent that the bench pauses.
const PAUSED_AGENT: usize = 3;

/// Length of the agent's pause.
const PAUSE_LENGTH: Duration = Duration::from_secs(2);

/// Time after the agent's pause in which the balancers must use the agent again.
const RETURN_TIMEOUT: Duration = Duration::from_secs(4);

/// Reaction times of real balancers to kills, restarts and pauses of agents.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RealTimes {
    /// Longest time from an agent's death until every balancer had removed the agent.
    pub(super) death_detection: Duration,
    /// Longest time for which a balancer removed the agent that was paused for 2 s.
    pub(super) pause_removal: Duration,
    /// Longest time from an agent's restart until every balancer used the agent again.
    pub(super) restart_detection: Duration,
}

/// Kills, restarts and pauses agents of both users and measures how long balancers take to react.
pub(super) async fn measure_reaction_times(options: &Options) -> Result<RealTimes> {
    eprintln!("liveness: starting {BALANCERS} balancers and the agents of both users as processes");
    let mut fleet = Fleet::start(FleetPlan::both_users(BALANCERS), options.seed).await?;
    let probe = fleet.status_probe()?;
    tokio::time::sleep(WARM_UP).await;
    let mut times = RealTimes::default();
    for agent in KILLED_AGENTS {
        fleet.agents[agent].kill();
        let detection =
            wait_until_reported(&fleet, &probe, agent, "alive", Expected::Different).await;
        times.death_detection = times.death_detection.max(detection);
        fleet.restart_agent(agent)?;
        let detection = wait_until_reported(&fleet, &probe, agent, "alive", Expected::Equal).await;
        times.restart_detection = times.restart_detection.max(detection);
    }
    times.pause_removal = measure_removal_during_pause(&fleet, &probe).await;
    Ok(times)
}

/// Whether an agent's reported condition must be equal to the given condition or different from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    Equal,
    Different,
}

/// Waits until every balancer reports the expected condition of an agent; returns the time that
/// this took.
async fn wait_until_reported(
    fleet: &Fleet,
    probe: &StatusProbe,
    agent: usize,
    condition: &str,
    expected: Expected,
) -> Duration {
    let start = Instant::now();
    while start.elapsed() < DETECTION_TIMEOUT {
        let reported = query_reported_conditions(fleet, probe, agent).await;
        let is_met = |it: &String| (it == condition) == (expected == Expected::Equal);
        if reported.len() == BALANCERS && reported.iter().all(is_met) {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    start.elapsed()
}

/// Pauses an agent and resumes it; returns the longest time for which a balancer removed the agent.
async fn measure_removal_during_pause(fleet: &Fleet, probe: &StatusProbe) -> Duration {
    let start = Instant::now();
    let mut since = [None; BALANCERS];
    let mut longest = Duration::ZERO;
    let mut is_paused = true;
    fleet.agents[PAUSED_AGENT].pause();
    while start.elapsed() < PAUSE_LENGTH + RETURN_TIMEOUT {
        if is_paused && start.elapsed() >= PAUSE_LENGTH {
            fleet.agents[PAUSED_AGENT].resume();
            is_paused = false;
        }
        let reported = query_reported_conditions(fleet, probe, PAUSED_AGENT).await;
        for (since, condition) in since.iter_mut().zip(&reported) {
            if condition == "alive" {
                *since = None;
                continue;
            }
            let since = *since.get_or_insert_with(Instant::now);
            longest = longest.max(since.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    longest
}

/// Returns the condition of an agent that each balancer reports; leaves out balancers that don't
/// answer.
async fn query_reported_conditions(
    fleet: &Fleet,
    probe: &StatusProbe,
    agent: usize,
) -> Vec<String> {
    let name = format!("endpoint {}", endpoint_id(agent));
    let mut reported = Vec::with_capacity(BALANCERS);
    for balancer in 0..BALANCERS {
        let Some(status) = probe
            .query_status(fleet.addresses.balancer_control(balancer))
            .await
        else {
            continue;
        };
        let found = status.members.into_iter().find(|it| it.name == name);
        reported.extend(found.map(|it| it.condition));
    }
    reported
}
