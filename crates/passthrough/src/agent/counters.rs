//! Counters of an agent.

use units::Millis;

/// Upper bounds of the buckets of the histogram of the waits of openings at the agent, in
/// milliseconds.
const HELD_WAIT_BUCKETS_MS: [u64; 6] = [5, 10, 20, 50, 100, 150];

/// Counters of an agent since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct AgentCounters {
    /// Opening packets delivered to the endpoint.
    pub offered: u64,
    /// Opening packets that the endpoint did not answer in time.
    pub unanswered: u64,
    /// Opening packets passed on because a cold endpoint has got as many as it bears.
    pub paced: u64,
    /// Packets from callers other than opening packets.
    pub segments: u64,
    /// Packets from the endpoint sent to callers.
    pub answers: u64,
    /// Lookup requests handled for balancers.
    pub searches: u64,
    /// Packets of lookups passed on to the next agent because the endpoint was silent.
    pub lookups_unanswered: u64,
    /// Packets of flows other than the one of the same addresses and ports that the endpoint accepted.
    pub other_flow: u64,
    /// Resets and acknowledgements with which the endpoint answered a lookup on behalf of a flow that
    /// it had ended.
    pub ended_flow_answers: u64,
    /// Deliveries no longer tracked, before the endpoint had answered, because too many were.
    pub deliveries_untracked: u64,
    /// Packets that the endpoint returned because it did not hold or accept their flow.
    pub returned: u64,
    /// Packets that the endpoint did not take and that the agent forwarded to another agent or
    /// returned to a balancer.
    pub passed_on: u64,
    /// Packets returned to a balancer because no candidate agent was left.
    pub sent_back: u64,
    /// Packets for a service other than the endpoint's.
    pub other_service: u64,
    /// Resets sent to callers.
    pub resets: u64,
    /// Openings that waited at the agent for a slot.
    pub held: u64,
    /// Openings delivered although no slot was free, because no further one could wait.
    pub not_held: u64,
    /// Openings that waited and went back to their balancers.
    pub handed_on: u64,
    /// Openings that waited and were dropped, after a stall or because their callers used their ports
    /// for newer ones.
    pub held_dropped: u64,
    /// Histogram of the waits of delivered openings; the last bucket has no upper bound.
    held_waits: [u64; HELD_WAIT_BUCKETS_MS.len() + 1],
    held_wait_ms_sum: u64,
    /// Datagrams dropped because they were malformed or had no known delivery.
    pub dropped: u64,
}

impl AgentCounters {
    /// Records how long an opening waited at the agent before it was delivered.
    pub(crate) fn record_opening_wait(&mut self, wait: Millis) {
        let bucket = HELD_WAIT_BUCKETS_MS.partition_point(|it| *it < wait.get());
        self.held_waits[bucket] += 1;
        self.held_wait_ms_sum += wait.get();
    }

    /// Returns the histogram of the time for which delivered openings waited at the agent: the upper
    /// bounds of the buckets, the buckets' counts, and the sum of all times, in milliseconds.
    #[must_use]
    pub const fn held_wait_histogram(&self) -> (&'static [u64], &[u64], u64) {
        (
            &HELD_WAIT_BUCKETS_MS,
            &self.held_waits,
            self.held_wait_ms_sum,
        )
    }

    /// Returns the agent's metric names with their counter values.
    #[must_use]
    pub const fn named_values(&self) -> [(&'static str, u64); 20] {
        [
            ("openings_offered", self.offered),
            ("openings_unanswered", self.unanswered),
            ("openings_paced", self.paced),
            ("segments", self.segments),
            ("answers", self.answers),
            ("searches", self.searches),
            ("lookups_unanswered", self.lookups_unanswered),
            ("packets_other_flow", self.other_flow),
            ("ended_flow_answers", self.ended_flow_answers),
            ("deliveries_untracked", self.deliveries_untracked),
            ("packets_returned", self.returned),
            ("packets_passed_on", self.passed_on),
            ("packets_sent_back", self.sent_back),
            ("packets_other_service", self.other_service),
            ("resets_sent", self.resets),
            ("openings_held", self.held),
            ("openings_not_held", self.not_held),
            ("openings_handed_on", self.handed_on),
            ("openings_held_dropped", self.held_dropped),
            ("datagrams_dropped", self.dropped),
        ]
    }
}
