//! How many keys move when one of several endpoints leaves.

use flow::rendezvous::{FlowKey, TopScores, unit_weight_score};
use rand::{Rng, SeedableRng, rngs::StdRng};
use units::{EndpointId, Weight};

use crate::figure::count_to_f64;

/// Endpoints before one leaves, as many as the token ledger has.
const ENDPOINTS: u32 = 7;

const KEYS: usize = 100_000;

/// Share of keys that move, from 0 to 1.
#[derive(Debug, Clone, Copy)]
pub(super) struct Moved {
    pub(super) rendezvous: f64,
    /// Position in the ordered list by the number modulo the count.
    pub(super) modulo: f64,
}

/// Counts the keys that move when a random endpoint leaves.
pub(super) fn measure(seed: u64) -> Moved {
    let mut rng = StdRng::seed_from_u64(seed);
    let before: Vec<_> = (1..=ENDPOINTS).map(EndpointId::new).collect();
    let gone = before[rng.random_range(0..before.len())];
    let after: Vec<_> = before.iter().copied().filter(|it| *it != gone).collect();
    let (mut by_rendezvous, mut by_modulo) = (0, 0);
    for _idx in 0..KEYS {
        let hash = rng.random();
        let is_moved = |owner: fn(u64, &[EndpointId]) -> EndpointId| {
            usize::from(owner(hash, &before) != owner(hash, &after))
        };
        by_rendezvous += is_moved(highest);
        by_modulo += is_moved(modulo);
    }
    Moved {
        rendezvous: count_to_f64(by_rendezvous) / count_to_f64(KEYS),
        modulo: count_to_f64(by_modulo) / count_to_f64(KEYS),
    }
}

fn highest(hash: u64, endpoints: &[EndpointId]) -> EndpointId {
    let mut top = TopScores::<1>::new();
    for (idx, endpoint) in endpoints.iter().enumerate() {
        let score = unit_weight_score(FlowKey::from_hash(hash), *endpoint);
        top.offer(idx, Weight::new(100), score);
    }
    let [winner] = top.winners();
    endpoints[winner.expect("some endpoint is left")]
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a hash modulo a small count"
)]
fn modulo(hash: u64, endpoints: &[EndpointId]) -> EndpointId {
    endpoints[(hash % endpoints.len() as u64) as usize]
}
