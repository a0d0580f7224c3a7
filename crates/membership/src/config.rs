//! Intervals and limits of the liveness protocol.

use units::Millis;

/// Intervals and limits of the liveness protocol.
#[derive(Debug, Clone)]
pub struct Config {
    /// Time without evidence after which a watched member is probed.
    pub probe_interval_ms: Millis,
    /// Time after which an unanswered probe starts a check.
    pub ack_timeout_ms: Millis,
    /// Time between the probes of a check.
    pub check_interval_ms: Millis,
    /// Length of a check, from its first unanswered probe to the suspicion.
    pub check_window_ms: Millis,
    /// Time between the probes of a suspected member.
    pub suspect_probe_interval_ms: Millis,
    /// Time between the probes of a member that only others suspected.
    pub unwatched_suspect_probe_interval_ms: Millis,
    /// Sustained rate of such probes, and of checks for unanswered datagrams, a second.
    pub weak_evidence_probes_per_second: u64,
    /// Time between the probes of a dead member, before jitter.
    pub dead_probe_interval_ms: Millis,
    /// Time after which a suspected member is taken as dead.
    pub suspicion_timeout_ms: Millis,
    /// Time after which a dead balancer is forgotten.
    pub dead_retention_ms: Millis,
    /// Balancers that watch each member.
    pub watchers_per_member: usize,
    /// Balancers asked to probe on behalf of a check, each time.
    pub indirect_probers: usize,
    /// Gap between two ticks that counts as a pause of this process.
    pub pause_threshold_ms: Millis,
    /// Time after a pause in which this process suspects nobody.
    pub pause_grace_ms: Millis,
    /// Age up to which a reported suspicion is believed without a check of one's own.
    pub report_age_max_ms: Millis,
    /// Silence of one's own below which a reported suspicion is not believed without a check.
    pub corroborating_silence_ms: Millis,
    /// Time after its return for which a balancer's suspicions are not believed without a check.
    ///
    /// After a partition heals, the other side's suspicions of this side must not count.
    pub sender_probation_ms: Millis,
    /// Silence of the whole fleet that does not count towards a check: the fault may be one's own.
    pub isolation_threshold_ms: Millis,
    /// How many times the lateness of this process's ticks extends its checks.
    pub tick_lag_factor: u64,
    /// Time between two exchanges with a random balancer.
    pub sync_interval_ms: Millis,
    /// Checks of reported suspicions that may run at once.
    pub concurrent_checks_max: usize,
    /// Sustained rate of gossip in bytes a second.
    pub gossip_bytes_per_second: u64,
    /// Sustained rate of probes a second; revivals wait when it is used up.
    pub probes_per_second: u64,
    /// Gossip that may be sent at once after a quiet time.
    pub gossip_burst_bytes: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self::new()
    }
}

impl Config {
    /// Makes the configuration that the fleet runs with.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            probe_interval_ms: Millis::new(800),
            ack_timeout_ms: Millis::new(200),
            check_interval_ms: Millis::new(100),
            check_window_ms: Millis::new(700),
            suspect_probe_interval_ms: Millis::new(200),
            unwatched_suspect_probe_interval_ms: Millis::new(700),
            weak_evidence_probes_per_second: 20,
            dead_probe_interval_ms: Millis::new(1_000),
            suspicion_timeout_ms: Millis::new(5_000),
            dead_retention_ms: Millis::new(600_000),
            watchers_per_member: 3,
            indirect_probers: 2,
            pause_threshold_ms: Millis::new(400),
            pause_grace_ms: Millis::new(1_000),
            report_age_max_ms: Millis::new(3_000),
            corroborating_silence_ms: Millis::new(800),
            sender_probation_ms: Millis::new(5_000),
            isolation_threshold_ms: Millis::new(400),
            tick_lag_factor: 2,
            sync_interval_ms: Millis::new(1_000),
            concurrent_checks_max: 32,
            gossip_bytes_per_second: 6_000,
            probes_per_second: 150,
            gossip_burst_bytes: 48_000,
        }
    }

    /// Replaces the time after a pause in which this process suspects nobody.
    #[must_use]
    pub const fn with_pause_grace(mut self, pause_grace_ms: Millis) -> Self {
        self.pause_grace_ms = pause_grace_ms;
        self
    }

    /// Replaces the gap between ticks that counts as a pause.
    #[must_use]
    pub const fn with_pause_threshold(mut self, pause_threshold_ms: Millis) -> Self {
        self.pause_threshold_ms = pause_threshold_ms;
        self
    }

    /// Replaces the silence of the whole fleet that does not count towards a check.
    #[must_use]
    pub const fn with_isolation_threshold(mut self, isolation_threshold_ms: Millis) -> Self {
        self.isolation_threshold_ms = isolation_threshold_ms;
        self
    }

    /// Replaces the age up to which a reported suspicion is believed.
    #[must_use]
    pub const fn with_report_age_max(mut self, report_age_max_ms: Millis) -> Self {
        self.report_age_max_ms = report_age_max_ms;
        self
    }

    /// Replaces how many times late ticks extend checks.
    #[must_use]
    pub const fn with_tick_lag_factor(mut self, tick_lag_factor: u64) -> Self {
        self.tick_lag_factor = tick_lag_factor;
        self
    }

    /// Replaces the silence of one's own below which a reported suspicion is not believed.
    #[must_use]
    pub const fn with_corroborating_silence(mut self, corroborating_silence_ms: Millis) -> Self {
        self.corroborating_silence_ms = corroborating_silence_ms;
        self
    }

    /// Replaces the time after its return for which a balancer's suspicions are not believed.
    #[must_use]
    pub const fn with_sender_probation(mut self, sender_probation_ms: Millis) -> Self {
        self.sender_probation_ms = sender_probation_ms;
        self
    }

    /// Replaces the number of balancers asked to probe on behalf of a check.
    #[must_use]
    pub const fn with_indirect_probers(mut self, indirect_probers: usize) -> Self {
        self.indirect_probers = indirect_probers;
        self
    }
}
