//! Moving average of the number of slots that short work holds.

use units::Millis;

/// Time constant of the moving average of held slots.
const TIME_CONSTANT_MS: Millis = Millis::new(1000);

/// Fixed-point scale of the mean number of held slots.
const THOUSANDTHS_PER_SLOT: u64 = 1000;

/// Exponential moving average of the number of slots that short work holds, weighted by time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MeanSlotUse {
    mean_thousandths: u64,
    /// Time of the last update of the mean.
    at_ms: Millis,
}

impl MeanSlotUse {
    pub(super) const fn new(at_ms: Millis) -> Self {
        Self {
            mean_thousandths: 0,
            at_ms,
        }
    }

    /// Updates the mean, given that `held` slots were held since the last call.
    pub(super) fn update_mean(&mut self, now_ms: Millis, held: u32) {
        let passed_ms = now_ms.since(self.at_ms).min(TIME_CONSTANT_MS).get();
        let kept_ms = TIME_CONSTANT_MS.get() - passed_ms;
        let sum =
            self.mean_thousandths * kept_ms + u64::from(held) * THOUSANDTHS_PER_SLOT * passed_ms;
        self.mean_thousandths = sum / TIME_CONSTANT_MS.get();
        self.at_ms = now_ms;
    }

    /// Returns the mean number of held slots, rounded up.
    pub(super) fn mean_rounded_up(self) -> u32 {
        u32::try_from(self.mean_thousandths.div_ceil(THOUSANDTHS_PER_SLOT)).unwrap_or(u32::MAX)
    }
}
