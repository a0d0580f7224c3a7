//! Callers: each makes a key and repeats it until it knows its fate or gives up.

use admission::at_most_once::Attempt;
use rand::Rng as _;
use units::{EndpointId, Millis};

use super::{
    ENDPOINTS, SKEW_MAX_MS, Simulation,
    event::{Event, Message, Request},
};

/// Attempts of one key.
const ATTEMPTS_MAX: u32 = 4;

/// Mean time between new keys.
const KEY_INTERVAL_MS: u64 = 20;

/// Time after which a caller repeats without an answer.
const PATIENCE_MS: u64 = 4_000;

/// What a caller hears of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Heard {
    /// The upstream's answer, or that an earlier attempt ran.
    Answer,
    NotRun,
    Unknown,
}

/// What the callers did.
#[derive(Debug, Default)]
pub(super) struct Callers {
    logs: Vec<Log>,
}

/// One key.
#[derive(Debug)]
pub(super) struct Log {
    first_sent_ms: Millis,
    /// Attempts sent.
    sent: Attempt,
    is_over: bool,
    pub(super) runs: u32,
    /// The attempt that ran first.
    pub(super) first_ran: Option<Attempt>,
    /// The highest attempt told "not run".
    pub(super) not_run: Attempt,
}

impl Callers {
    pub(super) fn log_mut(&mut self, key: usize) -> &mut Log {
        &mut self.logs[key]
    }
}

impl Simulation {
    pub(super) fn new_key(&mut self) {
        let skew_ms = self.rng.random_range(0..2 * SKEW_MAX_MS);
        let key = self.callers.logs.len();
        self.callers.logs.push(Log {
            first_sent_ms: Millis::new(self.now_ms + skew_ms - SKEW_MAX_MS),
            sent: Attempt::default(),
            is_over: false,
            runs: 0,
            first_ran: None,
            not_run: Attempt::default(),
        });
        self.report.keys += 1;
        self.send_attempt(key);
        let wait_ms = self.rng.random_range(1..KEY_INTERVAL_MS * 2);
        self.queue.push(self.now_ms + wait_ms, Event::NewKey);
    }

    /// Sends the next attempt to any agent, unless the caller knows its key's fate.
    pub(super) fn send_attempt(&mut self, key: usize) {
        let log = &mut self.callers.logs[key];
        if log.is_over || log.sent.get() >= ATTEMPTS_MAX {
            return;
        }
        log.sent = log.sent.next();
        let request = Request {
            key,
            attempt: log.sent,
            first_sent_ms: log.first_sent_ms,
        };
        self.report.attempts += 1;
        let to = EndpointId::new(self.rng.random_range(0..ENDPOINTS));
        // A connection delivers a request once or not at all.
        if !self.chance(self.faults.lost_percent) {
            let delay_ms = self.delay_ms();
            let message = Message::Request(request);
            self.queue
                .push(self.now_ms + delay_ms, Event::Deliver { to, message });
        }
        self.queue
            .push(self.now_ms + PATIENCE_MS, Event::Attempt { key });
    }

    pub(super) fn caller_hears(&mut self, key: usize, attempt: Attempt, heard: Heard) {
        let log = &mut self.callers.logs[key];
        if attempt != log.sent {
            return;
        }
        match heard {
            Heard::Answer => log.is_over = true,
            // Half of the callers start over with a new key.
            Heard::NotRun if self.rng.random_bool(0.5) => log.is_over = true,
            Heard::NotRun | Heard::Unknown => {
                let wait_ms = self.rng.random_range(50..500);
                self.queue
                    .push(self.now_ms + wait_ms, Event::Attempt { key });
            }
        }
    }

    /// Tells a caller what became of its attempt; the word may be lost on the way.
    pub(super) fn tell(&mut self, key: usize, attempt: Attempt, heard: Heard) {
        self.note_told(key, attempt, heard);
        if self.chance(self.faults.lost_percent) {
            return;
        }
        let delay_ms = self.delay_ms();
        self.queue.push(
            self.now_ms + delay_ms,
            Event::Heard {
                key,
                attempt,
                heard,
            },
        );
    }
}
