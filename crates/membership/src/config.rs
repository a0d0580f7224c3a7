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
    pub second_look_interval_ms: Millis,
    /// Sustained rate of such probes, and of checks for unanswered datagrams, a second.
    pub second_looks_per_second: u64,
    /// Time between the probes of a dead member, before jitter.
    pub revive_interval_ms: Millis,
    /// Time after which a suspected member is taken as dead.
    pub dead_after_ms: Millis,
    /// Time after which a dead balancer is forgotten.
    pub forget_after_ms: Millis,
    /// Balancers that watch each member.
    pub watchers: usize,
    /// Balancers asked to probe on behalf of a check, each time.
    pub helpers: usize,
    /// Gap between two ticks that counts as a pause of this process.
    pub pause_ms: Millis,
    /// Time after a pause in which this process suspects nobody.
    pub grace_ms: Millis,
    /// Age up to which a reported suspicion is believed without a check of one's own.
    pub claim_age_max_ms: Millis,
    /// Silence of one's own below which a reported suspicion is not believed without a check.
    pub believed_silence_ms: Millis,
    /// Time after its return for which a balancer's suspicions are not believed without a check.
    ///
    /// After a partition heals, the other side's suspicions of this side must not count.
    pub sender_settled_ms: Millis,
    /// Silence of the whole fleet that does not count towards a check: the fault may be one's own.
    pub isolation_ms: Millis,
    /// How many times the lateness of this process's ticks extends its checks.
    pub lag_factor: u64,
    /// Time between two exchanges with a random balancer.
    pub sync_interval_ms: Millis,
    /// Checks of reported suspicions that may run at once.
    pub verify_max: usize,
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
            second_look_interval_ms: Millis::new(700),
            second_looks_per_second: 20,
            revive_interval_ms: Millis::new(1_000),
            dead_after_ms: Millis::new(5_000),
            forget_after_ms: Millis::new(600_000),
            watchers: 3,
            helpers: 2,
            pause_ms: Millis::new(400),
            grace_ms: Millis::new(1_000),
            claim_age_max_ms: Millis::new(3_000),
            believed_silence_ms: Millis::new(800),
            sender_settled_ms: Millis::new(5_000),
            isolation_ms: Millis::new(400),
            lag_factor: 2,
            sync_interval_ms: Millis::new(1_000),
            verify_max: 32,
            gossip_bytes_per_second: 6_000,
            probes_per_second: 150,
            gossip_burst_bytes: 48_000,
        }
    }

    /// Replaces the time after a pause in which this process suspects nobody.
    #[must_use]
    pub const fn with_grace(mut self, grace_ms: Millis) -> Self {
        self.grace_ms = grace_ms;
        self
    }

    /// Replaces the gap between ticks that counts as a pause.
    #[must_use]
    pub const fn with_pause(mut self, pause_ms: Millis) -> Self {
        self.pause_ms = pause_ms;
        self
    }

    /// Replaces the silence of the whole fleet that does not count towards a check.
    #[must_use]
    pub const fn with_isolation(mut self, isolation_ms: Millis) -> Self {
        self.isolation_ms = isolation_ms;
        self
    }

    /// Replaces the age up to which a reported suspicion is believed.
    #[must_use]
    pub const fn with_claim_age_max(mut self, claim_age_max_ms: Millis) -> Self {
        self.claim_age_max_ms = claim_age_max_ms;
        self
    }

    /// Replaces how many times late ticks extend checks.
    #[must_use]
    pub const fn with_lag_factor(mut self, lag_factor: u64) -> Self {
        self.lag_factor = lag_factor;
        self
    }

    /// Replaces the silence of one's own below which a reported suspicion is not believed.
    #[must_use]
    pub const fn with_believed_silence(mut self, believed_silence_ms: Millis) -> Self {
        self.believed_silence_ms = believed_silence_ms;
        self
    }

    /// Replaces the time after its return for which a balancer's suspicions are not believed.
    #[must_use]
    pub const fn with_sender_settled(mut self, sender_settled_ms: Millis) -> Self {
        self.sender_settled_ms = sender_settled_ms;
        self
    }

    /// Replaces the number of balancers asked to probe on behalf of a check.
    #[must_use]
    pub const fn with_helpers(mut self, helpers: usize) -> Self {
        self.helpers = helpers;
        self
    }
}
