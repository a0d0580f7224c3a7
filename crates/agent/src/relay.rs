//! A request with a slot: to the upstream, and its answer to a sink.

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
    once::{KEPT_BODY_MAX_BYTES, KeptAnswer, Run},
    problem::Problem,
    request::Core,
    sink::{Gone, Sink, send_problem},
    upstream::{Answered, BodyFault, CallerBody, Link, SendError},
};

/// Tells the upstream how many milliseconds are left until nobody waits for its answer.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("lovagehall-deadline-ms");

/// Hint for a retry while the upstream can't be reached.
const UNREACHABLE_RETRY_AFTER_MS: Millis = Millis::new(1000);

/// Fields that concern one connection only.
const HOP_FIELDS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Runs an admitted request to its end or its deadline.
///
/// # Errors
///
/// Fails if the answer was cut; then its sink must not look whole.
pub(crate) async fn run<F, S: Sink>(
    core: &Core<F>,
    exchange: &mut Exchange,
    sink: &mut S,
) -> Result<(), Gone> {
    core.counters.requests_started.add_one();
    let deadline = exchange.deadline;
    let mut head = Head::Waiting;
    let relaying = relay(core, exchange, sink, &mut head);
    match tokio::time::timeout_at(deadline.into(), relaying).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(Failure::Problem(problem))) => send_problem(sink, &problem).await,
        Ok(Err(Failure::Cut)) => Err(Gone),
        Err(_elapsed) => {
            core.counters.requests_timed_out.add_one();
            if head == Head::Sent {
                return Err(Gone);
            }
            core.counters.outcomes_unknown.add_one();
            let detail = "no answer before the deadline; repeat only an idempotent request";
            let problem = Problem::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, detail);
            send_problem(sink, &problem).await
        }
    }
}

/// Whether the answer's head is on its way to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Head {
    Waiting,
    Sent,
}

/// Why an answer could not be relayed whole.
#[derive(Debug)]
enum Failure {
    /// Nothing was sent to the caller yet.
    Problem(Problem),
    /// The answer was under way.
    Cut,
}

impl From<Gone> for Failure {
    fn from(_gone: Gone) -> Self {
        Self::Cut
    }
}

/// Sends the request to the upstream and its answer to the sink.
async fn relay<F, S: Sink>(
    core: &Core<F>,
    exchange: &mut Exchange,
    sink: &mut S,
    head: &mut Head,
) -> Result<(), Failure> {
    let mut slot = exchange.slot.take();
    let unreachable = |_failed| core.unreachable(exchange);
    let link = core.client.link().await.map_err(unreachable)?;
    // Noted before a byte is sent, so that no other attempt of the key runs beside this one.
    let run = start(exchange)?;
    core.retries.fresh();
    let mut answered = core.send(exchange, link).await?;
    let signal = core.signal(&answered.response);
    let response = caller_response(&answered.response);
    *head = Head::Sent;
    sink.head(response.clone()).await?;
    let mut copy = run.as_ref().map(|_run| BytesMut::new());
    relay_body(&mut answered, sink, &mut copy).await?;
    release(&mut slot, signal);
    if let (Some(run), Some(body)) = (run, copy) {
        run.keep(kept(response, body.freeze()));
    }
    core.client.keep(answered).await;
    Ok(sink.end().await?)
}

/// Relays an answer's body chunk by chunk, as fast as it is taken.
///
/// A copy is made until it is too large to be kept.
async fn relay_body<S: Sink>(
    answered: &mut Answered,
    sink: &mut S,
    copy: &mut Option<BytesMut>,
) -> Result<(), Failure> {
    let body = answered.response.body_mut();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_cut| Failure::Cut)?;
        match frame.into_data() {
            Ok(data) => {
                copy.take_if(|it| it.len() + data.len() > KEPT_BODY_MAX_BYTES);
                if let Some(copy) = copy {
                    copy.extend_from_slice(&data);
                }
                sink.data(data).await?;
            }
            Err(frame) => {
                if let Ok(trailers) = frame.into_trailers() {
                    // Trailers aren't kept, so neither is the answer.
                    *copy = None;
                    sink.trailers(trailers).await?;
                }
            }
        }
    }
    Ok(())
}

fn kept(head: Response<()>, body: Bytes) -> KeptAnswer {
    let (head, ()) = head.into_parts();
    KeptAnswer {
        status: head.status,
        headers: head.headers,
        body,
    }
}

