//! Randomised delays that spread the platform reads of a fleet over time.
//!
//! The delays grow with the number of processes, so that the rate of reads grows more slowly than
//! the fleet.

use rand::Rng;
use units::Millis;

/// Maximum delay before a process polls the index again, per process of the fleet.
const POLL_DELAY_PER_PROCESS_MS: u64 = 25;

/// Upper limit of the delay before the next poll, below the 10 s in which changes take effect.
const POLL_DELAY_MAX_MS: u64 = 8_000;

/// Maximum delay before a changed bundle is fetched, per process of the fleet.
const FETCH_DELAY_PER_PROCESS_MS: u64 = 20;

/// Upper limit of the delay before a changed bundle is fetched.
const FETCH_DELAY_MAX_MS: u64 = 2_000;

/// Maximum wait of a long poll of the index, per process of the fleet.
const LONG_POLL_PER_PROCESS_MS: u64 = 250;

/// Lower limit of the maximum wait of a long poll of the index.
const LONG_POLL_MIN_MS: u64 = 10_000;

/// Upper limit of the maximum wait of a long poll of the index.
const LONG_POLL_MAX_MS: u64 = 120_000;

/// Maximum time between two reads of the instance list, per process of the fleet.
const INSTANCES_DELAY_PER_PROCESS_MS: u64 = 500;

/// Lower limit of the maximum time between two reads of the instance list.
const INSTANCES_DELAY_MIN_MS: u64 = 10_000;

/// Returns a random delay before the next long poll of the index.
///
/// A change ends the long polls of all processes at once, so their next polls are spread over this
/// delay. In the meantime a process learns of changes from peers whose long poll is open.
pub(super) fn poll_delay(rng: &mut impl Rng, fleet_size: u64) -> Millis {
    random_up_to(
        rng,
        (fleet_size * POLL_DELAY_PER_PROCESS_MS).min(POLL_DELAY_MAX_MS),
    )
}

/// Returns a random delay before a changed bundle is fetched.
///
/// A peer usually delivers the bundle during the delay, which saves the fetch.
pub(super) fn fetch_delay(rng: &mut impl Rng, fleet_size: u64) -> Millis {
    random_up_to(
        rng,
        (fleet_size * FETCH_DELAY_PER_PROCESS_MS).min(FETCH_DELAY_MAX_MS),
    )
}

/// Returns how long the platform may hold a long poll of the index open without a change.
pub(super) fn long_poll_wait(fleet_size: u64) -> Millis {
    let wait_ms = (fleet_size * LONG_POLL_PER_PROCESS_MS).clamp(LONG_POLL_MIN_MS, LONG_POLL_MAX_MS);
    Millis::new(wait_ms)
}

/// Returns a random delay before the next read of the instance list.
pub(super) fn instances_delay(rng: &mut impl Rng, fleet_size: u64) -> Millis {
    let bound = (fleet_size * INSTANCES_DELAY_PER_PROCESS_MS).max(INSTANCES_DELAY_MIN_MS);
    Millis::new(rng.random_range(bound / 2..=bound))
}

fn random_up_to(rng: &mut impl Rng, bound_ms: u64) -> Millis {
    Millis::new(rng.random_range(0..=bound_ms))
}
