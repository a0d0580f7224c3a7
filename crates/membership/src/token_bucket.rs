//! A token bucket, used to limit gossip bytes and probes.

use units::Millis;

/// Unit of a token bucket's fill level: thousandths of a token, so that frequent refills lose no
/// fraction.
const MILLI_PER_TOKEN: u64 = 1_000;

/// A token bucket, which limits usage to a sustained rate and a burst.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    /// Fill level in thousandths of a token; at most `burst_tokens * MILLI_PER_TOKEN`.
    tokens_milli: u64,
    tokens_per_second: u64,
    burst_tokens: u64,
    refilled_ms: Millis,
}

impl TokenBucket {
    pub(crate) const fn new(tokens_per_second: u64, burst_tokens: u64, now: Millis) -> Self {
        Self {
            tokens_milli: burst_tokens * MILLI_PER_TOKEN,
            tokens_per_second,
            burst_tokens,
            refilled_ms: now,
        }
    }

    /// Refills the token bucket, then takes `tokens` from it; returns whether it held that many.
    pub(crate) fn try_take(&mut self, now: Millis, tokens: u64) -> bool {
        let earned = now.since(self.refilled_ms).get() * self.tokens_per_second;
        self.refilled_ms = self.refilled_ms.max(now);
        self.tokens_milli = (self.tokens_milli + earned).min(self.burst_tokens * MILLI_PER_TOKEN);
        if self.tokens_milli < tokens * MILLI_PER_TOKEN {
            return false;
        }
        self.tokens_milli -= tokens * MILLI_PER_TOKEN;
        true
    }

    /// Puts tokens that were taken but not used back into the bucket.
    pub(crate) fn refund(&mut self, tokens: u64) {
        self.tokens_milli =
            (self.tokens_milli + tokens * MILLI_PER_TOKEN).min(self.burst_tokens * MILLI_PER_TOKEN);
    }
}
