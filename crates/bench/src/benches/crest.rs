//! A crest of demand: ten times the usual within a second, for five seconds.

use std::time::Duration;

use rand::{SeedableRng as _, rngs::StdRng};
use units::Millis;

use super::Entry;
use crate::{
    error::Result,
    figure::{Figure, Options, block_on, count_to_f64},
    fleet::{Fleet, FleetPlan},
    load::{
        Arrival, FinishedRequest, OpenLoop, Outcome, REQUEST_KINDS, RequestKind, poisson_times,
        simulate_fifo,
    },
};

/// This bench, as the list names it.
pub(super) const BENCH: Entry = Entry {
    name: "crest",
    about: "demand times ten for five seconds, beside one queue without admission",
    run,
};

/// Share of capacity that is asked before and after the crest.
const BASE_LOAD: f64 = 0.6;

/// Demand at the crest over demand before.
const CREST_FACTOR: f64 = 10.0;

/// Time over which demand rises.
const RISE: Duration = Duration::from_secs(1);

/// Length of the crest at its full height.
const CREST: Duration = Duration::from_secs(5);

/// Time after the crest within which latency is to be back.
const RECOVERY_TARGET: Duration = Duration::from_secs(2);

/// Time for which each caller waits.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Share of capacity that is to be answered in time during the crest.
const GOODPUT_TARGET_PERCENT: f64 = 90.0;

/// Share of accepted requests that may miss their deadline.
const LATE_TARGET_PERCENT: f64 = 0.5;

/// Times the p99 before the crest within which latency counts as back.
const NORMAL_FACTOR: f64 = 1.5;

/// Length of the windows over which latency after the crest is looked at.
const WINDOW: Duration = Duration::from_millis(500);

/// Part of the start that isn't counted, while connections warm up.
const WARM_UP: Duration = Duration::from_secs(1);

/// Connections that stay open for the whole run.
const CONNECTIONS: usize = 60;

/// Balancers in the fleet.
const BALANCERS: usize = 3;

fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(async {
        let mut figures = Vec::new();
        for user in [LEDGER, FIT] {
            figures.extend(measure(&user, options).await?);
        }
        Ok(figures)
    })
}

/// What is measured of one user.
#[derive(Debug, Clone, Copy)]
struct User {
    name: &'static str,
    plan: fn(usize) -> FleetPlan,
    work: RequestKind,
}

const LEDGER: User = User {
    name: "ledger, 7 endpoints of 2 slots",
    plan: FleetPlan::ledger,
    work: RequestKind {
        service_idx: 0,
        run_time_ms: Millis::new(28),
        ..REQUEST_KINDS[0]
    },
};

const FIT: User = User {
    name: "fit, 7 endpoints of 5 slots",
    plan: FleetPlan::fit,
    work: RequestKind {
        service_idx: 0,
        run_time_ms: Millis::new(70),
        ..REQUEST_KINDS[3]
    },
};

/// Moments of one run, since the start of the load.
#[derive(Debug, Clone, Copy)]
struct Times {
    rise: Duration,
    crest: Duration,
    fall: Duration,
    end: Duration,
}

impl Times {
    /// Splits what is left of a user's half of the run into before and after.
    fn new(options: &Options) -> Self {
        let half = Duration::from_secs(options.seconds) / 2;
        let rest = half.saturating_sub(RISE + CREST);
        let before = WARM_UP + (rest / 2).max(Duration::from_secs(2));
        let after = (rest / 2).max(RECOVERY_TARGET * 2);
        let crest = before + RISE;
        let fall = crest + CREST;
        Self {
            rise: before,
            crest,
            fall,
            end: fall + after,
        }
    }
}

/// When each answer came, ours or the baseline's.
#[derive(Debug, Clone, Copy)]
struct Answered {
    /// When it was asked.
    at: Duration,
    latency: Duration,
}

async fn measure(user: &User, options: &Options) -> Result<Vec<Figure>> {
    let plan = (user.plan)(BALANCERS);
    let endpoints = plan.services[0].endpoints;
    let slots = usize::from(plan.services[0].slots.get());
    let fleet = Fleet::start(plan, options.seed).await?;
    let callers = OpenLoop::connect(&fleet, 0, CONNECTIONS, options.seed).await?;
    let times = Times::new(options);
    let capacity =
        count_to_f64(endpoints * slots) / user.work.run_time_ms.to_duration().as_secs_f64();
    let arrivals = arrivals(user, capacity, times, options.seed);
    let finished = callers.run(&arrivals).await;

    let ours = answered(&arrivals, &finished);
    let theirs: Vec<_> = simulate_fifo(&arrivals, &finished, endpoints, slots)
        .into_iter()
        .map(|it| Answered {
            at: arrivals[it.idx].at,
            latency: it.latency,
        })
        .collect();
    let refused = finished.iter().filter(|it| it.outcome == Outcome::NotRun);
    eprintln!(
        "{}: {} asked, {} whole, {} refused",
        user.name,
        finished.len(),
        ours.len(),
        refused.clone().count(),
    );
    let ran = refused.filter(|it| has_run(&fleet, &it.request_id));
    let figures = [
        (
            "answers in time of capacity during the crest",
            "percent",
            goodput_percent(&ours, capacity, times),
            Some(goodput_percent(&theirs, capacity, times)),
            (GOODPUT_TARGET_PERCENT, Bound::AtLeast),
        ),
        (
            "accepted requests past their deadline",
            "percent",
            late_percent(&finished),
            Some(late_of_all_percent(&theirs)),
            (LATE_TARGET_PERCENT, Bound::AtMost),
        ),
        (
            "refused requests that ran",
            "requests",
            count_to_f64(ran.count()),
            None,
            (0.0, Bound::AtMost),
        ),
        (
            "time until p99 is back after the crest",
            "s",
            recovery(&ours, times).as_secs_f64(),
            Some(recovery(&theirs, times).as_secs_f64()),
            (RECOVERY_TARGET.as_secs_f64(), Bound::AtMost),
        ),
    ];
    Ok(figures
        .into_iter()
        .map(|(metric, unit, ours, baseline, (target, bound))| Figure {
            bench: "crest",
            metric: format!("{metric}; {}", user.name),
            unit,
            ours,
            baseline,
            target: Some(target),
            met: Some(bound.holds(ours, target)),
            seed: options.seed,
        })
        .collect())
}

