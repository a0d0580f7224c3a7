//! Relays a request that holds a slot to the upstream, and the response to a sink.

use std::time::{Duration, Instant};

use admission::LoadSignal;
use bundle::RetrySafety;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use units::Millis;

use crate::{
    filter::{ATTEMPT_HEADER, Exchange, FIRST_SENT_HEADER, TIMEOUT_HEADER},
    gate::Slot,
    once::{CACHED_BODY_MAX_BYTES, CachedResponse, RunGuard},
    problem::Problem,
    request::RequestHandler,
    sink::{ReceiverGone, ResponseSink, send_problem},
    upstream::{BodyError, CallerBody, PendingResponse, SendError, UpstreamConnection},
};

/// Header that tells the upstream how many milliseconds are left until the deadline.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("lovagehall-deadline-ms");

/// `retry-after` hint while the upstream is unreachable.
const UNREACHABLE_RETRY_AFTER_MS: Millis = Millis::new(1000);

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Runs a request that holds a slot until it ends or its deadline passes.
///
/// # Errors
///
/// Fails if the response was truncated; the sink then must not signal a complete response.
pub(crate) async fn run_until_deadline<F, S: ResponseSink>(
    handler: &RequestHandler<F>,
    exchange: &mut Exchange,
    sink: &mut S,
) -> Result<(), ReceiverGone> {
    handler.counters.requests_started.add_one();
    let deadline = exchange.deadline;
    let mut head = HeadState::Pending;
    let relaying = relay_request(handler, exchange, sink, &mut head);
    match tokio::time::timeout_at(deadline.into(), relaying).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(RelayError::Problem(problem))) => send_problem(sink, &problem).await,
        Ok(Err(RelayError::Truncated)) => Err(ReceiverGone),
        Err(_elapsed) => {
            handler.counters.requests_timed_out.add_one();
            if head == HeadState::Sent {
                return Err(ReceiverGone);
            }
            handler.counters.outcomes_unknown.add_one();
            let detail = "no answer before the deadline; repeat only an idempotent request";
            let problem = Problem::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, detail);
            send_problem(sink, &problem).await
        }
    }
}

/// Whether the response head was sent to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeadState {
    Pending,
    Sent,
}

/// Reason why a response was not relayed completely.
#[derive(Debug)]
enum RelayError {
    /// Nothing was sent to the caller yet, who gets this problem as the response.
    Problem(Problem),
    /// The response broke off after its head was sent.
    Truncated,
}

impl From<ReceiverGone> for RelayError {
    fn from(_gone: ReceiverGone) -> Self {
        Self::Truncated
    }
}

/// Sends the request to the upstream and the response to the sink.
async fn relay_request<F, S: ResponseSink>(
    handler: &RequestHandler<F>,
    exchange: &mut Exchange,
    sink: &mut S,
    head: &mut HeadState,
) -> Result<(), RelayError> {
    let mut slot = exchange.slot.take();
    let unreachable = |_failed| handler.refuse_unreachable(exchange);
    let connection = handler
        .client
        .acquire_connection()
        .await
        .map_err(unreachable)?;
    // The attempt is recorded as started before a byte is sent, so that no other attempt with the
    // same key runs at the same time.
    let run = start_attempt(exchange)?;
    handler.retry_limiter.record_request();
    let mut pending = handler.send_with_retries(exchange, connection).await?;
    let signal = handler.load_signal(&pending.response);
    let response = caller_response(&pending.response);
    *head = HeadState::Sent;
    sink.write_head(response.clone()).await?;
    let mut copy = run.as_ref().map(|_run| BytesMut::new());
    relay_body(&mut pending, sink, &mut copy).await?;
    release_slot(&mut slot, signal);
    if let (Some(run), Some(body)) = (run, copy) {
        run.cache_response(cached_response(response, body.freeze()));
    }
    handler.client.return_to_pool(pending).await;
    Ok(sink.write_end().await?)
}

/// Relays the response body chunk by chunk, with backpressure from the sink.
///
/// Collects a copy of the body as long as it is small enough for the cache.
async fn relay_body<S: ResponseSink>(
    pending: &mut PendingResponse,
    sink: &mut S,
    copy: &mut Option<BytesMut>,
) -> Result<(), RelayError> {
    let body = pending.response.body_mut();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_cut| RelayError::Truncated)?;
        match frame.into_data() {
            Ok(data) => {
                copy.take_if(|it| it.len() + data.len() > CACHED_BODY_MAX_BYTES);
                if let Some(copy) = copy {
                    copy.extend_from_slice(&data);
                }
                sink.write_data(data).await?;
            }
            Err(frame) => {
                if let Ok(trailers) = frame.into_trailers() {
                    // The cache does not store trailers, so a response with trailers is not cached.
                    *copy = None;
                    sink.write_trailers(trailers).await?;
                }
            }
        }
    }
    Ok(())
}

fn cached_response(head: Response<()>, body: Bytes) -> CachedResponse {
    let (head, ()) = head.into_parts();
    CachedResponse {
        status: head.status,
        headers: head.headers,
        body,
    }
}

