//! Counters of an agent.

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
    /// Datagrams dropped because they were malformed or had no known delivery.
    pub dropped: u64,
}

impl AgentCounters {
    /// Returns the agent's metric names with their counter values.
    #[must_use]
    pub const fn named_values(&self) -> [(&'static str, u64); 12] {
        [
            ("openings_offered", self.offered),
            ("openings_unanswered", self.unanswered),
            ("openings_paced", self.paced),
            ("segments", self.segments),
            ("answers", self.answers),
            ("searches", self.searches),
            ("packets_returned", self.returned),
            ("packets_passed_on", self.passed_on),
            ("packets_sent_back", self.sent_back),
            ("packets_other_service", self.other_service),
            ("resets_sent", self.resets),
            ("datagrams_dropped", self.dropped),
        ]
    }
}
