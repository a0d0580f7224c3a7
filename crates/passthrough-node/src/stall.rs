//! Detects that the process or its machine stood still.

use units::Millis;

/// Delay beyond its planned wait after which a process counts as having stood still.
///
/// Callers send copies of an unanswered packet after 200, 600 and 1,400 ms, so a packet that waited
/// for a second has a newer copy, or its caller has given up. Delivered late, it could run a request
/// beside the one that a person has repeated. A process that merely waits for processor time is
/// scheduled within a tenth of a second.
const STALL_MIN_MS: Millis = Millis::new(1_000);

/// Compares the time that a loop spends in each turn with the time that it planned to wait.
#[derive(Debug)]
pub struct StallDetector {
    turn_started_at: Millis,
    planned_wait: Millis,
}

impl StallDetector {
    /// Starts with a turn that begins at `now`.
    #[must_use]
    pub const fn new(now: Millis) -> Self {
        Self {
            turn_started_at: now,
            planned_wait: Millis::new(0),
        }
    }

    /// Records that the current turn may wait until `deadline`.
    pub const fn plan_wait(&mut self, now: Millis, deadline: Millis) {
        self.planned_wait = deadline.since(now);
    }

    /// Begins a new turn, and returns for how long the process stood still in the last one, if it
    /// did.
    pub fn begin_turn(&mut self, now: Millis) -> Option<Millis> {
        let elapsed = now.since(self.turn_started_at);
        self.turn_started_at = now;
        let excess = elapsed.since(self.planned_wait);
        (excess > STALL_MIN_MS).then_some(excess)
    }
}
