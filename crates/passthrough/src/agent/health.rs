//! Detects whether the endpoint beside an agent is responsive.

use units::Millis;

/// Number of consecutive unanswered opening packets after which an endpoint counts as silent.
///
/// A full socket buffer may drop one opening packet, but not two in a row.
const SILENT_AFTER_TIMEOUTS: u32 = 2;

/// Interval between two trial openings, with which an agent tests whether a silent endpoint answers
/// opening packets again.
///
/// A caller whose opening packet serves as a trial waits `deliveries::ANSWER_TIMEOUT_MS` in vain.
/// Four trials a second limit that cost, and detect a recovered endpoint within a quarter of a
/// second.
const TRIAL_INTERVAL_MS: Millis = Millis::new(250);

/// Interval between two connection probes of whether a silent endpoint still listens.
const PROBE_INTERVAL_MS: Millis = Millis::new(200);

/// Number of consecutive refused connection probes after which the endpoint's process counts as
/// gone.
///
/// A single refusal may come from a health listener that misbehaves while it restarts.
const GONE_AFTER_REFUSALS: u32 = 2;

/// Responsiveness of the endpoint beside the agent.
#[derive(Debug, Default)]
pub(crate) struct EndpointHealth {
    /// Number of consecutive opening packets without an answer from the endpoint.
    timeouts: u32,
    /// Time at which the endpoint became silent.
    ///
    /// Invariant: `silent_since` is set if and only if `timeouts` has reached
    /// `SILENT_AFTER_TIMEOUTS`.
    silent_since: Option<Millis>,
    next_trial: Millis,
    next_probe: Millis,
    /// Number of consecutive refused connection probes.
    refusals: u32,
}

impl EndpointHealth {
    /// Returns whether the endpoint is silent and no trial opening is due.
    pub(crate) fn is_closed_to_openings(&self, now: Millis) -> bool {
        self.is_silent() && now < self.next_trial
    }

    pub(crate) const fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// Records that an opening packet is being delivered to the endpoint, and schedules the next
    /// trial opening if the endpoint is silent.
    pub(crate) fn on_opening_offered(&mut self, now: Millis) {
        if self.is_silent() {
            self.next_trial = now.plus(TRIAL_INTERVAL_MS);
        }
    }

    /// Records that the endpoint did not answer an opening packet in time.
    ///
    /// Returns the number of consecutive timeouts if the endpoint now starts to count as silent.
    pub(crate) fn on_opening_timeout(&mut self, now: Millis) -> Option<u32> {
        self.timeouts += 1;
        if self.timeouts < SILENT_AFTER_TIMEOUTS || self.is_silent() {
            return None;
        }
        self.silent_since = Some(now);
        self.next_trial = now.plus(TRIAL_INTERVAL_MS);
        self.next_probe = now;
        self.refusals = 0;
        Some(self.timeouts)
    }

    /// Records a packet from the endpoint.
    ///
    /// Returns how long the endpoint was silent if it counted as silent.
    pub(crate) fn on_endpoint_packet(&mut self, now: Millis) -> Option<Millis> {
        self.timeouts = 0;
        let since = self.silent_since.take()?;
        Some(now.since(since))
    }

    /// Returns whether a connection probe is due, and schedules the next probe if so.
    pub(crate) fn take_due_probe(&mut self, now: Millis) -> bool {
        if !self.is_silent() || self.refusals >= GONE_AFTER_REFUSALS || now < self.next_probe {
            return false;
        }
        self.next_probe = now.plus(PROBE_INTERVAL_MS);
        true
    }

    /// Records the result of a connection probe, and returns whether the endpoint's process now
    /// starts to count as gone.
    pub(crate) const fn on_probe_result(&mut self, refused: bool) -> bool {
        if self.silent_since.is_none() || self.refusals >= GONE_AFTER_REFUSALS {
            return false;
        }
        if !refused {
            self.refusals = 0;
            return false;
        }
        self.refusals += 1;
        self.refusals >= GONE_AFTER_REFUSALS
    }

    pub(crate) const fn next_probe_at(&self) -> Option<Millis> {
        if self.silent_since.is_some() && self.refusals < GONE_AFTER_REFUSALS {
            return Some(self.next_probe);
        }
        None
    }
}
