//! Finds tunnel paths that went silent while new ones would work.
//!
//! Pure: what was sent and came back goes in, echoes and rotations come out. A path is the pair of
//! this balancer's socket and an agent's address; something in between may lose track of it for
//! good. Only echoes on the very path decide, since an agent may answer callers through other
//! balancers.

use flow::table::Traffic;
use units::{EndpointId, Millis};

/// Questions about quiet paths that may begin in each tenth of a second, so that a balancer with
/// thousands of agents stays within its budget for control.
const ASKS_PER_STEP: u32 = 6;

/// Length of a step.
const STEP_MS: u64 = 100;

/// Time without anything from an agent, after a datagram to it, after which its path is asked.
const QUIET_MS: Millis = Millis::new(300);

/// Time between two echoes.
const ECHO_INTERVAL_MS: Millis = Millis::new(100);

/// Time in which one of the echoes must be answered.
const ANSWER_TIMEOUT_MS: Millis = Millis::new(400);

/// Fresh paths tried in a row before the silence is left to the liveness of the agent itself.
const ROTATIONS_MAX: u8 = 3;

/// Time after which fresh paths are tried again.
const REST_MS: Millis = Millis::new(5_000);

/// Watches the paths to all agents.
#[derive(Debug, Default)]
pub struct PathMonitor {
    /// Sorted by endpoint id, without duplicates.
    paths: Vec<Path>,
    nonce: u32,
    /// The step that `asks_left` is for.
    step: u64,
    asks_left: u32,
}

/// What to do about a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathAction {
    /// Nothing.
    None,
    /// Ask on the path in use.
    Echo {
        /// To be repeated by the answer.
        nonce: u32,
    },
    /// Take a fresh socket for the agent and ask on it.
    Rotate {
        /// To be repeated by the answer.
        nonce: u32,
        /// Time since the first datagram that nothing came after.
        silent_ms: Millis,
    },
}

#[derive(Debug)]
struct Path {
    endpoint: EndpointId,
    traffic: Traffic,
    /// When the first datagram went out that nothing came after.
    unanswered_since: Option<Millis>,
    /// First and latest echo not answered yet.
    asked: Option<Asked>,
    rotations: u8,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    first_at: Millis,
    latest_at: Millis,
    first_nonce: u32,
}

impl PathMonitor {
    /// Takes in what went to an agent and came back since the start; tells what to do.
    pub fn observe(&mut self, now: Millis, endpoint: EndpointId, traffic: Traffic) -> PathAction {
        let idx = match self.paths.binary_search_by_key(&endpoint, |it| it.endpoint) {
            Ok(idx) => idx,
            Err(idx) => {
                self.paths.insert(idx, Path::new(endpoint, traffic));
                idx
            }
        };
        if self.step != now.get() / STEP_MS {
            self.step = now.get() / STEP_MS;
            self.asks_left = ASKS_PER_STEP;
        }
        let path = &mut self.paths[idx];
        let is_sent = path.traffic.sent != traffic.sent;
        let is_answered = path.traffic.answered != traffic.answered;
        path.traffic = traffic;
        if is_answered && path.asked.is_none() {
            path.heard();
            return PathAction::None;
        }
        if path.asked.is_some() {
            return path.decide_asked(now, &mut self.nonce);
        }
        if !path.is_quiet(now, is_sent) || self.asks_left == 0 {
            return PathAction::None;
        }
        self.asks_left -= 1;
        path.ask(now, &mut self.nonce)
    }

    /// Takes in the answer to an echo.
    pub fn handle_echo_reply(&mut self, endpoint: EndpointId, nonce: u32) {
        let Ok(idx) = self.paths.binary_search_by_key(&endpoint, |it| it.endpoint) else {
            return;
        };
        let path = &mut self.paths[idx];
        // An answer to an echo before the rotation came on the old path.
        let is_current = path
            .asked
            .is_some_and(|it| nonce.wrapping_sub(it.first_nonce) < u32::MAX / 2);
        if is_current {
            path.heard();
        }
    }

    /// Tells whether something is expected from an agent.
    #[must_use]
    pub fn is_awaiting_traffic(&self, endpoint: EndpointId) -> bool {
        let found = self.paths.binary_search_by_key(&endpoint, |it| it.endpoint);
        found.is_ok_and(|idx| self.paths[idx].unanswered_since.is_some())
    }

    /// Forgets every endpoint that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.paths.retain(|it| keep(it.endpoint));
    }
}

impl Path {
    const fn new(endpoint: EndpointId, traffic: Traffic) -> Self {
        Self {
            endpoint,
            traffic,
            unanswered_since: None,
            asked: None,
            rotations: 0,
        }
    }

    fn heard(&mut self) {
        self.unanswered_since = None;
        self.asked = None;
        self.rotations = 0;
    }

    /// Tells whether something was sent long enough ago and nothing came since.
    fn is_quiet(&mut self, now: Millis, is_sent: bool) -> bool {
        if is_sent {
            self.unanswered_since.get_or_insert(now);
        }
        self.unanswered_since
            .is_some_and(|it| now.since(it) >= QUIET_MS)
    }

    fn ask(&mut self, now: Millis, nonce: &mut u32) -> PathAction {
        let nonce = next(nonce);
        self.asked = Some(Asked {
            first_at: now,
            latest_at: now,
            first_nonce: nonce,
        });
        PathAction::Echo { nonce }
    }

    fn decide_asked(&mut self, now: Millis, nonce: &mut u32) -> PathAction {
        let Some(asked) = self.asked else {
            return PathAction::None;
        };
        if now.since(asked.first_at) >= ANSWER_TIMEOUT_MS {
            return self.rotate(now, asked, nonce);
        }
        if now.since(asked.latest_at) < ECHO_INTERVAL_MS {
            return PathAction::None;
        }
        self.asked = Some(Asked {
            latest_at: now,
            ..asked
        });
        PathAction::Echo { nonce: next(nonce) }
    }

    fn rotate(&mut self, now: Millis, asked: Asked, nonce: &mut u32) -> PathAction {
        if self.rotations == ROTATIONS_MAX {
            if now.since(asked.first_at) < REST_MS {
                return PathAction::None;
            }
            self.rotations = 0;
        }
        self.rotations += 1;
        let silent_ms = self
            .unanswered_since
            .map_or(Millis::new(0), |it| now.since(it));
        self.ask(now, nonce);
        PathAction::Rotate {
            nonce: *nonce,
            silent_ms,
        }
    }
}

fn next(nonce: &mut u32) -> u32 {
    *nonce = nonce.wrapping_add(1);
    *nonce
}
