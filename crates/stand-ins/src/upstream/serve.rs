//! The upstream's HTTP server.

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

/// Names the request, for its runs and its answer's content.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Asks for a running time, in milliseconds.
pub const RUN_TIME_HEADER: &str = "x-run-time-ms";

/// Asks for a size of the answer, in bytes.
pub const RESPONSE_BYTES_HEADER: &str = "x-answer-bytes";

/// Tells how many bytes of the request's body arrived.
const RECEIVED_BYTES_HEADER: &str = "x-received-bytes";

/// Value of `Retry-After` when load is shed, in seconds.
const SHED_RETRY_AFTER_S: u64 = 1;

type HttpResponse = Response<Either<Full<Bytes>, ResponseBody>>;

/// Accepts connections until aborted.
pub(crate) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
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
    let answer = service_fn(move |request| answer(request, Arc::clone(&shared)));
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
    tokio::select! {
        // A peer that goes away is part of the play.
        _ended = serving => (),
        _closed = closed.wait_for(|it| number < *it) => (),
    }
}

async fn answer(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<HttpResponse, Infallible> {
    let behavior = lock(&shared.behavior).clone();
    if request.method() == Method::OPTIONS {
        return Ok(plain(204, ""));
    }
    match request.uri().path() {
        "/health" => return Ok(plain(behavior.health_status, "")),
        "/load" => return Ok(plain(200, &behavior.load_percent.to_string())),
        _ => (),
    }
    let nth = shared.run_count();
    if behavior.sheds(nth) {
        shared.shed_count.fetch_add(1, Ordering::SeqCst);
        return Ok(busy());
    }
    let Some(slot) = Slot::take(&shared, &request) else {
        shared.slot_violations.fetch_add(1, Ordering::SeqCst);
        return Ok(busy());
    };
    let asked_ms = number(request.headers(), RUN_TIME_HEADER).map(Millis::new);
    let run_time = behavior.run_time(shared.uptime(), nth, asked_ms);
    let response_bytes =
        number(request.headers(), RESPONSE_BYTES_HEADER).unwrap_or(behavior.response_bytes);
    let request_id = text(request.headers(), REQUEST_ID_HEADER);

    let received_bytes = read_whole(request.into_body()).await;
    tokio::time::sleep(run_time.to_duration()).await;

    let mut body = ResponseBody {
        chunks: Pattern::new(&request_id, response_bytes),
        left_bytes: response_bytes,
        slot: Some(slot),
    };
    if response_bytes == 0 {
        body.finish();
    }
    let mut answer = Response::new(Either::Right(body));
    answer
        .headers_mut()
        .insert(RECEIVED_BYTES_HEADER, received_bytes.into());
    Ok(answer)
}

/// Reads a body as fast as it comes and returns its size.
async fn read_whole(mut body: Incoming) -> u64 {
    let mut received_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        received_bytes += frame.data_ref().map_or(0, |it| it.len() as u64);
    }
    received_bytes
}

/// A slot held by one run; it ends the run when dropped.
#[derive(Debug)]
struct Slot {
    shared: Arc<Shared>,
    run_idx: usize,
    end: RunEnd,
}

impl Slot {
    fn take(shared: &Arc<Shared>, request: &Request<Incoming>) -> Option<Self> {
        let busy = shared.running_requests.fetch_add(1, Ordering::SeqCst) + 1;
        if busy > shared.slots {
            shared.running_requests.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        shared
            .peak_running_requests
            .fetch_max(busy, Ordering::SeqCst);
        let headers = request.headers();
        let run = Run {
            key: text(headers, "idempotency-key"),
            request_id: text(headers, REQUEST_ID_HEADER),
            path: request.uri().to_string(),
            deadline_ms: number(headers, "lovagehall-deadline-ms").map(Millis::new),
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

/// The body of an answer; it holds the slot until its end.
#[derive(Debug)]
struct ResponseBody {
    chunks: Pattern,
    left_bytes: u64,
    /// Given back with the last chunk, before the peer can see the end.
    slot: Option<Slot>,
}

impl ResponseBody {
    fn finish(&mut self) {
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
        self.left_bytes -= chunk.as_ref().map_or(0, |it| it.len() as u64);
        if self.left_bytes == 0 {
            self.finish();
        }
        Poll::Ready(chunk.map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.left_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left_bytes)
    }
}

impl Shared {
    fn run_count(&self) -> u64 {
        lock(&self.runs).len() as u64 + self.shed_count.load(Ordering::SeqCst)
    }
}

fn plain(status: u16, body: &str) -> HttpResponse {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let mut answer = Response::new(Either::Left(body));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    answer
}

fn busy() -> HttpResponse {
    let mut answer = plain(503, "busy");
    answer
        .headers_mut()
        .insert(header::RETRY_AFTER, SHED_RETRY_AFTER_S.into());
    answer
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|it| it.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
