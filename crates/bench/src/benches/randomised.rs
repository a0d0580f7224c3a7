//! Bench `randomised`: long randomised simulations of the agents' request decisions, and deeper
//! exhaustive searches of the at-most-once model.

use std::time::{Duration, Instant};

use spec::{
    at_most_once::{Bounds, Mutation, search},
    simulation::{Faults, Report, run_simulation},
};
use units::Millis;

use super::BenchEntry;
use crate::{
    error::Result,
    figure::{Figure, Options},
};

/// Simulated time of each randomised simulation.
const RUN_MS: Millis = Millis::new(120_000);

/// Bounds of the model searches that together take a few seconds.
const SEARCHES: [Bounds; 2] = [
    Bounds {
        hand_offs: 1,
        ..search_bounds(3, 2, 1, 1)
    },
    search_bounds(3, 2, 2, 0),
];

/// Bounds of the deep model searches, which take tens of seconds.
const DEEP_SEARCHES: [Bounds; 2] = [search_bounds(2, 3, 3, 0), search_bounds(3, 3, 1, 2)];

/// Shortest run, in seconds, that leaves time for the deep model searches.
const DEEP_SEARCH_SECONDS_MIN: u64 = 40;

/// Registry entry of the bench `randomised`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "randomised",
    about: "random runs and searches of the request decisions",
    run,
};

/// Runs the model searches, then simulates consecutive seeds until the time is over or a seed
/// violates an invariant.
#[expect(clippy::unnecessary_wraps, reason = "every bench has this signature")]
fn run(options: &Options) -> Result<Vec<Figure>> {
    let began = Instant::now();
    let end = began + Duration::from_secs(options.seconds);
    let mut search_totals = SearchTotals::default();
    for bounds in SEARCHES {
        search_totals.run_search(bounds);
    }
    if options.seconds >= DEEP_SEARCH_SECONDS_MIN {
        for bounds in DEEP_SEARCHES {
            search_totals.run_search(bounds);
        }
    }
    let mut total = Report::default();
    let mut runs = 0;
    let mut violations = 0;
    let mut seed = options.seed;
    loop {
        match run_simulation(seed, RUN_MS, Faults::all()) {
            Ok(report) => add_report(&mut total, &report),
            Err(violation) => {
                violations += 1;
                eprintln!("randomised: seed {seed}: {violation:?}");
            }
        }
        runs += 1;
        seed = seed.wrapping_add(1);
        if violations > 0 || Instant::now() >= end {
            break;
        }
    }
    eprintln!(
        "randomised: {runs} runs from seed {}: {total:?}",
        options.seed
    );
    let figure = |metric: &str, unit, ours, target| new_figure(options, metric, unit, ours, target);
    Ok(vec![
        figure(
            "promises broken in random runs",
            "runs",
            f64::from(violations),
            Some(0.0),
        ),
        figure(
            "promises broken in searches",
            "searches",
            search_totals.violations,
            Some(0.0),
        ),
        figure("states searched", "states", search_totals.states, None),
        figure("keys in random runs", "keys", to_f64(total.keys), None),
        figure(
            "outcome-unknown of answers",
            "%",
            unknown_percent(&total),
            None,
        ),
    ])
}

/// Totals over all searches of the model.
#[derive(Debug, Default)]
struct SearchTotals {
    states: f64,
    violations: f64,
}

impl SearchTotals {
    fn run_search(&mut self, bounds: Bounds) {
        let found = search(bounds, Mutation::None);
        eprintln!("randomised: search with {bounds:?}: {found:?}");
        self.states += to_f64(found.states);
        self.violations += f64::from(u8::from(found.violation.is_some()));
    }
}

fn add_report(total: &mut Report, report: &Report) {
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
    let outcomes = total.answered + total.not_run + total.unknown;
    100.0 * to_f64(total.unknown) / to_f64(outcomes.max(1))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts stay far below the mantissa's range"
)]
const fn to_f64(raw: u64) -> f64 {
    raw as f64
}

const fn search_bounds(agents: u8, attempts: u8, faults: u8, adoptions: u8) -> Bounds {
    Bounds {
        agents,
        attempts,
        faults,
        hand_offs: 0,
        adoptions,
    }
}

fn new_figure(
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
