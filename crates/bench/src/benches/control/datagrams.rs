//! What a datagram of liveness costs a whole controller with its socket, over loopback.

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

/// Balancers of the smaller and the larger fleet.
const SIZES: [usize; 2] = [8, 32];

/// Agents for each balancer, as at the two-year size.
const AGENTS_PER_BALANCER: usize = 9;

/// Time for every balancer to meet every agent.
const WARM_UP: Duration = Duration::from_secs(4);

/// Longest time that one size is measured.
const MEASURED_MAX: Duration = Duration::from_secs(8);

/// What datagrams cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cost {
    /// Processor of a balancer and its share of the agents, in percent of a core for each byte a
    /// second that a balancer sends and receives.
    pub(super) processor_percent_per_byte: f64,
}

/// Measures whole controllers at two sizes.
pub(super) fn measure(options: &Options) -> Result<Cost> {
    let length = Duration::from_secs(options.seconds.div_ceil(4)).min(MEASURED_MAX);
    let mut cost = Cost {
        processor_percent_per_byte: 0.0,
    };
    for balancers in SIZES {
        let runtime = tokio::runtime::Runtime::new()
            .map_err(|err| BenchError::setup("starting the runtime", &err))?;
        let it = runtime.block_on(run(balancers, length, options.seed))?;
        runtime.shutdown_background();
        eprintln!(
            "control: {balancers} balancers over loopback: {:.0} B/s, {:.3} % of a core each",
            it.bytes, it.processor_percent
        );
        cost.processor_percent_per_byte = cost
            .processor_percent_per_byte
            .max(it.processor_percent / it.bytes);
    }
    Ok(cost)
}

/// Bytes a second and processor of one balancer with its share of the agents.
struct Share {
    bytes: f64,
    processor_percent: f64,
}

async fn run(balancers: usize, length: Duration, seed: u64) -> Result<Share> {
    let fleet = LoopbackFleet::start(balancers, balancers * AGENTS_PER_BALANCER, seed).await?;
    tokio::time::sleep(WARM_UP).await;
    let (bytes, processor, start) = (
        total(&fleet),
        usage::cpu_seconds(std::process::id()),
        Instant::now(),
    );
    tokio::time::sleep(length).await;
    let seconds = start.elapsed().as_secs_f64();
    let processor = usage::cpu_seconds(std::process::id()) - processor;
    let bytes = to_f64(total(&fleet) - bytes);
    let each = seconds * count_to_f64(balancers);
    Ok(Share {
        bytes: bytes / each,
        processor_percent: processor / each * 100.0,
    })
}

fn total(fleet: &LoopbackFleet) -> u64 {
    let bytes = fleet.balancers.iter();
    bytes.map(|it| it.state.bytes.load(Ordering::Relaxed)).sum()
}