/// Which side of its target a figure must be on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Bound {
    AtLeast,
    AtMost,
}

impl Bound {
    fn holds(self, ours: f64, target: f64) -> bool {
        match self {
            Self::AtLeast => ours >= target,
            Self::AtMost => ours <= target,
        }
    }
}

fn arrivals(user: &User, capacity: f64, times: Times, seed: u64) -> Vec<Arrival> {
    /// Steps in which demand rises.
    const STEPS: u32 = 10;
    let mut rng = StdRng::seed_from_u64(seed);
    let base = capacity * BASE_LOAD;
    let mut at = poisson_times(&mut rng, base, Duration::ZERO, times.rise);
    for step in 0..STEPS {
        let from = times.rise + RISE / STEPS * step;
        let share = f64::from(step + 1) / f64::from(STEPS);
        let demand = base * (1.0 + (CREST_FACTOR - 1.0) * share);
        at.extend(poisson_times(&mut rng, demand, from, from + RISE / STEPS));
    }
    at.extend(poisson_times(
        &mut rng,
        base * CREST_FACTOR,
        times.crest,
        times.fall,
    ));
    at.extend(poisson_times(&mut rng, base, times.fall, times.end));
    at.into_iter()
        .map(|at| Arrival {
            at,
            kind: user.work,
            timeout: TIMEOUT,
        })
        .collect()
}

fn answered(arrivals: &[Arrival], finished: &[FinishedRequest]) -> Vec<Answered> {
    let whole = finished.iter().filter(|it| it.outcome == Outcome::Complete);
    whole
        .map(|it| Answered {
            at: arrivals[it.idx].at,
            latency: it.latency,
        })
        .collect()
}

/// Answers that came in time during the crest, over what the slots can answer.
fn goodput_percent(answered: &[Answered], capacity: f64, times: Times) -> f64 {
    let good = answered.iter().filter(|it| {
        let ended = it.at + it.latency;
        it.latency <= TIMEOUT && ended >= times.crest && ended < times.fall
    });
    100.0 * count_to_f64(good.count()) / (capacity * CREST.as_secs_f64())
}

/// Accepted requests without a whole answer in time, over all accepted.
fn late_percent(finished: &[FinishedRequest]) -> f64 {
    let accepted = finished.iter().filter(|it| it.outcome != Outcome::NotRun);
    let is_late = |it: &&FinishedRequest| it.outcome != Outcome::Complete || it.latency > TIMEOUT;
    let late = accepted.clone().filter(is_late);
    100.0 * count_to_f64(late.count()) / count_to_f64(accepted.count().max(1))
}

/// The baseline accepts everything.
fn late_of_all_percent(answered: &[Answered]) -> f64 {
    let late = answered.iter().filter(|it| it.latency > TIMEOUT);
    100.0 * count_to_f64(late.count()) / count_to_f64(answered.len().max(1))
}

fn has_run(fleet: &Fleet, request_id: &str) -> bool {
    fleet
        .upstreams
        .iter()
        .any(|it| it.run_count_of(request_id) > 0)
}

/// Time from the end of the crest until the last window whose p99 was not back to normal.
fn recovery(answered: &[Answered], times: Times) -> Duration {
    let normal = p99(answered, WARM_UP, times.rise).mul_f64(NORMAL_FACTOR);
    let mut back = Duration::ZERO;
    let mut from = times.fall;
    while from + WINDOW <= times.end {
        if p99(answered, from, from + WINDOW) > normal {
            back = (from + WINDOW).saturating_sub(times.fall);
        }
        from += WINDOW;
    }
    back
}

/// p99 of the answers to what was asked from `from` to `to`; an empty window counts as lost.
fn p99(answered: &[Answered], from: Duration, to: Duration) -> Duration {
    let within = answered.iter().filter(|it| it.at >= from && it.at < to);
    let mut sorted: Vec<_> = within.map(|it| it.latency).collect();
    sorted.sort_unstable();
    let at = sorted.len() * 99 / 100;
    sorted.get(at).copied().unwrap_or(Duration::MAX / 4)
}