/// Frees the slot of a run whose answer has left the upstream.
fn release(slot: &mut Option<Slot>, signal: LoadSignal) {
    if let Some(mut slot) = slot.take() {
        slot.set_signal(signal);
    }
}

impl<F> Core<F> {
    /// Sends a request and returns the answer's head.
    ///
    /// One that may run more than once is sent again if its connection breaks.
    async fn send(&self, exchange: &mut Exchange, link: Link) -> Result<Answered, Failure> {
        let is_idempotent = exchange.rule.retry == RetrySafety::Idempotent;
        let again = exchange.body.whole().filter(|_whole| is_idempotent);
        let body = std::mem::take(&mut exchange.body);
        let fault = body.fault_cell();
        let first = self.client.send(link, upstream_request(exchange, body));
        let mut sent = first.await;
        let mut retry = 1;
        while let (Err(SendError::Unknown), Some(body)) = (&sent, &again) {
            if !self.retries.take(retry, exchange.deadline).await {
                break;
            }
            self.counters.upstream_retries.add_one();
            let body = CallerBody::from_whole(body.clone());
            let request = upstream_request(exchange, body);
            sent = match self.client.link().await {
                Ok(link) => self.client.send(link, request).await,
                Err(_unreachable) => break,
            };
            retry += 1;
        }
        sent.map_err(|err| self.send_failure(err, fault.get()))
    }

    /// Refuses a request whose upstream takes no connection.
    fn unreachable(&self, exchange: &mut Exchange) -> Failure {
        let problem = exchange.settle_refusal(unreachable());
        self.count_refusal(&problem);
        Failure::Problem(problem)
    }

    fn send_failure(&self, err: SendError, fault: Option<BodyFault>) -> Failure {
        if err == SendError::NotSent {
            let problem = unreachable();
            self.count_refusal(&problem);
            return Failure::Problem(problem);
        }
        self.counters.outcomes_unknown.add_one();
        let (status, detail) = match fault {
            Some(BodyFault::TooLarge) => (
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large; send less",
            ),
            Some(BodyFault::Length | BodyFault::Broken) => {
                (StatusCode::BAD_REQUEST, "the body broke off; send it whole")
            }
            None => {
                let detail = "the upstream broke off; repeat only an idempotent request";
                (StatusCode::BAD_GATEWAY, detail)
            }
        };
        Failure::Problem(Problem::outcome_unknown(status, detail))
    }

    /// Returns what an answer says about the upstream's load.
    fn signal<B>(&self, response: &Response<B>) -> LoadSignal {
        let is_shed = matches!(
            response.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        if !is_shed {
            return LoadSignal::Answered;
        }
        self.counters.upstream_shed.add_one();
        if let Some(retry_after) = retry_after(response.headers()) {
            self.retries.push_back(retry_after);
        }
        LoadSignal::Shed
    }
}

/// Returns the wait that an answer asks for, in whole seconds; dates are not read.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}

/// Marks an at-most-once attempt as started.
fn start(exchange: &mut Exchange) -> Result<Option<Run>, Failure> {
    let Some(ticket) = exchange.ticket.take() else {
        return Ok(None);
    };
    ticket.start().map(Some).map_err(|_not_started| {
        let detail = "another attempt settled this one; wait for its answer";
        Failure::Problem(Problem::outcome_unknown(StatusCode::CONFLICT, detail))
    })
}

fn unreachable() -> Problem {
    let detail = "the upstream can't be reached; retry later";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail)
        .with_retry_after(UNREACHABLE_RETRY_AFTER_MS)
}

/// Makes the request as the upstream gets it.
fn upstream_request(exchange: &Exchange, body: CallerBody) -> Request<CallerBody> {
    let mut request = Request::new(body);
    *request.method_mut() = exchange.method.clone();
    let path = exchange.uri.path_and_query();
    *request.uri_mut() = path.cloned().map(Into::into).unwrap_or_default();
    let headers = request.headers_mut();
    *headers = exchange.headers.clone();
    remove_hop_fields(headers);
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

/// Makes the answer's head as the caller gets it.
fn caller_response<B>(response: &Response<B>) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = response.status();
    *head.headers_mut() = response.headers().clone();
    remove_hop_fields(head.headers_mut());
    head
}

fn remove_hop_fields(headers: &mut HeaderMap) {
    for field in HOP_FIELDS {
        headers.remove(field);
    }
}
