//! End-to-end demo with real processes on loopback.
//!
//! The deployments of both users run in one fleet under load while balancers fail and are replaced,
//! a bundle changes and an endpoint drains. The summary counts what callers and upstreams saw.

mod changes;
mod report;

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, task::JoinSet};

use crate::{
    error::Result,
    figure::{Options, block_on},
    fleet::{Fleet, FleetPlan},
    load::{ClosedLoopCaller, REQUEST_KINDS, RateFactor, Tally},
};

/// Number of balancers in the demo's fleet.
const BALANCERS: usize = 4;

/// Number of callers that share a UDP socket.
const CALLERS_PER_SOCKET: usize = 8;

/// Longest duration of the load, so that the demo ends within a minute.
const LOAD_MAX_SECONDS: u64 = 40;

/// Runs the demo, prints its summary and fails if a guarantee was violated.
pub(crate) fn run(options: &Options) -> Result<()> {
    block_on(run_on_fleet(options))
}

async fn run_on_fleet(options: &Options) -> Result<()> {
    let load = Duration::from_secs(options.seconds.min(LOAD_MAX_SECONDS));
    eprintln!("starting {BALANCERS} balancers and the agents of four services");
    let mut fleet = Fleet::start(FleetPlan::both_users(BALANCERS), options.seed).await?;
    eprintln!("every service answers; load for {} s", load.as_secs());
    let (_pace, rate_factor) = watch::channel(RateFactor(1.0));
    let (stop, stopped) = watch::channel(false);
    let mut callers = start_callers(&fleet, options.seed, &rate_factor, &stopped)?;
    changes::make_changes(&mut fleet, load).await?;
    stop.send_replace(true);
    let tallies = collect_tallies(&mut callers).await;
    report::print_summary(&fleet, &tallies, load)
}

/// Starts all callers of both users; each task returns the index of its request kind and its tally.
fn start_callers(
    fleet: &Fleet,
    seed: u64,
    rate_factor: &watch::Receiver<RateFactor>,
    stopped: &watch::Receiver<bool>,
) -> Result<JoinSet<(usize, Tally)>> {
    let mut callers = JoinSet::new();
    let mut number = 0;
    for (kind_idx, kind) in REQUEST_KINDS.iter().enumerate() {
        let mut socket = Arc::new(fleet.create_caller()?);
        for caller_idx in 0..kind.callers {
            if caller_idx > 0 && caller_idx % CALLERS_PER_SOCKET == 0 {
                socket = Arc::new(fleet.create_caller()?);
            }
            let caller = ClosedLoopCaller {
                caller: Arc::clone(&socket),
                service: fleet.service_address(kind.service_idx),
                kind: *kind,
                number,
                seed,
                rate_factor: rate_factor.clone(),
            };
            number += 1;
            let stopped = stopped.clone();
            callers.spawn(async move { (kind_idx, caller.send_requests(stopped).await) });
        }
    }
    Ok(callers)
}

/// Waits until every caller task has ended and merges the tallies of each kind of request.
async fn collect_tallies(callers: &mut JoinSet<(usize, Tally)>) -> Vec<Tally> {
    let mut tallies = vec![Tally::new(); REQUEST_KINDS.len()];
    while let Some(res) = callers.join_next().await {
        if let Ok((kind_idx, tally)) = res {
            tallies[kind_idx].merge(&tally);
        }
    }
    tallies
}
