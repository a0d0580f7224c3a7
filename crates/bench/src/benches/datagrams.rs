//! Datagrams routed a second and core, beside a plain relay, and the cost of the decision alone.

mod decision;
mod load;
mod relay;
mod remap;
mod tables;

use std::time::Duration;

use self::{
    load::Load,
    relay::{Relay, Sample},
    tables::{Fixture, Size},
};
use super::Entry;
use crate::{
    error::Result,
    figure::{Figure, Options},
};

pub(crate) const NAME: &str = "datagrams";

/// Datagrams that a caller sends at once, as the kernel coalesces them.
const BURSTS: [usize; 3] = [1, 8, 32];

/// Rounds of each burst; the relays take turns in each, so that noise hits both.
const ROUNDS: u32 = 9;

/// Share of the plain relay's rate that is asked for.
const RATE_SHARE_TARGET: f64 = 0.85;

/// Growth of the decision's cost that is allowed from the smallest to the largest fleet.
const GROWTH_TARGET: f64 = 2.0;

/// Today's size: one service.
const SMALL: Size = Size {
    services: 1,
    endpoints: 10,
};

/// The size to design for.
const LARGE: Size = Size {
    services: 820,
    endpoints: 5_800,
};

/// All endpoints of the size to design for behind one service.
const LOPSIDED: Size = Size {
    services: 1,
    endpoints: 5_800,
};

/// This bench in the list.
pub(super) const BENCH: Entry = Entry {
    name: "datagrams",
    about: "datagrams routed a second and core, and the cost of the decision alone",
    run,
};

/// Runs the bench.
fn run(options: &Options) -> Result<Vec<Figure>> {
    let mut figures = decision_figures(options);
    let slices = ROUNDS * 2 * u32::try_from(BURSTS.len()).unwrap_or(u32::MAX);
    let slice = Duration::from_secs(options.seconds) / slices;
    for burst in BURSTS {
        figures.extend(rate_figures(options, burst, slice)?);
    }
    Ok(figures)
}

fn decision_figures(options: &Options) -> Vec<Figure> {
    let moved = remap::measure(options.seed);
    let metric = "keys that move when one of 7 endpoints leaves".to_owned();
    let (ours, modulo) = (moved.rendezvous, Some(moved.modulo));
    let mut figures = vec![figure(options, metric, "share", ours, modulo, None)];
    let small = decision::measure(SMALL, options.seed);
    for (name, size) in [("fleet", LARGE), ("one service", LOPSIDED)] {
        eprintln!("datagrams: decisions with {size}");
        let large = decision::measure(size, options.seed);
        for (kind, ours, base) in [
            ("established", large.established_ns, small.established_ns),
            ("opening", large.opening_ns, small.opening_ns),
        ] {
            let metric = format!("decision, {kind}, {size}");
            figures.push(figure(options, metric, "ns", ours, Some(base), None));
            let metric = format!("growth of decision, {kind}, {name} of 5800 endpoints");
            let growth = ours / base;
            let mut grown = figure(options, metric, "ratio", growth, Some(1.0), None);
            grown.target = Some(GROWTH_TARGET);
            grown.met = Some(growth <= GROWTH_TARGET);
            figures.push(grown);
        }
    }
    figures
}

fn rate_figures(options: &Options, burst: usize, slice: Duration) -> Result<Vec<Figure>> {
    let fixture = Fixture::new(LARGE);
    let (mut ours, mut plain, mut shares) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        eprintln!("datagrams: bursts of {burst}, round {}", round + 1);
        let seed = options.seed ^ u64::from(round);
        let routed = sample(&fixture, seed, Relay::Balancer, burst, slice)?.rate();
        let copied = sample(&fixture, seed, Relay::Plain, burst, slice)?.rate();
        shares.push(routed / copied);
        ours.push(routed);
        plain.push(copied);
    }
    let (ours, plain, share) = (median(ours), median(plain), median(shares));
    let rate = format!("routed a core second, bursts of {burst}");
    let mut asked = figure(
        options,
        format!("share of the plain relay's rate, bursts of {burst}"),
        "ratio",
        share,
        Some(1.0),
        Some(RATE_SHARE_TARGET),
    );
    asked.met = Some(share >= RATE_SHARE_TARGET);
    let rates = figure(options, rate, "datagrams/s", ours, Some(plain), None);
    Ok(vec![rates, asked])
}

fn sample(
    fixture: &Fixture,
    seed: u64,
    relay: Relay,
    burst: usize,
    slice: Duration,
) -> Result<Sample> {
    let running = relay.start(fixture)?;
    let load = Load::start(fixture, seed, burst)?;
    std::thread::sleep(slice);
    let sample = running.stop()?;
    load.stop();
    Ok(sample)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn figure(
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
