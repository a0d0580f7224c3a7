//! What came of one call, as the caller can know it.

use http::StatusCode;
use stand_ins::{
    caller::{Answer, CallError},
    pattern::Pattern,
};

use super::Work;

/// Text by which a refusal says that the request did not run.
const NOT_RUN: &str = "problem:not-run";

/// Text by which a refusal says that nobody can tell.
const OUTCOME_UNKNOWN: &str = "problem:outcome-unknown";

/// What came of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The whole right answer.
    Whole,
    /// Refused, and the refusal says that it did not run.
    NotRun,
    /// Refused, and the refusal says that nobody can tell.
    Unknown,
    /// No answer in time.
    Timeout,
    /// The flow broke.
    Broken(String),
    /// An answer that isn't this request's, or not whole.
    Wrong(String),
}

/// Tells what came of a call.
pub(crate) fn classify(work: &Work, request_id: &str, res: Result<Answer, CallError>) -> Outcome {
    let answer = match res {
        Ok(answer) => answer,
        Err(CallError::Rejected) => return Outcome::NotRun,
        Err(CallError::Timeout) => return Outcome::Timeout,
        Err(CallError::Reset { code }) => return Outcome::Wrong(format!("reset {code:#x}")),
        Err(CallError::ConnectionLost { reason }) => return Outcome::Broken(reason),
    };
    if answer.status == StatusCode::OK {
        return check_body(work, request_id, &answer);
    }
    let body = String::from_utf8_lossy(&answer.body);
    if body.contains(NOT_RUN) {
        return Outcome::NotRun;
    }
    if body.contains(OUTCOME_UNKNOWN) {
        return Outcome::Unknown;
    }
    Outcome::Wrong(format!("status {}: {body}", answer.status))
}

fn check_body(work: &Work, request_id: &str, answer: &Answer) -> Outcome {
    if Pattern::matches(request_id, work.answer_bytes, &answer.body) {
        return Outcome::Whole;
    }
    Outcome::Wrong(format!(
        "{} bytes that aren't this request's",
        answer.body.len()
    ))
}
