//! What the endpoint beside an agent did with its requests lately.
//!
//! Health checks may say anything, so only what callers get counts. An endpoint with a bad record is
//! full in the agent's eyes: openings prefer others, and come here if no other has room. Where all
//! endpoints of a service are alike, a fault or lie changes nothing.

use units::Millis;

use crate::message::{FULL, Fullness};

/// Requests remembered; one bit each.
const OUTCOMES: u32 = 16;

/// Failures among the requests remembered from which an endpoint counts as failing. A quarter: single
/// resets and callers that give up are ordinary, and faults that matter take more.
const FAILURES_MIN: u32 = 4;

/// Time between two openings that a failing endpoint is tried with; four a second find within a few
/// seconds that it works again.
const TRIAL_INTERVAL_MS: Millis = Millis::new(250);

/// Time for which openings prefer others after an endpoint came back from a crash, doubled by each
/// crash that follows soon. An endpoint starts cold for about as long.
const HOLD_OFF_MS: Millis = Millis::new(1_000);

/// Crashes in a row that still double the time.
const HOLD_OFF_DOUBLINGS: u32 = 3;

/// Time after a crash in which the next one counts as in a row.
const CRASHES_RELATED_MS: Millis = Millis::new(15_000);

/// Time in which several signs of a crash mean the same one.
const SAME_CRASH_MS: Millis = Millis::new(500);

/// What an endpoint that was held off is taken to have in its slots besides its requests.
const HELD_OFF: Fullness = FULL;

/// The same for a failing endpoint, which ends its requests so fast that it always has room.
const FAILING: Fullness = 4 * FULL;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The endpoint sent an answer.
    Answered,
    /// The endpoint broke the flow off, or the caller gave up.
    Failed,
}

/// The endpoint's record.
#[derive(Debug, Default)]
pub(crate) struct EndpointRecord {
    /// The last requests, the latest in the lowest bit; set if it failed.
    outcomes: u32,
    /// Invariant: whether the failures in `outcomes` reach `FAILURES_MIN`.
    is_failing: bool,
    next_trial: Millis,
    last_crash: Option<Millis>,
    /// Crashes that followed each other soon.
    crashes: u32,
    held_off_until: Millis,
}

impl EndpointRecord {
    /// Adds a request; returns whether the endpoint began or ceased to count as failing.
    pub(crate) fn note(&mut self, now: Millis, outcome: Outcome) -> bool {
        let bit = u32::from(outcome == Outcome::Failed);
        self.outcomes = ((self.outcomes << 1) | bit) & ((1 << OUTCOMES) - 1);
        let was_failing = self.is_failing;
        self.is_failing = self.failures() >= FAILURES_MIN;
        if self.is_failing && !was_failing {
            self.next_trial = now.plus(TRIAL_INTERVAL_MS);
        }
        self.is_failing != was_failing
    }

    /// The endpoint lost its flows; returns for how long openings prefer others, none if that is known.
    pub(crate) fn crashed(&mut self, now: Millis) -> Option<Millis> {
        let since = self.last_crash.map(|it| now.since(it));
        if since.is_some_and(|it| it < SAME_CRASH_MS) {
            return None;
        }
        self.last_crash = Some(now);
        let is_related = since.is_some_and(|it| it < CRASHES_RELATED_MS);
        self.crashes = if is_related { self.crashes + 1 } else { 0 };
        let doublings = self.crashes.min(HOLD_OFF_DOUBLINGS);
        let hold_off = Millis::new(HOLD_OFF_MS.get() << doublings);
        self.held_off_until = now.plus(hold_off);
        Some(hold_off)
    }

    /// An opening is about to be handed to the endpoint.
    pub(crate) fn offered(&mut self, now: Millis) {
        if self.is_failing {
            self.next_trial = now.plus(TRIAL_INTERVAL_MS);
        }
    }

    /// Returns what to add to the endpoint's fullness.
    pub(crate) fn penalty(&self, now: Millis) -> Fullness {
        if self.is_failing && now < self.next_trial {
            return FAILING;
        }
        if now < self.held_off_until {
            return HELD_OFF;
        }
        0
    }

    /// Returns the failures among the requests remembered.
    pub(crate) const fn failures(&self) -> u32 {
        self.outcomes.count_ones()
    }
}
