//! How much of the time callers use the flows that they keep open.

use units::Millis;

/// What is assumed before any idle flow was seen: a hundred seconds with one of work.
///
/// Callers that keep a flow open use it for a hundredth to a tenth of the time.
const PRIOR: Usage = Usage {
    busy_ms: 1_000,
    open_ms: 100_000,
};

/// Share of what was seen so far that is kept at each sweep, in sixteenths; halves it in 11 s, about as
/// fast as demand swings.
const KEPT_16THS: u64 = 15;

/// The use of flows that had been answered before.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// Time for which requests ran on them.
    busy_ms: u64,
    /// Time for which they were open and idle.
    open_ms: u64,
}

impl Default for Usage {
    fn default() -> Self {
        PRIOR
    }
}

impl Usage {
    /// Counts a request that ran on such a flow.
    pub(crate) const fn note_request(&mut self, ran: Millis) {
        self.busy_ms += ran.get();
    }

    /// Counts the time for which flows were idle, and lets what was seen before fade.
    pub(crate) fn note_idle(&mut self, flows: u32, passed: Millis) {
        self.open_ms += u64::from(flows) * passed.get();
        self.open_ms = self.open_ms * KEPT_16THS / 16;
        self.busy_ms = self.busy_ms * KEPT_16THS / 16;
        if self.open_ms < PRIOR.open_ms / 10 {
            *self = PRIOR;
        }
    }

    /// Returns the requests that an idle flow stands for, in thousandths.
    pub(crate) fn per_flow(self) -> u32 {
        let share = self.busy_ms.saturating_mul(1_000) / self.open_ms.max(1);
        u32::try_from(share).map_or(1_000, |it| it.min(1_000))
    }
}
