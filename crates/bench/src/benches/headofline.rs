//! Bench `headofline`: head-of-line blocking of short requests by long ones, where 5 % of the
//! requests run 30 times longer.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
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

/// Registry entry of the bench `headofline`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "headofline",
    about: "short requests behind long ones, beside one queue without classes",
    run,
};

/// Share of all concurrency slots that the load keeps busy, from 0 to 1.
const SLOT_UTILIZATION: f64 = 0.7;

/// Share of the requests that are long, from 0 to 1.
const LONG_SHARE: f64 = 0.05;

/// Time for which a short request holds a slot.
const SHORT_MS: Millis = Millis::new(10);

/// Time for which a long request holds a slot, 30 times as long as a short one.
const LONG_MS: Millis = Millis::new(300);

/// Longest time that a caller waits for the answer to a short request.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a caller waits for the answer to a long request.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Limit for the ratio of the short requests' p99 latency beside long requests to their p99 latency
/// without long ones.
const RATIO_TARGET: f64 = 2.0;

/// Target for the long requests that complete, in percent of the long requests that the slots have
/// room for.
const LONG_TARGET_PERCENT: f64 = 95.0;

/// Number of callers' connections, which stay open for the whole run.
const CONNECTIONS: usize = 40;

/// Number of balancers in the fleet.
const BALANCERS: usize = 3;

/// Time at the start of the load whose requests aren't counted, because their run times are not
/// known yet.
const WARM_UP: Duration = Duration::from_secs(1);

fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(async {
        let mut figures = Vec::new();
        for scenario in [LEDGER, FIT] {
            figures.extend(measure_blocking(&scenario, options).await?);
        }
        Ok(figures)
    })
}

/// One user's deployment and the load that the bench puts on it.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    plan: fn(usize) -> FleetPlan,
    short: RequestKind,
    long: RequestKind,
}

const LEDGER: Scenario = Scenario {
    name: "ledger, 7 endpoints of 2 slots",
    plan: FleetPlan::ledger,
    short: RequestKind {
        service_idx: 0,
        run_time_ms: SHORT_MS,
        ..REQUEST_KINDS[0]
    },
    long: RequestKind {
        service_idx: 0,
        path: "/statements",
        run_time_ms: LONG_MS,
        ..REQUEST_KINDS[0]
    },
};

const FIT: Scenario = Scenario {
    name: "fit, 7 endpoints of 5 slots",
    plan: FleetPlan::fit,
    short: RequestKind {
        service_idx: 0,
        run_time_ms: SHORT_MS,
        ..REQUEST_KINDS[3]
    },
    long: RequestKind {
        service_idx: 0,
        path: "/catalogue",
        run_time_ms: LONG_MS,
        ..REQUEST_KINDS[3]
    },
};

async fn measure_blocking(scenario: &Scenario, options: &Options) -> Result<Vec<Figure>> {
    let plan = (scenario.plan)(BALANCERS);
    let endpoints = plan.services[0].endpoints;
    let slots = usize::from(plan.services[0].slots.get());
    let fleet = Fleet::start(plan, options.seed).await?;
    let callers = OpenLoop::connect(&fleet, 0, CONNECTIONS, options.seed).await?;
    // Each of the two scenarios is run once without and once with long requests, so a run has four
    // parts.
    let length = WARM_UP + Duration::from_secs(options.seconds).div_f64(4.0);
    let mixed = generate_arrivals(scenario, endpoints * slots, length, options.seed);
    let only_short: Vec<_> = mixed.iter().filter(|it| !is_long(it)).copied().collect();

    let alone = callers.send_at_arrival_times(&only_short).await;
    let beside = callers.send_at_arrival_times(&mixed).await;
    eprintln!(
        "headofline: {}: {} short requests alone, {} mixed; {} and {} complete answers",
        scenario.name,
        alone.len(),
        beside.len(),
        count_complete(&alone),
        count_complete(&beside),
    );
    let baseline_alone = fifo_latencies(&only_short, &alone, endpoints, slots);
    let baseline_beside = fifo_latencies(&mixed, &beside, endpoints, slots);
    let ours = p99(&only_short, &measured_latencies(&alone))
        .ratio_to_loaded(p99(&mixed, &measured_latencies(&beside)));
    let baseline = p99(&only_short, &baseline_alone).ratio_to_loaded(p99(&mixed, &baseline_beside));
    eprintln!(
        "headofline: p99 of short requests: {:?} alone, {:?} beside long ones",
        p99(&only_short, &measured_latencies(&alone)),
        p99(&mixed, &measured_latencies(&beside)),
    );
    let long_percent = completed_long_percent(&mixed, &beside);
    Ok(vec![
        Figure {
            bench: "headofline",
            metric: format!(
                "p99 of short work beside long, over without; {}",
                scenario.name
            ),
            unit: "ratio",
            ours,
            baseline: Some(baseline),
            target: Some(RATIO_TARGET),
            met: Some(ours <= RATIO_TARGET),
            seed: options.seed,
        },
        Figure {
            bench: "headofline",
            metric: format!(
                "long work done of what was asked and slots leave; {}",
                scenario.name
            ),
            unit: "percent",
            ours: long_percent,
            baseline: None,
            target: Some(LONG_TARGET_PERCENT),
            met: Some(long_percent >= LONG_TARGET_PERCENT),
            seed: options.seed,
        },
    ])
}

