//! What happens to the fleet while the flows are open.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};
use units::Weight;

use super::baseline::Modulo;
use crate::{error::Result, fleet::Fleet};

/// Time until the fabric stops handing packets to a balancer that died.
const FABRIC_NOTICE: Duration = Duration::from_millis(500);

/// Time a balancer has for its graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

/// Position of the service whose upstreams drain in turn.
const DRAINED: usize = 0;

/// Position of the service whose bundle rolls between.
const ROLLED: usize = 2;

/// Lets every balancer be killed or replaced and every upstream of a service drain and return.
pub(super) async fn make(fleet: &mut Fleet, length: Duration, baseline: &mut Modulo) -> Result<()> {
    let begun = Instant::now();
    let drains = fleet.bundle(DRAINED).endpoints.len();
    let balancers = fleet.balancers.len();
    let mut replaced = 0;
    for drained in 0..drains {
        let step = u32::try_from(drained).unwrap_or(u32::MAX);
        let steps = u32::try_from(drains).unwrap_or(u32::MAX);
        eprintln!("flows: upstream {drained} drains");
        set_leaving(fleet, drained, true, baseline)?;
        if (replaced + 1) * drains <= (drained + 1) * balancers {
            replace_balancer(fleet, replaced).await?;
            replaced += 1;
        }
        sleep_until(begun + length * (2 * step + 1) / (2 * steps)).await;
        set_leaving(fleet, drained, false, baseline)?;
        let weight = Weight::new(if drained % 2 == 0 { 90 } else { 100 });
        fleet.publish_next_version(ROLLED, |bundle| {
            for endpoint in &mut bundle.endpoints {
                endpoint.weight = weight;
            }
        })?;
        sleep_until(begun + length * (step + 1) / steps).await;
    }
    Ok(())
}

fn set_leaving(
    fleet: &mut Fleet,
    endpoint: usize,
    is_leaving: bool,
    baseline: &mut Modulo,
) -> Result<()> {
    fleet.publish_next_version(DRAINED, |bundle| {
        bundle.endpoints[endpoint].is_leaving = is_leaving;
    })?;
    baseline.change(fleet.bundle(DRAINED));
    Ok(())
}

/// Kills even balancers and stops odd ones, and starts them again.
async fn replace_balancer(fleet: &mut Fleet, idx: usize) -> Result<()> {
    let others: Vec<usize> = (0..fleet.balancers.len()).filter(|&it| it != idx).collect();
    if idx.is_multiple_of(2) {
        eprintln!("flows: balancer {idx} is killed");
        fleet.balancers[idx].kill();
        sleep(FABRIC_NOTICE).await;
        fleet.route_to(&others);
    } else {
        eprintln!("flows: balancer {idx} is replaced");
        fleet.balancers[idx].request_stop();
        sleep(FABRIC_NOTICE).await;
        fleet.route_to(&others);
        let _ended = fleet.balancers[idx].wait_for_exit(STOP_TIMEOUT).await;
        fleet.balancers[idx].kill();
    }
    fleet.restart_balancer(idx)?;
    fleet.wait_until_balancer_has_bundles(idx).await?;
    fleet.route_all();
    Ok(())
}
