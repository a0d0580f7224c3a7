//! HTTP server of the test double of an upstream.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{Arc, atomic::Ordering},
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Either, Full};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use units::Millis;

use super::{Run, RunEnd, Shared, io::SilenceableStream, lock};
use crate::pattern::Pattern;

/// Request header with the request id, under which runs are recorded and from which the response
/// body is generated.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Request header that sets the request's running time, in milliseconds.
pub const RUN_TIME_HEADER: &str = "x-run-time-ms";

/// Request header that sets the size of the response body, in bytes.
pub const RESPONSE_BYTES_HEADER: &str = "x-answer-bytes";

/// Response header with the number of request body bytes that the upstream received.
const RECEIVED_BYTES_HEADER: &str = "x-received-bytes";

/// Value of the `Retry-After` header in the response to a refused request, in seconds.
const RETRY_AFTER_S: u64 = 1;

type HttpResponse = Response<Either<Full<Bytes>, ResponseBody>>;

/// Accepts connections to the upstream until the task is aborted.
pub(crate) async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(serve_connection(stream, Arc::clone(&shared)));
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let number = shared.accepted_connections.fetch_add(1, Ordering::SeqCst);
    let _ = stream.set_nodelay(true);
    let stream = SilenceableStream {
        number,
        stream,
        shared: Arc::clone(&shared),
    };
    let mut closed = shared.closed_below.subscribe();
    let service = service_fn(move |request| handle_request(request, Arc::clone(&shared)));
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // An error only means that the peer has closed the connection.
        _ended = serving => (),
        _closed = closed.wait_for(|it| number < *it) => (),
    }
}

async fn handle_request(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<HttpResponse, Infallible> {
    let behavior = lock(&shared.behavior).clone();
    if request.method() == Method::OPTIONS {
        return Ok(text_response(204, ""));
    }
    match request.uri().path() {
        "/health" => return Ok(text_response(behavior.health_status, "")),
        "/load" => return Ok(text_response(200, &behavior.load_percent.to_string())),
        _ => (),
    }
    let nth = shared.admitted_or_shed_count();
    if behavior.sheds_request(nth) {
        shared.shed_count.fetch_add(1, Ordering::SeqCst);
        return Ok(refusal_response());
    }
    let Some(slot) = Slot::acquire(&shared, &request) else {
        shared.slot_violations.fetch_add(1, Ordering::SeqCst);
        return Ok(refusal_response());
    };
    let requested_ms = header_number(request.headers(), RUN_TIME_HEADER).map(Millis::new);
    let run_time = behavior.run_time(shared.uptime(), nth, requested_ms);
    let response_bytes =
        header_number(request.headers(), RESPONSE_BYTES_HEADER).unwrap_or(behavior.response_bytes);
    let request_id = header_text(request.headers(), REQUEST_ID_HEADER);

    let received_bytes = read_to_end(request.into_body()).await;
    tokio::time::sleep(run_time.to_duration()).await;

    let mut body = ResponseBody {
        chunks: Pattern::new(&request_id, response_bytes),
        remaining_bytes: response_bytes,
        slot: Some(slot),
    };
    if response_bytes == 0 {
        body.finish_run();
    }
    let mut response = Response::new(Either::Right(body));
    response
        .headers_mut()
        .insert(RECEIVED_BYTES_HEADER, received_bytes.into());
    Ok(response)
}

/// Reads a request body to its end or its first error and returns the number of bytes received.
async fn read_to_end(mut body: Incoming) -> u64 {
    let mut received_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        received_bytes += frame.data_ref().map_or(0, |it| it.len() as u64);
    }
    received_bytes
}

/// A concurrency slot that a run holds; dropping the value ends the run and frees the slot.
#[derive(Debug)]
struct Slot {
    shared: Arc<Shared>,
    run_idx: usize,
    end: RunEnd,
}

impl Slot {
    fn acquire(shared: &Arc<Shared>, request: &Request<Incoming>) -> Option<Self> {
        let running = shared.running_requests.fetch_add(1, Ordering::SeqCst) + 1;
        if running > shared.slots {
            shared.running_requests.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        shared
            .peak_running_requests
            .fetch_max(running, Ordering::SeqCst);
        let headers = request.headers();
        let run = Run {
            key: header_text(headers, "idempotency-key"),
            request_id: header_text(headers, REQUEST_ID_HEADER),
            path: request.uri().to_string(),
            deadline_ms: header_number(headers, "lovagehall-deadline-ms").map(Millis::new),
            started_ms: shared.uptime(),
            end: None,
        };
        let mut runs = lock(&shared.runs);
        runs.push(run);
        Some(Self {
            shared: Arc::clone(shared),
            run_idx: runs.len() - 1,
            end: RunEnd::Cancelled,
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.shared.runs)[self.run_idx].end = Some(self.end);
        self.shared.running_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A response body that holds the run's slot until its last chunk is produced.
#[derive(Debug)]
struct ResponseBody {
    chunks: Pattern,
    remaining_bytes: u64,
    /// The run's slot, which is freed with the last chunk, before the peer can see the end of the
    /// response.
    slot: Option<Slot>,
}

impl ResponseBody {
    fn finish_run(&mut self) {
        if let Some(mut slot) = self.slot.take() {
            slot.end = RunEnd::Finished;
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let chunk = self.chunks.next();
        self.remaining_bytes -= chunk.as_ref().map_or(0, |it| it.len() as u64);
        if self.remaining_bytes == 0 {
            self.finish_run();
        }
        Poll::Ready(chunk.map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes)
    }
}

impl Shared {
    fn admitted_or_shed_count(&self) -> u64 {
        lock(&self.runs).len() as u64 + self.shed_count.load(Ordering::SeqCst)
    }
}

fn text_response(status: u16, body: &str) -> HttpResponse {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let mut response = Response::new(Either::Left(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    response
}

fn refusal_response() -> HttpResponse {
    let mut response = text_response(503, "busy");
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
    response
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|it| it.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
