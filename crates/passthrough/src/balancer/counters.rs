//! What a balancer counts.

use units::Millis;

/// Upper bounds of the buckets of time until an opening was accepted, in milliseconds.
const BUCKETS_MS: [u64; 8] = [1, 2, 5, 10, 20, 50, 100, 500];

/// What a balancer has counted since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct BalancerCounters {
    /// Packets of callers.
    pub packets: u64,
    /// Openings offered to endpoints.
    pub openings: u64,
    /// Openings offered again since no answer came.
    pub openings_repeated: u64,
    /// Openings given up since the caller has given up.
    pub openings_expired: u64,
    /// Lookups of a flow's holder.
    pub lookups: u64,
    /// Lookups in which no agent holds the flow.
    pub lookups_failed: u64,
    /// Resets sent to callers.
    pub resets: u64,
    /// Data packets of long uploads dropped so that a narrow link stays usable.
    pub uploads_held_back: u64,
    /// Datagrams dropped.
    pub dropped: u64,
    /// Accepted openings by time until the answer; the last bucket has no upper bound.
    accepted: [u64; BUCKETS_MS.len() + 1],
    accepted_ms_sum: u64,
}

impl BalancerCounters {
    /// Counts an opening that was accepted after `wait`.
    pub(crate) fn note_opening(&mut self, wait: Millis) {
        let bucket = BUCKETS_MS.partition_point(|it| *it < wait.get());
        self.accepted[bucket] += 1;
        self.accepted_ms_sum += wait.get();
    }

    /// Lists names and values.
    #[must_use]
    pub const fn list(&self) -> [(&'static str, u64); 9] {
        [
            ("caller_packets", self.packets),
            ("openings", self.openings),
            ("openings_repeated", self.openings_repeated),
            ("openings_expired", self.openings_expired),
            ("lookups", self.lookups),
            ("lookups_failed", self.lookups_failed),
            ("resets_sent", self.resets),
            ("uploads_held_back", self.uploads_held_back),
            ("datagrams_dropped", self.dropped),
        ]
    }

    /// Returns the upper bounds of the time until an opening was accepted, the counts and the sum
    /// of all times, in milliseconds.
    #[must_use]
    pub const fn opening_wait_histogram(&self) -> (&'static [u64], &[u64], u64) {
        (&BUCKETS_MS, &self.accepted, self.accepted_ms_sum)
    }
}
