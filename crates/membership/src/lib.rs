//! Liveness of processes by probes and gossip.
