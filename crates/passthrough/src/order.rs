//! In which order a flow prefers endpoints.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Endpoint, EndpointKey};

/// Returns an endpoint's place on its service's ring.
pub(crate) fn ring_position(endpoint: EndpointKey) -> u64 {
    xxh3_64_with_seed(&endpoint.get().to_be_bytes(), 0)
}

/// Sorts endpoints by rendezvous hashing: each draws a score from the flow, the highest comes first.
pub(crate) fn by_preference(flow_hash: u64, endpoints: &mut [Endpoint]) {
    endpoints.sort_unstable_by_key(|it| std::cmp::Reverse(score(flow_hash, it.key)));
}

fn score(flow_hash: u64, endpoint: EndpointKey) -> u64 {
    xxh3_64_with_seed(&endpoint.get().to_be_bytes(), flow_hash)
}
