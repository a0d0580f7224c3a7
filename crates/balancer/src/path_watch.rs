//! Finds tunnel paths that went silent while new ones would work.
//!
//! Pure: what was sent and came back goes in, echoes and rotations come out. A path is the pair of
//! this balancer's socket and an agent's address; something in between may lose track of it for
//! good. Only echoes on the very path decide, since an agent may answer callers through other
//! balancers.

use flow::table::Traffic;
use units::{EndpointId, Millis};

/// Time without anything from an agent, while datagrams go to it, after which its path is asked.
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
pub struct PathWatch {
    /// Sorted by endpoint id, without duplicates.
    paths: Vec<Path>,
    nonce: u32,
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
        /// Time since anything came on the old path.
        silent_ms: Millis,
    },
}

#[derive(Debug)]
struct Path {
    endpoint: EndpointId,
    traffic: Traffic,
    /// When anything last came from the agent, or when it was first sent to.
    heard_at: Millis,
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

impl PathWatch {
    /// Takes in what went to an agent and came back since the start; tells what to do.
    pub fn observe(&mut self, now: Millis, endpoint: EndpointId, traffic: Traffic) -> PathAction {
        let idx = match self.paths.binary_search_by_key(&endpoint, |it| it.endpoint) {
            Ok(idx) => idx,
            Err(idx) => {
                self.paths.insert(idx, Path::new(now, endpoint, traffic));
                idx
            }
        };
        let path = &mut self.paths[idx];
        let is_sent = path.traffic.sent != traffic.sent;
        let is_answered = path.traffic.answered != traffic.answered;
        path.traffic = traffic;
        if is_answered && path.asked.is_none() {
            path.heard(now);
            return PathAction::None;
        }
        path.decide(now, is_sent, &mut self.nonce)
    }

    /// Takes in the answer to an echo.
    pub fn answered(&mut self, now: Millis, endpoint: EndpointId, nonce: u32) {
        let Ok(idx) = self.paths.binary_search_by_key(&endpoint, |it| it.endpoint) else {
            return;
        };
        let path = &mut self.paths[idx];
        // An answer to an echo before the rotation came on the old path.
        let is_current = path
            .asked
            .is_some_and(|it| nonce.wrapping_sub(it.first_nonce) < u32::MAX / 2);
        if is_current {
            path.heard(now);
        }
    }

    /// Forgets every endpoint that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.paths.retain(|it| keep(it.endpoint));
    }
}

impl Path {
    const fn new(now: Millis, endpoint: EndpointId, traffic: Traffic) -> Self {
        Self {
            endpoint,
            traffic,
            heard_at: now,
            asked: None,
            rotations: 0,
        }
    }

    fn heard(&mut self, now: Millis) {
        self.heard_at = now;
        self.asked = None;
        self.rotations = 0;
    }

    fn decide(&mut self, now: Millis, is_sent: bool, nonce: &mut u32) -> PathAction {
        let Some(asked) = self.asked else {
            return self.decide_quiet(now, is_sent, nonce);
        };
        if now.since(asked.first_at) >= ANSWER_TIMEOUT_MS {
            return self.rotate(now, nonce);
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

    fn decide_quiet(&mut self, now: Millis, is_sent: bool, nonce: &mut u32) -> PathAction {
        if !is_sent {
            // Nothing is missing where nothing was sent.
            self.heard_at = now;
            return PathAction::None;
        }
        if now.since(self.heard_at) < QUIET_MS {
            return PathAction::None;
        }
        let nonce = next(nonce);
        self.asked = Some(Asked {
            first_at: now,
            latest_at: now,
            first_nonce: nonce,
        });
        PathAction::Echo { nonce }
    }

    fn rotate(&mut self, now: Millis, nonce: &mut u32) -> PathAction {
        let silent_ms = now.since(self.heard_at);
        if self.rotations == ROTATIONS_MAX {
            let is_rested = self
                .asked
                .is_some_and(|it| now.since(it.first_at) >= REST_MS);
            if !is_rested {
                return PathAction::None;
            }
            self.rotations = 0;
        }
        self.rotations += 1;
        let nonce = next(nonce);
        self.asked = Some(Asked {
            first_at: now,
            latest_at: now,
            first_nonce: nonce,
        });
        PathAction::Rotate { nonce, silent_ms }
    }
}

fn next(nonce: &mut u32) -> u32 {
    *nonce = nonce.wrapping_add(1);
    *nonce
}
