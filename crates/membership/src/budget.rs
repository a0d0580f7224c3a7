//! A token bucket for gossip bytes.

use units::Millis;

/// Tokens are kept in thousandths of a byte, so that no fraction is lost between ticks.
const MILLI: u64 = 1_000;

/// Bounds gossip to a sustained rate with a burst after quiet times.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    /// At most `burst_bytes * MILLI`.
    tokens_milli: u64,
    bytes_per_second: u64,
    burst_bytes: u64,
    filled_ms: Millis,
}

impl Budget {
    pub(crate) const fn new(bytes_per_second: u64, burst_bytes: u64, now: Millis) -> Self {
        Self {
            tokens_milli: burst_bytes * MILLI,
            bytes_per_second,
            burst_bytes,
            filled_ms: now,
        }
    }

    /// Takes `bytes` if they are there.
    pub(crate) fn take(&mut self, now: Millis, bytes: u64) -> bool {
        let earned = now.since(self.filled_ms).get() * self.bytes_per_second;
        self.filled_ms = self.filled_ms.max(now);
        self.tokens_milli = (self.tokens_milli + earned).min(self.burst_bytes * MILLI);
        if self.tokens_milli < bytes * MILLI {
            return false;
        }
        self.tokens_milli -= bytes * MILLI;
        true
    }

    /// Returns bytes taken but not used.
    pub(crate) fn put_back(&mut self, bytes: u64) {
        self.tokens_milli = (self.tokens_milli + bytes * MILLI).min(self.burst_bytes * MILLI);
    }
}
