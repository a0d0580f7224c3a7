//! One request: through the filter chain, to the upstream, and its answer back.

use std::{sync::Arc, time::Instant};

use admission::Signal;
use bytes::Bytes;
use h3::{
    error::{Code, StreamError},
    server::RequestStream,
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use units::Millis;

use crate::{
    counters::Counters,
    filter::{ATTEMPT_HEADER, Exchange, FIRST_SENT_HEADER, Filter, TIMEOUT_HEADER},
    gate::Slot,
    once::Run,
    problem::Problem,
    streams::{Bidi, Ended, Sending, StreamEnd},
    upstream::{Answered, BodyFault, CallerBody, Client, SendError},
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

/// What all requests of an agent share.
#[derive(Debug)]
pub(crate) struct Core<F> {
    pub(crate) chain: F,
    pub(crate) client: Arc<Client>,
    pub(crate) counters: Arc<Counters>,
}

/// How an answer ended on the agent's side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    /// Handed whole to the caller's stream.
    Whole,
    /// Cut; the stream is reset so that it never looks whole.
    Cut,
}

type Answering = RequestStream<Sending<Bytes>, Bytes>;

/// Serves a request to its end.
pub(crate) async fn serve<F: Filter>(
    core: &Core<F>,
    request: Request<()>,
    stream: RequestStream<Bidi<Bytes>, Bytes>,
    mut ended: Ended,
) {
    core.counters.requests.add_one();
    let (mut sending, receiving) = stream.split();
    let mut exchange = Exchange::new(request, receiving);
    let answer = tokio::select! {
        answer = answer(core, &mut exchange, &mut sending) => answer,
        // The caller lost interest or its connection: what it holds is dropped, which cancels a
        // run under way.
        _end = &mut ended => {
            core.counters.requests_cancelled.add_one();
            return;
        }
    };
    drop(exchange);
    if answer == Answer::Cut {
        drop(sending);
        return;
    }
    match ended.await {
        StreamEnd::Acknowledged => core.counters.requests_answered.add_one(),
        StreamEnd::Cancelled | StreamEnd::Lost => core.counters.requests_cancelled.add_one(),
    }
}

async fn answer<F: Filter>(
    core: &Core<F>,
    exchange: &mut Exchange,
    sending: &mut Answering,
) -> Answer {
    if let Err(problem) = core.chain.admit(exchange).await {
        let problem = exchange.settle_refusal(problem);
        core.count_refusal(&problem);
        if let Some(receiving) = &mut exchange.receiving {
            receiving.stop_sending(Code::H3_NO_ERROR);
        }
        return send_problem(sending, &problem).await;
    }
    core.counters.requests_started.add_one();
    let deadline = exchange.deadline;
    let mut head = Head::Waiting;
    let relaying = relay(core, exchange, sending, &mut head);
    match tokio::time::timeout_at(deadline.into(), relaying).await {
        Ok(Ok(())) => Answer::Whole,
        Ok(Err(Failure::Problem(problem))) => send_problem(sending, &problem).await,
        Ok(Err(Failure::Cut)) => Answer::Cut,
        Err(_elapsed) => {
            core.counters.requests_timed_out.add_one();
            if head == Head::Sent {
                return Answer::Cut;
            }
            core.counters.outcomes_unknown.add_one();
            let detail = "no answer before the deadline; repeat only an idempotent request";
            let problem = Problem::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, detail);
            send_problem(sending, &problem).await
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

impl From<StreamError> for Failure {
    fn from(_gone: StreamError) -> Self {
        Self::Cut
    }
}

/// Sends the request to the upstream and its answer to the caller.
async fn relay<F: Filter>(
    core: &Core<F>,
    exchange: &mut Exchange,
    sending: &mut Answering,
    head: &mut Head,
) -> Result<(), Failure> {
    let mut slot = exchange.slot.take();
    let body = std::mem::take(&mut exchange.body);
    let fault = body.fault_cell();
    let request = upstream_request(exchange, body);
    let unreachable = |_failed| core.unreachable(exchange);
    let link = core.client.link().await.map_err(unreachable)?;
    // Noted before a byte is sent, so that no other attempt of the key runs beside this one.
    let _run = start(exchange)?;
    let sent = core.client.send(link, request).await;
    let mut answered = sent.map_err(|err| core.send_failure(err, fault.get()))?;
    let signal = core.signal(answered.response.status());
    let response = caller_response(&answered.response);
    *head = Head::Sent;
    sending.send_response(response).await?;
    relay_body(&mut answered, sending).await?;
    release(&mut slot, signal);
    core.client.keep(answered).await;
    sending.finish().await?;
    Ok(())
}

/// Relays an answer's body chunk by chunk, as fast as the caller takes it.
async fn relay_body(answered: &mut Answered, sending: &mut Answering) -> Result<(), Failure> {
    let body = answered.response.body_mut();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_cut| Failure::Cut)?;
        match frame.into_data() {
            Ok(data) => sending.send_data(data).await?,
            Err(frame) => {
                if let Ok(trailers) = frame.into_trailers() {
                    sending.send_trailers(trailers).await?;
                }
            }
        }
    }
    Ok(())
}

/// Frees the slot of a run whose answer has left the upstream.
fn release(slot: &mut Option<Slot>, signal: Signal) {
    if let Some(mut slot) = slot.take() {
        slot.set_signal(signal);
    }
}

async fn send_problem(sending: &mut Answering, problem: &Problem) -> Answer {
    let (head, body) = problem.to_answer();
    let send = async {
        sending.send_response(head).await?;
        sending.send_data(body).await?;
        sending.finish().await
    };
    match send.await {
        Ok(()) => Answer::Whole,
        Err(_gone) => Answer::Cut,
    }
}

impl<F> Core<F> {
    fn count_refusal(&self, problem: &Problem) {
        match problem.status {
            StatusCode::SERVICE_UNAVAILABLE => self.counters.requests_refused.add_one(),
            StatusCode::CONFLICT => self.counters.outcomes_unknown.add_one(),
            _ => self.counters.requests_malformed.add_one(),
        }
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
    fn signal(&self, status: StatusCode) -> Signal {
        let is_shed = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        if !is_shed {
            return Signal::Answered;
        }
        self.counters.upstream_shed.add_one();
        Signal::Shed
    }
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
