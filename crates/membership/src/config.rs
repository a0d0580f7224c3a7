//! Timeouts and rate limits of the failure detector.

use units::Millis;

/// Timeouts and rate limits of the failure detector.
#[derive(Debug, Clone)]
pub struct Config {
    /// Time without direct evidence that a watched member is alive, after which it is probed.
    pub probe_interval_ms: Millis,
    /// Time after which an unanswered probe starts a failure check.
    pub ack_timeout_ms: Millis,
    /// Time between the probes of a failure check.
    pub check_interval_ms: Millis,
    /// Length of a failure check, from the first unanswered probe until the member is suspected.
    pub check_window_ms: Millis,
    /// Time between the probes of a suspected member that this process watches.
    pub suspect_probe_interval_ms: Millis,
    /// Time between the probes of a suspected member that this process does not watch.
    pub unwatched_suspect_probe_interval_ms: Millis,
    /// Rate limit, per second, shared by probes of suspected members that this process does not
    /// watch and failure checks that unanswered traffic starts.
    pub weak_evidence_probes_per_second: u64,
    /// Time between the probes of a dead member that this process watches, before jitter.
    pub dead_probe_interval_ms: Millis,
    /// Time after which a suspected member is declared dead.
    pub suspicion_timeout_ms: Millis,
    /// Time after which a dead balancer is removed from the member table.
    pub dead_retention_ms: Millis,
    /// Number of balancers that watch each member, that is, probe it periodically.
    pub watchers_per_member: usize,
    /// Number of balancers that a failure check asks each time for an indirect probe.
    pub indirect_probers: usize,
    /// Minimum gap between two ticks that counts as a pause of this process, in which it didn't
    /// run.
    pub pause_threshold_ms: Millis,
    /// Time after a pause of this process during which it suspects no member.
    pub pause_grace_ms: Millis,
    /// Age up to which a suspicion reported by gossip is accepted without a local failure check.
    pub report_age_max_ms: Millis,
    /// Minimum time without direct evidence of a member for a reported suspicion of it to be
    /// accepted without a local failure check.
    pub corroborating_silence_ms: Millis,
    /// Time after a balancer's recovery during which its reports of suspicions are accepted only
    /// after a local failure check.
    ///
    /// After a partition heals, the suspicions that balancers on the other side hold against
    /// members on this side must not remove these members.
    pub sender_probation_ms: Millis,
    /// Minimum silence of all members that is excluded from failure checks, since the fault may be
    /// local to this process.
    pub isolation_threshold_ms: Millis,
    /// Multiple of the recent delay of this process's ticks by which its failure checks are
    /// extended.
    pub tick_lag_factor: u64,
    /// Time between two anti-entropy exchanges with a random balancer, before jitter.
    pub sync_interval_ms: Millis,
    /// Maximum number of concurrent failure checks; beyond it, reported suspicions, hints and
    /// traffic start no further checks.
    pub concurrent_checks_max: usize,
    /// Rate limit of gossip in bytes per second.
    pub gossip_bytes_per_second: u64,
    /// Rate limit of probes per second; beyond it, scheduled probes are postponed and indirect
    /// probes are dropped.
    pub probes_per_second: u64,
    /// Burst size of the gossip rate limit: bytes that may be sent at once after a quiet time.
    pub gossip_burst_bytes: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self::new()
    }
}

impl Config {
    /// Returns the default timeouts and rate limits.
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

    /// Sets the time after a pause during which this process suspects no member.
    #[must_use]
    pub const fn with_pause_grace(mut self, pause_grace_ms: Millis) -> Self {
        self.pause_grace_ms = pause_grace_ms;
        self
    }

    /// Sets the minimum gap between two ticks that counts as a pause of this process.
    #[must_use]
    pub const fn with_pause_threshold(mut self, pause_threshold_ms: Millis) -> Self {
        self.pause_threshold_ms = pause_threshold_ms;
        self
    }

    /// Sets the minimum silence of all members that is excluded from failure checks.
    #[must_use]
    pub const fn with_isolation_threshold(mut self, isolation_threshold_ms: Millis) -> Self {
        self.isolation_threshold_ms = isolation_threshold_ms;
        self
    }

    /// Sets the age up to which a suspicion reported by gossip is accepted without a local failure
    /// check.
    #[must_use]
    pub const fn with_report_age_max(mut self, report_age_max_ms: Millis) -> Self {
        self.report_age_max_ms = report_age_max_ms;
        self
    }

    /// Sets the multiple of the recent tick delay by which failure checks are extended.
    #[must_use]
    pub const fn with_tick_lag_factor(mut self, tick_lag_factor: u64) -> Self {
        self.tick_lag_factor = tick_lag_factor;
        self
    }

    /// Sets the minimum time without direct evidence of a member for a reported suspicion of it to
    /// be accepted without a local failure check.
    #[must_use]
    pub const fn with_corroborating_silence(mut self, corroborating_silence_ms: Millis) -> Self {
        self.corroborating_silence_ms = corroborating_silence_ms;
        self
    }

    /// Sets the time after a balancer's recovery during which its reports of suspicions are
    /// accepted only after a local failure check.
    #[must_use]
    pub const fn with_sender_probation(mut self, sender_probation_ms: Millis) -> Self {
        self.sender_probation_ms = sender_probation_ms;
        self
    }

    /// Sets the number of balancers that a failure check asks each time for an indirect probe.
    #[must_use]
    pub const fn with_indirect_probers(mut self, indirect_probers: usize) -> Self {
        self.indirect_probers = indirect_probers;
        self
    }
}
