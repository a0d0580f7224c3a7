//! Rendezvous hashing: the order in which a flow prefers endpoints or asks agents.

use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Endpoint, EndpointKey};

/// Returns an endpoint's position on its service's hash ring.
pub(crate) fn ring_position(endpoint: EndpointKey) -> u64 {
    xxh3_64_with_seed(&endpoint.get().to_be_bytes(), 0)
}

/// Sorts endpoints by the flow's preference: by their rendezvous hash with the flow, highest first.
pub(crate) fn sort_by_preference(flow_hash: u64, endpoints: &mut [Endpoint]) {
    endpoints.sort_unstable_by_key(|it| std::cmp::Reverse(preference_score(flow_hash, it.key)));
}

/// Returns an agent's place in an order of agents that differs from flow to flow.
pub(crate) fn agent_score(flow_hash: u64, agent: Ipv4Addr) -> u64 {
    xxh3_64_with_seed(&agent.octets(), flow_hash)
}

fn preference_score(flow_hash: u64, endpoint: EndpointKey) -> u64 {
    xxh3_64_with_seed(&endpoint.get().to_be_bytes(), flow_hash)
}
