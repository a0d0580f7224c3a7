//! Filter that sets the deadline of a request.

use http::StatusCode;
use units::Millis;

use super::{EarlyResponse, Exchange, Filter};
use crate::problem::Problem;

/// Header by which a caller shortens the route's timeout, in milliseconds.
pub(crate) const TIMEOUT_HEADER: &str = "lovagehall-timeout-ms";

/// Applies the shorter of the route's timeout and the caller's timeout.
#[derive(Debug)]
pub(crate) struct Deadline;

impl Filter for Deadline {
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), EarlyResponse> {
        let mut timeout_ms = exchange.rule.timeout_ms;
        if exchange.headers.contains_key(TIMEOUT_HEADER) {
            let asked = exchange.header_text(TIMEOUT_HEADER);
            let Some(asked_ms) = asked.and_then(|it| it.parse().ok()).map(Millis::new) else {
                let detail = "`lovagehall-timeout-ms` must be a whole number of milliseconds";
                return Err(Problem::not_run(StatusCode::BAD_REQUEST, detail).into());
            };
            timeout_ms = timeout_ms.min(asked_ms);
        }
        exchange.deadline = exchange.arrived + timeout_ms.to_duration();
        Ok(())
    }
}
