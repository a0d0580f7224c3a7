//! Changes and faults of the fleet during the demo's load.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};
use units::Weight;

use crate::{
    error::Result,
    fleet::{Fleet, FleetPlan},
};

/// Time until the network fabric stops sending packets to a dead balancer.
const FABRIC_DETECTION_TIME: Duration = Duration::from_secs(1);

/// Longest time to wait for the graceful stop of a process.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Index of the balancer that the demo kills.
const KILLED: usize = 0;

/// Index of the balancer that the demo stops gracefully and replaces.
const REPLACED: usize = 1;

/// Index of the token ledger in the fleet plan.
const LEDGER: usize = 0;

/// Index of the fit service in the fleet plan.
const FIT: usize = 2;

/// Makes all changes of the demo at fixed points of the load's duration and returns when the load
/// ends.
pub(crate) async fn make_changes(fleet: &mut Fleet, load: Duration) -> Result<()> {
    let begun = Instant::now();
    let at = |percent: u32| begun + load * percent / 100;
    sleep_until(at(15)).await;
    kill_balancer(fleet).await?;
    sleep_until(at(35)).await;
    replace_balancer(fleet).await?;
    sleep_until(at(50)).await;
    publish_bundle(fleet)?;
    sleep_until(at(60)).await;
    drain_endpoint(fleet).await?;
    sleep_until(at(100)).await;
    eprintln!("load ends");
    Ok(())
}

async fn kill_balancer(fleet: &mut Fleet) -> Result<()> {
    eprintln!("killing balancer {KILLED}; the fabric stops routing to it after 1 s");
    fleet.balancers[KILLED].kill();
    sleep(FABRIC_DETECTION_TIME).await;
    fleet.route_datagrams_to(&other_balancers(fleet, KILLED));
    fleet.restart_balancer(KILLED)?;
    sleep(FABRIC_DETECTION_TIME).await;
    fleet.route_datagrams_to_all();
    eprintln!("balancer {KILLED} restarted without its former state");
    Ok(())
}

async fn replace_balancer(fleet: &mut Fleet) -> Result<()> {
    eprintln!("replacing balancer {REPLACED}: graceful stop, then a new process");
    fleet.balancers[REPLACED].request_stop();
    sleep(FABRIC_DETECTION_TIME / 2).await;
    fleet.route_datagrams_to(&other_balancers(fleet, REPLACED));
    let ended = fleet.balancers[REPLACED].wait_for_exit(STOP_TIMEOUT).await;
    eprintln!("balancer {REPLACED} stopped: {}", describe_exit(ended));
    fleet.restart_balancer(REPLACED)?;
    sleep(FABRIC_DETECTION_TIME).await;
    fleet.route_datagrams_to_all();
    Ok(())
}

fn publish_bundle(fleet: &mut Fleet) -> Result<()> {
    let version = fleet.bundle(FIT).version.get() + 1;
    eprintln!("publishing version {version} of the fit service's bundle");
    fleet.publish_next_version(FIT, |bundle| {
        for endpoint in &mut bundle.endpoints {
            endpoint.weight = Weight::new(90);
        }
    })
}

async fn drain_endpoint(fleet: &mut Fleet) -> Result<()> {
    let idx = fleet.endpoints_of(LEDGER).start;
    eprintln!("draining endpoint {idx} of the token ledger");
    fleet.publish_next_version(LEDGER, |bundle| bundle.endpoints[0].is_leaving = true)?;
    sleep(FABRIC_DETECTION_TIME * 3).await;
    fleet.agents[idx].request_stop();
    let ended = fleet.agents[idx].wait_for_exit(STOP_TIMEOUT).await;
    eprintln!("agent {idx} stopped: {}", describe_exit(ended));
    Ok(())
}

fn describe_exit(ended: Option<bool>) -> &'static str {
    match ended {
        Some(true) => "all requests in flight completed",
        Some(false) => "exited with an error; requests in flight may be cut off",
        None => "not stopped before the timeout",
    }
}

fn other_balancers(fleet: &Fleet, idx: usize) -> Vec<usize> {
    let plan: &FleetPlan = &fleet.plan;
    (0..plan.balancers).filter(|&it| it != idx).collect()
}
