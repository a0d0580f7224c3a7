//! What an agent counts.

/// What an agent has counted since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct AgentCounters {
    /// Openings handed to the endpoint.
    pub offered: u64,
    /// Openings that the endpoint did not answer in time.
    pub unanswered: u64,
    /// Packets of callers that carry no opening.
    pub segments: u64,
    /// Packets of the endpoint sent to callers.
    pub answers: u64,
    /// Searches for a flow's holder on a balancer's behalf.
    pub searches: u64,
    /// Packets that the endpoint handed back.
    pub returned: u64,
    /// Packets passed on to another agent or back.
    pub passed_on: u64,
    /// Packets sent back to their balancer.
    pub sent_back: u64,
    /// Packets meant for another service.
    pub other_service: u64,
    /// Resets sent to callers.
    pub resets: u64,
    /// Datagrams dropped.
    pub dropped: u64,
}

impl AgentCounters {
    /// Lists names and values.
    #[must_use]
    pub const fn list(&self) -> [(&'static str, u64); 11] {
        [
            ("openings_offered", self.offered),
            ("openings_unanswered", self.unanswered),
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
