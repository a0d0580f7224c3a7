//! Bench `imbalance`: distribution of busy slots over equal endpoints, with long-lived connections.

use std::time::Duration;

use flow::rendezvous::{FlowKey, unit_weight_score};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use units::{EndpointId, Millis};

use super::BenchEntry;
use crate::{
    error::Result,
    figure::{Figure, Options, block_on, count_to_f64},
    fleet::{Fleet, FleetPlan},
    load::{
        Arrival, FinishedRequest, OpenLoop, Outcome, REQUEST_KINDS, RequestKind, draw_poisson_times,
    },
};

/// Limit for the ratio of the busiest endpoint's busy slots to the mean over all endpoints in a
/// time window.
const RATIO_TARGET: f64 = 1.15;

/// Share of all concurrency slots that the load keeps busy, from 0 to 1.
const SLOT_UTILIZATION: f64 = 0.7;

/// Number of callers' connections, which stay open for the whole run.
const CONNECTIONS: usize = 40;

/// Number of balancers in the fleet.
const BALANCERS: usize = 3;

/// Length of the time windows over which samples of busy slots are added up.
const WINDOW: Duration = Duration::from_secs(1);

/// Interval at which the busy slots of every endpoint are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which each request holds a slot.
const RUN_TIME_MS: Millis = Millis::new(20);

/// Longest time that a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Sum of the sampled busy slots, or number of requests, by time window and endpoint.
type Windows = Vec<Vec<f64>>;

/// Registry entry of the bench `imbalance`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "imbalance",
    about: "busy slots over equal endpoints at 70 % load with long-lived connections",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(measure_imbalance(options))
}

async fn measure_imbalance(options: &Options) -> Result<Vec<Figure>> {
    let plan = FleetPlan::fit(BALANCERS);
    let endpoints = plan.services[0].endpoints;
    let slots = endpoints * usize::from(plan.services[0].slots.get());
    let fleet = Fleet::start(plan, options.seed).await?;
    let callers = OpenLoop::connect(&fleet, 0, CONNECTIONS, options.seed).await?;
    let length = Duration::from_secs(options.seconds);
    let arrivals = generate_arrivals(slots, length, options.seed);
    let (finished, windows) = tokio::join!(
        callers.send_at_arrival_times(&arrivals),
        sample_busy_slots(&fleet, endpoints, length)
    );
    let whole = finished
        .iter()
        .filter(|it| it.outcome == Outcome::Complete)
        .count();
    eprintln!(
        "imbalance: {} requests, {whole} complete answers",
        finished.len()
    );
    let ours = peak_to_mean_ratios(&windows);
    let mut rng = StdRng::seed_from_u64(options.seed);
    let baselines = [
        (
            "rendezvous per flow",
            count_by_endpoint(&arrivals, &finished, endpoints, length, rendezvous_endpoint),
        ),
        (
            "random per request",
            count_by_endpoint(&arrivals, &finished, endpoints, length, |_, count| {
                rng.random_range(0..count)
            }),
        ),
    ];
    let mut figures = Vec::new();
    for (name, windows) in &baselines {
        let baseline = peak_to_mean_ratios(windows);
        let pairs = [
            ("mean", mean_ratio(&ours), mean_ratio(&baseline)),
            ("worst", worst_ratio(&ours), worst_ratio(&baseline)),
        ];
        for (which, ours, baseline) in pairs {
            figures.push(Figure {
                bench: "imbalance",
                metric: format!("peak/mean of busy slots, {which} 1 s window, beside {name}"),
                unit: "ratio",
                ours,
                baseline: Some(baseline),
                target: Some(RATIO_TARGET),
                met: Some(ours <= RATIO_TARGET),
                seed: options.seed,
            });
        }
    }
    Ok(figures)
}

fn generate_arrivals(slots: usize, length: Duration, seed: u64) -> Vec<Arrival> {
    let work = RequestKind {
        service_idx: 0,
        run_time_ms: RUN_TIME_MS,
        ..REQUEST_KINDS[3]
    };
    let per_second =
        count_to_f64(slots) * SLOT_UTILIZATION / RUN_TIME_MS.to_duration().as_secs_f64();
    let mut rng = StdRng::seed_from_u64(seed);
    let times = draw_poisson_times(&mut rng, per_second, Duration::ZERO, length);
    times
        .into_iter()
        .map(|at| Arrival {
            at,
            kind: work,
            timeout: TIMEOUT,
        })
        .collect()
}

/// Samples the busy slots of all endpoints and adds the samples up by time window and endpoint.
async fn sample_busy_slots(fleet: &Fleet, endpoints: usize, length: Duration) -> Windows {
    let mut windows = empty_windows(endpoints, length);
    let begun = tokio::time::Instant::now();
    let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
    while begun.elapsed() < length {
        ticks.tick().await;
        let Some(window) = windows.get_mut(window_idx(begun.elapsed())) else {
            break;
        };
        for (busy, upstream) in window.iter_mut().zip(&fleet.upstreams) {
            *busy += count_to_f64(upstream.running_requests());
        }
    }
    windows
}

/// Counts the finished requests by time window and by the endpoint that `choose` returns for each
/// request.
fn count_by_endpoint(
    arrivals: &[Arrival],
    finished: &[FinishedRequest],
    endpoints: usize,
    length: Duration,
    mut choose: impl FnMut(&FinishedRequest, usize) -> usize,
) -> Windows {
    let mut windows = empty_windows(endpoints, length);
    for it in finished {
        let endpoint = choose(it, endpoints);
        if let Some(window) = windows.get_mut(window_idx(arrivals[it.idx].at)) {
            window[endpoint] += 1.0;
        }
    }
    windows
}

fn rendezvous_endpoint(finished: &FinishedRequest, endpoints: usize) -> usize {
    let flow = FlowKey::from_hash(hash_number(finished.connection_idx));
    let score = |idx: usize| {
        unit_weight_score(
            flow,
            EndpointId::new(u32::try_from(idx).unwrap_or(u32::MAX)),
        )
    };
    let best = (0..endpoints).max_by(|&a, &b| score(a).total_cmp(&score(b)));
    best.unwrap_or_default()
}

/// Hashes a small number to a value in which all bits vary.
fn hash_number(number: usize) -> u64 {
    let mut rng = StdRng::seed_from_u64(number as u64);
    rng.random()
}

/// Returns the ratio of the busiest endpoint to the mean over all endpoints for each window with
/// work, except for the first window, in which the load starts.
fn peak_to_mean_ratios(windows: &Windows) -> Vec<f64> {
    let windows = if windows.len() > 1 {
        &windows[1..]
    } else {
        windows
    };
    let mut ratios = Vec::with_capacity(windows.len());
    for window in windows {
        let sum: f64 = window.iter().sum();
        if sum > 0.0 {
            let peak = window.iter().copied().fold(0.0, f64::max);
            ratios.push(peak * count_to_f64(window.len()) / sum);
        }
    }
    ratios
}

fn mean_ratio(ratios: &[f64]) -> f64 {
    ratios.iter().sum::<f64>() / count_to_f64(ratios.len().max(1))
}

fn worst_ratio(ratios: &[f64]) -> f64 {
    ratios.iter().copied().fold(0.0, f64::max)
}

fn empty_windows(endpoints: usize, length: Duration) -> Windows {
    vec![vec![0.0; endpoints]; window_idx(length).max(1)]
}

fn window_idx(at: Duration) -> usize {
    usize::try_from(at.as_millis() / WINDOW.as_millis()).unwrap_or(usize::MAX)
}
