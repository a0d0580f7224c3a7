//! Bench `datagrams`: datagrams routed per second of processor time, compared with a plain relay,
//! and the cost of the routing decision alone.

mod decision;
mod load;
mod relay;
mod remap;
mod tables;

use std::time::Duration;

use self::{
    load::Load,
    relay::{Relay, Sample},
    tables::{Fixture, TableSize},
};
use super::BenchEntry;
use crate::{
    error::Result,
    figure::{Figure, Options},
};

pub(crate) const NAME: &str = "datagrams";

/// Numbers of datagrams that a caller sends in one burst. The kernel may coalesce a burst.
const BURST_SIZES: [usize; 3] = [1, 8, 32];

/// Number of measuring rounds for each burst size. Both relays run in every round, so that noise
/// affects both.
const ROUNDS: u32 = 9;

/// Target for the ratio of the balancer's datagram rate to the plain relay's rate.
const RATE_SHARE_TARGET: f64 = 0.85;

/// Limit for the ratio of a routing decision's cost in the largest fleet to its cost in the
/// smallest.
const GROWTH_TARGET: f64 = 2.0;

/// Size of a small routing table: one service of the current fleet size.
const SMALL: TableSize = TableSize {
    services: 1,
    endpoints: 10,
};

/// Size of the routing table for a fleet of the design size.
const LARGE: TableSize = TableSize {
    services: 820,
    endpoints: 5_800,
};

/// Size of a routing table with all endpoints of the design size behind one service.
const SINGLE_SERVICE: TableSize = TableSize {
    services: 1,
    endpoints: 5_800,
};

/// Registry entry of the bench `datagrams`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "datagrams",
    about: "datagrams routed per second of processor time, and the cost of a routing decision",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    let mut figures = decision_figures(options);
    let samples = ROUNDS * 2 * u32::try_from(BURST_SIZES.len()).unwrap_or(u32::MAX);
    let sample_time = Duration::from_secs(options.seconds) / samples;
    for burst in BURST_SIZES {
        figures.extend(rate_figures(options, burst, sample_time)?);
    }
    Ok(figures)
}

fn decision_figures(options: &Options) -> Vec<Figure> {
    let moved = remap::measure_moved_shares(options.seed);
    let metric = "keys that move when one of 7 endpoints leaves".to_owned();
    let (ours, modulo) = (moved.rendezvous, Some(moved.modulo));
    let mut figures = vec![new_figure(options, metric, "share", ours, modulo, None)];
    let small = decision::measure_decision_cost(SMALL, options.seed);
    for (name, size) in [("fleet", LARGE), ("one service", SINGLE_SERVICE)] {
        eprintln!("datagrams: measuring routing decisions with {size}");
        let large = decision::measure_decision_cost(size, options.seed);
        for (kind, ours, base) in [
            ("established", large.established_ns, small.established_ns),
            ("opening", large.opening_ns, small.opening_ns),
        ] {
            let metric = format!("decision, {kind}, {size}");
            figures.push(new_figure(options, metric, "ns", ours, Some(base), None));
            let metric = format!("growth of decision, {kind}, {name} of 5800 endpoints");
            let growth = ours / base;
            let mut growth_figure = new_figure(options, metric, "ratio", growth, Some(1.0), None);
            growth_figure.target = Some(GROWTH_TARGET);
            growth_figure.met = Some(growth <= GROWTH_TARGET);
            figures.push(growth_figure);
        }
    }
    figures
}

fn rate_figures(options: &Options, burst: usize, sample_time: Duration) -> Result<Vec<Figure>> {
    let fixture = Fixture::new(LARGE);
    let (mut ours, mut plain, mut shares) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        eprintln!(
            "datagrams: measuring both relays, bursts of {burst}, round {}",
            round + 1
        );
        let seed = options.seed ^ u64::from(round);
        let routed = measure_relay_rate(&fixture, seed, Relay::Balancer, burst, sample_time)?
            .datagrams_per_cpu_second();
        let copied = measure_relay_rate(&fixture, seed, Relay::Plain, burst, sample_time)?
            .datagrams_per_cpu_second();
        shares.push(routed / copied);
        ours.push(routed);
        plain.push(copied);
    }
    let (ours, plain, share) = (median(ours), median(plain), median(shares));
    let rate = format!("routed a core second, bursts of {burst}");
    let mut share_figure = new_figure(
        options,
        format!("share of the plain relay's rate, bursts of {burst}"),
        "ratio",
        share,
        Some(1.0),
        Some(RATE_SHARE_TARGET),
    );
    share_figure.met = Some(share >= RATE_SHARE_TARGET);
    let rates = new_figure(options, rate, "datagrams/s", ours, Some(plain), None);
    Ok(vec![rates, share_figure])
}

fn measure_relay_rate(
    fixture: &Fixture,
    seed: u64,
    relay: Relay,
    burst: usize,
    sample_time: Duration,
) -> Result<Sample> {
    let running = relay.start(fixture)?;
    let load = Load::start(fixture, seed, burst)?;
    std::thread::sleep(sample_time);
    let sample = running.stop()?;
    load.stop();
    Ok(sample)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn new_figure(
    options: &Options,
    metric: String,
    unit: &'static str,
    ours: f64,
    baseline: Option<f64>,
    target: Option<f64>,
) -> Figure {
    Figure {
        bench: NAME,
        metric,
        unit,
        ours,
        baseline,
        target,
        met: None,
        seed: options.seed,
    }
}
