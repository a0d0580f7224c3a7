//! What a control process reports, one line each on its standard output.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// What a control process reports.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Report {
    /// The start is over; what is held was reported before.
    Ready,
    /// A service is in force in this version.
    InForce {
        /// The service.
        service: u32,
        /// The version.
        version: u64,
        /// When, in microseconds since the Unix epoch.
        at_us: u64,
    },
}

/// Returns the microseconds since the Unix epoch, on the clock that all processes share.
pub(crate) fn now_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
