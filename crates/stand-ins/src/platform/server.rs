//! HTTP side of the platform stand-in.

use std::{sync::Arc, time::Duration};

use bundle::index::Index;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header::USER_AGENT};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use super::{Fault, Shared};

/// Longest wait of a watch.
const WAIT_MAX: Duration = Duration::from_mins(5);

type HttpResponse = Response<Full<Bytes>>;

/// Why a connection ends without an answer.
#[derive(Debug)]
struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed without an answer")
    }
}

impl std::error::Error for Closed {}

/// Accepts connections until aborted.
pub(super) async fn run(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(serve(stream, Arc::clone(&shared)));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(|request| {
        let shared = Arc::clone(&shared);
        async move { answer(&shared, &request).await }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A reader may hang up at any time.
    drop(connection.await);
}

async fn answer(shared: &Shared, request: &Request<Incoming>) -> Result<HttpResponse, Closed> {
    let path = request.uri().path();
    count(shared, path);
    let reader = request
        .headers()
        .get(USER_AGENT)
        .and_then(|it| it.to_str().ok())
        .unwrap_or_default();
    match shared.fault_of(reader) {
        Fault::Down => return Err(Closed),
        Fault::Erroring => return Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())),
        Fault::InvalidJson => return Ok(plain(StatusCode::OK, Bytes::from_static(b"\x00{{{"))),
        Fault::Hanging => return std::future::pending().await,
        Fault::Slow(by) => tokio::time::sleep(by).await,
        Fault::None | Fault::StaleBy(_) | Fault::Empty => {}
    }
    if path == "/v1/index" {
        return index(shared, reader, request.uri().query().unwrap_or_default()).await;
    }
    if path == "/v1/instances" {
        return Ok(json(&shared.lock().instances));
    }
    Ok(bundle(shared, path))
}

async fn index(shared: &Shared, reader: &str, query: &str) -> Result<HttpResponse, Closed> {
    let after = parameter(query, "after").unwrap_or(0);
    let wait = Duration::from_millis(parameter(query, "wait_ms").unwrap_or(0)).min(WAIT_MAX);
    let mut revision = shared.revision.subscribe();
    let is_newer = |revision: &u64| shown(shared, reader, *revision).revision > after;
    let waiting = async {
        while !is_newer(&revision.borrow_and_update()) && shared.fault_of(reader) != Fault::Down {
            if revision.changed().await.is_err() {
                return;
            }
        }
    };
    // Either a newer revision or the end of the wait; the answer is the same.
    drop(tokio::time::timeout(wait, waiting).await);
    if shared.fault_of(reader) == Fault::Down {
        return Err(Closed);
    }
    let now = *shared.revision.borrow();
    Ok(json(&shown(shared, reader, now)))
}

fn shown(shared: &Shared, reader: &str, revision: u64) -> Index {
    match shared.fault_of(reader) {
        Fault::StaleBy(versions) => shared.lock().history.index(revision, versions),
        Fault::Empty => Index::default(),
        _ => shared.lock().history.index(revision, 0),
    }
}

fn bundle(shared: &Shared, path: &str) -> HttpResponse {
    let found = path
        .strip_prefix("/v1/bundles/")
        .and_then(|it| it.parse().ok())
        .and_then(|digest| shared.lock().history.find(digest));
    match found {
        Some(envelope) => plain(StatusCode::OK, envelope),
        None => plain(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn count(shared: &Shared, path: &str) {
    let calls = &mut shared.lock().calls;
    match path {
        "/v1/index" => calls.index += 1,
        "/v1/instances" => calls.instances += 1,
        it if it.starts_with("/v1/bundles/") => calls.bundle += 1,
        _ => calls.other += 1,
    }
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|it| it.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

fn json(value: &impl Serialize) -> HttpResponse {
    let body = serde_json::to_vec(value).expect("the value has a JSON form");
    plain(StatusCode::OK, Bytes::from(body))
}

fn plain(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}
