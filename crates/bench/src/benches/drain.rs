//! Bench `drain`: the last new work at an upstream that leaves, and the requests in flight that
//! are cut, with long-lived connections.
//!
//! The instance list never marks the upstream as leaving, and the upstream's health check keeps
//! succeeding. Only the bundle, or the agent's own stop signal, announces that the upstream leaves.

use std::time::Duration;

use rand::{SeedableRng as _, rngs::StdRng};
use tokio::time::{Instant, sleep, sleep_until};
use units::Millis;

use super::BenchEntry;
use crate::{
    error::Result,
    figure::{Figure, Options, block_on, count_to_f64},
    fleet::{Fleet, FleetPlan},
    load::{
        Arrival, FinishedRequest, OpenLoop, Outcome, REQUEST_KINDS, RequestKind, draw_poisson_times,
    },
};

/// Target for the time from the announcement that an endpoint leaves to its last new work.
const LAST_WORK_SECONDS_TARGET: f64 = 3.0;

/// Number of balancers in the fleet.
const BALANCERS: usize = 3;

/// Number of callers' connections, which stay open for the whole run.
const CONNECTIONS: usize = 56;

/// Rates of short requests and of long requests, which run for a second.
const SHORT_PER_SECOND: f64 = 200.0;
const LONG_PER_SECOND: f64 = 2.0;

/// Run time of a long request. Its answer is streamed while the upstream leaves.
const LONG_RUN_MS: Millis = Millis::new(1_000);

/// Longest time that a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Shortest time before the first announcement that an endpoint leaves, and between the two
/// announcements.
const INTERVAL_MIN: Duration = Duration::from_secs(6);

/// Index of the endpoint that a new bundle marks as leaving.
const MARKED_IDX: usize = 1;

/// Index of the endpoint whose agent gets a stop signal.
const STOPPED_IDX: usize = 4;

/// Registry entry of the bench `drain`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "drain",
    about: "last new work at an upstream that leaves, and requests in flight that were cut",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(measure_drain(options))
}

async fn measure_drain(options: &Options) -> Result<Vec<Figure>> {
    let mut fleet = Fleet::start(FleetPlan::ledger(BALANCERS), options.seed).await?;
    let callers = OpenLoop::connect(&fleet, 0, CONNECTIONS, options.seed).await?;
    let interval = (Duration::from_secs(options.seconds) / 3).max(INTERVAL_MIN);
    let arrivals = generate_arrivals(interval * 3, options.seed);
    let load = callers.send_at_arrival_times(&arrivals);
    let (finished, last_work) = tokio::join!(load, announce_departures(&mut fleet, interval));
    let last_work = last_work?;
    let cut = finished.iter().filter(|it| is_cut(&fleet, it)).count();
    let refused = finished
        .iter()
        .filter(|it| it.outcome == Outcome::NotRun)
        .count();
    eprintln!(
        "drain: {} requests, {refused} refused as not run, {cut} cut",
        finished.len()
    );
    let last_work_figure = |metric: &str, seconds: f64| Figure {
        bench: "drain",
        metric: metric.to_owned(),
        unit: "s",
        ours: seconds,
        baseline: None,
        target: Some(LAST_WORK_SECONDS_TARGET),
        met: Some(seconds <= LAST_WORK_SECONDS_TARGET),
        seed: options.seed,
    };
    Ok(vec![
        last_work_figure(
            "last new work after the bundle marks the endpoint",
            last_work.marked_seconds,
        ),
        last_work_figure(
            "last new work after the agent's stop signal",
            last_work.stopped_seconds,
        ),
        Figure {
            bench: "drain",
            metric: "requests in flight that were cut".to_owned(),
            unit: "requests",
            ours: count_to_f64(cut),
            baseline: None,
            target: Some(0.0),
            met: Some(cut == 0),
            seed: options.seed,
        },
    ])
}

/// Time from each of the two announcements to the leaving endpoint's last new work, in seconds.
#[derive(Debug)]
struct LastWork {
    marked_seconds: f64,
    stopped_seconds: f64,
}

async fn announce_departures(fleet: &mut Fleet, interval: Duration) -> Result<LastWork> {
    let begun = Instant::now();
    sleep_until(begun + interval).await;
    eprintln!("drain: marking endpoint {MARKED_IDX} as leaving in the bundle");
    let marked_ms = fleet.upstreams[MARKED_IDX].uptime();
    fleet.publish_next_version(0, |bundle| bundle.endpoints[MARKED_IDX].is_leaving = true)?;
    sleep_until(begun + interval * 2).await;
    let marked_seconds = seconds_to_last_work(fleet, MARKED_IDX, marked_ms);
    eprintln!("drain: stopping the agent of endpoint {STOPPED_IDX}");
    let stopped_ms = fleet.upstreams[STOPPED_IDX].uptime();
    fleet.agents[STOPPED_IDX].request_stop();
    sleep(interval).await;
    let stopped_seconds = seconds_to_last_work(fleet, STOPPED_IDX, stopped_ms);
    Ok(LastWork {
        marked_seconds,
        stopped_seconds,
    })
}

/// Returns the seconds from `announced_ms` to the start of an upstream's last run; zero if no run
/// started later.
fn seconds_to_last_work(fleet: &Fleet, idx: usize, announced_ms: Millis) -> f64 {
    let last_ms = fleet.upstreams[idx].last_run_start().unwrap_or_default();
    last_ms.since(announced_ms).to_duration().as_secs_f64()
}

/// Returns whether a request was cut: it ran at an upstream, but its caller got no complete answer.
fn is_cut(fleet: &Fleet, finished: &FinishedRequest) -> bool {
    let has_run = || {
        fleet
            .upstreams
            .iter()
            .any(|it| it.run_count_of(&finished.request_id) > 0)
    };
    let is_whole = matches!(finished.outcome, Outcome::Complete | Outcome::NotRun);
    !is_whole && has_run()
}

fn generate_arrivals(length: Duration, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let short = RequestKind {
        service_idx: 0,
        ..REQUEST_KINDS[0]
    };
    let long = RequestKind {
        path: "/statements",
        run_time_ms: LONG_RUN_MS,
        response_bytes: 64 << 10,
        ..short
    };
    let mut arrivals = Vec::new();
    for (work, per_second) in [(short, SHORT_PER_SECOND), (long, LONG_PER_SECOND)] {
        let times = draw_poisson_times(&mut rng, per_second, Duration::ZERO, length);
        let timeout = TIMEOUT;
        arrivals.extend(times.into_iter().map(|at| Arrival {
            at,
            kind: work,
            timeout,
        }));
    }
    arrivals.sort_by_key(|it| it.at);
    arrivals
}
