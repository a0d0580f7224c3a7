//! Processor time that liveness datagrams cost a whole controller with its socket, over loopback.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use crate::usage;
use crate::{
    error::{BenchError, Result},
    figure::{Options, count_to_f64, to_f64},
    loopback::LoopbackFleet,
};

/// Numbers of balancers in the smaller and the larger measured fleet.
const BALANCER_COUNTS: [usize; 2] = [8, 32];

/// Number of agents for each balancer, as at the design size.
const AGENTS_PER_BALANCER: usize = 9;

/// Warm-up time, in which every balancer probes every agent.
const WARM_UP: Duration = Duration::from_secs(4);

/// Longest measurement time of one fleet size.
const MEASUREMENT_MAX: Duration = Duration::from_secs(8);

/// Processor cost of sending and receiving liveness datagrams.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cost {
    /// Processor time of a balancer and its share of the agents, in percent of a core for each byte
    /// per second that the balancer sends and receives.
    pub(super) processor_percent_per_byte: f64,
}

/// Measures the processor cost of whole controllers at two fleet sizes and returns the higher cost
/// per byte.
pub(super) fn measure_socket_cost(options: &Options) -> Result<Cost> {
    let length = Duration::from_secs(options.seconds.div_ceil(4)).min(MEASUREMENT_MAX);
    let mut cost = Cost {
        processor_percent_per_byte: 0.0,
    };
    for balancers in BALANCER_COUNTS {
        let runtime = tokio::runtime::Runtime::new()
            .map_err(|err| BenchError::setup("starting the runtime", &err))?;
        let it = runtime.block_on(measure_fleet(balancers, length, options.seed))?;
        runtime.shutdown_background();
        eprintln!(
            "control: {balancers} balancers over loopback: {:.0} B/s, {:.3} % of a core each",
            it.bytes_per_second, it.processor_percent
        );
        cost.processor_percent_per_byte = cost
            .processor_percent_per_byte
            .max(it.processor_percent / it.bytes_per_second);
    }
    Ok(cost)
}

/// Processor cost and traffic of one balancer and its share of the agents.
struct BalancerCost {
    bytes_per_second: f64,
    processor_percent: f64,
}

async fn measure_fleet(balancers: usize, length: Duration, seed: u64) -> Result<BalancerCost> {
    let fleet = LoopbackFleet::start(balancers, balancers * AGENTS_PER_BALANCER, seed).await?;
    tokio::time::sleep(WARM_UP).await;
    let (bytes, processor, start) = (
        total_bytes(&fleet),
        usage::cpu_seconds(std::process::id()),
        Instant::now(),
    );
    tokio::time::sleep(length).await;
    let seconds = start.elapsed().as_secs_f64();
    let processor = usage::cpu_seconds(std::process::id()) - processor;
    let bytes = to_f64(total_bytes(&fleet) - bytes);
    let balancer_seconds = seconds * count_to_f64(balancers);
    Ok(BalancerCost {
        bytes_per_second: bytes / balancer_seconds,
        processor_percent: processor / balancer_seconds * 100.0,
    })
}

fn total_bytes(fleet: &LoopbackFleet) -> u64 {
    let bytes = fleet.balancers.iter();
    bytes.map(|it| it.state.bytes.load(Ordering::Relaxed)).sum()
}
