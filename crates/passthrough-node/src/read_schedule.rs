//! Decides how long the calls that read the catalog source wait, and when they are repeated.

use std::time::Duration;

use units::Millis;

/// Time for which one watch call to the source waits for a change; each response confirms the
/// current catalog.
const WATCH_WAIT_MS: Millis = Millis::new(1_000);

/// Delay after a change of the catalog, so that changes in quick succession are read together.
///
/// The delay is less than a tenth of the three seconds within which a change must take effect.
const COALESCE_DELAY: Duration = Duration::from_millis(250);

/// Initial exponential backoff of failed calls to the source; the delay doubles with each failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(60);

/// Maximum backoff of failed calls, within which a recovered store is noticed.
///
/// The backoff is a quarter of the three seconds within which a change must take effect.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(750);

/// Maximum backoff of failed calls before the first successful read, until which no caller is
/// served.
const INITIAL_RETRY_DELAY_MAX: Duration = Duration::from_millis(150);

/// Time without an answer after which the first read is repeated on another connection.
///
/// A source answers within milliseconds, so that most starts need one call.
pub(crate) const FIRST_READ_REPEAT_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of first reads under way at the same time.
pub(crate) const FIRST_READS_MAX: u32 = 4;

/// The schedule of the calls that read the catalog source.
///
/// It answers a balancer that takes over reading from lost store readers: what changed meanwhile must
/// take effect in the little time that is left, also if the first call fails.
#[derive(Debug, Default)]
pub struct ReadSchedule {
    /// Whether the source has answered since reading was last enabled or a call last failed.
    is_answered: bool,
    has_read: bool,
    failed_calls: u32,
}

impl ReadSchedule {
    /// Begins reading anew after a pause, with no memory of calls that failed before it.
    pub const fn resume(&mut self) {
        self.is_answered = false;
        self.failed_calls = 0;
    }

    /// Returns how long the next call waits for a change.
    ///
    /// A call that waits gives no answer until something changes, so the first one doesn't wait.
    #[must_use]
    pub const fn wait(&self) -> Millis {
        if self.is_answered {
            return WATCH_WAIT_MS;
        }
        Millis::new(0)
    }

    /// Records an answer of the source, and returns the delay until the next call.
    pub const fn on_answer(&mut self, change: ChangeSeen) -> Duration {
        self.is_answered = true;
        self.has_read = true;
        self.failed_calls = 0;
        match change {
            ChangeSeen::Yes => COALESCE_DELAY,
            ChangeSeen::No => Duration::ZERO,
        }
    }

    /// Records a failed call, and returns the delay until the next call.
    pub fn on_failure(&mut self) -> Duration {
        self.is_answered = false;
        let delay = RETRY_DELAY_MIN * 2_u32.saturating_pow(self.failed_calls.min(8));
        self.failed_calls += 1;
        let delay_max = if self.has_read {
            RETRY_DELAY_MAX
        } else {
            INITIAL_RETRY_DELAY_MAX
        };
        delay.min(delay_max)
    }

    /// Returns whether the source has ever answered.
    #[must_use]
    pub const fn has_read(&self) -> bool {
        self.has_read
    }

    /// Returns how many calls failed since the last answer.
    #[must_use]
    pub const fn failed_calls(&self) -> u32 {
        self.failed_calls
    }
}

/// Whether an answer of the source brought a change of the catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeSeen {
    /// The answer brought a changed catalog.
    Yes,
    /// The source confirmed the previous catalog.
    No,
}
