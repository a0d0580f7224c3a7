//! Detection of tunnel paths that stopped carrying datagrams although a new path would work.
//!
//! A path is the pair of this balancer's socket and an agent's address. A network device in between
//! may lose its state of the path permanently. Missing answers alone don't prove that a path is
//! broken, because an agent may answer callers through other balancers. Only missing echo replies
//! on the path itself do.
//!
//! The monitor performs no I/O: its inputs are batch counts and echo replies, its outputs are the
//! echoes to send and the sockets to replace.

use flow::table::Traffic;
use units::{EndpointId, Millis};

/// Maximum number of path probes started in each step of the probe rate limit. It keeps a balancer
/// with thousands of agents within its budget for control traffic.
const PROBES_STARTED_PER_STEP: u32 = 6;

/// Length of one step of the rate limit on path probes.
const STEP_MS: u64 = 100;

/// Time without datagrams from an agent, after one was sent to the agent, that starts a probe.
const QUIET_MS: Millis = Millis::new(300);

/// Interval between the echo requests of a path probe.
const ECHO_INTERVAL_MS: Millis = Millis::new(100);

/// Time within which the agent must answer one of the echo requests of a path probe.
const REPLY_TIMEOUT_MS: Millis = Millis::new(400);

/// Maximum number of consecutive socket replacements on a silent path. If the path is still silent
/// after them, the agent's liveness is in question rather than the path.
const REPLACEMENTS_MAX: u8 = 3;

/// Pause after the maximum number of consecutive socket replacements before the next one.
const REPLACEMENT_PAUSE_MS: Millis = Millis::new(5_000);

/// Monitors the tunnel paths to all agents and decides when to probe or replace one.
#[derive(Debug, Default)]
pub struct PathMonitor {
    /// Probe state of each path; sorted by endpoint id, without duplicates.
    paths: Vec<Path>,
    nonce: u32,
    /// The step of the probe rate limit to which `probes_left` applies.
    step: u64,
    probes_left: u32,
}

/// Action to take on the tunnel path to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathAction {
    /// Leave the path as it is.
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
        /// Time since the first unanswered datagram to the agent.
        silent_ms: Millis,
    },
}

/// Probe state of the tunnel path to one agent.
#[derive(Debug)]
struct Path {
    endpoint: EndpointId,
    traffic: Traffic,
    /// Time when the first unanswered datagram was sent to the agent.
    unanswered_since: Option<Millis>,
    /// The unanswered echo requests of the running probe.
    pending: Option<PendingEcho>,
    /// Number of consecutive socket replacements.
    replacements: u8,
}

/// The first and the latest unanswered echo request of a running path probe.
#[derive(Debug, Clone, Copy)]
struct PendingEcho {
    first_at: Millis,
    latest_at: Millis,
    first_nonce: u32,
}

impl PathMonitor {
    /// Processes an agent's current batch counts; returns the action to take on the agent's path.
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

    /// Ends the running probe of an agent's path if the echo reply belongs to the probe.
    pub fn handle_echo_reply(&mut self, endpoint: EndpointId, nonce: u32) {
        let Ok(idx) = self.paths.binary_search_by_key(&endpoint, |it| it.endpoint) else {
            return;
        };
        let path = &mut self.paths[idx];
        // A reply to an echo sent from a replaced socket used the old path, so it proves nothing.
        let is_current = path
            .pending
            .is_some_and(|it| nonce.wrapping_sub(it.first_nonce) < u32::MAX / 2);
        if is_current {
            path.mark_working();
        }
    }

    /// Returns whether a datagram to the endpoint's agent is still unanswered.
    #[must_use]
    pub fn is_awaiting_traffic(&self, endpoint: EndpointId) -> bool {
        let found = self.paths.binary_search_by_key(&endpoint, |it| it.endpoint);
        found.is_ok_and(|idx| self.paths[idx].unanswered_since.is_some())
    }

    /// Stops monitoring every endpoint for which `keep` returns false.
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
            replacements: 0,
        }
    }

    /// Resets the path's probe state because the path carried a datagram from the agent.
    fn mark_working(&mut self) {
        self.unanswered_since = None;
        self.pending = None;
        self.replacements = 0;
    }

    /// Records a sent datagram; returns whether a datagram has been unanswered for `QUIET_MS`.
    fn update_and_check_quiet(&mut self, now: Millis, is_sent: bool) -> bool {
        if is_sent {
            self.unanswered_since.get_or_insert(now);
        }
        self.unanswered_since
            .is_some_and(|it| now.since(it) >= QUIET_MS)
    }

    /// Starts a path probe with its first echo request.
    fn start_probe(&mut self, now: Millis, nonce: &mut u32) -> PathAction {
        let nonce = next_nonce(nonce);
        self.pending = Some(PendingEcho {
            first_at: now,
            latest_at: now,
            first_nonce: nonce,
        });
        PathAction::Echo { nonce }
    }

    /// Repeats the echo request of a running probe, or replaces the socket after the reply timeout.
    fn continue_probe(&mut self, now: Millis, nonce: &mut u32) -> PathAction {
        let Some(pending) = self.pending else {
            return PathAction::None;
        };
        if now.since(pending.first_at) >= REPLY_TIMEOUT_MS {
            return self.replace_socket_or_pause(now, pending, nonce);
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

    /// Asks for a new socket for a silent path, or pauses after `REPLACEMENTS_MAX` replacements.
    fn replace_socket_or_pause(
        &mut self,
        now: Millis,
        pending: PendingEcho,
        nonce: &mut u32,
    ) -> PathAction {
        if self.replacements == REPLACEMENTS_MAX {
            if now.since(pending.first_at) < REPLACEMENT_PAUSE_MS {
                return PathAction::None;
            }
            self.replacements = 0;
        }
        self.replacements += 1;
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
