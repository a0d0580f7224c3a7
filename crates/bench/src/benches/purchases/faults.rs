//! Faults that are injected while callers make purchases.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use stand_ins::caller::Faults;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{error::Result, fleet::Fleet};

/// Faults that the network fabric applies to the callers' datagrams.
const FABRIC_FAULTS: Faults = Faults {
    drop_percent: 1,
    duplicate_percent: 2,
    delay_max_ms: 30,
    delay_percent: 5,
};

/// Time between two injected faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time until a killed agent is restarted.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Time for which an agent, or half of the agents, is paused.
const PAUSE_TIME: Duration = Duration::from_millis(1_200);

/// Time without injected faults at the end of the load.
const FAULT_FREE_TIME: Duration = Duration::from_secs(3);

/// Applies packet faults and injects one agent fault after another for the length of the load.
pub(super) async fn inject_faults(fleet: &mut Fleet, seed: u64, load: Duration) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + load;
    fleet.fabric.set_faults(FABRIC_FAULTS);
    for round in 0.. {
        sleep(FAULT_INTERVAL).await;
        if Instant::now() + DOWN_TIME + PAUSE_TIME + FAULT_FREE_TIME > end {
            break;
        }
        let idx = rng.random_range(0..fleet.agents.len());
        match round % 3 {
            0 => {
                fleet.agents[idx].kill();
                sleep(DOWN_TIME).await;
                fleet.restart_agent(idx)?;
            }
            1 => pause_and_resume(fleet, &[idx]).await,
            // Half of the agents are unreachable for the other half and for callers for a while,
            // then return.
            _ => {
                let half: Vec<_> = (0..fleet.agents.len() / 2).collect();
                pause_and_resume(fleet, &half).await;
            }
        }
    }
    fleet.fabric.set_faults(Faults::default());
    sleep_until(end).await;
    Ok(())
}

/// Pauses agents for `PAUSE_TIME`, then resumes them with the state that they had before.
async fn pause_and_resume(fleet: &Fleet, agents: &[usize]) {
    for idx in agents {
        fleet.agents[*idx].pause();
    }
    sleep(PAUSE_TIME).await;
    for idx in agents {
        fleet.agents[*idx].resume();
    }
}
