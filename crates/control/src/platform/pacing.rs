//! How the calls of a fleet are spread in time.

use rand::Rng;
use units::Millis;

/// Time over which the watches that one change ended begin again, a process.
const REST_PER_PROCESS_MS: u64 = 25;

/// Longest time until a watch begins again; under the 10 s in which a change must be in force.
const REST_MAX_MS: u64 = 8_000;

/// Time over which the fetches of one change are spread, a process.
const FETCH_PER_PROCESS_MS: u64 = 20;

/// Longest time until a fetch.
const FETCH_MAX_MS: u64 = 2_000;

/// Wait of a watch, a process.
const WAIT_PER_PROCESS_MS: u64 = 250;

/// Shortest wait of a watch.
const WAIT_MIN_MS: u64 = 10_000;

/// Longest wait of a watch.
const WAIT_MAX_MS: u64 = 120_000;

/// Time between reads of the instance list, a process.
const INSTANCES_PER_PROCESS_MS: u64 = 500;

/// Shortest time between reads of the instance list.
const INSTANCES_MIN_MS: u64 = 10_000;

/// Returns how long to rest before the next watch.
///
/// While it rests, a process hears of changes from peers whose watch waits.
pub(super) fn watch_rest(rng: &mut impl Rng, fleet_size: u64) -> Millis {
    up_to(rng, (fleet_size * REST_PER_PROCESS_MS).min(REST_MAX_MS))
}

/// Returns how long to leave a change to the peers before fetching it.
pub(super) fn fetch_rest(rng: &mut impl Rng, fleet_size: u64) -> Millis {
    up_to(rng, (fleet_size * FETCH_PER_PROCESS_MS).min(FETCH_MAX_MS))
}

/// Returns how long a watch waits for a change.
pub(super) fn watch_wait(fleet_size: u64) -> Millis {
    let wait_ms = (fleet_size * WAIT_PER_PROCESS_MS).clamp(WAIT_MIN_MS, WAIT_MAX_MS);
    Millis::new(wait_ms)
}

/// Returns the time until the next read of the instance list.
pub(super) fn instances_rest(rng: &mut impl Rng, fleet_size: u64) -> Millis {
    let bound = (fleet_size * INSTANCES_PER_PROCESS_MS).max(INSTANCES_MIN_MS);
    Millis::new(rng.random_range(bound / 2..=bound))
}

fn up_to(rng: &mut impl Rng, bound_ms: u64) -> Millis {
    Millis::new(rng.random_range(0..=bound_ms))
}
