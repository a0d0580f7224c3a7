//! Short work beside long work: 5 % of requests run 30 times longer.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
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
    name: "headofline",
    about: "short work behind long work, beside one queue without classes",
    run,
};

/// Share of all slots that is busy.
const LOAD: f64 = 0.7;

/// Share of requests that run long.
const LONG_SHARE: f64 = 0.05;

/// Time a short request holds a slot.
const SHORT_MS: Millis = Millis::new(10);

/// Time a long request holds a slot: 30 times as long.
const LONG_MS: Millis = Millis::new(300);

/// Longest time a caller waits for a short answer.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time a caller waits for a long answer.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// p99 of short work with long work over p99 without that is asked for.
const RATIO_TARGET: f64 = 2.0;

/// Share of what the slots leave that long work is to get.
const LONG_TARGET_PERCENT: f64 = 95.0;

/// Connections that stay open for the whole run.
const CONNECTIONS: usize = 40;

/// Balancers in the fleet.
const BALANCERS: usize = 3;

/// Part of the load's start that isn't counted, while times are not known yet.
const WARM_UP: Duration = Duration::from_secs(1);

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
    short: RequestKind,
    long: RequestKind,
}

const LEDGER: User = User {
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

const FIT: User = User {
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

async fn measure(user: &User, options: &Options) -> Result<Vec<Figure>> {
    let plan = (user.plan)(BALANCERS);
    let endpoints = plan.services[0].endpoints;
    let slots = usize::from(plan.services[0].slots.get());
    let fleet = Fleet::start(plan, options.seed).await?;
    let callers = OpenLoop::connect(&fleet, 0, CONNECTIONS, options.seed).await?;
    // Two users, each once without and once with long work.
    let length = WARM_UP + Duration::from_secs(options.seconds).div_f64(4.0);
    let mixed = arrivals(user, endpoints * slots, length, options.seed);
    let only_short: Vec<_> = mixed.iter().filter(|it| !is_long(it)).copied().collect();

    let alone = callers.run(&only_short).await;
    let beside = callers.run(&mixed).await;
    eprintln!(
        "{}: {} short alone, {} mixed; whole {} and {}",
        user.name,
        alone.len(),
        beside.len(),
        whole(&alone),
        whole(&beside),
    );
    let theirs_alone = queued(&only_short, &alone, endpoints, slots);
    let theirs_beside = queued(&mixed, &beside, endpoints, slots);
    let ours = p99(&only_short, &alone_latencies(&alone))
        .zip_ratio(p99(&mixed, &alone_latencies(&beside)));
    let theirs = p99(&only_short, &theirs_alone).zip_ratio(p99(&mixed, &theirs_beside));
    eprintln!(
        "p99 of short: {:?} alone, {:?} beside long work",
        p99(&only_short, &alone_latencies(&alone)),
        p99(&mixed, &alone_latencies(&beside)),
    );
    let long_percent = long_share_percent(&mixed, &beside);
    Ok(vec![
        Figure {
            bench: "headofline",
            metric: format!("p99 of short work beside long, over without; {}", user.name),
            unit: "ratio",
            ours,
            baseline: Some(theirs),
            target: Some(RATIO_TARGET),
            met: Some(ours <= RATIO_TARGET),
            seed: options.seed,
        },
        Figure {
            bench: "headofline",
            metric: format!(
                "long work done of what was asked and slots leave; {}",
                user.name
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

fn arrivals(user: &User, slots: usize, length: Duration, seed: u64) -> Vec<Arrival> {
    let short_s = SHORT_MS.to_duration().as_secs_f64();
    let long_s = LONG_MS.to_duration().as_secs_f64();
    let mean_s = (1.0 - LONG_SHARE) * short_s + LONG_SHARE * long_s;
    let per_second = count_to_f64(slots) * LOAD / mean_s;
    let mut rng = StdRng::seed_from_u64(seed);
    let times = poisson_times(&mut rng, per_second, Duration::ZERO, length);
    let arrivals = times.into_iter().map(|at| {
        let (work, timeout) = if rng.random_bool(LONG_SHARE) {
            (user.long, LONG_TIMEOUT)
        } else {
            (user.short, SHORT_TIMEOUT)
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

fn whole(finished: &[FinishedRequest]) -> usize {
    let whole = finished.iter().filter(|it| it.outcome == Outcome::Complete);
    whole.count()
}

/// Position in the arrivals and latency of each request; without a whole answer the timeout.
type Latencies = Vec<(usize, Duration)>;

fn alone_latencies(finished: &[FinishedRequest]) -> Latencies {
    let latency = |it: &FinishedRequest| match it.outcome {
        Outcome::Complete => it.latency,
        _ => SHORT_TIMEOUT,
    };
    finished.iter().map(|it| (it.idx, latency(it))).collect()
}

fn queued(
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
    /// Returns how many times this one the other is.
    fn zip_ratio(self, beside: Self) -> f64 {
        beside.0 / self.0
    }
}

/// p99 of the short requests after the warm-up.
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

/// Long work that ended whole, over long work asked.
///
/// At this load the slots leave more than is asked, so what is asked bounds it.
fn long_share_percent(arrivals: &[Arrival], finished: &[FinishedRequest]) -> f64 {
    let long = finished.iter().filter(|it| is_long(&arrivals[it.idx]));
    let done = long.clone().filter(|it| it.outcome == Outcome::Complete);
    100.0 * count_to_f64(done.count()) / count_to_f64(long.count().max(1))
}
