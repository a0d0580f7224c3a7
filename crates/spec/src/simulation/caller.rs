//! Simulated callers. A caller creates an idempotency key and retries its request until the outcome
//! is known or no attempts are left.

use admission::at_most_once::Attempt;
use rand::Rng as _;
use units::{EndpointId, Millis};

use super::{
    CLOCK_SKEW_MAX_MS, ENDPOINTS, Simulation,
    event::{Event, Message, Request},
};

/// Maximum number of attempts of a request under one idempotency key.
const ATTEMPTS_MAX: u32 = 4;

/// Mean time between the creation of two idempotency keys.
const KEY_INTERVAL_MS: u64 = 20;

/// Time without an answer after which a caller retries a request.
const RETRY_TIMEOUT_MS: u64 = 4_000;

/// Outcome of an attempt as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The upstream answered the attempt, or an earlier attempt ran.
    Answered,
    NotRun,
    Unknown,
}

/// All idempotency keys that the callers have created.
#[derive(Debug, Default)]
pub(super) struct Callers {
    keys: Vec<KeyRecord>,
}

/// A caller's idempotency key and the history of its request.
#[derive(Debug)]
pub(super) struct KeyRecord {
    first_sent_ms: Millis,
    /// The attempt that the caller sent last.
    last_attempt: Attempt,
    is_done: bool,
    pub(super) runs: u32,
    /// The first attempt that ran at an upstream.
    pub(super) first_run_attempt: Option<Attempt>,
    /// The highest attempt that was answered with "not run".
    pub(super) highest_not_run: Attempt,
}

impl Callers {
    pub(super) fn key_mut(&mut self, key: usize) -> &mut KeyRecord {
        &mut self.keys[key]
    }
}

impl Simulation {
    pub(super) fn create_key(&mut self) {
        let skew_ms = self.rng.random_range(0..2 * CLOCK_SKEW_MAX_MS);
        let key = self.callers.keys.len();
        self.callers.keys.push(KeyRecord {
            first_sent_ms: Millis::new(self.now_ms + skew_ms - CLOCK_SKEW_MAX_MS),
            last_attempt: Attempt::default(),
            is_done: false,
            runs: 0,
            first_run_attempt: None,
            highest_not_run: Attempt::default(),
        });
        self.report.keys += 1;
        self.send_attempt(key);
        let wait_ms = self.rng.random_range(1..KEY_INTERVAL_MS * 2);
        self.queue.push(self.now_ms + wait_ms, Event::NewKey);
    }

    /// Sends a request's next attempt to a random agent, unless the caller knows the outcome or has
    /// no attempts left.
    pub(super) fn send_attempt(&mut self, key: usize) {
        let record = &mut self.callers.keys[key];
        if record.is_done || record.last_attempt.get() >= ATTEMPTS_MAX {
            return;
        }
        record.last_attempt = record.last_attempt.next();
        let request = Request {
            key,
            attempt: record.last_attempt,
            first_sent_ms: record.first_sent_ms,
        };
        self.report.attempts += 1;
        let to = EndpointId::new(self.rng.random_range(0..ENDPOINTS));
        // A connection delivers a request at most once, so requests aren't duplicated.
        if !self.random_bool_percent(self.faults.lost_percent) {
            let delay_ms = self.random_delay_ms();
            let message = Message::Request(request);
            self.queue
                .push(self.now_ms + delay_ms, Event::Deliver { to, message });
        }
        self.queue
            .push(self.now_ms + RETRY_TIMEOUT_MS, Event::Attempt { key });
    }

    pub(super) fn handle_outcome(&mut self, key: usize, attempt: Attempt, outcome: Outcome) {
        let record = &mut self.callers.keys[key];
        if attempt != record.last_attempt {
            return;
        }
        match outcome {
            Outcome::Answered => record.is_done = true,
            // Half of the callers give the request up instead of retrying it.
            Outcome::NotRun if self.rng.random_bool(0.5) => record.is_done = true,
            Outcome::NotRun | Outcome::Unknown => {
                let wait_ms = self.rng.random_range(50..500);
                self.queue
                    .push(self.now_ms + wait_ms, Event::Attempt { key });
            }
        }
    }

    /// Sends a caller the outcome of an attempt; the message may be lost.
    pub(super) fn send_outcome(&mut self, key: usize, attempt: Attempt, outcome: Outcome) {
        self.record_outcome(key, attempt, outcome);
        if self.random_bool_percent(self.faults.lost_percent) {
            return;
        }
        let delay_ms = self.random_delay_ms();
        self.queue.push(
            self.now_ms + delay_ms,
            Event::OutcomeReceived {
                key,
                attempt,
                outcome,
            },
        );
    }
}
