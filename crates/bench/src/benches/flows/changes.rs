//! Changes that are made to the fleet while the flows are open.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};
use units::Weight;

use super::baseline::ModuloRouting;
use crate::{error::Result, fleet::Fleet};

/// Time until the network fabric stops sending packets to a balancer that died or is stopping.
const FABRIC_FAILOVER_DELAY: Duration = Duration::from_millis(500);

/// Longest wait for a balancer to stop gracefully.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

/// Index of the service whose upstreams drain one after another.
const DRAINED_SERVICE_IDX: usize = 0;

/// Index of the service whose bundle rolls out between the drains.
const ROLLED_SERVICE_IDX: usize = 2;

/// Drains and restores every upstream of one service, kills or replaces every balancer, and rolls
/// out bundles of another service in between.
pub(super) async fn apply_changes(
    fleet: &mut Fleet,
    length: Duration,
    baseline: &mut ModuloRouting,
) -> Result<()> {
    let begun = Instant::now();
    let drains = fleet.bundle(DRAINED_SERVICE_IDX).endpoints.len();
    let balancers = fleet.balancers.len();
    let mut replaced = 0;
    for drained in 0..drains {
        let step = u32::try_from(drained).unwrap_or(u32::MAX);
        let steps = u32::try_from(drains).unwrap_or(u32::MAX);
        eprintln!("flows: draining upstream {drained}");
        set_endpoint_leaving(fleet, drained, true, baseline)?;
        if (replaced + 1) * drains <= (drained + 1) * balancers {
            replace_balancer(fleet, replaced).await?;
            replaced += 1;
        }
        sleep_until(begun + length * (2 * step + 1) / (2 * steps)).await;
        set_endpoint_leaving(fleet, drained, false, baseline)?;
        let weight = Weight::new(if drained % 2 == 0 { 90 } else { 100 });
        fleet.publish_next_version(ROLLED_SERVICE_IDX, |bundle| {
            for endpoint in &mut bundle.endpoints {
                endpoint.weight = weight;
            }
        })?;
        sleep_until(begun + length * (step + 1) / steps).await;
    }
    Ok(())
}

fn set_endpoint_leaving(
    fleet: &mut Fleet,
    endpoint: usize,
    is_leaving: bool,
    baseline: &mut ModuloRouting,
) -> Result<()> {
    fleet.publish_next_version(DRAINED_SERVICE_IDX, |bundle| {
        bundle.endpoints[endpoint].is_leaving = is_leaving;
    })?;
    baseline.apply_bundle(fleet.bundle(DRAINED_SERVICE_IDX));
    Ok(())
}

/// Kills a balancer with an even index, or gracefully stops one with an odd index, then starts the
/// balancer again.
async fn replace_balancer(fleet: &mut Fleet, idx: usize) -> Result<()> {
    let others: Vec<usize> = (0..fleet.balancers.len()).filter(|&it| it != idx).collect();
    if idx.is_multiple_of(2) {
        eprintln!("flows: killing balancer {idx}");
        fleet.balancers[idx].kill();
        sleep(FABRIC_FAILOVER_DELAY).await;
        fleet.route_datagrams_to(&others);
    } else {
        eprintln!("flows: stopping balancer {idx} gracefully");
        fleet.balancers[idx].request_stop();
        sleep(FABRIC_FAILOVER_DELAY).await;
        fleet.route_datagrams_to(&others);
        let _ended = fleet.balancers[idx].wait_for_exit(STOP_TIMEOUT).await;
        fleet.balancers[idx].kill();
    }
    fleet.restart_balancer(idx)?;
    fleet.wait_until_balancer_has_bundles(idx).await?;
    fleet.route_datagrams_to_all();
    Ok(())
}
