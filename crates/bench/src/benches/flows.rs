//! Bench `flows`: open flows while balancers are killed and replaced, upstreams drain and bundles
//! roll out.
//!
//! Every datagram goes to a random balancer. The results are counted at the callers and the
//! upstreams.

mod baseline;
mod changes;
mod flow;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{sync::watch, task::JoinSet};

use self::{
    baseline::ModuloRouting,
    flow::{Counts, Flow, SERVICES},
};
use super::BenchEntry;
use crate::{
    error::Result,
    figure::{Figure, Options, block_on, count_to_f64},
    fleet::{Fleet, FleetPlan},
};

/// Number of flows that the callers keep open at once.
const FLOWS: usize = 10_000;

/// Number of flows that share one caller's socket.
const FLOWS_PER_SOCKET: usize = 50;

/// Number of balancers in the fleet.
const BALANCERS: usize = 4;

/// Longest wait for all flows to open, whatever the length of the run.
const OPENING_TIMEOUT: Duration = Duration::from_secs(25);

/// Longest time from the first connection attempt to the last change of the fleet. The bench then
/// ends within a minute, including the start and the end of the fleet.
const RUN_MAX: Duration = Duration::from_secs(45);

/// Interval at which the number of open flows is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Registry entry of the bench `flows`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "flows",
    about: "open flows while balancers die, upstreams drain and bundles roll out",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(measure_flows(options))
}

async fn measure_flows(options: &Options) -> Result<Vec<Figure>> {
    let mut fleet = Fleet::start(FleetPlan::both_users(BALANCERS), options.seed).await?;
    eprintln!("flows: every service answers; opening {FLOWS} flows");
    let counts = Arc::new(Counts::default());
    let (stop, stopped) = watch::channel(false);
    let begun = Instant::now();
    let mut flows = start_flows(&fleet, options.seed, &counts, &stopped)?;
    wait_until_flows_open(&counts).await;
    let open = counts.open();
    eprintln!(
        "flows: {open} flows open after {:.1} s",
        begun.elapsed().as_secs_f64()
    );
    let mut baseline = ModuloRouting::new(&fleet, FLOWS);
    let length = Duration::from_secs(options.seconds)
        .min(RUN_MAX.saturating_sub(begun.elapsed()))
        .max(Duration::from_secs(1));
    changes::apply_changes(&mut fleet, length, &mut baseline).await?;
    stop.send_replace(true);
    while flows.join_next().await.is_some() {}
    Ok(print_breaks_and_collect_figures(
        options, &fleet, &counts, open, &baseline,
    ))
}

fn start_flows(
    fleet: &Fleet,
    seed: u64,
    counts: &Arc<Counts>,
    stopped: &watch::Receiver<bool>,
) -> Result<JoinSet<()>> {
    let mut flows = JoinSet::new();
    let mut socket = Arc::new(fleet.create_caller()?);
    for number in 0..FLOWS {
        if number > 0 && number % FLOWS_PER_SOCKET == 0 {
            socket = Arc::new(fleet.create_caller()?);
        }
        let service_idx = flow::service_of(number);
        let flow = Flow {
            caller: Arc::clone(&socket),
            service: fleet.service_address(service_idx),
            path: SERVICES[service_idx].path,
            number,
            seed,
            counts: Arc::clone(counts),
        };
        flows.spawn(flow.keep_open(stopped.clone()));
    }
    Ok(flows)
}

async fn wait_until_flows_open(counts: &Counts) {
    let deadline = Instant::now() + OPENING_TIMEOUT;
    while counts.open() < FLOWS && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Prints the reasons for the first broken flows and returns the figures of this bench.
fn print_breaks_and_collect_figures(
    options: &Options,
    fleet: &Fleet,
    counts: &Counts,
    open: usize,
    baseline: &ModuloRouting,
) -> Vec<Figure> {
    for reason in counts.break_reasons() {
        eprintln!("flows: a flow broke: {reason}");
    }
    let figure = |metric: &str, unit, ours: usize, baseline: Option<usize>| Figure {
        bench: BENCH.name,
        metric: metric.to_owned(),
        unit,
        ours: count_to_f64(ours),
        baseline: baseline.map(count_to_f64),
        target: None,
        met: None,
        seed: options.seed,
    };
    let with_zero_target = |it: Figure| Figure {
        target: Some(0.0),
        met: Some(it.ours == 0.0),
        ..it
    };
    let misrouted = count_misrouted_requests(fleet);
    let mut opened = figure("flows open at once", "flows", open, None);
    opened.target = Some(count_to_f64(FLOWS));
    opened.met = Some(open >= FLOWS);
    vec![
        opened,
        with_zero_target(figure(
            "broken flows",
            "flows",
            counts.broken(),
            Some(baseline.broken_count()),
        )),
        with_zero_target(figure("misrouted requests", "requests", misrouted, None)),
        with_zero_target(figure(
            "answers not whole",
            "requests",
            counts.wrong(),
            None,
        )),
        figure(
            "flows moved by a draining upstream",
            "flows",
            counts.moved(),
            None,
        ),
        figure("requests", "requests", counts.requests(), None),
        figure(
            "requests without an answer in time",
            "requests",
            counts.timeouts(),
            None,
        ),
        figure("refused requests", "requests", counts.refused(), None),
        figure(
            "attempts to connect that failed",
            "attempts",
            counts.failed_connects(),
            None,
        ),
    ]
}

/// Counts the requests that ran at an upstream of a service other than their own.
fn count_misrouted_requests(fleet: &Fleet) -> usize {
    let mut count = 0;
    for (idx, upstream) in fleet.upstreams.iter().enumerate() {
        let path = SERVICES[fleet.plan.service_of(idx)].path;
        let runs = upstream.runs();
        count += runs.iter().filter(|it| !it.path.starts_with(path)).count();
    }
    count
}