/// Releases the slot of a run whose response was received completely.
fn release_slot(slot: &mut Option<Slot>, signal: LoadSignal) {
    if let Some(mut slot) = slot.take() {
        slot.set_load_signal(signal);
    }
}

impl<F> RequestHandler<F> {
    /// Sends a request and returns the response with its body still to be read.
    ///
    /// An idempotent request with a complete body is sent again if its connection breaks.
    async fn send_with_retries(
        &self,
        exchange: &mut Exchange,
        connection: UpstreamConnection,
    ) -> Result<PendingResponse, RelayError> {
        let is_idempotent = exchange.rule.retry == RetrySafety::Idempotent;
        let retry_body = exchange.body.complete_body().filter(|_body| is_idempotent);
        let body = std::mem::take(&mut exchange.body);
        let body_error = body.error_cell();
        let first = self
            .client
            .send(connection, upstream_request(exchange, body));
        let mut sent = first.await;
        let mut retry = 1;
        while let (Err(SendError::Unknown), Some(body)) = (&sent, &retry_body) {
            if !self
                .retry_limiter
                .wait_for_retry(retry, exchange.deadline)
                .await
            {
                break;
            }
            self.counters.upstream_retries.add_one();
            let body = CallerBody::from_complete(body.clone());
            let request = upstream_request(exchange, body);
            sent = match self.client.acquire_connection().await {
                Ok(connection) => self.client.send(connection, request).await,
                Err(_unreachable) => break,
            };
            retry += 1;
        }
        sent.map_err(|err| self.send_failure(err, body_error.get()))
    }

    /// Refuses a request because its upstream accepts no connection.
    fn refuse_unreachable(&self, exchange: &mut Exchange) -> RelayError {
        let problem = exchange.abandon_attempt(unreachable_problem());
        self.count_refusal(&problem);
        RelayError::Problem(problem)
    }

    /// Returns the problem for a request that could not be sent or got no response.
    fn send_failure(&self, err: SendError, body_error: Option<BodyError>) -> RelayError {
        if err == SendError::NotSent {
            let problem = unreachable_problem();
            self.count_refusal(&problem);
            return RelayError::Problem(problem);
        }
        self.counters.outcomes_unknown.add_one();
        let (status, detail) = match body_error {
            Some(BodyError::TooLarge) => (
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large; send less",
            ),
            Some(BodyError::Length | BodyError::Broken) => {
                (StatusCode::BAD_REQUEST, "the body broke off; send it whole")
            }
            None => {
                let detail = "the upstream broke off; repeat only an idempotent request";
                (StatusCode::BAD_GATEWAY, detail)
            }
        };
        RelayError::Problem(Problem::outcome_unknown(status, detail))
    }

    /// Returns the load signal in the upstream's response, and applies the response's retry
    /// pushback.
    fn load_signal<B>(&self, response: &Response<B>) -> LoadSignal {
        let is_shed = matches!(
            response.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        if !is_shed {
            return LoadSignal::Answered;
        }
        self.counters.upstream_shed.add_one();
        if let Some(retry_after) = retry_after(response.headers()) {
            self.retry_limiter.apply_pushback(retry_after);
        }
        LoadSignal::Shed
    }
}

/// Returns the delay in the `retry-after` header; dates are ignored.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}

/// Marks an at-most-once attempt as started; does nothing for an idempotent request.
fn start_attempt(exchange: &mut Exchange) -> Result<Option<RunGuard>, RelayError> {
    let Some(pending_attempt) = exchange.pending_attempt.take() else {
        return Ok(None);
    };
    pending_attempt.start().map(Some).map_err(|_not_started| {
        let detail = "another attempt settled this one; wait for its answer";
        RelayError::Problem(Problem::outcome_unknown(StatusCode::CONFLICT, detail))
    })
}

fn unreachable_problem() -> Problem {
    let detail = "the upstream can't be reached; retry later";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail)
        .with_retry_after(UNREACHABLE_RETRY_AFTER_MS)
}

/// Builds the request that is sent to the upstream.
fn upstream_request(exchange: &Exchange, body: CallerBody) -> Request<CallerBody> {
    let mut request = Request::new(body);
    *request.method_mut() = exchange.method.clone();
    let path = exchange.uri.path_and_query();
    *request.uri_mut() = path.cloned().map(Into::into).unwrap_or_default();
    let headers = request.headers_mut();
    *headers = exchange.headers.clone();
    remove_hop_by_hop_headers(headers);
    headers.remove(TIMEOUT_HEADER);
    headers.remove(ATTEMPT_HEADER);
    headers.remove(FIRST_SENT_HEADER);
    let authority = exchange.uri.authority().map_or("", |it| it.as_str());
    if let Ok(host) = HeaderValue::from_str(authority) {
        headers.insert(header::HOST, host);
    }
    let left = exchange.deadline.saturating_duration_since(Instant::now());
    headers.insert(DEADLINE_HEADER, Millis::from_duration(left).get().into());
    request
}

/// Builds the response head that is sent to the caller.
fn caller_response<B>(response: &Response<B>) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = response.status();
    *head.headers_mut() = response.headers().clone();
    remove_hop_by_hop_headers(head.headers_mut());
    head
}

fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    for field in HOP_BY_HOP_HEADERS {
        headers.remove(field);
    }
}
