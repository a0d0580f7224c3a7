//! What goes wrong while callers buy.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use stand_ins::caller::Faults;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{error::Result, fleet::Fleet};

/// What the fabric does to datagrams.
const FABRIC: Faults = Faults {
    drop_percent: 1,
    duplicate_percent: 2,
    delay_max_ms: 30,
    delay_percent: 5,
};

/// Time between two faults.
const INTERVAL: Duration = Duration::from_millis(1_500);

/// Time until a killed agent is started again.
const DOWN: Duration = Duration::from_millis(500);

/// Time a paused agent or side is frozen.
const PAUSED: Duration = Duration::from_millis(1_200);

/// Time at the end without faults.
const CALM: Duration = Duration::from_secs(3);

/// Lets faults happen one after another for the time of the load.
pub(super) async fn make(fleet: &mut Fleet, seed: u64, load: Duration) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + load;
    fleet.fabric.set_faults(FABRIC);
    for round in 0.. {
        sleep(INTERVAL).await;
        if Instant::now() + DOWN + PAUSED + CALM > end {
            break;
        }
        let idx = rng.random_range(0..fleet.agents.len());
        match round % 3 {
            0 => {
                fleet.agents[idx].kill();
                sleep(DOWN).await;
                fleet.restart_agent(idx)?;
            }
            1 => freeze(fleet, &[idx]).await,
            // One side of the fleet is out of reach for the other and for callers, and comes back.
            _ => {
                let side: Vec<_> = (0..fleet.agents.len() / 2).collect();
                freeze(fleet, &side).await;
            }
        }
    }
    fleet.fabric.set_faults(Faults::default());
    sleep_until(end).await;
    Ok(())
}

/// Freezes agents for a while; they go on with what they believed.
async fn freeze(fleet: &Fleet, agents: &[usize]) {
    for idx in agents {
        fleet.agents[*idx].pause();
    }
    sleep(PAUSED).await;
    for idx in agents {
        fleet.agents[*idx].resume();
    }
}
