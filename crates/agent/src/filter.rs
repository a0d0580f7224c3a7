//! Filter chain that each request passes before it is sent to the upstream.

mod acquire_slot;
mod deadline;
mod read_start;
mod replay;
mod route;
mod validate_head;

use std::{fmt, time::Instant};

use admission::at_most_once::Attempt;
use bundle::{RequestClass, RetrySafety};
use bytes::Bytes;
use h3::server::RequestStream;
use http::{HeaderMap, Method, Uri, header};
use units::Millis;

use crate::{
    gate::Slot,
    once::{CachedResponse, PendingAttempt},
    problem::{Outcome, Problem},
    streams::RecvHalf,
    upstream::CallerBody,
};

pub(crate) use acquire_slot::AcquireSlot;
pub(crate) use deadline::{Deadline, TIMEOUT_HEADER};
pub(crate) use read_start::ReadBodyStart;
pub(crate) use replay::{ATTEMPT_HEADER, FIRST_SENT_HEADER, ReplayGuard};
pub(crate) use route::Route;
pub(crate) use validate_head::{HEADERS_MAX_BYTES, ValidateHead};

/// A request in the filter chain, with the state that the filters add to it.
///
/// Dropping the exchange at any point releases the request's slot.
pub(crate) struct Exchange {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) arrived: Instant,
    /// Receiving half of the request stream; `None` once [`ReadBodyStart`] has taken it.
    pub(crate) receiving: Option<RequestStream<RecvHalf, Bytes>>,
    /// Route rule of the request, set by [`Route`].
    pub(crate) rule: Rule,
    /// Time by which the response must be complete; set by [`Deadline`].
    pub(crate) deadline: Instant,
    /// Body of the request, set by [`ReadBodyStart`].
    pub(crate) body: CallerBody,
    /// Granted attempt that has not started, set by [`ReplayGuard`] on an at-most-once route.
    pub(crate) pending_attempt: Option<PendingAttempt>,
    /// Upstream slot that the request holds, set by [`AcquireSlot`].
    pub(crate) slot: Option<Slot>,
}

/// Settings of the route rule that applies to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Rule {
    /// Index of the route rule in the bundle.
    pub(crate) index: u16,
    pub(crate) class: RequestClass,
    pub(crate) retry: RetrySafety,
    pub(crate) timeout_ms: Millis,
    pub(crate) body_max_bytes: u64,
}

/// Filters that every request passes before it gets a local slot or is handed off to another agent.
pub(crate) type EntryFilters = Chain<ValidateHead, Chain<Route, Chain<Deadline, ReadBodyStart>>>;

/// A response that ends the filter chain before the request runs.
#[derive(Debug)]
pub(crate) enum EarlyResponse {
    /// The request is refused.
    Problem(Problem),
    /// An earlier attempt ran and its response is cached.
    Cached(CachedResponse),
}

impl From<Problem> for EarlyResponse {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem)
    }
}

/// One step of the filter chain.
pub(crate) trait Filter: Send + Sync {
    /// Passes a request on to the next filter, or ends the filter chain with a response.
    ///
    /// A request whose filter chain ends early never reaches the upstream.
    fn apply(
        &self,
        exchange: &mut Exchange,
    ) -> impl Future<Output = Result<(), EarlyResponse>> + Send;
}

/// Applies two filters one after the other.
#[derive(Debug)]
pub(crate) struct Chain<A, B>(pub(crate) A, pub(crate) B);

impl<A: Filter, B: Filter> Filter for Chain<A, B> {
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), EarlyResponse> {
        self.0.apply(exchange).await?;
        self.1.apply(exchange).await
    }
}

impl Exchange {
    pub(crate) fn new(
        request: http::Request<()>,
        receiving: RequestStream<RecvHalf, Bytes>,
    ) -> Self {
        let (head, ()) = request.into_parts();
        let arrived = Instant::now();
        Self {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            arrived,
            receiving: Some(receiving),
            rule: Rule::UNROUTED,
            deadline: arrived + Rule::UNROUTED.timeout_ms.to_duration(),
            body: CallerBody::default(),
            pending_attempt: None,
            slot: None,
        }
    }

    /// Creates the exchange of a request that another agent handed off.
    pub(crate) fn from_hand_off(
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: CallerBody,
        deadline: Instant,
    ) -> Self {
        Self {
            method,
            uri,
            headers,
            arrived: Instant::now(),
            receiving: None,
            rule: Rule::UNROUTED,
            deadline,
            body,
            pending_attempt: None,
            slot: None,
        }
    }

    /// Returns the attempt number in the request's header, 1 if the header is absent and `None` if
    /// it is invalid.
    pub(crate) fn attempt(&self) -> Option<Attempt> {
        let Some(text) = self.header_text(ATTEMPT_HEADER) else {
            return Some(Attempt::FIRST);
        };
        let raw = text.parse().ok().filter(|it| *it > 0)?;
        Some(Attempt::new(raw))
    }

    /// Abandons the granted attempt of a refused request, so that the request can't run after its
    /// caller was told "not run".
    ///
    /// The outcome becomes unknown if the attempt can't be abandoned, or if a repeat was refused
    /// before its grant: an earlier attempt may have run.
    pub(crate) fn abandon_attempt(&mut self, problem: Problem) -> Problem {
        let is_repeat = self.attempt() != Some(Attempt::FIRST);
        let may_have_run = match self.pending_attempt.take() {
            Some(pending_attempt) => !pending_attempt.abandon(),
            None => is_repeat && self.rule.retry == RetrySafety::AtMostOnce,
        };
        if may_have_run && problem.outcome == Outcome::NotRun {
            return Problem {
                outcome: Outcome::Unknown,
                ..problem
            };
        }
        problem
    }

    /// Returns the value of `content-length` if it is present and valid.
    pub(crate) fn content_length(&self) -> Option<u64> {
        self.header_text(header::CONTENT_LENGTH.as_str())?
            .parse()
            .ok()
    }

    /// Returns a header value, `None` if it is absent or not visible ASCII.
    pub(crate) fn header_text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange")
            .field("method", &self.method)
            .field("uri", &self.uri)
            .field("rule", &self.rule)
            .finish_non_exhaustive()
    }
}

impl Rule {
    /// Placeholder rule of a request that has not passed [`Route`] yet.
    const UNROUTED: Self = Self {
        index: 0,
        class: RequestClass::Short,
        retry: RetrySafety::AtMostOnce,
        timeout_ms: Millis::new(5_000),
        body_max_bytes: 0,
    };
}
