//! Bench `liveness`: dead agents get no new work soon, healthy ones stay in service.
//!
//! Members controllers and responders run in this process over loopback datagrams, beside plain
//! heartbeats with a timeout under the same faults. Real processes then show deaths and pauses
//! without loss, which they can't be given.

mod real;

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::index};

use super::Entry;
use crate::{
    error::{BenchError, Result},
    figure::{Figure, Options},
    loopback::{Heartbeats, LoopbackFleet},
};

const BALANCERS: usize = 16;
const AGENTS: usize = 60;

/// Time for every balancer to meet every agent.
const WARM_UP: Duration = Duration::from_secs(3);

/// Part of the run's length that the pauses leave to the other parts.
const OTHER_PARTS_SECONDS: u64 = 24;

/// Shortest time of pauses under loss in a run that is long enough.
const PAUSES_SECONDS: u64 = 10;

/// Time without faults between the parts.
const SETTLE: Duration = Duration::from_secs(3);

/// Time given to notice deaths.
const NOTICE: Duration = Duration::from_secs(4);

/// Time between two looks at every balancer's view.
const SAMPLE: Duration = Duration::from_millis(10);

/// Agents killed one after another.
const KILLS: usize = 8;

/// Time between two kills.
const KILL_STEP: Duration = Duration::from_millis(130);

const LOSS_PERCENT: u32 = 20;

/// Length of a pause.
const PAUSE: Duration = Duration::from_secs(2);

/// Time from the end of an agent's pause to its next.
const RUNNING: Duration = Duration::from_secs(3);

/// Agents that are paused at once.
const PAUSED: usize = 4;

/// Removal of a healthy endpoint that counts as wrong.
const REMOVED_MAX: Duration = Duration::from_secs(3);

const STOP_TARGET_MS: f64 = 2_000.0;

/// The bench.
pub(super) const BENCH: Entry = Entry {
    name: "liveness",
    about: "time to stop sending to a dead agent; healthy endpoints removed",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|err| BenchError::setup("starting the runtime", &err))?;
    runtime.block_on(measure(options))
}

async fn measure(options: &Options) -> Result<Vec<Figure>> {
    let fleet = LoopbackFleet::start(BALANCERS, AGENTS, options.seed).await?;
    let baseline = Heartbeats::start(&fleet, options.seed).await?;
    let mut rng = StdRng::seed_from_u64(options.seed);
    eprintln!("liveness: {BALANCERS} balancers, {AGENTS} agents, in process over loopback");
    tokio::time::sleep(WARM_UP).await;
    let short = options.seconds.min(PAUSES_SECONDS);
    let seconds = options.seconds.saturating_sub(OTHER_PARTS_SECONDS);
    let length = Duration::from_secs(seconds.max(short));
    let healthy = watch_healthy(&fleet, &baseline, length, &mut rng).await;
    tokio::time::sleep(SETTLE).await;
    let stops = kill(&fleet, &baseline, &mut rng).await;
    drop(fleet);
    let seen = real::measure(options).await?;
    let mut figures = figures(options, &healthy, &stops);
    figures.extend(real_figures(options, seen));
    Ok(figures)
}

/// Ours and the baseline's, side by side.
#[derive(Debug, Clone, Copy, Default)]
struct Pair<T> {
    ours: T,
    baseline: T,
}

/// How one side treated healthy agents.
#[derive(Debug, Clone, Default)]
struct Removals {
    /// When each balancer took each agent out, if it is out.
    since: Vec<Option<Instant>>,
    /// Removals of agents that were running.
    wrong: u64,
    /// Removals longer than `REMOVED_MAX`.
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

    fn look(&mut self, slot: usize, is_used: bool, is_running: bool, now: Instant) {
        let Some(since) = self.since[slot] else {
            if !is_used {
                self.since[slot] = Some(now);
                self.wrong += u64::from(is_running);
            }
            return;
        };
        let removed = now - since;
        self.longest = self.longest.max(removed);
        if is_used {
            self.long += u64::from(removed > REMOVED_MAX);
            self.since[slot] = None;
        }
    }

    /// Counts removals that are still going on.
    fn finish(&mut self, now: Instant) {
        let open = self.since.iter().flatten();
        let long = open.filter(|it| now - **it > REMOVED_MAX).count();
        self.long += u64::try_from(long).unwrap_or_default();
    }
}

/// Pauses agents under loss and looks who takes them out, and for how long.
async fn watch_healthy(
    fleet: &LoopbackFleet,
    baseline: &Heartbeats,
    length: Duration,
    rng: &mut StdRng,
) -> Pair<Removals> {
    fleet.set_loss(LOSS_PERCENT);
    let mut removals = Pair {
        ours: Removals::new(),
        baseline: Removals::new(),
    };
    let mut pauses = Pauses::new();
    let end = Instant::now() + length;
    while Instant::now() < end {
        pauses.step(fleet, rng);
        look(fleet, baseline, &mut removals);
        tokio::time::sleep(SAMPLE).await;
    }
    end_pauses(fleet);
    // The last pauses must not hide a removal that never ends.
    let end = Instant::now() + REMOVED_MAX;
    while Instant::now() < end {
        look(fleet, baseline, &mut removals);
        tokio::time::sleep(SAMPLE).await;
    }
    fleet.set_loss(0);
    removals.ours.finish(Instant::now());
    removals.baseline.finish(Instant::now());
    removals
}

