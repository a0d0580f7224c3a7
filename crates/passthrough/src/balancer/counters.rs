//! Counters of a balancer.

use units::Millis;

/// Upper bounds of the histogram buckets for the time until an opening packet is accepted, in
/// milliseconds.
const OPENING_WAIT_BUCKETS_MS: [u64; 8] = [1, 2, 5, 10, 20, 50, 100, 500];

/// Counters of a balancer since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct BalancerCounters {
    /// Packets received from callers.
    pub packets: u64,
    /// Opening packets offered to endpoints, including repeated offers.
    pub openings: u64,
    /// Opening packets offered again because no agent replied in time.
    pub openings_repeated: u64,
    /// Opening packets abandoned because the caller has given up.
    pub openings_expired: u64,
    /// Openings placed in other zones because the balancer's own zone is out of use.
    pub openings_out_of_zone: u64,
    /// Openings whose candidates were half of other zones, because the own zone was crowded.
    pub openings_shared: u64,
    /// Openings offered to another zone first, because the own zone was more loaded than others.
    pub openings_spilled: u64,
    /// Openings offered again because the agent at which they waited sent them back.
    pub openings_handed_back: u64,
    /// Openings offered to a second endpoint because the answer was late.
    pub extra_openings: u64,
    /// Late openings not offered to a second endpoint, because the allowed share was spent.
    pub extra_openings_refused_budget: u64,
    /// Late openings not offered to a second endpoint, because the service's endpoints were busy.
    pub extra_openings_refused_busy: u64,
    /// Extra openings that were accepted before the first offer was.
    pub extra_openings_won: u64,
    /// Messages to agents to give up an opening that another agent had accepted.
    pub extra_openings_given_up: u64,
    /// Lookups of the endpoint that holds a flow.
    pub lookups: u64,
    /// Lookups in which all asked agents replied that their endpoints don't hold the flow.
    pub lookups_failed: u64,
    /// Resets sent to callers.
    pub resets: u64,
    /// Data packets of long uploads dropped to limit queueing on a narrow link.
    pub uploads_held_back: u64,
    /// Deltas of the catalog sent to other balancers.
    pub deltas_sent: u64,
    /// Whole catalogs sent to other balancers.
    pub catalogs_sent: u64,
    /// Received deltas that did not lead to the sender's catalog.
    pub deltas_diverged: u64,
    /// Catalogs that were too large to be sent.
    pub limits_exceeded: u64,
    /// Datagrams dropped for any other reason, such as a malformed header or a missing route.
    pub dropped: u64,
    /// Histogram of accepted opening packets by the time until acceptance; the last bucket has no
    /// upper bound.
    opening_waits: [u64; OPENING_WAIT_BUCKETS_MS.len() + 1],
    opening_wait_ms_sum: u64,
}

impl BalancerCounters {
    /// Records the time from an opening packet's arrival until its acceptance.
    pub(crate) fn record_opening_wait(&mut self, wait: Millis) {
        let bucket = OPENING_WAIT_BUCKETS_MS.partition_point(|it| *it < wait.get());
        self.opening_waits[bucket] += 1;
        self.opening_wait_ms_sum += wait.get();
    }

    /// Returns the balancer's metric names with their counter values.
    #[must_use]
    pub const fn named_values(&self) -> [(&'static str, u64); 21] {
        [
            ("caller_packets", self.packets),
            ("openings", self.openings),
            ("openings_repeated", self.openings_repeated),
            ("openings_expired", self.openings_expired),
            ("openings_out_of_zone", self.openings_out_of_zone),
            ("openings_shared", self.openings_shared),
            ("openings_spilled", self.openings_spilled),
            ("openings_handed_back", self.openings_handed_back),
            ("extra_openings", self.extra_openings),
            (
                "extra_openings_refused_budget",
                self.extra_openings_refused_budget,
            ),
            (
                "extra_openings_refused_busy",
                self.extra_openings_refused_busy,
            ),
            ("extra_openings_won", self.extra_openings_won),
            ("extra_openings_given_up", self.extra_openings_given_up),
            ("lookups", self.lookups),
            ("lookups_failed", self.lookups_failed),
            ("resets_sent", self.resets),
            ("uploads_held_back", self.uploads_held_back),
            ("catalog_deltas_sent", self.deltas_sent),
            ("catalogs_sent", self.catalogs_sent),
            ("catalog_deltas_diverged", self.deltas_diverged),
            ("datagrams_dropped", self.dropped),
        ]
    }

    /// Returns the histogram of the time until an opening packet is accepted: the upper bounds of
    /// the buckets, the buckets' counts, and the sum of all times, in milliseconds.
    #[must_use]
    pub const fn opening_wait_histogram(&self) -> (&'static [u64], &[u64], u64) {
        (
            &OPENING_WAIT_BUCKETS_MS,
            &self.opening_waits,
            self.opening_wait_ms_sum,
        )
    }
}
