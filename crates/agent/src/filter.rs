//! The filter chain that each request passes before it reaches the upstream.

mod admit;
mod deadline;
mod parse;
mod read_start;
mod replay;
mod route;

use std::{fmt, time::Instant};

use admission::at_most_once::Attempt;
use bundle::{RequestClass, RetrySafety};
use bytes::Bytes;
use h3::server::RequestStream;
use http::{HeaderMap, Method, Uri, header};
use units::Millis;

use crate::{
    gate::Slot,
    once::{KeptAnswer, Ticket},
    problem::{Fate, Problem},
    streams::Receiving,
    upstream::CallerBody,
};

pub(crate) use admit::Admit;
pub(crate) use deadline::{Deadline, TIMEOUT_HEADER};
pub(crate) use parse::{HEADERS_MAX_BYTES, Parse};
pub(crate) use read_start::ReadStart;
pub(crate) use replay::{ATTEMPT_HEADER, FIRST_SENT_HEADER, Replay};
pub(crate) use route::Route;

/// A request on its way through the chain, with what the filters found out about it.
///
/// What it holds is given back when it is dropped, wherever the request was given up.
pub(crate) struct Exchange {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) arrived: Instant,
    /// The request's stream until its body is taken over.
    pub(crate) receiving: Option<RequestStream<Receiving, Bytes>>,
    /// Set by the route filter.
    pub(crate) rule: Rule,
    /// When the answer must have ended; set by the deadline filter.
    pub(crate) deadline: Instant,
    /// Set by the filter that reads the body's start.
    pub(crate) body: CallerBody,
    /// Set by the replay filter on an at-most-once route.
    pub(crate) ticket: Option<Ticket>,
    /// Set by the admission filter.
    pub(crate) slot: Option<Slot>,
}

/// What applies to a request, from its route's rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Rule {
    /// Position of the rule in the bundle.
    pub(crate) index: u16,
    pub(crate) class: RequestClass,
    pub(crate) retry: RetrySafety,
    pub(crate) timeout_ms: Millis,
    pub(crate) body_max_bytes: u64,
}

/// What every request passes before it is decided where it runs.
pub(crate) type Entry = Chain<Parse, Chain<Route, Chain<Deadline, ReadStart>>>;

/// Why a request does not go on.
#[derive(Debug)]
pub(crate) enum Stop {
    /// It is refused.
    Problem(Problem),
    /// An earlier attempt ran, and its answer is known.
    Kept(KeptAnswer),
}

impl From<Problem> for Stop {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem)
    }
}

/// One step of the chain.
pub(crate) trait Filter: Send + Sync {
    /// Lets a request pass or refuses it; a refused request never reaches the upstream.
    fn admit(&self, exchange: &mut Exchange) -> impl Future<Output = Result<(), Stop>> + Send;
}

/// Two filters, one after the other.
#[derive(Debug)]
pub(crate) struct Chain<A, B>(pub(crate) A, pub(crate) B);

impl<A: Filter, B: Filter> Filter for Chain<A, B> {
    async fn admit(&self, exchange: &mut Exchange) -> Result<(), Stop> {
        self.0.admit(exchange).await?;
        self.1.admit(exchange).await
    }
}

impl Exchange {
    pub(crate) fn new(
        request: http::Request<()>,
        receiving: RequestStream<Receiving, Bytes>,
    ) -> Self {
        let (head, ()) = request.into_parts();
        let arrived = Instant::now();
        Self {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            arrived,
            receiving: Some(receiving),
            rule: Rule::NONE,
            deadline: arrived + Rule::NONE.timeout_ms.to_duration(),
            body: CallerBody::default(),
            ticket: None,
            slot: None,
        }
    }

    /// Restores a request that another agent handed off.
    pub(crate) fn handed(
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
            rule: Rule::NONE,
            deadline,
            body,
            ticket: None,
            slot: None,
        }
    }

    /// Returns the number of the attempt, `None` if the caller gave no valid one.
    pub(crate) fn attempt(&self) -> Option<Attempt> {
        let Some(text) = self.text(ATTEMPT_HEADER) else {
            return Some(Attempt::FIRST);
        };
        let raw = text.parse().ok().filter(|it| *it > 0)?;
        Some(Attempt::new(raw))
    }

    /// Makes sure that a refusal says no more than is known.
    ///
    /// An attempt that was granted is given up before the caller hears "not run". Of a repeat
    /// that was refused before its grant only this attempt is known not to have run.
    pub(crate) fn settle_refusal(&mut self, problem: Problem) -> Problem {
        let is_repeat = self.attempt() != Some(Attempt::FIRST);
        let may_have_run = match self.ticket.take() {
            Some(ticket) => !ticket.abandon(),
            None => is_repeat && self.rule.retry == RetrySafety::AtMostOnce,
        };
        if may_have_run && problem.fate == Fate::NotRun {
            return Problem {
                fate: Fate::OutcomeUnknown,
                ..problem
            };
        }
        problem
    }

    /// Returns the body's length as the caller announced it.
    pub(crate) fn announced_bytes(&self) -> Option<u64> {
        self.text(header::CONTENT_LENGTH.as_str())?.parse().ok()
    }

    /// Returns a header field's text, `None` if it is absent or not text.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
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
    /// Stands for a request whose route is not known yet.
    const NONE: Self = Self {
        index: 0,
        class: RequestClass::Short,
        retry: RetrySafety::AtMostOnce,
        timeout_ms: Millis::new(5_000),
        body_max_bytes: 0,
    };
}
