//! Whether the endpoint beside an agent answers.

use units::Millis;

/// Openings in a row without an answer after which an endpoint counts as silent.
///
/// One may be lost in a full socket buffer; two in a row are not.
const MISSES_MAX: u32 = 2;

/// Time between two openings that are tried on a silent endpoint.
///
/// A caller that is tried loses `visits::ANSWER_TIMEOUT_MS`; four a second bound that and find an
/// endpoint that is back within a quarter of a second.
const TRIAL_INTERVAL_MS: Millis = Millis::new(250);

/// Time between two checks whether a silent endpoint still listens.
const CHECK_INTERVAL_MS: Millis = Millis::new(200);

/// Checks in a row that must be refused before the endpoint's process counts as gone.
///
/// One refusal may come from a health listener that misbehaves while it restarts.
const REFUSALS_MIN: u32 = 2;

/// What the endpoint's answers say about it.
#[derive(Debug, Default)]
pub(crate) struct EndpointHealth {
    /// Openings in a row without an answer.
    misses: u32,
    /// Since when the endpoint is silent.
    ///
    /// Invariant: set exactly if `misses` reached `MISSES_MAX`.
    silent_since: Option<Millis>,
    next_trial: Millis,
    next_check: Millis,
    /// Checks refused in a row.
    refusals: u32,
}

impl EndpointHealth {
    /// Returns whether openings should go elsewhere for now.
    pub(crate) fn is_closed(&self, now: Millis) -> bool {
        self.is_silent() && now < self.next_trial
    }

    pub(crate) const fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// An opening is about to be handed to the endpoint.
    pub(crate) fn asked(&mut self, now: Millis) {
        if self.is_silent() {
            self.next_trial = now.plus(TRIAL_INTERVAL_MS);
        }
    }

    /// An opening was not answered in time; returns the misses if the endpoint counts as silent
    /// from now on.
    pub(crate) fn missed(&mut self, now: Millis) -> Option<u32> {
        self.misses += 1;
        if self.misses < MISSES_MAX || self.is_silent() {
            return None;
        }
        self.silent_since = Some(now);
        self.next_trial = now.plus(TRIAL_INTERVAL_MS);
        self.next_check = now;
        self.refusals = 0;
        Some(self.misses)
    }

    /// The endpoint sent something; returns how long it was silent if it counted as such.
    pub(crate) fn answered(&mut self, now: Millis) -> Option<Millis> {
        self.misses = 0;
        let since = self.silent_since.take()?;
        Some(now.since(since))
    }

    /// Returns whether a check is due, and counts it as made.
    pub(crate) fn wants_check(&mut self, now: Millis) -> bool {
        if !self.is_silent() || self.refusals >= REFUSALS_MIN || now < self.next_check {
            return false;
        }
        self.next_check = now.plus(CHECK_INTERVAL_MS);
        true
    }

    /// Takes a check's result; returns whether the endpoint's process counts as gone from now on.
    pub(crate) const fn checked(&mut self, refused: bool) -> bool {
        if self.silent_since.is_none() || self.refusals >= REFUSALS_MIN {
            return false;
        }
        if !refused {
            self.refusals = 0;
            return false;
        }
        self.refusals += 1;
        self.refusals >= REFUSALS_MIN
    }

    pub(crate) const fn next_check(&self) -> Option<Millis> {
        if self.silent_since.is_some() && self.refusals < REFUSALS_MIN {
            return Some(self.next_check);
        }
        None
    }
}
