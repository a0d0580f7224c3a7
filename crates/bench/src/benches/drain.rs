//! An upstream that leaves: the last new work, and what was cut, with long-lived connections.
//!
//! The instance list never says that it leaves and its health says that it is fine; only the
//! bundle, or the agent's own stop signal, is a sign.

use std::time::Duration;

use rand::{SeedableRng as _, rngs::StdRng};
use tokio::time::{Instant, sleep, sleep_until};
use units::Millis;

use super::Entry;
use crate::{
    error::Result,
    figure::{Figure, Options, block_on, count_to_f64},
    fleet::{Fleet, FleetPlan},
    load::{
        Arrival, FinishedRequest, OpenLoop, Outcome, REQUEST_KINDS, RequestKind, poisson_times,
    },
};

/// Longest time to the last new work that is asked for.
const TARGET_SECONDS: f64 = 3.0;

/// Balancers in the fleet.
const BALANCERS: usize = 3;

/// Connections that stay open for the whole run.
const CONNECTIONS: usize = 56;

/// Short requests a second, and long ones that run for a second.
const SHORT_PER_SECOND: f64 = 200.0;
const LONG_PER_SECOND: f64 = 2.0;

/// Running time of a long request, streamed while the upstream leaves.
const LONG_RUN_MS: Millis = Millis::new(1_000);

/// Longest time a caller waits.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Time before the first sign and between the signs.
const STEP_MIN: Duration = Duration::from_secs(6);

/// Endpoint that the bundle marks as leaving, and the one whose agent is stopped.
const MARKED: usize = 1;
const STOPPED: usize = 4;

/// The bench.
pub(super) const BENCH: Entry = Entry {
    name: "drain",
    about: "last new work at a leaving upstream after the first sign, and what was cut",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(measure(options))
}

async fn measure(options: &Options) -> Result<Vec<Figure>> {
    let mut fleet = Fleet::start(FleetPlan::ledger(BALANCERS), options.seed).await?;
    let callers = OpenLoop::connect(&fleet, 0, CONNECTIONS, options.seed).await?;
    let step = (Duration::from_secs(options.seconds) / 3).max(STEP_MIN);
    let arrivals = arrivals(step * 3, options.seed);
    let load = callers.run(&arrivals);
    let (finished, seen) = tokio::join!(load, leave(&mut fleet, step));
    let seen = seen?;
    let cut = finished.iter().filter(|it| is_cut(&fleet, it)).count();
    let refused = finished
        .iter()
        .filter(|it| it.outcome == Outcome::NotRun)
        .count();
    eprintln!(
        "{} requests, {refused} told not run, {cut} cut",
        finished.len()
    );
    let last = |metric: &str, seconds: f64| Figure {
        bench: "drain",
        metric: metric.to_owned(),
        unit: "s",
        ours: seconds,
        baseline: None,
        target: Some(TARGET_SECONDS),
        met: Some(seconds <= TARGET_SECONDS),
        seed: options.seed,
    };
    Ok(vec![
        last(
            "last new work after the bundle marks the endpoint",
            seen.marked_seconds,
        ),
        last(
            "last new work after the agent's stop signal",
            seen.stopped_seconds,
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

/// Time from the first sign to the last new work.
#[derive(Debug)]
struct Seen {
    marked_seconds: f64,
    stopped_seconds: f64,
}

async fn leave(fleet: &mut Fleet, step: Duration) -> Result<Seen> {
    let begun = Instant::now();
    sleep_until(begun + step).await;
    eprintln!("the bundle marks endpoint {MARKED} as leaving");
    let marked_ms = fleet.upstreams[MARKED].uptime();
    fleet.publish_next_version(0, |bundle| bundle.endpoints[MARKED].is_leaving = true)?;
    sleep_until(begun + step * 2).await;
    let marked_seconds = seconds_to_last(fleet, MARKED, marked_ms);
    eprintln!("the agent beside endpoint {STOPPED} is told to stop");
    let stopped_ms = fleet.upstreams[STOPPED].uptime();
    fleet.agents[STOPPED].request_stop();
    sleep(step).await;
    let stopped_seconds = seconds_to_last(fleet, STOPPED, stopped_ms);
    Ok(Seen {
        marked_seconds,
        stopped_seconds,
    })
}

/// Returns the time from `sign_ms` to the last run that began, zero if none did.
fn seconds_to_last(fleet: &Fleet, idx: usize, sign_ms: Millis) -> f64 {
    let last_ms = fleet.upstreams[idx].last_run_start().unwrap_or_default();
    last_ms.since(sign_ms).to_duration().as_secs_f64()
}

/// Returns whether a request reached an upstream but its answer did not come whole.
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

fn arrivals(length: Duration, seed: u64) -> Vec<Arrival> {
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
        let times = poisson_times(&mut rng, per_second, Duration::ZERO, length);
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
