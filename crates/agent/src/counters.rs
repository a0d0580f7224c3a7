//! Counters of the agent.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counters since the start of the process.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl Counters {
            /// Returns the name and value of each counter, in the order of the operator
            /// documentation.
            #[must_use]
            pub fn values(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

counters! {
    /// Datagrams passed to the QUIC library.
    datagrams_received,
    /// Datagrams sent to balancers.
    datagrams_sent,
    /// Datagrams dropped because no balancer was known.
    datagrams_unroutable,
    /// Datagrams dropped as malformed, or for a wrong MAC, service or length.
    dropped_malformed,
    /// Datagrams dropped because they are addressed to another endpoint, for example after an
    /// address was reused or by a balancer with a stale bundle.
    dropped_foreign_endpoint,
    /// Datagrams dropped because their flow belongs to another incarnation of the agent and can't
    /// be reset.
    dropped_foreign_incarnation,
    /// Datagrams dropped because no agent of the service issued their connection id.
    dropped_unknown_flow,
    /// Stateless resets sent for flows of an earlier incarnation.
    resets_sent,
    /// Opening packets of flows that this agent accepted.
    openings_taken,
    /// Opening packets of flows forwarded to another candidate agent.
    openings_passed_on,
    /// Opening packets of flows dropped because the table of openings was full or the hop limit was
    /// reached.
    openings_refused,
    /// Datagrams from other processes delivered to the task that reads them.
    peer_datagrams,
    /// Datagrams from other processes dropped because the queue of the task that reads them was
    /// full.
    peer_datagrams_dropped,
    /// Path probes of balancers answered.
    echoes_answered,
    /// Tunnel headers with a newer bundle version than the current one.
    newer_bundles_seen,
    /// Handshakes answered with a QUIC Retry to validate the caller's address.
    handshakes_retried,
    /// Handshakes refused because too many were pending.
    handshakes_refused,
    /// Callers' connections established.
    connections,
    /// Callers' connections that failed during the handshake.
    connections_failed,
    /// Requests whose header section was received.
    requests,
    /// Requests refused as malformed, as too large or for lack of a route.
    requests_malformed,
    /// Requests refused before they ran.
    requests_refused,
    /// Requests passed to the upstream.
    requests_started,
    /// Requests offered to another agent, which accepted them.
    handoffs_taken,
    /// Requests offered to another agent, which refused them.
    handoffs_refused,
    /// Requests offered to another agent, whose decision did not arrive in time or was malformed.
    handoffs_unclear,
    /// Requests handed off by other agents and accepted here.
    handoffs_served,
    /// Requests whose complete response was sent and acknowledged.
    requests_answered,
    /// Requests that the caller cancelled or whose connection was lost.
    requests_cancelled,
    /// Requests whose deadline passed while they ran.
    requests_timed_out,
    /// Requests with an unknown outcome.
    outcomes_unknown,
    /// Connections opened to the upstream.
    upstream_connections,
    /// Connections to the upstream replaced because they were unresponsive.
    upstream_silent,
    /// Failed attempts to connect to the upstream.
    upstream_connect_failed,
    /// Requests sent to the upstream again, because no byte had been written or they are
    /// idempotent.
    upstream_retries,
    /// Responses by which the upstream shed load.
    upstream_shed,
}

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Increases the counter by one.
    pub fn add_one(&self) {
        self.add(1);
    }

    /// Increases the counter by `count`.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the current value.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
