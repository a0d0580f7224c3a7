//! Answers that the agent gives itself, as problem details (RFC 9457).

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use units::Millis;

/// What a caller can know of its request's fate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It did not run and never will.
    NotRun,
    /// It may have run, may still run, or not.
    OutcomeUnknown,
}

/// An answer that the agent gives itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Status of the answer.
    pub status: StatusCode,
    /// What the caller can know.
    pub fate: Fate,
    /// What happened, and what the caller can do.
    pub detail: &'static str,
    /// When a retry may fare better.
    pub retry_after_ms: Option<Millis>,
}

/// The JSON form of a problem.
#[derive(Serialize)]
struct Details<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
    detail: &'a str,
}

impl Fate {
    /// Returns the problem type's URI.
    #[must_use]
    pub const fn type_uri(self) -> &'static str {
        match self {
            Self::NotRun => "urn:lovagehall:problem:not-run",
            Self::OutcomeUnknown => "urn:lovagehall:problem:outcome-unknown",
        }
    }

    const fn title(self) -> &'static str {
        match self {
            Self::NotRun => "The request did not run",
            Self::OutcomeUnknown => "It is not known whether the request ran",
        }
    }
}

impl Problem {
    /// Creates the refusal of a request that did not run.
    #[must_use]
    pub const fn not_run(status: StatusCode, detail: &'static str) -> Self {
        Self {
            status,
            fate: Fate::NotRun,
            detail,
            retry_after_ms: None,
        }
    }

    /// Creates the answer to a request that may have run.
    #[must_use]
    pub const fn outcome_unknown(status: StatusCode, detail: &'static str) -> Self {
        Self {
            status,
            fate: Fate::OutcomeUnknown,
            detail,
            retry_after_ms: None,
        }
    }

    /// Sets when a retry may fare better.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after_ms: Millis) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the answer's head and body.
    pub(crate) fn to_answer(&self) -> (Response<()>, Bytes) {
        let details = Details {
            r#type: self.fate.type_uri(),
            title: self.fate.title(),
            status: self.status.as_u16(),
            detail: self.detail,
        };
        let body = serde_json::to_vec(&details).expect("problem details have a JSON form");
        let mut head = Response::new(());
        *head.status_mut() = self.status;
        let headers = head.headers_mut();
        let json = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, json);
        headers.insert(header::CONTENT_LENGTH, body.len().into());
        if let Some(retry_after) = self.retry_after_ms {
            // The field has whole seconds only.
            let seconds = retry_after.get().div_ceil(1000);
            headers.insert(header::RETRY_AFTER, seconds.into());
        }
        (head, body.into())
    }
}
