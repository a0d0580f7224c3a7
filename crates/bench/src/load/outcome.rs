//! What came of one call, as the caller can know it.

use http::StatusCode;
use stand_ins::{
    caller::{CallError, CallResponse},
    pattern::Pattern,
};

use super::RequestKind;

/// Text by which a refusal says that the request did not run.
const NOT_RUN: &str = "problem:not-run";

/// Text by which a refusal says that nobody can tell.
const OUTCOME_UNKNOWN: &str = "problem:outcome-unknown";

/// What came of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The complete right answer.
    Complete,
    /// Refused, and the refusal says that it did not run.
    NotRun,
    /// Refused, and the refusal says that nobody can tell.
    Unknown,
    /// No answer in time.
    Timeout,
    /// The flow broke.
    ConnectionLost(String),
    /// An answer that isn't this request's, or not complete.
    WrongResponse(String),
}

/// Tells what came of a call.
pub(crate) fn classify(
    kind: &RequestKind,
    request_id: &str,
    res: Result<CallResponse, CallError>,
) -> Outcome {
    let answer = match res {
        Ok(answer) => answer,
        Err(CallError::Rejected) => return Outcome::NotRun,
        Err(CallError::Timeout) => return Outcome::Timeout,
        Err(CallError::Reset { code }) => {
            return Outcome::WrongResponse(format!("reset {code:#x}"));
        }
        Err(CallError::ConnectionLost { reason }) => return Outcome::ConnectionLost(reason),
    };
    if answer.status == StatusCode::OK {
        return check_body(kind, request_id, &answer);
    }
    let body = String::from_utf8_lossy(&answer.body);
    if body.contains(NOT_RUN) {
        return Outcome::NotRun;
    }
    if body.contains(OUTCOME_UNKNOWN) {
        return Outcome::Unknown;
    }
    Outcome::WrongResponse(format!("status {}: {body}", answer.status))
}

fn check_body(kind: &RequestKind, request_id: &str, answer: &CallResponse) -> Outcome {
    if Pattern::matches(request_id, kind.response_bytes, &answer.body) {
        return Outcome::Complete;
    }
    Outcome::WrongResponse(format!(
        "{} bytes that aren't this request's",
        answer.body.len()
    ))
}
