//! The baseline of the benches under load: a queue at each endpoint, first in, first out.
//!
//! Nothing is refused, classed or handed off, and work whose caller has gone is still run. Flows
//! keep to the endpoint that rendezvous hashing gives them.

use std::time::Duration;

use flow::rendezvous::{FlowKey, unit_weight_score};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use units::EndpointId;

use super::{Arrival, FinishedRequest};

/// When the baseline would have ended one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FifoCompletion {
    /// Position in the list of arrivals.
    pub(crate) idx: usize,
    /// Time from arrival to end.
    pub(crate) latency: Duration,
}

/// Runs the same requests on the same connections through queues of `slots` servers each.
pub(crate) fn simulate_fifo(
    arrivals: &[Arrival],
    finished: &[FinishedRequest],
    endpoints: usize,
    slots: usize,
) -> Vec<FifoCompletion> {
    let mut free_at = vec![vec![Duration::ZERO; slots.max(1)]; endpoints];
    let mut ends = Vec::with_capacity(finished.len());
    for it in finished {
        let arrival = &arrivals[it.idx];
        let servers = &mut free_at[endpoint_of(it.connection_idx, endpoints)];
        let first = (0..servers.len()).min_by_key(|&idx| servers[idx]);
        let server = &mut servers[first.unwrap_or_default()];
        let ended = arrival.at.max(*server) + arrival.kind.run_time_ms.to_duration();
        *server = ended;
        ends.push(FifoCompletion {
            idx: it.idx,
            latency: ended.saturating_sub(arrival.at),
        });
    }
    ends
}

/// Returns the endpoint that rendezvous hashing gives a connection.
fn endpoint_of(connection_idx: usize, endpoints: usize) -> usize {
    let mut rng = StdRng::seed_from_u64(connection_idx as u64);
    let flow = FlowKey::from_hash(rng.random());
    let score = |idx: usize| {
        let id = EndpointId::new(u32::try_from(idx).unwrap_or(u32::MAX));
        unit_weight_score(flow, id)
    };
    let best = (0..endpoints).max_by(|&a, &b| score(a).total_cmp(&score(b)));
    best.unwrap_or_default()
}
