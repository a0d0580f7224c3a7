//! HTTP server of the platform's test double.

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

/// Longest time that a watch of the index may wait for a new revision.
const WATCH_WAIT_MAX: Duration = Duration::from_mins(5);

type HttpResponse = Response<Full<Bytes>>;

/// The error that makes the server close a connection without a response.
#[derive(Debug)]
struct ClosedWithoutResponse;

impl std::fmt::Display for ClosedWithoutResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without a response")
    }
}

impl std::error::Error for ClosedWithoutResponse {}

/// Accepts connections of readers until the task is aborted.
pub(super) async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(serve_connection(stream, Arc::clone(&shared)));
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(|request| {
        let shared = Arc::clone(&shared);
        async move { handle_request(&shared, &request).await }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error only means that the reader has closed the connection.
    drop(connection.await);
}

async fn handle_request(
    shared: &Shared,
    request: &Request<Incoming>,
) -> Result<HttpResponse, ClosedWithoutResponse> {
    let path = request.uri().path();
    count_call(shared, path);
    let reader = request
        .headers()
        .get(USER_AGENT)
        .and_then(|it| it.to_str().ok())
        .unwrap_or_default();
    match shared.fault_for(reader) {
        Fault::Down => return Err(ClosedWithoutResponse),
        Fault::Erroring => return Ok(response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())),
        Fault::InvalidJson => return Ok(response(StatusCode::OK, Bytes::from_static(b"\x00{{{"))),
        Fault::Hanging => return std::future::pending().await,
        Fault::Slow(by) => tokio::time::sleep(by).await,
        Fault::None | Fault::StaleBy(_) | Fault::Empty => {}
    }
    if path == "/v1/index" {
        return watch_index(shared, reader, request.uri().query().unwrap_or_default()).await;
    }
    if path == "/v1/instances" {
        return Ok(json_response(&shared.lock_state().instances));
    }
    Ok(read_bundle(shared, path))
}

async fn watch_index(
    shared: &Shared,
    reader: &str,
    query: &str,
) -> Result<HttpResponse, ClosedWithoutResponse> {
    let after = query_parameter(query, "after").unwrap_or(0);
    let wait =
        Duration::from_millis(query_parameter(query, "wait_ms").unwrap_or(0)).min(WATCH_WAIT_MAX);
    let mut revision = shared.revision.subscribe();
    let is_newer = |revision: &u64| visible_index(shared, reader, *revision).revision > after;
    let waiting = async {
        while !is_newer(&revision.borrow_and_update()) && shared.fault_for(reader) != Fault::Down {
            if revision.changed().await.is_err() {
                return;
            }
        }
    };
    // The response is the current index, whether a newer revision was published or the wait timed
    // out.
    drop(tokio::time::timeout(wait, waiting).await);
    if shared.fault_for(reader) == Fault::Down {
        return Err(ClosedWithoutResponse);
    }
    let now = *shared.revision.borrow();
    Ok(json_response(&visible_index(shared, reader, now)))
}

fn visible_index(shared: &Shared, reader: &str, revision: u64) -> Index {
    match shared.fault_for(reader) {
        Fault::StaleBy(versions) => shared.lock_state().history.index_at(revision, versions),
        Fault::Empty => Index::default(),
        _ => shared.lock_state().history.index_at(revision, 0),
    }
}

fn read_bundle(shared: &Shared, path: &str) -> HttpResponse {
    let found = path
        .strip_prefix("/v1/bundles/")
        .and_then(|it| it.parse().ok())
        .and_then(|digest| shared.lock_state().history.find_envelope(digest));
    match found {
        Some(envelope) => response(StatusCode::OK, envelope),
        None => response(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn count_call(shared: &Shared, path: &str) {
    let calls = &mut shared.lock_state().call_counts;
    match path {
        "/v1/index" => calls.index += 1,
        "/v1/instances" => calls.instances += 1,
        it if it.starts_with("/v1/bundles/") => calls.bundle += 1,
        _ => calls.other += 1,
    }
}

fn query_parameter(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|it| it.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

fn json_response(value: &impl Serialize) -> HttpResponse {
    let body =
        serde_json::to_vec(value).expect("the index and the instance list serialize to JSON");
    response(StatusCode::OK, Bytes::from(body))
}

fn response(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
