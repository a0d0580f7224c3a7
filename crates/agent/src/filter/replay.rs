//! Keeps a request that must run at most once from running again.

use bundle::RetrySafety;
use http::StatusCode;

use super::{Exchange, Filter};
use crate::problem::Problem;

/// Names a request over all its attempts.
pub(crate) const KEY_HEADER: &str = "idempotency-key";

/// Counts the attempts of a request, 1 for the first.
pub(crate) const ATTEMPT_HEADER: &str = "lovagehall-attempt";

/// Longest key, in bytes.
const KEY_MAX_BYTES: usize = 128;

/// Lets only first attempts of an at-most-once request pass.
#[derive(Debug)]
pub(crate) struct Replay;

impl Filter for Replay {
    async fn admit(&self, exchange: &mut Exchange) -> Result<(), Problem> {
        if exchange.rule.retry == RetrySafety::Idempotent {
            return Ok(());
        }
        let key = exchange.text(KEY_HEADER).unwrap_or_default();
        if key.is_empty() || key.len() > KEY_MAX_BYTES {
            let detail = "the route needs an `Idempotency-Key` of 1 to 128 bytes";
            return Err(Problem::not_run(StatusCode::BAD_REQUEST, detail));
        }
        let attempt = exchange.text(ATTEMPT_HEADER).unwrap_or("1");
        match attempt.parse::<u32>() {
            Ok(1) => Ok(()),
            Ok(2..) => {
                let detail = "an earlier attempt may have run; look the result up";
                Err(Problem::outcome_unknown(StatusCode::CONFLICT, detail))
            }
            _ => {
                let detail = "`lovagehall-attempt` must be a whole number from 1";
                Err(Problem::not_run(StatusCode::BAD_REQUEST, detail))
            }
        }
    }
}
