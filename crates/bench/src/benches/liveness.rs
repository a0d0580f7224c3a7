//! Bench `liveness`: time until dead agents get no new work, and removals of healthy agents.
//!
//! Membership controllers and responders run in this process over loopback datagrams. The baseline
//! is plain heartbeats with a timeout under the same faults. Real processes are then killed and
//! paused, but without packet loss, which can't be injected for them.

mod real;

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::index};

use super::BenchEntry;
use crate::{
    error::{BenchError, Result},
    figure::{Figure, Options},
    loopback::{Heartbeats, LoopbackFleet},
};

const BALANCERS: usize = 16;
const AGENTS: usize = 60;

/// Warm-up time, in which every balancer probes every agent.
const WARM_UP: Duration = Duration::from_secs(3);

/// Part of the run's length, in seconds, that is reserved for the parts other than the pauses.
const OTHER_PARTS_SECONDS: u64 = 24;

/// Shortest time, in seconds, in which agents are paused under packet loss, unless the whole run is
/// shorter.
const PAUSES_SECONDS_MIN: u64 = 10;

/// Time without faults between two parts of the bench.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Wait after the last killed agent, within which every balancer should detect its death.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval at which every balancer's view of the agents is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Number of in-process agents that are killed one after another.
const KILLS: usize = 8;

/// Time between the kills of two agents.
const KILL_INTERVAL: Duration = Duration::from_millis(130);

const LOSS_PERCENT: u32 = 20;

/// Length of an agent's pause.
const PAUSE_LENGTH: Duration = Duration::from_secs(2);

/// Shortest time from the end of an agent's pause to the agent's next pause.
const RUN_BETWEEN_PAUSES: Duration = Duration::from_secs(3);

/// Maximum number of agents that are paused at once.
const PAUSED_AGENTS: usize = 4;

/// Longest time for which a balancer may remove a healthy endpoint.
const REMOVAL_MAX: Duration = Duration::from_secs(3);

/// Target for the longest time until no balancer sends to a dead agent.
const DETECTION_TARGET_MS: f64 = 2_000.0;

/// Registry entry of the bench `liveness`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "liveness",
    about: "time to stop sending to a dead agent; healthy endpoints removed",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|err| BenchError::setup("starting the runtime", &err))?;
    runtime.block_on(measure_liveness(options))
}

async fn measure_liveness(options: &Options) -> Result<Vec<Figure>> {
    let fleet = LoopbackFleet::start(BALANCERS, AGENTS, options.seed).await?;
    let baseline = Heartbeats::start(&fleet, options.seed).await?;
    let mut rng = StdRng::seed_from_u64(options.seed);
    eprintln!("liveness: {BALANCERS} balancers, {AGENTS} agents, in process over loopback");
    tokio::time::sleep(WARM_UP).await;
    let pauses_min = options.seconds.min(PAUSES_SECONDS_MIN);
    let seconds = options.seconds.saturating_sub(OTHER_PARTS_SECONDS);
    let length = Duration::from_secs(seconds.max(pauses_min));
    let healthy = measure_removals(&fleet, &baseline, length, &mut rng).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let stops = kill_agents(&fleet, &baseline, &mut rng).await;
    drop(fleet);
    let real_times = real::measure_reaction_times(options).await?;
    let mut figures = in_process_figures(options, &healthy, &stops);
    figures.extend(real_figures(options, real_times));
    Ok(figures)
}

/// Results of the membership controllers and of the heartbeat baseline under the same faults.
#[derive(Debug, Clone, Copy, Default)]
struct Compared<T> {
    ours: T,
    baseline: T,
}

/// Removals of healthy agents by the membership controllers or by the heartbeat baseline.
#[derive(Debug, Clone, Default)]
struct Removals {
    /// Time at which each balancer removed each agent; `None` while the agent is in use.
    since: Vec<Option<Instant>>,
    /// Number of removals of agents that were running, not paused.
    of_running: u64,
    /// Number of removals that lasted longer than `REMOVAL_MAX`.
    long: u64,
    longest: Duration,
}

impl Removals {
    fn new() -> Self {
        Self {
            since: vec![None; BALANCERS * AGENTS],
            ..Self::default()
        }
    }

