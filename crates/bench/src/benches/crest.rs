//! Bench `crest`: a load surge to ten times the base rate within a second, held for five seconds.

use std::time::Duration;

use rand::{SeedableRng as _, rngs::StdRng};
use units::Millis;

use super::BenchEntry;
use crate::{
    error::Result,
    figure::{Figure, Options, block_on, count_to_f64},
    fleet::{Fleet, FleetPlan},
    load::{
        Arrival, FinishedRequest, OpenLoop, Outcome, REQUEST_KINDS, RequestKind,
        draw_poisson_times, simulate_fifo,
    },
};

/// Registry entry of the bench `crest`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "crest",
    about: "a load surge to ten times the base rate, beside one queue without admission control",
    run,
};

/// Request rate before and after the surge, as a share of the capacity from 0 to 1.
const BASE_LOAD: f64 = 0.6;

/// Ratio of the request rate during the surge to the base rate.
const SURGE_FACTOR: f64 = 10.0;

/// Time over which the request rate rises from the base rate to the surge.
const RAMP_TIME: Duration = Duration::from_secs(1);

/// Time for which the request rate stays at the surge's full rate.
const SURGE_TIME: Duration = Duration::from_secs(5);

/// Target for the time from the surge's end until the p99 latency is back to normal.
const RECOVERY_TARGET: Duration = Duration::from_secs(2);

/// Longest time that a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Target for the rate of answers in time during the surge, in percent of the capacity.
const GOODPUT_TARGET_PERCENT: f64 = 90.0;

/// Limit for the share of accepted requests that miss their deadline, in percent.
const LATE_TARGET_PERCENT: f64 = 0.5;

/// Ratio to the p99 latency before the surge up to which a p99 latency counts as normal.
const NORMAL_FACTOR: f64 = 1.5;

/// Length of the time windows for which the p99 latency after the surge is computed.
const WINDOW: Duration = Duration::from_millis(500);

/// Time at the start of the load whose requests aren't counted, because connections warm up.
const WARM_UP: Duration = Duration::from_secs(1);

/// Number of callers' connections, which stay open for the whole run.
const CONNECTIONS: usize = 60;

/// Number of balancers in the fleet.
const BALANCERS: usize = 3;

fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(async {
        let mut figures = Vec::new();
        for scenario in [LEDGER, FIT] {
            figures.extend(measure_surge(&scenario, options).await?);
        }
        Ok(figures)
    })
}

/// One user's deployment and the load that the bench puts on it.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    plan: fn(usize) -> FleetPlan,
    work: RequestKind,
}

const LEDGER: Scenario = Scenario {
    name: "ledger, 7 endpoints of 2 slots",
    plan: FleetPlan::ledger,
    work: RequestKind {
        service_idx: 0,
        run_time_ms: Millis::new(28),
        ..REQUEST_KINDS[0]
    },
};

const FIT: Scenario = Scenario {
    name: "fit, 7 endpoints of 5 slots",
    plan: FleetPlan::fit,
    work: RequestKind {
        service_idx: 0,
        run_time_ms: Millis::new(70),
        ..REQUEST_KINDS[3]
    },
};

/// Boundaries of the load's phases, as time since the start of the load.
#[derive(Debug, Clone, Copy)]
struct LoadTimes {
    ramp_start: Duration,
    surge_start: Duration,
    surge_end: Duration,
    load_end: Duration,
}

impl LoadTimes {
    /// Computes the phases of a scenario, which takes half of the run. The time that the surge
    /// leaves is split between the phases before and after the surge.
    fn new(options: &Options) -> Self {
        let half = Duration::from_secs(options.seconds) / 2;
        let rest = half.saturating_sub(RAMP_TIME + SURGE_TIME);
        let before = WARM_UP + (rest / 2).max(Duration::from_secs(2));
        let after = (rest / 2).max(RECOVERY_TARGET * 2);
        let surge_start = before + RAMP_TIME;
        let surge_end = surge_start + SURGE_TIME;
        Self {
            ramp_start: before,
            surge_start,
            surge_end,
            load_end: surge_end + after,
        }
    }
}

/// A request that this project's fleet or the simulated baseline answered.
#[derive(Debug, Clone, Copy)]
struct AnsweredRequest {
    /// Time at which the request is sent, since the start of the load.
    at: Duration,
    latency: Duration,
}

async fn measure_surge(scenario: &Scenario, options: &Options) -> Result<Vec<Figure>> {
    let plan = (scenario.plan)(BALANCERS);
    let endpoints = plan.services[0].endpoints;
    let slots = usize::from(plan.services[0].slots.get());
    let fleet = Fleet::start(plan, options.seed).await?;
    let callers = OpenLoop::connect(&fleet, 0, CONNECTIONS, options.seed).await?;
    let times = LoadTimes::new(options);
    let capacity =
        count_to_f64(endpoints * slots) / scenario.work.run_time_ms.to_duration().as_secs_f64();
    let arrivals = generate_arrivals(scenario, capacity, times, options.seed);
    let finished = callers.send_at_arrival_times(&arrivals).await;

    let ours = answered_requests(&arrivals, &finished);
    let baseline: Vec<_> = simulate_fifo(&arrivals, &finished, endpoints, slots)
        .into_iter()
        .map(|it| AnsweredRequest {
            at: arrivals[it.idx].at,
            latency: it.latency,
        })
        .collect();
    let refused = finished.iter().filter(|it| it.outcome == Outcome::NotRun);
    eprintln!(
        "crest: {}: {} requests, {} complete answers, {} refused",
        scenario.name,
        finished.len(),
        ours.len(),
        refused.clone().count(),
    );
    let ran = refused.filter(|it| has_request_run(&fleet, &it.request_id));
    let figures = [
        (
            "answers in time of capacity during the crest",
            "percent",
            goodput_percent(&ours, capacity, times),
            Some(goodput_percent(&baseline, capacity, times)),
            (GOODPUT_TARGET_PERCENT, Bound::AtLeast),
        ),
        (
            "accepted requests past their deadline",
            "percent",
            late_percent(&finished),
            Some(baseline_late_percent(&baseline)),
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
            recovery_time(&ours, times).as_secs_f64(),
            Some(recovery_time(&baseline, times).as_secs_f64()),
            (RECOVERY_TARGET.as_secs_f64(), Bound::AtMost),
        ),
    ];
    Ok(figures
        .into_iter()
        .map(|(metric, unit, ours, baseline, (target, bound))| Figure {
            bench: "crest",
            metric: format!("{metric}; {}", scenario.name),
            unit,
            ours,
            baseline,
            target: Some(target),
            met: Some(bound.is_met(ours, target)),
            seed: options.seed,
        })
        .collect())
}

