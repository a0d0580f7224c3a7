//! Share of flow keys that move to another endpoint when one of several endpoints leaves.

use flow::rendezvous::{FlowKey, TopScores, unit_weight_score};
use rand::{Rng, SeedableRng, rngs::StdRng};
use units::{EndpointId, Weight};

use crate::figure::count_to_f64;

/// Number of endpoints before one leaves; the token ledger has as many.
const ENDPOINTS: u32 = 7;

const KEYS: usize = 100_000;

/// Share of flow keys that move to another endpoint under each routing scheme, from 0 to 1.
#[derive(Debug, Clone, Copy)]
pub(super) struct MovedShares {
    pub(super) rendezvous: f64,
    /// Share under the baseline, which takes the endpoint at the key's hash modulo the number of
    /// endpoints.
    pub(super) modulo: f64,
}

/// Measures the share of flow keys that move to another endpoint when a random endpoint leaves.
pub(super) fn measure_moved_shares(seed: u64) -> MovedShares {
    let mut rng = StdRng::seed_from_u64(seed);
    let before: Vec<_> = (1..=ENDPOINTS).map(EndpointId::new).collect();
    let gone = before[rng.random_range(0..before.len())];
    let after: Vec<_> = before.iter().copied().filter(|it| *it != gone).collect();
    let (mut moved_by_rendezvous, mut moved_by_modulo) = (0, 0);
    for _idx in 0..KEYS {
        let hash = rng.random();
        let is_moved = |owner: fn(u64, &[EndpointId]) -> EndpointId| {
            usize::from(owner(hash, &before) != owner(hash, &after))
        };
        moved_by_rendezvous += is_moved(rendezvous_owner);
        moved_by_modulo += is_moved(modulo_owner);
    }
    MovedShares {
        rendezvous: count_to_f64(moved_by_rendezvous) / count_to_f64(KEYS),
        modulo: count_to_f64(moved_by_modulo) / count_to_f64(KEYS),
    }
}

fn rendezvous_owner(hash: u64, endpoints: &[EndpointId]) -> EndpointId {
    let mut top = TopScores::<1>::new();
    for (idx, endpoint) in endpoints.iter().enumerate() {
        let score = unit_weight_score(FlowKey::from_hash(hash), *endpoint);
        top.offer_endpoint(idx, Weight::new(100), score);
    }
    let [winner] = top.winner_positions();
    endpoints[winner.expect("at least one endpoint is left")]
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a hash modulo a small count"
)]
fn modulo_owner(hash: u64, endpoints: &[EndpointId]) -> EndpointId {
    endpoints[(hash % endpoints.len() as u64) as usize]
}
