//! Detection of tunnel paths that stopped carrying datagrams although a new path would work.
//!
//! A path is the pair of this balancer's socket and an agent's address. A network device in between
//! may lose its state of the path permanently. Missing answers alone don't prove that, because an
//! agent may answer callers through other balancers, so only echoes on the path itself count. The
//! monitor performs no I/O: its inputs are batch counts and echo replies, its outputs are the
//! echoes to send and the sockets to replace.

use flow::table::Traffic;
use units::{EndpointId, Millis};

/// Maximum number of probes started in each step, which keeps a balancer with thousands of agents
/// within its budget for control traffic.
const PROBES_STARTED_PER_STEP: u32 = 6;

/// Length of a step of the probe rate limit.
const STEP_MS: u64 = 100;

/// Time without datagrams from an agent, after one was sent to it, that starts a probe.
const QUIET_MS: Millis = Millis::new(300);

/// Interval between the echo requests of a probe.
const ECHO_INTERVAL_MS: Millis = Millis::new(100);

/// Time within which one of the echo requests of a probe must be answered.
const REPLY_TIMEOUT_MS: Millis = Millis::new(400);

/// Maximum number of consecutive rotations; further silence is a matter of agent liveness.
const ROTATIONS_MAX: u8 = 3;

/// Pause after the maximum number of rotations before the next rotation.
const ROTATION_PAUSE_MS: Millis = Millis::new(5_000);

/// Monitors the paths to all agents.
#[derive(Debug, Default)]
pub struct PathMonitor {
    /// Sorted by endpoint id, without duplicates.
    paths: Vec<Path>,
    nonce: u32,
    /// The step to which `probes_left` applies.
    step: u64,
    probes_left: u32,
}

/// Action to take on a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathAction {
    /// Take no action.
    None,
    /// Send an echo request on the current path.
    Echo {
        /// Nonce of the echo request.
        nonce: u32,
    },
    /// Replace the socket for the agent and send an echo request from the new socket.
    ReplaceSocket {
        /// Nonce of the echo request.
        nonce: u32,
        /// Time since the first unanswered datagram.
        silent_ms: Millis,
    },
}

/// Probe state of the path to one agent.
#[derive(Debug)]
struct Path {
    endpoint: EndpointId,
    traffic: Traffic,
    /// Time when the first unanswered datagram was sent.
    unanswered_since: Option<Millis>,
    /// The echo requests not answered yet.
    pending: Option<PendingEcho>,
    /// Number of consecutive rotations.
    rotations: u8,
}

/// The first and the latest unanswered echo request of a probe.
#[derive(Debug, Clone, Copy)]
struct PendingEcho {
    first_at: Millis,
    latest_at: Millis,
    first_nonce: u32,
}

impl PathMonitor {
    /// Processes an agent's current batch counts and returns the action to take on its path.
    pub fn observe_traffic(
        &mut self,
        now: Millis,
        endpoint: EndpointId,
        traffic: Traffic,
    ) -> PathAction {
        let idx = match self.paths.binary_search_by_key(&endpoint, |it| it.endpoint) {
            Ok(idx) => idx,
            Err(idx) => {
                self.paths.insert(idx, Path::new(endpoint, traffic));
                idx
            }
        };
        if self.step != now.get() / STEP_MS {
            self.step = now.get() / STEP_MS;
            self.probes_left = PROBES_STARTED_PER_STEP;
        }
        let path = &mut self.paths[idx];
        let is_sent = path.traffic.sent != traffic.sent;
        let is_answered = path.traffic.answered != traffic.answered;
        path.traffic = traffic;
        if is_answered && path.pending.is_none() {
            path.mark_working();
            return PathAction::None;
        }
        if path.pending.is_some() {
            return path.continue_probe(now, &mut self.nonce);
        }
        if !path.update_and_check_quiet(now, is_sent) || self.probes_left == 0 {
            return PathAction::None;
        }
        self.probes_left -= 1;
        path.start_probe(now, &mut self.nonce)
    }

    /// Processes an echo reply.
    pub fn handle_echo_reply(&mut self, endpoint: EndpointId, nonce: u32) {
        let Ok(idx) = self.paths.binary_search_by_key(&endpoint, |it| it.endpoint) else {
            return;
        };
        let path = &mut self.paths[idx];
        // A reply to an echo from before the rotation used the old path, so it proves nothing.
        let is_current = path
            .pending
            .is_some_and(|it| nonce.wrapping_sub(it.first_nonce) < u32::MAX / 2);
        if is_current {
            path.mark_working();
        }
    }

    /// Returns whether a datagram to the agent is still unanswered.
    #[must_use]
    pub fn is_awaiting_traffic(&self, endpoint: EndpointId) -> bool {
        let found = self.paths.binary_search_by_key(&endpoint, |it| it.endpoint);
        found.is_ok_and(|idx| self.paths[idx].unanswered_since.is_some())
    }

    /// Removes every endpoint for which `keep` returns false.
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
            pending: None,
            rotations: 0,
        }
    }

    /// Resets the probe state because the path carried a datagram from the agent.
    fn mark_working(&mut self) {
        self.unanswered_since = None;
        self.pending = None;
        self.rotations = 0;
    }

    /// Records a sent datagram and returns whether one has been unanswered for `QUIET_MS`.
    fn update_and_check_quiet(&mut self, now: Millis, is_sent: bool) -> bool {
        if is_sent {
            self.unanswered_since.get_or_insert(now);
        }
        self.unanswered_since
            .is_some_and(|it| now.since(it) >= QUIET_MS)
    }

    /// Starts a probe with its first echo request.
    fn start_probe(&mut self, now: Millis, nonce: &mut u32) -> PathAction {
        let nonce = next_nonce(nonce);
        self.pending = Some(PendingEcho {
            first_at: now,
            latest_at: now,
            first_nonce: nonce,
        });
        PathAction::Echo { nonce }
    }

    /// Repeats the echo request of a running probe, or rotates the path after the reply timeout.
    fn continue_probe(&mut self, now: Millis, nonce: &mut u32) -> PathAction {
        let Some(pending) = self.pending else {
            return PathAction::None;
        };
        if now.since(pending.first_at) >= REPLY_TIMEOUT_MS {
            return self.rotate(now, pending, nonce);
        }
        if now.since(pending.latest_at) < ECHO_INTERVAL_MS {
            return PathAction::None;
        }
        self.pending = Some(PendingEcho {
            latest_at: now,
            ..pending
        });
        PathAction::Echo {
            nonce: next_nonce(nonce),
        }
    }

    /// Rotates the path; pauses after `ROTATIONS_MAX` consecutive rotations.
    fn rotate(&mut self, now: Millis, pending: PendingEcho, nonce: &mut u32) -> PathAction {
        if self.rotations == ROTATIONS_MAX {
            if now.since(pending.first_at) < ROTATION_PAUSE_MS {
                return PathAction::None;
            }
            self.rotations = 0;
        }
        self.rotations += 1;
        let silent_ms = self
            .unanswered_since
            .map_or(Millis::new(0), |it| now.since(it));
        self.start_probe(now, nonce);
        PathAction::ReplaceSocket {
            nonce: *nonce,
            silent_ms,
        }
    }
}

/// Increments the nonce and returns its new value.
fn next_nonce(nonce: &mut u32) -> u32 {
    *nonce = nonce.wrapping_add(1);
    *nonce
}
