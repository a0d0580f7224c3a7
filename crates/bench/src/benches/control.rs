//! Bench `control`: cost of liveness detection for a balancer, idle and during a zone outage.
//!
//! The membership core runs on a simulated clock at an eighth, a quarter and a half of the design
//! size, which is the fleet size expected in two years. Whole controllers run in this process over
//! loopback datagrams at small sizes. A linear fit over the number of members extrapolates the cost
//! to the design size. The baseline is a heartbeat every 500 ms from every balancer to every agent.

mod datagrams;
mod simulated;

use super::BenchEntry;
use crate::{
    error::Result,
    figure::{Figure, Options, count_to_f64},
};

/// Number of balancers in a fleet of the design size.
const BALANCERS: usize = 620;

/// Number of agents in a fleet of the design size, one for each endpoint.
const AGENTS: usize = 5_800;

/// Divisors of the design size that give the simulated fleet sizes.
const SIZE_DIVISORS: [usize; 3] = [8, 4, 2];

/// Shortest run, in seconds, in which a fleet of the full design size is also simulated.
const FULL_SIZE_SECONDS_MIN: u64 = 60;

const BYTES_PER_SECOND_TARGET: f64 = 18_000.0;
const PROCESSOR_TARGET_PERCENT: f64 = 1.1;
const MEMORY_TARGET_MB: f64 = 256.0;

/// Bytes of the baseline's heartbeat and its answer, with IP and UDP headers.
const HEARTBEAT_BYTES: f64 = 2.0 * 36.0;
const HEARTBEATS_PER_SECOND: f64 = 2.0;

/// Registry entry of the bench `control`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "control",
    about: "bytes, processor time and memory of liveness detection, idle and during a zone outage",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    let mut costs = Vec::new();
    for divisor in SIZE_DIVISORS {
        costs.push(simulate_fleet(divisor, options));
    }
    let full_size = (options.seconds >= FULL_SIZE_SECONDS_MIN).then(|| simulate_fleet(1, options));
    let datagram_cost = datagrams::measure_socket_cost(options)?;
    let mut figures = Vec::new();
    for cost in costs.iter().chain(&full_size) {
        figures.extend(fleet_size_figures(options, cost));
    }
    figures.extend(extrapolated_figures(options, &costs, datagram_cost));
    Ok(figures)
}

fn simulate_fleet(divisor: usize, options: &Options) -> simulated::Cost {
    let (balancers, agents) = (BALANCERS / divisor, AGENTS / divisor);
    eprintln!("control: simulating {balancers} balancers and {agents} agents");
    simulated::measure_liveness_cost(balancers, agents, options.seed)
}

/// Returns the bench figures of one simulated fleet size, beside the heartbeat baseline.
fn fleet_size_figures(options: &Options, cost: &simulated::Cost) -> Vec<Figure> {
    let baseline = heartbeat_bytes_per_second(cost.agents);
    let name = |what: &str| format!("{what}, {} members (simulated clock)", cost.members);
    let figure = |what: &str, unit, ours| new_figure(options, name(what), unit, ours);
    let mut figures = vec![
        figure("bytes a second, quiet", "B/s", cost.idle_bytes_per_second).with_baseline(baseline),
        figure(
            "bytes a second, 10 s from a zone's failure",
            "B/s",
            cost.outage_bytes_per_second,
        )
        .with_baseline(baseline),
        figure(
            "bytes in the worst second of a zone's failure",
            "B/s",
            cost.outage_peak_bytes_per_second,
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
            cost.outage_processor_percent,
        ),
        figure("memory of the core", "MB", cost.resident_bytes / 1e6),
        figure(
            "time until all balancers met after a common start",
            "ms",
            cost.convergence_ms,
        ),
    ];
    if let Some(removal_ms) = cost.removal_ms {
        let what = "time until no balancer uses any agent of the failed zone";
        figures.push(figure(what, "ms", removal_ms));
    }
    figures
}

/// Extrapolates the costs of liveness detection to the design size and returns them as bench
/// figures.
fn extrapolated_figures(
    options: &Options,
    costs: &[simulated::Cost],
    datagram_cost: datagrams::Cost,
) -> Vec<Figure> {
    let at_size = |value: fn(&simulated::Cost) -> f64| extrapolate_to_design_size(costs, value);
    let baseline = heartbeat_bytes_per_second(count_to_f64(AGENTS));
    let name = |what: &str| format!("{what}, worked out to 620 balancers and 5,800 endpoints");
    let figure = |what: &str, unit, ours| new_figure(options, name(what), unit, ours);
    let idle_bytes_per_second = at_size(|it| it.idle_bytes_per_second);
    let outage_bytes_per_second = at_size(|it| it.outage_bytes_per_second);
    let socket_processor_percent = |bytes: f64| bytes * datagram_cost.processor_percent_per_byte;
    let idle_processor =
        at_size(|it| it.idle_processor_percent) + socket_processor_percent(idle_bytes_per_second);
    let outage_processor = at_size(|it| it.outage_processor_percent)
        + socket_processor_percent(outage_bytes_per_second);
    let memory = at_size(|it| it.resident_bytes) / 1e6;
    vec![
        figure("bytes a second, quiet", "B/s", idle_bytes_per_second)
            .with_baseline(baseline)
            .with_target(BYTES_PER_SECOND_TARGET),
        figure(
            "bytes a second, 10 s from a zone's failure",
            "B/s",
            outage_bytes_per_second,
        )
        .with_baseline(baseline)
        .with_target(BYTES_PER_SECOND_TARGET),
        figure("processor, quiet", "% of a core", idle_processor)
            .with_target(PROCESSOR_TARGET_PERCENT),
        figure(
            "processor, 10 s from a zone's failure",
            "% of a core",
            outage_processor,
        )
        .with_target(PROCESSOR_TARGET_PERCENT),
        figure("memory of liveness", "MB", memory).with_target(MEMORY_TARGET_MB),
    ]
}

/// Fits a line to a cost over the number of members and returns the line's value at the design
/// size.
fn extrapolate_to_design_size(
    costs: &[simulated::Cost],
    value: fn(&simulated::Cost) -> f64,
) -> f64 {
    let mean = |of: &dyn Fn(&simulated::Cost) -> f64| {
        costs.iter().map(of).sum::<f64>() / count_to_f64(costs.len())
    };
    let (x_mean, y_mean) = (mean(&|it| it.members), mean(&value));
    let covariance = mean(&|it| (it.members - x_mean) * (value(it) - y_mean));
    let variance = mean(&|it| (it.members - x_mean).powi(2));
    y_mean + covariance / variance * (count_to_f64(BALANCERS + AGENTS) - x_mean)
}

fn heartbeat_bytes_per_second(agents: f64) -> f64 {
    agents * HEARTBEATS_PER_SECOND * HEARTBEAT_BYTES
}

fn new_figure(options: &Options, metric: String, unit: &'static str, ours: f64) -> Figure {
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
