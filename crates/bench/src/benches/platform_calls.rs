//! Bench `platform-calls`: rate of the balancers' calls to the platform by the number of balancers.
//!
//! Balancers are `lovagehall` processes. The balancers of the baseline have no peers.

use std::{net::SocketAddr, time::Duration};

use stand_ins::platform::Platform;

use super::BenchEntry;
use super::publisher::Publisher;
use crate::{
    balancers::{BalancerFleet, BalancerPlan, BundleSpread},
    error::{BenchError, Result},
    figure::{Figure, Options, block_on, count_to_f64},
};

const NAME: &str = "platform-calls";

/// Numbers of balancers in the measured fleets.
const FLEET_SIZES: [usize; 3] = [8, 32, 64];

/// Number of balancers to which the rates of calls are extrapolated.
const FLEET_SIZE_PLANNED: f64 = 620.0;

/// Bundle changes per second in the extrapolated fleet, which has 2,300 a day.
const CHANGES_PER_SECOND: f64 = 2_300.0 / 86_400.0;

/// Limit of the platform for the calls per second of the whole fleet.
const CALLS_PER_SECOND_TARGET: f64 = 500.0;

/// Number of bundle changes published during a run. They are so far apart that every watch call
/// waits again before the next change.
const CHANGES: u32 = 4;

/// Number of services whose bundles are published in rotation.
const SERVICES: u16 = 2;

/// A fleet of balancers and the platform that it reads.
struct MeasuredFleet {
    platform: Platform,
    publisher: Publisher,
    /// The balancers, whose processes end when this value is dropped.
    _fleet: BalancerFleet,
    size: usize,
}

/// Rates of the platform calls that one fleet made during the run.
#[derive(Debug, Clone, Copy)]
struct CallRates {
    size: usize,
    per_second: f64,
    per_change_and_balancer: f64,
}

/// Registry entry of the bench `platform-calls`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "platform-calls",
    about: "calls to the platform by the size of the fleet",
    run,
};

fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(measure_platform_calls(options))
}

async fn measure_platform_calls(options: &Options) -> Result<Vec<Figure>> {
    let interval = Duration::from_millis(options.seconds * 1_000 / u64::from(CHANGES));
    let mut ours = Vec::new();
    for (group, size) in (21..).zip(FLEET_SIZES) {
        eprintln!("platform-calls: starting {size} balancers");
        ours.push(MeasuredFleet::start(size, group, BundleSpread::Peers).await?);
    }
    let middle = FLEET_SIZES[FLEET_SIZES.len() / 2];
    let mut baseline = MeasuredFleet::start(middle, 31, BundleSpread::PlatformOnly).await?;
    eprintln!("platform-calls: publishing {CHANGES} changes, one every {interval:?}");
    let before: Vec<usize> = ours.iter().map(MeasuredFleet::total_calls).collect();
    let baseline_before = baseline.total_calls();
    for turn in 0..CHANGES {
        for it in ours.iter_mut().chain([&mut baseline]) {
            it.publisher
                .publish_next_version(turn as usize, &it.platform)?;
        }
        tokio::time::sleep(interval).await;
    }
    let seconds = interval.as_secs_f64() * f64::from(CHANGES);
    let calls: Vec<CallRates> = ours
        .iter()
        .zip(before)
        .map(|(it, before)| it.call_rates_since(before, seconds))
        .collect();
    let baseline = baseline.call_rates_since(baseline_before, seconds);
    Ok(platform_call_figures(&calls, baseline, options))
}

impl MeasuredFleet {
    async fn start(size: usize, group: u8, spread: BundleSpread) -> Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any)
            .await
            .map_err(|err| BenchError::setup("starting the platform", &err))?;
        let mut publisher = Publisher::new(SERVICES);
        for turn in 0..usize::from(SERVICES) {
            publisher.publish_next_version(turn, &platform)?;
        }
        let plan = BalancerPlan {
            count: size,
            group,
            platform: platform.address(),
            operator: publisher.operator_key().public(),
            spread,
        };
        Ok(Self {
            _fleet: BalancerFleet::start(plan).await?,
            platform,
            publisher,
            size,
        })
    }

    fn total_calls(&self) -> usize {
        usize::try_from(self.platform.call_counts().total()).unwrap_or(usize::MAX)
    }

    fn call_rates_since(&self, before: usize, seconds: f64) -> CallRates {
        let made = count_to_f64(self.total_calls() - before);
        let size = count_to_f64(self.size);
        CallRates {
            size: self.size,
            per_second: made / seconds,
            per_change_and_balancer: made / f64::from(CHANGES) / size,
        }
    }
}

fn platform_call_figures(
    calls: &[CallRates],
    baseline: CallRates,
    options: &Options,
) -> Vec<Figure> {
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
            it.per_change_and_balancer,
            baseline.map(|it| it.per_change_and_balancer),
            None,
        ));
    }
    let (smallest, largest) = (calls[0], calls[calls.len() - 1]);
    let growth = largest.per_change_and_balancer / smallest.per_change_and_balancer;
    figures.push(figure(
        "growth of a balancer's calls from 8 to 64 balancers (under 1 is sub-linear)".to_owned(),
        "ratio",
        growth,
        None,
        Some(1.0),
    ));
    // The extrapolation includes calls that no bundle change caused, so the actual rate is lower.
    let at_planned_size =
        |it: CallRates| it.per_change_and_balancer * FLEET_SIZE_PLANNED * CHANGES_PER_SECOND;
    figures.push(figure(
        "calls for changes at 620 balancers and 2,300 changes a day, worked out".to_owned(),
        "1/s",
        at_planned_size(largest),
        Some(at_planned_size(baseline)),
        Some(CALLS_PER_SECOND_TARGET),
    ));
    figures
}
