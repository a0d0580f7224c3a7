//! Error responses that the agent creates itself, as problem details (RFC 9457).

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use units::Millis;

/// What is known about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run, may still run, or may never run.
    Unknown,
}

/// An error response that the agent creates itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// What the caller is told about the execution of its request.
    pub outcome: Outcome,
    /// What happened and what the caller can do.
    pub detail: &'static str,
    /// Time after which a retry is more likely to succeed.
    pub retry_after_ms: Option<Millis>,
}

/// JSON representation of a problem.
#[derive(Serialize)]
struct Details<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
    detail: &'a str,
}

impl Outcome {
    /// Returns the problem type's URI.
    #[must_use]
    pub const fn type_uri(self) -> &'static str {
        match self {
            Self::NotRun => "urn:lovagehall:problem:not-run",
            Self::Unknown => "urn:lovagehall:problem:outcome-unknown",
        }
    }

    const fn title(self) -> &'static str {
        match self {
            Self::NotRun => "The request did not run",
            Self::Unknown => "It is not known whether the request ran",
        }
    }
}

impl Problem {
    /// Creates the problem of a request that did not run.
    #[must_use]
    pub const fn not_run(status: StatusCode, detail: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            detail,
            retry_after_ms: None,
        }
    }

    /// Creates the problem of a request that may have run.
    #[must_use]
    pub const fn outcome_unknown(status: StatusCode, detail: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::Unknown,
            detail,
            retry_after_ms: None,
        }
    }

    /// Sets the time after which a retry is more likely to succeed.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after_ms: Millis) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the head and body of the HTTP response.
    pub(crate) fn to_response(&self) -> (Response<()>, Bytes) {
        let details = Details {
            r#type: self.outcome.type_uri(),
            title: self.outcome.title(),
            status: self.status.as_u16(),
            detail: self.detail,
        };
        let body = serde_json::to_vec(&details).expect("problem details serialize to JSON");
        let mut head = Response::new(());
        *head.status_mut() = self.status;
        let headers = head.headers_mut();
        let json = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, json);
        headers.insert(header::CONTENT_LENGTH, body.len().into());
        if let Some(retry_after) = self.retry_after_ms {
            // `retry-after` has a resolution of one second.
            let seconds = retry_after.get().div_ceil(1000);
            headers.insert(header::RETRY_AFTER, seconds.into());
        }
        (head, body.into())
    }
}