/// Whether the target of a figure is a lower or an upper bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Bound {
    AtLeast,
    AtMost,
}

impl Bound {
    fn is_met(self, ours: f64, target: f64) -> bool {
        match self {
            Self::AtLeast => ours >= target,
            Self::AtMost => ours <= target,
        }
    }
}

fn generate_arrivals(
    scenario: &Scenario,
    capacity: f64,
    times: LoadTimes,
    seed: u64,
) -> Vec<Arrival> {
    /// Number of steps in which the request rate rises.
    const STEPS: u32 = 10;
    let mut rng = StdRng::seed_from_u64(seed);
    let base = capacity * BASE_LOAD;
    let mut at = draw_poisson_times(&mut rng, base, Duration::ZERO, times.ramp_start);
    for step in 0..STEPS {
        let from = times.ramp_start + RAMP_TIME / STEPS * step;
        let share = f64::from(step + 1) / f64::from(STEPS);
        let rate = base * (1.0 + (SURGE_FACTOR - 1.0) * share);
        at.extend(draw_poisson_times(
            &mut rng,
            rate,
            from,
            from + RAMP_TIME / STEPS,
        ));
    }
    at.extend(draw_poisson_times(
        &mut rng,
        base * SURGE_FACTOR,
        times.surge_start,
        times.surge_end,
    ));
    at.extend(draw_poisson_times(
        &mut rng,
        base,
        times.surge_end,
        times.load_end,
    ));
    at.into_iter()
        .map(|at| Arrival {
            at,
            kind: scenario.work,
            timeout: TIMEOUT,
        })
        .collect()
}

fn answered_requests(arrivals: &[Arrival], finished: &[FinishedRequest]) -> Vec<AnsweredRequest> {
    let whole = finished.iter().filter(|it| it.outcome == Outcome::Complete);
    whole
        .map(|it| AnsweredRequest {
            at: arrivals[it.idx].at,
            latency: it.latency,
        })
        .collect()
}

/// Returns the rate of answers that came in time during the surge, in percent of the capacity of
/// all slots.
fn goodput_percent(answered: &[AnsweredRequest], capacity: f64, times: LoadTimes) -> f64 {
    let good = answered.iter().filter(|it| {
        let ended = it.at + it.latency;
        it.latency <= TIMEOUT && ended >= times.surge_start && ended < times.surge_end
    });
    100.0 * count_to_f64(good.count()) / (capacity * SURGE_TIME.as_secs_f64())
}

/// Returns the share of accepted requests that got no complete answer in time, in percent.
fn late_percent(finished: &[FinishedRequest]) -> f64 {
    let accepted = finished.iter().filter(|it| it.outcome != Outcome::NotRun);
    let is_late = |it: &&FinishedRequest| it.outcome != Outcome::Complete || it.latency > TIMEOUT;
    let late = accepted.clone().filter(is_late);
    100.0 * count_to_f64(late.count()) / count_to_f64(accepted.count().max(1))
}

/// Returns the share of late answers of the baseline, which accepts every request, in percent.
fn baseline_late_percent(answered: &[AnsweredRequest]) -> f64 {
    let late = answered.iter().filter(|it| it.latency > TIMEOUT);
    100.0 * count_to_f64(late.count()) / count_to_f64(answered.len().max(1))
}

fn has_request_run(fleet: &Fleet, request_id: &str) -> bool {
    fleet
        .upstreams
        .iter()
        .any(|it| it.run_count_of(request_id) > 0)
}

/// Returns the time from the end of the surge to the end of the last window whose p99 latency was
/// not back to normal.
fn recovery_time(answered: &[AnsweredRequest], times: LoadTimes) -> Duration {
    let normal = p99_latency(answered, WARM_UP, times.ramp_start).mul_f64(NORMAL_FACTOR);
    let mut back = Duration::ZERO;
    let mut from = times.surge_end;
    while from + WINDOW <= times.load_end {
        if p99_latency(answered, from, from + WINDOW) > normal {
            back = (from + WINDOW).saturating_sub(times.surge_end);
        }
        from += WINDOW;
    }
    back
}

/// Returns the p99 latency of the requests that arrived from `from` to `to`. A window without
/// requests gets a p99 above any real latency, so it counts as not back to normal.
fn p99_latency(answered: &[AnsweredRequest], from: Duration, to: Duration) -> Duration {
    let within = answered.iter().filter(|it| it.at >= from && it.at < to);
    let mut sorted: Vec<_> = within.map(|it| it.latency).collect();
    sorted.sort_unstable();
    let at = sorted.len() * 99 / 100;
    sorted.get(at).copied().unwrap_or(Duration::MAX / 4)
}
