//! How many slots short work holds in the mean, lately.

use units::Millis;

/// Time over which the mean follows a change.
const MEMORY_MS: Millis = Millis::new(1000);

/// The mean is kept in thousandths of a slot.
const SLOT: u64 = 1000;

/// Mean number of slots held, weighted by time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlotUse {
    mean_thousandths: u64,
    /// Up to when the mean is taken.
    at_ms: Millis,
}

impl SlotUse {
    pub(super) const fn starting_at(at_ms: Millis) -> Self {
        Self {
            mean_thousandths: 0,
            at_ms,
        }
    }

    /// Takes in that `held` slots were held since the last call.
    pub(super) fn advance(&mut self, now_ms: Millis, held: u32) {
        let passed_ms = now_ms.since(self.at_ms).min(MEMORY_MS).get();
        let kept_ms = MEMORY_MS.get() - passed_ms;
        let sum = self.mean_thousandths * kept_ms + u64::from(held) * SLOT * passed_ms;
        self.mean_thousandths = sum / MEMORY_MS.get();
        self.at_ms = now_ms;
    }

    /// Returns the mean, rounded up to whole slots.
    pub(super) fn slots(self) -> u32 {
        u32::try_from(self.mean_thousandths.div_ceil(SLOT)).unwrap_or(u32::MAX)
    }
}
