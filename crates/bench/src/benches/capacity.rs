//! Bench `capacity`: memory and processor time of real balancers by the number of services that
//! they hold, and memory of a real agent by its number of open flows. The capacity page uses the
//! growth per service and per flow.

use std::{net::SocketAddr, time::Duration};

use stand_ins::platform::Platform;
use tokio::time::sleep;

use super::{BenchEntry, publisher::Publisher};
use crate::{
    balancers::{BalancerFleet, BalancerPlan, BundleSpread},
    error::{BenchError, Result},
    figure::{Figure, Options, block_on, count_to_f64},
    fleet::{Fleet, FleetPlan},
    load::OpenLoop,
    usage,
};

/// Registry entry of the bench `capacity`.
pub(super) const BENCH: BenchEntry = BenchEntry {
    name: "capacity",
    about: "memory and processor of balancers by services, of an agent by open flows",
    run,
};

/// Numbers of services that balancers hold in the measurements; the last one is the design size.
const SERVICES: [u16; 3] = [10, 100, 820];

/// Numbers of flows that one agent holds open at once in the measurements.
const FLOWS: [usize; 3] = [100, 500, 1_500];

/// Number of open flows of one agent at the design size.
const FLOWS_PLANNED: f64 = 900.0;

/// Limit for the memory that the control plane uses in one process, in megabytes.
const MEMORY_TARGET_MB: f64 = 256.0;

/// Limit for the processor time that the control plane uses in one process, in percent of a core.
const PROCESSOR_TARGET_PERCENT: f64 = 1.1;

/// Third byte of the first fleet's loopback addresses.
const FIRST_GROUP: u8 = 200;

/// Number of balancers in each measured fleet.
const BALANCERS: usize = 2;

/// Longest wait until the bundles of all services are in force on every balancer.
const BUNDLES_TIMEOUT: Duration = Duration::from_secs(30);

/// Wait before a measurement, until the first liveness probes and the cold-start ramps are over.
const SETTLE_TIME: Duration = Duration::from_secs(8);

const BYTES_PER_MB: f64 = 1_000_000.0;

fn run(options: &Options) -> Result<Vec<Figure>> {
    block_on(measure_capacity(options))
}

async fn measure_capacity(options: &Options) -> Result<Vec<Figure>> {
    let window = Duration::from_secs(options.seconds.div_ceil(3));
    let [few, some, all] = SERVICES;
    let usages = tokio::try_join!(
        measure_balancer_usage(few, FIRST_GROUP, window),
        measure_balancer_usage(some, FIRST_GROUP + 1, window),
        measure_balancer_usage(all, FIRST_GROUP + 2, window),
    )?;
    let mut figures = Vec::new();
    for (services, usage) in [(few, usages.0), (some, usages.1), (all, usages.2)] {
        let name = |what: &str| format!("balancer with {services} services: {what}");
        let memory = name("memory");
        figures.push(new_figure(
            options,
            memory,
            "MB",
            usage.memory_mb,
            MEMORY_TARGET_MB,
        ));
        let processor = name("processor, each watching all endpoints, none answering");
        let percent = usage.processor_percent;
        figures.push(new_figure(
            options,
            processor,
            "% core",
            percent,
            PROCESSOR_TARGET_PERCENT,
        ));
    }
    figures.extend(measure_agent_memory(options).await?);
    Ok(figures)
}

/// Memory and processor time that a balancer process used.
#[derive(Debug, Clone, Copy)]
struct Usage {
    memory_mb: f64,
    processor_percent: f64,
}

/// Measures the memory and processor time of two balancers that hold `services` services without
/// traffic. Returns the larger values.
async fn measure_balancer_usage(services: u16, group: u8, window: Duration) -> Result<Usage> {
    let address = SocketAddr::from(([127, 239, group, 1], 8_080));
    let platform = Platform::start(address)
        .await
        .map_err(|err| BenchError::setup("starting the platform", &err))?;
    let mut publisher = Publisher::new(services);
    let mut versions = Vec::new();
    for turn in 0..usize::from(services) {
        let it = publisher.publish_next_version(turn, &platform)?;
        versions.push((it.service, it.version));
    }
    let plan = BalancerPlan {
        count: BALANCERS,
        group,
        platform: platform.address(),
        operator: publisher.operator_key().public(),
        spread: BundleSpread::Peers,
    };
    let fleet = BalancerFleet::start(plan).await?;
    fleet
        .wait_until_versions_held(&versions, BUNDLES_TIMEOUT)
        .await;
    sleep(SETTLE_TIME).await;
    let ids = fleet.process_ids();
    let before: Vec<f64> = ids.iter().map(|&it| usage::cpu_seconds(it)).collect();
    sleep(window).await;
    let used = ids
        .iter()
        .zip(&before)
        .map(|(&it, before)| usage::cpu_seconds(it) - before);
    let seconds = used.fold(0.0, f64::max);
    let memory = ids
        .iter()
        .map(|&it| usage::resident_bytes(it))
        .fold(0.0, f64::max);
    Ok(Usage {
        memory_mb: memory / BYTES_PER_MB,
        processor_percent: seconds / window.as_secs_f64() * 100.0,
    })
}

/// Measures one agent's memory at each number of open flows and derives the memory per flow.
async fn measure_agent_memory(options: &Options) -> Result<Vec<Figure>> {
    let fleet = Fleet::start(FleetPlan::ledger(BALANCERS).with_endpoints(1), options.seed).await?;
    let agent = fleet.agents[0].id();
    let mut open = Vec::new();
    let mut held = 0;
    let mut points = vec![(0.0, usage::resident_bytes(agent) / BYTES_PER_MB)];
    for flows in FLOWS {
        open.push(OpenLoop::connect(&fleet, 0, flows - held, options.seed).await?);
        held = flows;
        sleep(Duration::from_secs(1)).await;
        points.push((
            count_to_f64(flows),
            usage::resident_bytes(agent) / BYTES_PER_MB,
        ));
    }
    let mut figures = Vec::new();
    for (flows, memory_mb) in &points {
        let metric = format!("agent with {flows} open flows: memory");
        figures.push(new_figure(
            options,
            metric,
            "MB",
            *memory_mb,
            MEMORY_TARGET_MB,
        ));
    }
    let slope_mb = slope(&points);
    let planned_mb = points[0].1 + slope_mb * FLOWS_PLANNED;
    figures.push(Figure {
        target: None,
        met: None,
        ..new_figure(
            options,
            "agent: memory a flow".to_owned(),
            "KB",
            slope_mb * 1_000.0,
            0.0,
        )
    });
    let metric = format!("agent worked out to {FLOWS_PLANNED} open flows: memory");
    figures.push(new_figure(
        options,
        metric,
        "MB",
        planned_mb,
        MEMORY_TARGET_MB,
    ));
    Ok(figures)
}

fn new_figure(
    options: &Options,
    metric: String,
    unit: &'static str,
    ours: f64,
    target: f64,
) -> Figure {
    Figure {
        bench: "capacity",
        metric,
        unit,
        ours,
        baseline: None,
        target: Some(target),
        met: Some(ours <= target),
        seed: options.seed,
    }
}

/// Returns the slope of the line through the first and the last of the points.
fn slope(points: &[(f64, f64)]) -> f64 {
    let (first, last) = (points[0], points[points.len() - 1]);
    (last.1 - first.1) / (last.0 - first.0)
}
