//! How evenly busy slots are spread over equal endpoints, with long-lived connections.

use std::time::Duration;

use flow::rendezvous::{FlowKey, unit_weight_score};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use units::{EndpointId, Millis};

use super::Entry;
use crate::{
    error::Result,
    figure::{Figure, Options, block_on, count_to_f64},
    fleet::{Fleet, FleetPlan},
    load::{
        Arrival, FinishedRequest, OpenLoop, Outcome, REQUEST_KINDS, RequestKind, poisson_times,
    },
};

/// Peak over mean of busy slots that is asked for.
const TARGET: f64 = 1.15;

/// Share of all slots that is busy.
const LOAD: f64 = 0.7;

/// Connections that stay open for the whole run.
const CONNECTIONS: usize = 40;

/// Balancers in the fleet.
const BALANCERS: usize = 3;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);

/// Time between two looks at the slots.
const SAMPLE: Duration = Duration::from_millis(5);

/// Time each request holds a slot.
const RUN_TIME_MS: Millis = Millis::new(20);

/// Longest time a caller waits.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Busy slots, or requests, by window and endpoint.
type Windows = Vec<Vec<f64>>;

/// This bench in the list.
pub(super) const BENCH: Entry = Entry {
    name: "imbalance",
    about: "busy slots over equal endpoints at 70 % load with long-lived connections",
    run,
};

/// Runs the bench.
fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(measure(options))
}

async fn measure(options: &Options) -> Result<Vec<Figure>> {
    let plan = FleetPlan::fit(BALANCERS);
    let endpoints = plan.services[0].endpoints;
    let slots = endpoints * usize::from(plan.services[0].slots.get());
    let fleet = Fleet::start(plan, options.seed).await?;
    let callers = OpenLoop::connect(&fleet, 0, CONNECTIONS, options.seed).await?;
    let length = Duration::from_secs(options.seconds);
    let arrivals = arrivals(slots, length, options.seed);
    let (finished, windows) =
        tokio::join!(callers.run(&arrivals), sample(&fleet, endpoints, length));
    let whole = finished
        .iter()
        .filter(|it| it.outcome == Outcome::Complete)
        .count();
    eprintln!("{} requests, {whole} whole", finished.len());
    let ours = ratios(&windows);
    let mut rng = StdRng::seed_from_u64(options.seed);
    let baselines = [
        (
            "rendezvous per flow",
            replay(&arrivals, &finished, endpoints, length, by_rendezvous),
        ),
        (
            "random per request",
            replay(&arrivals, &finished, endpoints, length, |_, count| {
                rng.random_range(0..count)
            }),
        ),
    ];
    let mut figures = Vec::new();
    for (name, windows) in &baselines {
        let theirs = ratios(windows);
        let pairs = [
            ("mean", mean(&ours), mean(&theirs)),
            ("worst", worst(&ours), worst(&theirs)),
        ];
        for (which, ours, theirs) in pairs {
            figures.push(Figure {
                bench: "imbalance",
                metric: format!("peak/mean of busy slots, {which} 1 s window, beside {name}"),
                unit: "ratio",
                ours,
                baseline: Some(theirs),
                target: Some(TARGET),
                met: Some(ours <= TARGET),
                seed: options.seed,
            });
        }
    }
    Ok(figures)
}

fn arrivals(slots: usize, length: Duration, seed: u64) -> Vec<Arrival> {
    let work = RequestKind {
        service_idx: 0,
        run_time_ms: RUN_TIME_MS,
        ..REQUEST_KINDS[3]
    };
    let per_second = count_to_f64(slots) * LOAD / RUN_TIME_MS.to_duration().as_secs_f64();
    let mut rng = StdRng::seed_from_u64(seed);
    let times = poisson_times(&mut rng, per_second, Duration::ZERO, length);
    times
        .into_iter()
        .map(|at| Arrival {
            at,
            kind: work,
            timeout: TIMEOUT,
        })
        .collect()
}

/// Adds up busy slots by window and endpoint.
async fn sample(fleet: &Fleet, endpoints: usize, length: Duration) -> Windows {
    let mut windows = empty_windows(endpoints, length);
    let begun = tokio::time::Instant::now();
    let mut ticks = tokio::time::interval(SAMPLE);
    while begun.elapsed() < length {
        ticks.tick().await;
        let Some(window) = windows.get_mut(window_of(begun.elapsed())) else {
            break;
        };
        for (busy, upstream) in window.iter_mut().zip(&fleet.upstreams) {
            *busy += count_to_f64(upstream.running_requests());
        }
    }
    windows
}

/// Where the same requests would have run at the endpoints that `choose` names.
fn replay(
    arrivals: &[Arrival],
    finished: &[FinishedRequest],
    endpoints: usize,
    length: Duration,
    mut choose: impl FnMut(&FinishedRequest, usize) -> usize,
) -> Windows {
    let mut windows = empty_windows(endpoints, length);
    for it in finished {
        let endpoint = choose(it, endpoints);
        if let Some(window) = windows.get_mut(window_of(arrivals[it.idx].at)) {
            window[endpoint] += 1.0;
        }
    }
    windows
}

fn by_rendezvous(finished: &FinishedRequest, endpoints: usize) -> usize {
    let flow = FlowKey::from_hash(hash(finished.connection_idx));
    let score = |idx: usize| {
        unit_weight_score(
            flow,
            EndpointId::new(u32::try_from(idx).unwrap_or(u32::MAX)),
        )
    };
    let best = (0..endpoints).max_by(|&a, &b| score(a).total_cmp(&score(b)));
    best.unwrap_or_default()
}

/// Spreads small numbers over all bits.
fn hash(number: usize) -> u64 {
    let mut rng = StdRng::seed_from_u64(number as u64);
    rng.random()
}

/// Peak over mean of each window that has work; the first window, while load sets in, is left out.
fn ratios(windows: &Windows) -> Vec<f64> {
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

fn mean(ratios: &[f64]) -> f64 {
    ratios.iter().sum::<f64>() / count_to_f64(ratios.len().max(1))
}

fn worst(ratios: &[f64]) -> f64 {
    ratios.iter().copied().fold(0.0, f64::max)
}

fn empty_windows(endpoints: usize, length: Duration) -> Windows {
    vec![vec![0.0; endpoints]; window_of(length).max(1)]
}

fn window_of(at: Duration) -> usize {
    usize::try_from(at.as_millis() / WINDOW.as_millis()).unwrap_or(usize::MAX)
}
