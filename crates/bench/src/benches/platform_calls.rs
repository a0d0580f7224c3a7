//! Calls at the platform's service by the size of the fleet.
//!
//! Balancers are `lovagehall` processes; the baseline's know no peers.

use std::{net::SocketAddr, time::Duration};

use stand_ins::platform::Platform;

use super::Entry;
use super::publisher::Publisher;
use crate::{
    balancers::{BalancerFleet, BalancerPlan, BundleSpread},
    error::{BenchError, Result},
    figure::{Figure, Options, block_on, count_to_f64},
};

const NAME: &str = "platform-calls";

/// Sizes of the fleets measured.
const SIZES: [usize; 3] = [8, 32, 64];

/// Size of the fleet worked out.
const FLEET: f64 = 620.0;

/// Changes of the worked-out fleet a second.
const CHANGES_PER_SECOND: f64 = 2_300.0 / 86_400.0;

/// Calls a second that the service allows the fleet.
const TARGET_PER_SECOND: f64 = 500.0;

/// Changes published during a run, far enough apart for every watch to wait again.
const CHANGES: u32 = 4;

/// Services whose bundles change in turn.
const SERVICES: u16 = 2;

/// A fleet and the service it reads.
struct Measured {
    platform: Platform,
    publisher: Publisher,
    /// Its processes end when this is dropped.
    _fleet: BalancerFleet,
    size: usize,
}

/// Calls of one fleet during the run.
#[derive(Debug, Clone, Copy)]
struct Calls {
    size: usize,
    per_second: f64,
    per_change_and_process: f64,
}

/// This bench in the list.
pub(super) const BENCH: Entry = Entry {
    name: "platform-calls",
    about: "calls at the platform's service by the size of the fleet",
    run,
};

/// Runs the bench.
fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(measure(options))
}

async fn measure(options: &Options) -> Result<Vec<Figure>> {
    let interval = Duration::from_millis(options.seconds * 1_000 / u64::from(CHANGES));
    let mut ours = Vec::new();
    for (group, size) in (21..).zip(SIZES) {
        eprintln!("platform-calls: starting {size} balancers");
        ours.push(Measured::start(size, group, BundleSpread::Peers).await?);
    }
    let middle = SIZES[SIZES.len() / 2];
    let mut baseline = Measured::start(middle, 31, BundleSpread::PlatformOnly).await?;
    eprintln!("platform-calls: {CHANGES} changes, one every {interval:?}");
    let before: Vec<usize> = ours.iter().map(Measured::total).collect();
    let baseline_before = baseline.total();
    for turn in 0..CHANGES {
        for it in ours.iter_mut().chain([&mut baseline]) {
            it.publisher.publish(turn as usize, &it.platform)?;
        }
        tokio::time::sleep(interval).await;
    }
    let seconds = interval.as_secs_f64() * f64::from(CHANGES);
    let calls: Vec<Calls> = ours
        .iter()
        .zip(before)
        .map(|(it, before)| it.calls(before, seconds))
        .collect();
    let baseline = baseline.calls(baseline_before, seconds);
    Ok(figures(&calls, baseline, options))
}

impl Measured {
    async fn start(size: usize, group: u8, spread: BundleSpread) -> Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any)
            .await
            .map_err(|err| BenchError::setup("starting the platform", &err))?;
        let mut publisher = Publisher::new(SERVICES);
        for turn in 0..usize::from(SERVICES) {
            publisher.publish(turn, &platform)?;
        }
        let plan = BalancerPlan {
            count: size,
            group,
            platform: platform.address(),
            operator: publisher.operator().public(),
            spread,
        };
        Ok(Self {
            _fleet: BalancerFleet::start(plan).await?,
            platform,
            publisher,
            size,
        })
    }

    fn total(&self) -> usize {
        usize::try_from(self.platform.call_counts().total()).unwrap_or(usize::MAX)
    }

    fn calls(&self, before: usize, seconds: f64) -> Calls {
        let made = count_to_f64(self.total() - before);
        let size = count_to_f64(self.size);
        Calls {
            size: self.size,
            per_second: made / seconds,
            per_change_and_process: made / f64::from(CHANGES) / size,
        }
    }
}

fn figures(calls: &[Calls], baseline: Calls, options: &Options) -> Vec<Figure> {
    let figure = |metric: String, unit, ours, baseline, target: Option<f64>| Figure {
        bench: NAME,
        metric,
        unit,
        ours,
        baseline,
        target,
        met: target.map(|it| ours < it),
        seed: options.seed,
    };
    let mut figures = Vec::new();
    for it in calls {
        let baseline = (it.size == baseline.size).then_some(baseline);
        figures.push(figure(
            format!("calls, {} balancers, {CHANGES} changes in the run", it.size),
            "1/s",
            it.per_second,
            baseline.map(|it| it.per_second),
            None,
        ));
        figures.push(figure(
            format!("calls of a change, {} balancers", it.size),
            "calls/balancer",
            it.per_change_and_process,
            baseline.map(|it| it.per_change_and_process),
            None,
        ));
    }
    let (smallest, largest) = (calls[0], calls[calls.len() - 1]);
    let growth = largest.per_change_and_process / smallest.per_change_and_process;
    figures.push(figure(
        "growth of a balancer's calls from 8 to 64 balancers (under 1 is sub-linear)".to_owned(),
        "ratio",
        growth,
        None,
        Some(1.0),
    ));
    // Also counts the calls without a change, so the true figure is lower.
    let at_fleet = |it: Calls| it.per_change_and_process * FLEET * CHANGES_PER_SECOND;
    figures.push(figure(
        "calls for changes at 620 balancers and 2,300 changes a day, worked out".to_owned(),
        "1/s",
        at_fleet(largest),
        Some(at_fleet(baseline)),
        Some(TARGET_PER_SECOND),
    ));
    figures
}
