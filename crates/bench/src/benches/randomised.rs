//! Long randomised runs of the request decisions, and a deeper exhaustive search.

use std::time::{Duration, Instant};

use spec::{
    at_most_once::{Bounds, Mutation, search},
    simulation::{Faults, Report, run as simulate},
};
use units::Millis;

use super::Entry;
use crate::{
    error::Result,
    figure::{Figure, Options},
};

/// Simulated time of each run.
const RUN_MS: Millis = Millis::new(120_000);

/// Searches that take a few seconds together.
const SEARCHES: [Bounds; 2] = [
    Bounds {
        hand_offs: 1,
        ..limits(3, 2, 1, 1)
    },
    limits(3, 2, 2, 0),
];

/// Searches that take many seconds, and the length of a run that leaves time for them.
const DEEP_SEARCHES: [Bounds; 2] = [limits(2, 3, 3, 0), limits(3, 3, 1, 2)];
const DEEP_SECONDS_MIN: u64 = 40;

/// The bench.
pub(super) const BENCH: Entry = Entry {
    name: "randomised",
    about: "random runs and searches of the request decisions",
    run,
};

/// Runs the searches, then seeds from the given one on until the time is over.
#[expect(clippy::unnecessary_wraps, reason = "every bench has this signature")]
fn run(options: &Options) -> Result<Vec<Figure>> {
    let began = Instant::now();
    let end = began + Duration::from_secs(options.seconds);
    let mut searched = Searched::default();
    for limits in SEARCHES {
        searched.add(limits);
    }
    if options.seconds >= DEEP_SECONDS_MIN {
        for limits in DEEP_SEARCHES {
            searched.add(limits);
        }
    }
    let mut total = Report::default();
    let mut runs = 0;
    let mut broken = 0;
    let mut seed = options.seed;
    loop {
        match simulate(seed, RUN_MS, Faults::all()) {
            Ok(report) => add(&mut total, &report),
            Err(violation) => {
                broken += 1;
                eprintln!("seed {seed}: {violation:?}");
            }
        }
        runs += 1;
        seed = seed.wrapping_add(1);
        if broken > 0 || Instant::now() >= end {
            break;
        }
    }
    eprintln!("{runs} runs from seed {}: {total:?}", options.seed);
    let figure = |metric: &str, unit, ours, target| figure(options, metric, unit, ours, target);
    Ok(vec![
        figure(
            "promises broken in random runs",
            "runs",
            f64::from(broken),
            Some(0.0),
        ),
        figure(
            "promises broken in searches",
            "searches",
            searched.broken,
            Some(0.0),
        ),
        figure("states searched", "states", searched.states, None),
        figure("keys in random runs", "keys", count(total.keys), None),
        figure(
            "outcome-unknown of answers",
            "%",
            unknown_percent(&total),
            None,
        ),
    ])
}

/// What the searches found.
#[derive(Debug, Default)]
struct Searched {
    states: f64,
    broken: f64,
}

impl Searched {
    fn add(&mut self, limits: Bounds) {
        let found = search(limits, Mutation::None);
        eprintln!("{limits:?}: {found:?}");
        self.states += count(found.states);
        self.broken += f64::from(u8::from(found.violation.is_some()));
    }
}

fn add(total: &mut Report, report: &Report) {
    total.keys += report.keys;
    total.attempts += report.attempts;
    total.runs += report.runs;
    total.answered += report.answered;
    total.not_run += report.not_run;
    total.unknown += report.unknown;
    total.offered += report.offered;
    total.messages += report.messages;
    total.disruptions += report.disruptions;
}

fn unknown_percent(total: &Report) -> f64 {
    let told = total.answered + total.not_run + total.unknown;
    100.0 * count(total.unknown) / count(told.max(1))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts stay far below the mantissa's range"
)]
const fn count(raw: u64) -> f64 {
    raw as f64
}

const fn limits(agents: u8, attempts: u8, faults: u8, adoptions: u8) -> Bounds {
    Bounds {
        agents,
        attempts,
        faults,
        hand_offs: 0,
        adoptions,
    }
}

fn figure(
    options: &Options,
    metric: &str,
    unit: &'static str,
    ours: f64,
    target: Option<f64>,
) -> Figure {
    Figure {
        bench: "randomised",
        metric: metric.to_owned(),
        unit,
        ours,
        baseline: None,
        target,
        met: target.map(|it| ours <= it),
        seed: options.seed,
    }
}
