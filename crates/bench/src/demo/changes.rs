//! What happens to the fleet during the demo's load.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};
use units::Weight;

use crate::{
    error::Result,
    fleet::{Fleet, FleetPlan},
};

/// Time until the fabric stops handing packets to a balancer that died.
const FABRIC_NOTICE: Duration = Duration::from_secs(1);

/// Longest time a graceful stop may take in the demo.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Balancer that is killed.
const KILLED: usize = 0;

/// Balancer that is replaced.
const REPLACED: usize = 1;

/// Position of the token ledger in the plan.
const LEDGER: usize = 0;

/// Position of the fit service in the plan.
const FIT: usize = 2;

/// Lets everything happen, spread over the time of the load.
pub(crate) async fn make(fleet: &mut Fleet, load: Duration) -> Result<()> {
    let begun = Instant::now();
    let at = |percent: u32| begun + load * percent / 100;
    sleep_until(at(15)).await;
    kill_balancer(fleet).await?;
    sleep_until(at(35)).await;
    replace_balancer(fleet).await?;
    sleep_until(at(50)).await;
    roll_bundle(fleet)?;
    sleep_until(at(60)).await;
    drain_endpoint(fleet).await?;
    sleep_until(at(100)).await;
    eprintln!("load ends");
    Ok(())
}

async fn kill_balancer(fleet: &mut Fleet) -> Result<()> {
    eprintln!("killing balancer {KILLED}; the fabric notices a second later");
    fleet.balancers[KILLED].kill();
    sleep(FABRIC_NOTICE).await;
    fleet.route_to(&all_but(fleet, KILLED));
    fleet.restart_balancer(KILLED)?;
    sleep(FABRIC_NOTICE).await;
    fleet.route_all();
    eprintln!("balancer {KILLED} is back with empty memory");
    Ok(())
}

async fn replace_balancer(fleet: &mut Fleet) -> Result<()> {
    eprintln!("replacing balancer {REPLACED} by a graceful stop and a fresh start");
    fleet.balancers[REPLACED].request_stop();
    sleep(FABRIC_NOTICE / 2).await;
    fleet.route_to(&all_but(fleet, REPLACED));
    let ended = fleet.balancers[REPLACED].wait_for_exit(STOP_TIMEOUT).await;
    eprintln!("balancer {REPLACED} stopped: {}", describe(ended));
    fleet.restart_balancer(REPLACED)?;
    sleep(FABRIC_NOTICE).await;
    fleet.route_all();
    Ok(())
}

fn roll_bundle(fleet: &mut Fleet) -> Result<()> {
    let version = fleet.bundle(FIT).version.get() + 1;
    eprintln!("rolling version {version} of the fit service's bundle");
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
    sleep(FABRIC_NOTICE * 3).await;
    fleet.agents[idx].request_stop();
    let ended = fleet.agents[idx].wait_for_exit(STOP_TIMEOUT).await;
    eprintln!("agent {idx} stopped: {}", describe(ended));
    Ok(())
}

fn describe(ended: Option<bool>) -> &'static str {
    match ended {
        Some(true) => "all in flight ended",
        Some(false) => "something in flight was left",
        None => "still stopping",
    }
}

fn all_but(fleet: &Fleet, idx: usize) -> Vec<usize> {
    let plan: &FleetPlan = &fleet.plan;
    (0..plan.balancers).filter(|&it| it != idx).collect()
}
