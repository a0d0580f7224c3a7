//! Filter that waits for the start of the request body.
//!
//! The filter runs before a slot is acquired, so that no slot is held while a slow caller has not
//! sent the first byte.

use http::StatusCode;

use super::{EarlyResponse, Exchange, Filter};
use crate::{
    problem::Problem,
    upstream::{BodyError, CallerBody},
};

/// Takes the receiving half of the request stream and reads the first bytes of the body.
#[derive(Debug)]
pub(crate) struct ReadBodyStart;

impl Filter for ReadBodyStart {
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), EarlyResponse> {
        let announced_bytes = exchange.content_length();
        let max_bytes = exchange.rule.body_max_bytes;
        let receiving = exchange.receiving.take();
        let receiving = receiving.expect("the filter runs once per request");
        let reading = CallerBody::read_start(receiving, announced_bytes, max_bytes);
        let read = tokio::time::timeout_at(exchange.deadline.into(), reading).await;
        exchange.body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLarge)) => {
                let detail = "the body is too large; send less";
                return Err(Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, detail).into());
            }
            Ok(Err(BodyError::Length | BodyError::Broken)) => {
                let detail = "the body is not as long as announced; send it whole";
                return Err(Problem::not_run(StatusCode::BAD_REQUEST, detail).into());
            }
            Err(_elapsed) => {
                let detail = "no body came before the deadline; send it sooner";
                return Err(Problem::not_run(StatusCode::REQUEST_TIMEOUT, detail).into());
            }
        };
        Ok(())
    }
}
