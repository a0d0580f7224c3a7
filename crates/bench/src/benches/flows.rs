//! Open flows through deaths and replacements of balancers, drains of upstreams and rolled bundles.
//!
//! Every datagram is sprayed at random over the balancers. Counts are what callers and upstreams
//! saw.

mod baseline;
mod changes;
mod flow;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{sync::watch, task::JoinSet};

use self::{
    baseline::Modulo,
    flow::{Counts, Flow, SERVICES},
};
use super::Entry;
use crate::{
    error::Result,
    figure::{Figure, Options, block_on, count_to_f64},
    fleet::{Fleet, FleetPlan},
};

/// Flows that are open at once.
const FLOWS: usize = 10_000;

/// Flows that share one caller's socket.
const FLOWS_PER_SOCKET: usize = 50;

/// Balancers in the fleet.
const BALANCERS: usize = 4;

/// Longest time that opening the flows may take, whatever the length of the run.
const OPENING_MAX: Duration = Duration::from_secs(25);

/// Longest time of a run without start and end, so that the bench ends within a minute.
const RUN_MAX: Duration = Duration::from_secs(45);

/// Time between two looks at the number of open flows.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// This bench in the list.
pub(super) const BENCH: Entry = Entry {
    name: "flows",
    about: "open flows while balancers die, upstreams drain and bundles roll",
    run,
};

/// Runs the bench.
fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(measure(options))
}

async fn measure(options: &Options) -> Result<Vec<Figure>> {
    let mut fleet = Fleet::start(FleetPlan::both_users(BALANCERS), options.seed).await?;
    eprintln!("flows: every service answers; opening {FLOWS} flows");
    let counts = Arc::new(Counts::default());
    let (stop, stopped) = watch::channel(false);
    let begun = Instant::now();
    let mut flows = start_flows(&fleet, options.seed, &counts, &stopped)?;
    wait_until_open(&counts).await;
    let open = counts.open();
    eprintln!(
        "flows: {open} open after {:.1} s",
        begun.elapsed().as_secs_f64()
    );
    let mut baseline = Modulo::new(&fleet, FLOWS);
    let length = Duration::from_secs(options.seconds)
        .min(RUN_MAX.saturating_sub(begun.elapsed()))
        .max(Duration::from_secs(1));
    changes::make(&mut fleet, length, &mut baseline).await?;
    stop.send_replace(true);
    while flows.join_next().await.is_some() {}
    Ok(report(options, &fleet, &counts, open, &baseline))
}

fn start_flows(
    fleet: &Fleet,
    seed: u64,
    counts: &Arc<Counts>,
    stopped: &watch::Receiver<bool>,
) -> Result<JoinSet<()>> {
    let mut flows = JoinSet::new();
    let mut socket = Arc::new(fleet.new_caller()?);
    for number in 0..FLOWS {
        if number > 0 && number % FLOWS_PER_SOCKET == 0 {
            socket = Arc::new(fleet.new_caller()?);
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
        flows.spawn(flow.run(stopped.clone()));
    }
    Ok(flows)
}

async fn wait_until_open(counts: &Counts) {
    let deadline = Instant::now() + OPENING_MAX;
    while counts.open() < FLOWS && Instant::now() < deadline {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

fn report(
    options: &Options,
    fleet: &Fleet,
    counts: &Counts,
    open: usize,
    baseline: &Modulo,
) -> Vec<Figure> {
    for sample in counts.samples() {
        eprintln!("flows: broken: {sample}");
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
    let none = |it: Figure| Figure {
        target: Some(0.0),
        met: Some(it.ours == 0.0),
        ..it
    };
    let misrouted = misrouted(fleet);
    let mut opened = figure("flows open at once", "flows", open, None);
    opened.target = Some(count_to_f64(FLOWS));
    opened.met = Some(open >= FLOWS);
    vec![
        opened,
        none(figure(
            "broken flows",
            "flows",
            counts.broken(),
            Some(baseline.broken()),
        )),
        none(figure("misrouted requests", "requests", misrouted, None)),
        none(figure(
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
            counts.unconnected(),
            None,
        ),
    ]
}

/// Requests that ran at an upstream of another service.
fn misrouted(fleet: &Fleet) -> usize {
    let mut count = 0;
    for (idx, upstream) in fleet.upstreams.iter().enumerate() {
        let path = SERVICES[fleet.plan.service_of(idx)].path;
        let runs = upstream.runs();
        count += runs.iter().filter(|it| !it.path.starts_with(path)).count();
    }
    count
}
