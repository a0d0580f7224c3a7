//! Baseline of the benches under load: a simulated FIFO queue at each endpoint.
//!
//! The baseline refuses no request, has no request classes, hands no request to another endpoint
//! and still runs requests whose caller has given up. Rendezvous hashing pins each connection to an
//! endpoint.

use std::time::Duration;

use flow::rendezvous::{FlowKey, unit_weight_score};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use units::EndpointId;

use super::{Arrival, FinishedRequest};

/// Completion of a request in the simulated FIFO queues.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FifoCompletion {
    /// Index of the request in the list of arrivals.
    pub(crate) idx: usize,
    /// Time from the request's arrival to its completion.
    pub(crate) latency: Duration,
}

/// Simulates finished requests on the same connections again, with a FIFO queue before the `slots`
/// of each endpoint.
pub(crate) fn simulate_fifo(
    arrivals: &[Arrival],
    finished: &[FinishedRequest],
    endpoints: usize,
    slots: usize,
) -> Vec<FifoCompletion> {
    let mut slots_free_at = vec![vec![Duration::ZERO; slots.max(1)]; endpoints];
    let mut completions = Vec::with_capacity(finished.len());
    for it in finished {
        let arrival = &arrivals[it.idx];
        let endpoint_slots = &mut slots_free_at[rendezvous_endpoint(it.connection_idx, endpoints)];
        let first_free = (0..endpoint_slots.len()).min_by_key(|&idx| endpoint_slots[idx]);
        let slot = &mut endpoint_slots[first_free.unwrap_or_default()];
        let ended = arrival.at.max(*slot) + arrival.kind.run_time_ms.to_duration();
        *slot = ended;
        completions.push(FifoCompletion {
            idx: it.idx,
            latency: ended.saturating_sub(arrival.at),
        });
    }
    completions
}

/// Returns the endpoint that rendezvous hashing picks for a connection.
fn rendezvous_endpoint(connection_idx: usize, endpoints: usize) -> usize {
    let mut rng = StdRng::seed_from_u64(connection_idx as u64);
    let flow = FlowKey::from_hash(rng.random());
    let score = |idx: usize| {
        let id = EndpointId::new(u32::try_from(idx).unwrap_or(u32::MAX));
        unit_weight_score(flow, id)
    };
    let best = (0..endpoints).max_by(|&a, &b| score(a).total_cmp(&score(b)));
    best.unwrap_or_default()
}
