//! Waits for the start of a request's body, so that no slot waits for a slow sender's first byte.

use http::StatusCode;

use super::{Exchange, Filter, Stop};
use crate::{
    problem::Problem,
    upstream::{BodyFault, CallerBody},
};

/// Takes over the body from the request's stream.
#[derive(Debug)]
pub(crate) struct ReadStart;

impl Filter for ReadStart {
    async fn admit(&self, exchange: &mut Exchange) -> Result<(), Stop> {
        let announced_bytes = exchange.announced_bytes();
        let max_bytes = exchange.rule.body_max_bytes;
        let receiving = exchange.receiving.take();
        let receiving = receiving.expect("the body is taken over once");
        let reading = CallerBody::read_start(receiving, announced_bytes, max_bytes);
        let read = tokio::time::timeout_at(exchange.deadline.into(), reading).await;
        exchange.body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(BodyFault::TooLarge)) => {
                let detail = "the body is too large; send less";
                return Err(Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, detail).into());
            }
            Ok(Err(BodyFault::Length | BodyFault::Broken)) => {
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
