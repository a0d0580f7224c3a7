//! Estimates the share of time in which callers have requests running on their open flows.

use units::Millis;

/// Usage estimate before any idle flow was seen: one second of running requests in a hundred
/// seconds.
///
/// Callers use a flow that they keep open for one to ten percent of the time.
const PRIOR: IdleFlowUsage = IdleFlowUsage {
    busy_ms: 1_000,
    open_ms: 100_000,
};

/// Share of the usage history that is retained at each sweep, in sixteenths. The history's
/// half-life is 11 s, about as fast as demand fluctuates.
const RETAINED_16THS: u64 = 15;

/// Usage of flows on which the endpoint has answered a request before.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IdleFlowUsage {
    /// Time for which requests ran on the flows, in milliseconds, with older time decayed.
    busy_ms: u64,
    /// Time for which the flows were open and idle, in milliseconds, with older time decayed.
    open_ms: u64,
}

impl Default for IdleFlowUsage {
    fn default() -> Self {
        PRIOR
    }
}

impl IdleFlowUsage {
    /// Records the duration of a request on a flow that had been answered before.
    pub(crate) const fn record_request_duration(&mut self, duration: Millis) {
        self.busy_ms += duration.get();
    }

    /// Records the time for which flows were idle, and decays the usage history.
    pub(crate) fn record_idle_time(&mut self, flows: u32, elapsed: Millis) {
        self.open_ms += u64::from(flows) * elapsed.get();
        self.open_ms = self.open_ms * RETAINED_16THS / 16;
        self.busy_ms = self.busy_ms * RETAINED_16THS / 16;
        if self.open_ms < PRIOR.open_ms / 10 {
            *self = PRIOR;
        }
    }

    /// Returns the load to expect of one idle flow, in thousandths of a request.
    pub(crate) fn requests_per_flow_thousandths(self) -> u32 {
        let share = self.busy_ms.saturating_mul(1_000) / self.open_ms.max(1);
        u32::try_from(share).map_or(1_000, |it| it.min(1_000))
    }
}
