//! The balancer's datagram path between callers and agents.