    fn record_sample(&mut self, view_idx: usize, is_used: bool, is_running: bool, now: Instant) {
        let Some(since) = self.since[view_idx] else {
            if !is_used {
                self.since[view_idx] = Some(now);
                self.of_running += u64::from(is_running);
            }
            return;
        };
        let removed = now - since;
        self.longest = self.longest.max(removed);
        if is_used {
            self.long += u64::from(removed > REMOVAL_MAX);
            self.since[view_idx] = None;
        }
    }

    /// Counts the removals longer than `REMOVAL_MAX` that have not ended yet.
    fn count_unended_removals(&mut self, now: Instant) {
        let open = self.since.iter().flatten();
        let long = open.filter(|it| now - **it > REMOVAL_MAX).count();
        self.long += u64::try_from(long).unwrap_or_default();
    }
}

/// Pauses agents under packet loss and records for how long balancers remove them.
async fn measure_removals(
    fleet: &LoopbackFleet,
    baseline: &Heartbeats,
    length: Duration,
    rng: &mut StdRng,
) -> Compared<Removals> {
    fleet.set_loss_percent(LOSS_PERCENT);
    let mut removals = Compared {
        ours: Removals::new(),
        baseline: Removals::new(),
    };
    let mut pauses = Pauses::new();
    let end = Instant::now() + length;
    while Instant::now() < end {
        pauses.pause_and_resume_agents(fleet, rng);
        sample_views(fleet, baseline, &mut removals);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    resume_all_agents(fleet);
    // Sampling continues after the last pauses, so that a removal that never ends is counted.
    let end = Instant::now() + REMOVAL_MAX;
    while Instant::now() < end {
        sample_views(fleet, baseline, &mut removals);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    fleet.set_loss_percent(0);
    removals.ours.count_unended_removals(Instant::now());
    removals.baseline.count_unended_removals(Instant::now());
    removals
}

fn sample_views(fleet: &LoopbackFleet, baseline: &Heartbeats, removals: &mut Compared<Removals>) {
    let now = Instant::now();
    for (agent, it) in fleet.agents.iter().enumerate() {
        let is_running = !it.state.is_paused.load(Ordering::Relaxed);
        for (balancer, it) in fleet.balancers.iter().enumerate() {
            let view_idx = balancer * AGENTS + agent;
            removals
                .ours
                .record_sample(view_idx, it.may_send_to(agent), is_running, now);
            let is_used = baseline.may_send_to(balancer, agent);
            removals
                .baseline
                .record_sample(view_idx, is_used, is_running, now);
        }
    }
}

/// Schedule that keeps a few agents paused, each for `PAUSE_LENGTH`, with time to run between an
/// agent's pauses.
struct Pauses {
    /// Time at which each agent's latest pause ends or ended.
    until: Vec<Option<Instant>>,
}

impl Pauses {
    fn new() -> Self {
        Self {
            until: vec![None; AGENTS],
        }
    }

    fn pause_and_resume_agents(&mut self, fleet: &LoopbackFleet, rng: &mut StdRng) {
        let now = Instant::now();
        let mut running = 0;
        for (until, agent) in self.until.iter().zip(&fleet.agents) {
            let is_paused = until.is_some_and(|it| it > now);
            agent.state.is_paused.store(is_paused, Ordering::Relaxed);
            running += usize::from(!is_paused);
        }
        if AGENTS - running >= PAUSED_AGENTS {
            return;
        }
        let agent = rng.random_range(0..AGENTS);
        if self.until[agent].is_none_or(|it| now >= it + RUN_BETWEEN_PAUSES) {
            self.until[agent] = Some(now + PAUSE_LENGTH);
        }
    }
}

fn resume_all_agents(fleet: &LoopbackFleet) {
    for it in &fleet.agents {
        it.state.is_paused.store(false, Ordering::Relaxed);
    }
}

/// Kills agents and returns, for each agent, the time until the last balancer stopped using it.
async fn kill_agents(
    fleet: &LoopbackFleet,
    baseline: &Heartbeats,
    rng: &mut StdRng,
) -> Compared<Vec<Duration>> {
    let victims = index::sample(rng, AGENTS, KILLS).into_vec();
    let mut killed_at = Vec::new();
    let start = Instant::now();
    let mut last_used = Compared {
        ours: vec![start; KILLS],
        baseline: vec![start; KILLS],
    };
    loop {
        let now = Instant::now();
        let due = victims
            .len()
            .min(count_elapsed_steps(now - start, KILL_INTERVAL) + 1);
        while killed_at.len() < due {
            let victim = victims[killed_at.len()];
            let switches = &fleet.agents[victim].state;
            switches.is_dead.store(true, Ordering::Relaxed);
            killed_at.push(now);
        }
        for (idx, &victim) in victims.iter().enumerate() {
            if fleet.balancers.iter().any(|it| it.may_send_to(victim)) {
                last_used.ours[idx] = now;
            }
            if (0..BALANCERS).any(|it| baseline.may_send_to(it, victim)) {
                last_used.baseline[idx] = now;
            }
        }
        if killed_at.len() == KILLS && now - killed_at[KILLS - 1] > DETECTION_TIMEOUT {
            break;
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    Compared {
        ours: detection_times(&killed_at, &last_used.ours),
        baseline: detection_times(&killed_at, &last_used.baseline),
    }
}

fn detection_times(killed_at: &[Instant], last_used: &[Instant]) -> Vec<Duration> {
    let pairs = killed_at.iter().zip(last_used);
    pairs
        .map(|(killed, used)| used.saturating_duration_since(*killed))
        .collect()
}

fn count_elapsed_steps(elapsed: Duration, step: Duration) -> usize {
    usize::try_from(elapsed.as_millis() / step.as_millis()).unwrap_or(usize::MAX)
}

fn in_process_figures(
    options: &Options,
    healthy: &Compared<Removals>,
    stops: &Compared<Vec<Duration>>,
) -> Vec<Figure> {
    let figure = |metric: &str, unit, ours: f64, baseline: f64, target: Option<f64>| Figure {
        bench: "liveness",
        metric: format!("{metric} (in process, loopback)"),
        unit,
        ours,
        baseline: Some(baseline),
        target,
        met: target.map(|it| ours <= it),
        seed: options.seed,
    };
    vec![
        figure(
            "longest time until no balancer sends to a dead agent",
            "ms",
            millis(longest_duration(&stops.ours)),
            millis(longest_duration(&stops.baseline)),
            Some(DETECTION_TARGET_MS),
        ),
        figure(
            "healthy endpoints removed for longer than 3 s under 20 % loss and 2 s pauses",
            "removals",
            count_to_float(healthy.ours.long),
            count_to_float(healthy.baseline.long),
            Some(0.0),
        ),
        figure(
            "longest removal of a healthy endpoint under 20 % loss and 2 s pauses",
            "ms",
            millis(healthy.ours.longest),
            millis(healthy.baseline.longest),
            Some(millis(REMOVAL_MAX)),
        ),
        figure(
            "removals of running endpoints under 20 % loss, over all balancers",
            "removals",
            count_to_float(healthy.ours.of_running),
            count_to_float(healthy.baseline.of_running),
            None,
        ),
    ]
}

fn real_figures(options: &Options, real_times: real::RealTimes) -> Vec<Figure> {
    let figure = |metric: &str, ours| Figure {
        bench: "liveness",
        metric: format!("{metric} (real processes)"),
        unit: "ms",
        ours: millis(ours),
        baseline: None,
        target: None,
        met: None,
        seed: options.seed,
    };
    vec![
        figure(
            "longest time until no balancer sends to a killed agent",
            real_times.death_detection,
        )
        .with_target(DETECTION_TARGET_MS),
        figure(
            "longest removal of an agent paused for 2 s",
            real_times.pause_removal,
        )
        .with_target(millis(REMOVAL_MAX)),
        figure(
            "longest time until every balancer sends to an agent started again",
            real_times.restart_detection,
        ),
    ]
}

fn longest_duration(times: &[Duration]) -> Duration {
    times.iter().copied().max().unwrap_or_default()
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn count_to_float(value: u64) -> f64 {
    value as f64
}