fn look(fleet: &LoopbackFleet, baseline: &Heartbeats, removals: &mut Pair<Removals>) {
    let now = Instant::now();
    for (agent, it) in fleet.agents.iter().enumerate() {
        let is_running = !it.state.is_paused.load(Ordering::Relaxed);
        for (balancer, it) in fleet.balancers.iter().enumerate() {
            let slot = balancer * AGENTS + agent;
            removals
                .ours
                .look(slot, it.may_send_to(agent), is_running, now);
            let is_used = baseline.may_send_to(balancer, agent);
            removals.baseline.look(slot, is_used, is_running, now);
        }
    }
}

/// Keeps a few agents paused, each for `PAUSE`, with time to run between.
struct Pauses {
    /// When each agent's latest pause ends or ended.
    until: Vec<Option<Instant>>,
}

impl Pauses {
    fn new() -> Self {
        Self {
            until: vec![None; AGENTS],
        }
    }

    fn step(&mut self, fleet: &LoopbackFleet, rng: &mut StdRng) {
        let now = Instant::now();
        let mut running = 0;
        for (until, agent) in self.until.iter().zip(&fleet.agents) {
            let is_paused = until.is_some_and(|it| it > now);
            agent.state.is_paused.store(is_paused, Ordering::Relaxed);
            running += usize::from(!is_paused);
        }
        if AGENTS - running >= PAUSED {
            return;
        }
        let agent = rng.random_range(0..AGENTS);
        if self.until[agent].is_none_or(|it| now >= it + RUNNING) {
            self.until[agent] = Some(now + PAUSE);
        }
    }
}

fn end_pauses(fleet: &LoopbackFleet) {
    for it in &fleet.agents {
        it.state.is_paused.store(false, Ordering::Relaxed);
    }
}

/// Kills agents and returns the times until the last balancer stopped to use them.
async fn kill(
    fleet: &LoopbackFleet,
    baseline: &Heartbeats,
    rng: &mut StdRng,
) -> Pair<Vec<Duration>> {
    let victims = index::sample(rng, AGENTS, KILLS).into_vec();
    let mut killed_at = Vec::new();
    let start = Instant::now();
    let mut last_used = Pair {
        ours: vec![start; KILLS],
        baseline: vec![start; KILLS],
    };
    loop {
        let now = Instant::now();
        let due = victims.len().min(steps(now - start, KILL_STEP) + 1);
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
        if killed_at.len() == KILLS && now - killed_at[KILLS - 1] > NOTICE {
            break;
        }
        tokio::time::sleep(SAMPLE).await;
    }
    Pair {
        ours: times(&killed_at, &last_used.ours),
        baseline: times(&killed_at, &last_used.baseline),
    }
}

fn times(killed_at: &[Instant], last_used: &[Instant]) -> Vec<Duration> {
    let pairs = killed_at.iter().zip(last_used);
    pairs
        .map(|(killed, used)| used.saturating_duration_since(*killed))
        .collect()
}

fn steps(elapsed: Duration, step: Duration) -> usize {
    usize::try_from(elapsed.as_millis() / step.as_millis()).unwrap_or(usize::MAX)
}

fn figures(
    options: &Options,
    healthy: &Pair<Removals>,
    stops: &Pair<Vec<Duration>>,
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
            millis(longest(&stops.ours)),
            millis(longest(&stops.baseline)),
            Some(STOP_TARGET_MS),
        ),
        figure(
            "healthy endpoints removed for longer than 3 s under 20 % loss and 2 s pauses",
            "removals",
            count(healthy.ours.long),
            count(healthy.baseline.long),
            Some(0.0),
        ),
        figure(
            "longest removal of a healthy endpoint under 20 % loss and 2 s pauses",
            "ms",
            millis(healthy.ours.longest),
            millis(healthy.baseline.longest),
            Some(millis(REMOVED_MAX)),
        ),
        figure(
            "removals of running endpoints under 20 % loss, over all balancers",
            "removals",
            count(healthy.ours.wrong),
            count(healthy.baseline.wrong),
            None,
        ),
    ]
}

fn real_figures(options: &Options, seen: real::Seen) -> Vec<Figure> {
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
            seen.stop,
        )
        .with_target(STOP_TARGET_MS),
        figure("longest removal of an agent paused for 2 s", seen.removed)
            .with_target(millis(REMOVED_MAX)),
        figure(
            "longest time until every balancer sends to an agent started again",
            seen.back,
        ),
    ]
}

fn longest(times: &[Duration]) -> Duration {
    times.iter().copied().max().unwrap_or_default()
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn count(value: u64) -> f64 {
    value as f64
}
