//! Detects endpoints that fail requests or crash repeatedly.
//!
//! Health checks can be wrong, so only the results that callers see are counted. An outlier gets a
//! penalty on its utilization: new flows prefer other endpoints, and go to the outlier only if no
//! other endpoint has a free slot. If all endpoints of a service fail alike, or report wrongly, the
//! penalties cancel out.

use units::Millis;

use crate::message::{UTILIZATION_FULL, Utilization};

/// Number of latest requests whose outcomes are tracked, with one bit each.
const OUTCOMES_TRACKED: u32 = 16;

/// Minimum number of failures among the tracked requests for an endpoint to count as failing.
///
/// A threshold of a quarter tolerates occasional resets and callers that give up; relevant faults
/// fail more requests.
const FAILING_MIN_FAILURES: u32 = 4;

/// Interval between two trial openings, with which an agent tests whether a failing endpoint has
/// recovered. Four trials a second detect a recovery within a few seconds.
const TRIAL_INTERVAL_MS: Millis = Millis::new(250);

/// Hold-off after a crash, in which new flows prefer other endpoints. The hold-off doubles with
/// each further crash within `CRASH_SERIES_MS`.
///
/// The initial hold-off is about as long as a restarted endpoint takes to warm up.
const HOLD_OFF_MS: Millis = Millis::new(1_000);

/// Maximum number of times that repeated crashes double the hold-off after a crash.
const HOLD_OFF_DOUBLINGS_MAX: u32 = 3;

/// Time after a crash within which another crash counts as repeated.
const CRASH_SERIES_MS: Millis = Millis::new(15_000);

/// Time within which several signs of a crash count as the same crash.
const SAME_CRASH_MS: Millis = Millis::new(500);

/// Utilization penalty during the hold-off after a crash, as if all concurrency slots were taken.
const HOLD_OFF_PENALTY: Utilization = UTILIZATION_FULL;

/// Utilization penalty of a failing endpoint. It exceeds the penalty after a crash, because
/// requests that fail quickly always leave free slots.
const FAILING_PENALTY: Utilization = 4 * UTILIZATION_FULL;

/// Outcome of a caller's request at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The endpoint answered the request.
    Answered,
    /// The endpoint aborted the request's flow, or the caller gave up.
    Failed,
}

/// Detects whether the endpoint is an outlier.
#[derive(Debug, Default)]
pub(crate) struct OutlierDetector {
    /// Outcomes of the latest requests, one bit each, the newest in the lowest bit. A set bit is a
    /// failure.
    outcomes: u32,
    /// Invariant: `is_failing` tells whether the failures in `outcomes` reach
    /// `FAILING_MIN_FAILURES`.
    is_failing: bool,
    next_trial: Millis,
    last_crash: Option<Millis>,
    /// Number of crashes in a row that each followed the previous crash within `CRASH_SERIES_MS`.
    repeated_crashes: u32,
    held_off_until: Millis,
}

impl OutlierDetector {
    /// Records a request's outcome and returns whether `is_failing` changed.
    pub(crate) fn record_request_outcome(&mut self, now: Millis, outcome: RequestOutcome) -> bool {
        let bit = u32::from(outcome == RequestOutcome::Failed);
        self.outcomes = ((self.outcomes << 1) | bit) & ((1 << OUTCOMES_TRACKED) - 1);
        let was_failing = self.is_failing;
        self.is_failing = self.failure_count() >= FAILING_MIN_FAILURES;
        if self.is_failing && !was_failing {
            self.next_trial = now.plus(TRIAL_INTERVAL_MS);
        }
        self.is_failing != was_failing
    }

    /// Records that the endpoint crashed and lost its flows.
    ///
    /// Returns the hold-off after the crash, or `None` if the crash was recorded before.
    pub(crate) fn record_crash(&mut self, now: Millis) -> Option<Millis> {
        let since = self.last_crash.map(|it| now.since(it));
        if since.is_some_and(|it| it < SAME_CRASH_MS) {
            return None;
        }
        self.last_crash = Some(now);
        let is_repeated = since.is_some_and(|it| it < CRASH_SERIES_MS);
        self.repeated_crashes = if is_repeated {
            self.repeated_crashes + 1
        } else {
            0
        };
        let doublings = self.repeated_crashes.min(HOLD_OFF_DOUBLINGS_MAX);
        let hold_off = Millis::new(HOLD_OFF_MS.get() << doublings);
        self.held_off_until = now.plus(hold_off);
        Some(hold_off)
    }

    /// Records that an opening packet is being delivered to the endpoint, and schedules the next
    /// trial opening if the endpoint is failing.
    pub(crate) fn on_opening_offered(&mut self, now: Millis) {
        if self.is_failing {
            self.next_trial = now.plus(TRIAL_INTERVAL_MS);
        }
    }

    /// Returns the outlier penalty to add to the endpoint's utilization.
    pub(crate) fn utilization_penalty(&self, now: Millis) -> Utilization {
        if self.is_failing && now < self.next_trial {
            return FAILING_PENALTY;
        }
        if now < self.held_off_until {
            return HOLD_OFF_PENALTY;
        }
        0
    }

    /// Returns the number of failures among the tracked latest requests.
    pub(crate) const fn failure_count(&self) -> u32 {
        self.outcomes.count_ones()
    }
}
