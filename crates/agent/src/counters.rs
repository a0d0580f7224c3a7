//! Counts of what the agent saw and did.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counts since the start of the process.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl Counters {
            /// Returns every counter's name and value, in the order of the operators' page.
            #[must_use]
            pub fn values(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

counters! {
    /// Datagrams that reached the QUIC library.
    datagrams_received,
    /// Datagrams sent to balancers.
    datagrams_sent,
    /// Datagrams that no balancer was known for.
    datagrams_unroutable,
    /// Datagrams that are no tunnel datagrams or have a wrong MAC, service or length.
    dropped_malformed,
    /// Datagrams for another endpoint: an address in reuse or a balancer's stale bundle.
    dropped_foreign_endpoint,
    /// Datagrams of flows of another run of this endpoint that can't be reset.
    dropped_foreign_incarnation,
    /// Datagrams whose connection id no agent of the service minted.
    dropped_unknown_flow,
    /// Datagrams that answered a flow of an earlier run with a reset.
    resets_sent,
    /// Openings taken by this agent.
    openings_taken,
    /// Opening datagrams passed on to another candidate.
    openings_passed_on,
    /// Opening datagrams dropped since the opening table was full or the hops ran out.
    openings_refused,
    /// Datagrams of peers handed on.
    peer_datagrams,
    /// Datagrams of peers dropped since their reader was behind.
    peer_datagrams_dropped,
    /// Questions of balancers whether a path still works, answered.
    echoes_answered,
    /// Headers that named a newer bundle version.
    newer_bundles_seen,
    /// Handshakes that were asked to prove their address first.
    handshakes_retried,
    /// Handshakes that were refused since too many were under way.
    handshakes_refused,
    /// Connections that were established.
    connections,
    /// Connections that failed before they were established.
    connections_failed,
    /// Requests whose header was read.
    requests,
    /// Requests refused as malformed, too large or without a route.
    requests_malformed,
    /// Requests refused before they ran.
    requests_refused,
    /// Requests that were handed to the upstream.
    requests_started,
    /// Requests that another agent took.
    handoffs_taken,
    /// Offers that another agent refused.
    handoffs_refused,
    /// Offers that were neither taken nor refused in time.
    handoffs_unclear,
    /// Requests taken from other agents.
    handoffs_served,
    /// Requests whose whole answer was sent and acknowledged.
    requests_answered,
    /// Requests given up because the caller cancelled or went away.
    requests_cancelled,
    /// Requests whose deadline passed while they ran.
    requests_timed_out,
    /// Requests whose outcome can't be known.
    outcomes_unknown,
    /// Connections opened to the upstream.
    upstream_connections,
    /// Connections to the upstream that were found silent and replaced.
    upstream_silent,
    /// Attempts to connect to the upstream that failed.
    upstream_connect_failed,
    /// Requests sent again: no byte had been written, or they may run more than once.
    upstream_retries,
    /// Answers by which the upstream shed load.
    upstream_shed,
}

/// One count, never decreasing.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn add_one(&self) {
        self.add(1);
    }

    /// Adds `count`.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the count.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