fn generate_arrivals(
    scenario: &Scenario,
    slots: usize,
    length: Duration,
    seed: u64,
) -> Vec<Arrival> {
    let short_s = SHORT_MS.to_duration().as_secs_f64();
    let long_s = LONG_MS.to_duration().as_secs_f64();
    let mean_s = (1.0 - LONG_SHARE) * short_s + LONG_SHARE * long_s;
    let per_second = count_to_f64(slots) * SLOT_UTILIZATION / mean_s;
    let mut rng = StdRng::seed_from_u64(seed);
    let times = draw_poisson_times(&mut rng, per_second, Duration::ZERO, length);
    let arrivals = times.into_iter().map(|at| {
        let (work, timeout) = if rng.random_bool(LONG_SHARE) {
            (scenario.long, LONG_TIMEOUT)
        } else {
            (scenario.short, SHORT_TIMEOUT)
        };
        Arrival {
            at,
            kind: work,
            timeout,
        }
    });
    arrivals.collect()
}

fn is_long(arrival: &Arrival) -> bool {
    arrival.kind.run_time_ms == LONG_MS
}

fn count_complete(finished: &[FinishedRequest]) -> usize {
    let whole = finished.iter().filter(|it| it.outcome == Outcome::Complete);
    whole.count()
}

/// Latency of each request, with the request's index in the arrivals. A request without a complete
/// answer counts with the timeout of a short request.
type Latencies = Vec<(usize, Duration)>;

fn measured_latencies(finished: &[FinishedRequest]) -> Latencies {
    let latency = |it: &FinishedRequest| match it.outcome {
        Outcome::Complete => it.latency,
        _ => SHORT_TIMEOUT,
    };
    finished.iter().map(|it| (it.idx, latency(it))).collect()
}

fn fifo_latencies(
    arrivals: &[Arrival],
    finished: &[FinishedRequest],
    endpoints: usize,
    slots: usize,
) -> Latencies {
    let ends = simulate_fifo(arrivals, finished, endpoints, slots);
    ends.into_iter().map(|it| (it.idx, it.latency)).collect()
}

/// A latency in seconds.
#[derive(Debug, Clone, Copy)]
struct Seconds(f64);

impl Seconds {
    /// Returns the ratio of the latency `loaded` to this latency.
    fn ratio_to_loaded(self, loaded: Self) -> f64 {
        loaded.0 / self.0
    }
}

/// Returns the p99 latency of the short requests that arrived after the warm-up time.
fn p99(arrivals: &[Arrival], latencies: &Latencies) -> Seconds {
    let counted = latencies.iter().filter(|(idx, _)| {
        let arrival = &arrivals[*idx];
        arrival.at >= WARM_UP && !is_long(arrival)
    });
    let mut sorted: Vec<_> = counted.map(|it| it.1).collect();
    sorted.sort_unstable();
    let at = sorted.len() * 99 / 100;
    Seconds(sorted.get(at).map_or(f64::NAN, Duration::as_secs_f64))
}

/// Returns the share of the sent long requests that completed, in percent.
///
/// The slots have room for more long requests than this load sends, so the percentage is of the
/// sent requests, not of the capacity of the slots.
fn completed_long_percent(arrivals: &[Arrival], finished: &[FinishedRequest]) -> f64 {
    let long = finished.iter().filter(|it| is_long(&arrivals[it.idx]));
    let done = long.clone().filter(|it| it.outcome == Outcome::Complete);
    100.0 * count_to_f64(done.count()) / count_to_f64(long.count().max(1))
}
