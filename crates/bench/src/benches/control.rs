//! Bench `control`: what liveness costs a balancer, quiet and while a zone fails.
//!
//! The core runs on a simulated clock at an eighth, a quarter and a half of the two-year size, and
//! whole controllers run in this process over loopback datagrams at small sizes. Slopes over the
//! number of members give the cost at the two-year size. The baseline is a heartbeat each 500 ms
//! from every balancer to every agent.

mod datagrams;
mod simulated;

use super::Entry;
use crate::{
    error::Result,
    figure::{Figure, Options, count_to_f64},
};

/// Balancers at the two-year size.
const BALANCERS: usize = 620;

/// Endpoints at the two-year size.
const AGENTS: usize = 5_800;

/// Parts of the two-year size that the core runs at.
const PARTS: [usize; 3] = [8, 4, 2];

/// Length of a run from which the core also runs at the whole size.
const WHOLE_SECONDS: u64 = 60;

const BYTES_TARGET: f64 = 18_000.0;
const PROCESSOR_TARGET_PERCENT: f64 = 1.1;
const MEMORY_TARGET_MB: f64 = 256.0;

/// Bytes of a heartbeat and its answer with IP and UDP headers, and heartbeats a second.
const HEARTBEAT_BYTES: f64 = 2.0 * 36.0;
const HEARTBEATS_PER_SECOND: f64 = 2.0;

/// The bench.
pub(super) const BENCH: Entry = Entry {
    name: "control",
    about: "bytes, processor and memory of liveness, quiet and while a zone fails",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    let mut costs = Vec::new();
    for part in PARTS {
        costs.push(simulate(part, options));
    }
    let whole = (options.seconds >= WHOLE_SECONDS).then(|| simulate(1, options));
    let datagram = datagrams::measure(options)?;
    let mut figures = Vec::new();
    for cost in costs.iter().chain(&whole) {
        figures.extend(measured(options, cost));
    }
    figures.extend(worked_out(options, &costs, datagram));
    Ok(figures)
}

fn simulate(part: usize, options: &Options) -> simulated::Cost {
    let (balancers, agents) = (BALANCERS / part, AGENTS / part);
    eprintln!("control: {balancers} balancers, {agents} agents on a simulated clock");
    simulated::measure(balancers, agents, options.seed)
}

/// Returns what one size cost.
fn measured(options: &Options, cost: &simulated::Cost) -> Vec<Figure> {
    let baseline = heartbeat_bytes(cost.agents);
    let name = |what: &str| format!("{what}, {} members (simulated clock)", cost.members);
    let figure = |what: &str, unit, ours| figure(options, name(what), unit, ours);
    let mut figures = vec![
        figure("bytes a second, quiet", "B/s", cost.idle_bytes).with_baseline(baseline),
        figure(
            "bytes a second, 10 s from a zone's failure",
            "B/s",
            cost.dark_bytes,
        )
        .with_baseline(baseline),
        figure(
            "bytes in the worst second of a zone's failure",
            "B/s",
            cost.dark_peak_bytes,
        )
        .with_baseline(baseline),
        figure(
            "processor of the core, quiet",
            "% of a core",
            cost.idle_processor_percent,
        ),
        figure(
            "processor of the core, 10 s from a zone's failure",
            "% of a core",
            cost.dark_processor_percent,
        ),
        figure("memory of the core", "MB", cost.resident_bytes / 1e6),
        figure(
            "time until all balancers met after a common start",
            "ms",
            cost.meet_ms,
        ),
    ];
    if let Some(stop_ms) = cost.stop_ms {
        let what = "time until no balancer uses any agent of the failed zone";
        figures.push(figure(what, "ms", stop_ms));
    }
    figures
}

/// Returns what the slopes give at the two-year size.
fn worked_out(
    options: &Options,
    costs: &[simulated::Cost],
    datagram: datagrams::Cost,
) -> Vec<Figure> {
    let at_size = |value: fn(&simulated::Cost) -> f64| extrapolate(costs, value);
    let baseline = heartbeat_bytes(count_to_f64(AGENTS));
    let name = |what: &str| format!("{what}, worked out to 620 balancers and 5,800 endpoints");
    let figure = |what: &str, unit, ours| figure(options, name(what), unit, ours);
    let idle_bytes = at_size(|it| it.idle_bytes);
    let dark_bytes = at_size(|it| it.dark_bytes);
    let sockets = |bytes: f64| bytes * datagram.processor_percent_per_byte;
    let idle_processor = at_size(|it| it.idle_processor_percent) + sockets(idle_bytes);
    let dark_processor = at_size(|it| it.dark_processor_percent) + sockets(dark_bytes);
    let memory = at_size(|it| it.resident_bytes) / 1e6;
    vec![
        figure("bytes a second, quiet", "B/s", idle_bytes)
            .with_baseline(baseline)
            .with_target(BYTES_TARGET),
        figure(
            "bytes a second, 10 s from a zone's failure",
            "B/s",
            dark_bytes,
        )
        .with_baseline(baseline)
        .with_target(BYTES_TARGET),
        figure("processor, quiet", "% of a core", idle_processor)
            .with_target(PROCESSOR_TARGET_PERCENT),
        figure(
            "processor, 10 s from a zone's failure",
            "% of a core",
            dark_processor,
        )
        .with_target(PROCESSOR_TARGET_PERCENT),
        figure("memory of liveness", "MB", memory).with_target(MEMORY_TARGET_MB),
    ]
}

/// Fits a line over the number of members and returns its value at the two-year size.
fn extrapolate(costs: &[simulated::Cost], value: fn(&simulated::Cost) -> f64) -> f64 {
    let mean = |of: &dyn Fn(&simulated::Cost) -> f64| {
        costs.iter().map(of).sum::<f64>() / count_to_f64(costs.len())
    };
    let (x_mean, y_mean) = (mean(&|it| it.members), mean(&value));
    let covariance = mean(&|it| (it.members - x_mean) * (value(it) - y_mean));
    let variance = mean(&|it| (it.members - x_mean).powi(2));
    y_mean + covariance / variance * (count_to_f64(BALANCERS + AGENTS) - x_mean)
}

fn heartbeat_bytes(agents: f64) -> f64 {
    agents * HEARTBEATS_PER_SECOND * HEARTBEAT_BYTES
}

fn figure(options: &Options, metric: String, unit: &'static str, ours: f64) -> Figure {
    Figure {
        bench: "control",
        metric,
        unit,
        ours,
        baseline: None,
        target: None,
        met: None,
        seed: options.seed,
    }
}
