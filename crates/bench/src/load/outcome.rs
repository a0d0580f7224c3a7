//! Outcome of a call, as far as its caller can know it.

use http::StatusCode;
use stand_ins::{
    caller::{CallError, CallResponse},
    pattern::Pattern,
};

use super::RequestKind;

/// Part of the problem type in the response to a refused request that did not run.
const NOT_RUN_PROBLEM: &str = "problem:not-run";

/// Part of the problem type in the response to a request that may or may not have run.
const OUTCOME_UNKNOWN_PROBLEM: &str = "problem:outcome-unknown";

/// Outcome of a call as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The complete and correct response to the call arrived.
    Complete,
    /// The request was refused and did not run.
    NotRun,
    /// The response says that the request may or may not have run.
    Unknown,
    /// No complete response arrived before the call's timeout.
    Timeout,
    /// The caller's connection was lost before the complete response arrived.
    ConnectionLost(String),
    /// The request's stream was reset, or the response has the wrong body or an unexpected status.
    WrongResponse(String),
}

/// Classifies the result of a call by what it tells about the request.
pub(crate) fn classify_result(
    kind: &RequestKind,
    request_id: &str,
    res: Result<CallResponse, CallError>,
) -> Outcome {
    let response = match res {
        Ok(response) => response,
        Err(CallError::Rejected) => return Outcome::NotRun,
        Err(CallError::Timeout) => return Outcome::Timeout,
        Err(CallError::Reset { code }) => {
            return Outcome::WrongResponse(format!("stream reset with code {code:#x}"));
        }
        Err(CallError::ConnectionLost { reason }) => return Outcome::ConnectionLost(reason),
    };
    if response.status == StatusCode::OK {
        return check_body(kind, request_id, &response);
    }
    let body = String::from_utf8_lossy(&response.body);
    if body.contains(NOT_RUN_PROBLEM) {
        return Outcome::NotRun;
    }
    if body.contains(OUTCOME_UNKNOWN_PROBLEM) {
        return Outcome::Unknown;
    }
    Outcome::WrongResponse(format!("unexpected status {}: {body}", response.status))
}

fn check_body(kind: &RequestKind, request_id: &str, response: &CallResponse) -> Outcome {
    if Pattern::matches(request_id, kind.response_bytes, &response.body) {
        return Outcome::Complete;
    }
    Outcome::WrongResponse(format!(
        "body of {} bytes doesn't match the request",
        response.body.len()
    ))
}
