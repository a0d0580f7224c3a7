//! One caller's connection: its requests, and its graceful end.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use h3::server::RequestResolver;
use tokio::{sync::watch, task::JoinSet, time::Instant};

use crate::{
    agent::Phase,
    filter::{Filter, HEADERS_MAX_BYTES},
    request::{self, RequestHandler},
    streams::{Connection, Ends},
};

/// Longest time for a request's head to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that a leaving connection stays open without requests.
///
/// A request that the caller sent before it heard of the leaving is rejected in this time, so the
/// caller learns that it did not run.
const LINGER: Duration = Duration::from_millis(500);

/// Type of a stream that callers must ignore.
const IGNORED_STREAM: &[u8] = &[0x21];

/// Time between the datagram that makes the caller answer and the end of the connection.
const FAREWELL: Duration = Duration::from_millis(5);

/// Datagrams that make the caller answer, besides the last one.
const FAREWELLS: usize = 4;

/// Pause between looks for requests to reject.
const REJECT_PAUSE: Duration = Duration::from_millis(5);

/// Serves a connection until it is lost, or until its requests have ended once the agent leaves.
pub(crate) async fn serve<F: Filter + 'static>(
    handler: Arc<RequestHandler<F>>,
    quic: quinn::Connection,
    mut phase: watch::Receiver<Phase>,
) {
    let ends = Ends::default();
    let mut builder = h3::server::builder();
    builder.max_field_section_size(HEADERS_MAX_BYTES as u64);
    let streams = Connection::new(quic.clone(), ends.clone());
    let Ok(mut http) = builder.build::<_, Bytes>(streams).await else {
        return;
    };
    let mut requests = JoinSet::new();
    let mut is_leaving = false;
    let mut idle_since = None;
    loop {
        if is_leaving && requests.is_empty() {
            idle_since.get_or_insert_with(Instant::now);
        }
        let close_at = idle_since.map(|it: Instant| it + LINGER);
        tokio::select! {
            accepted = http.accept() => match accepted {
                Ok(Some(resolver)) => {
                    requests.spawn(take(Arc::clone(&handler), resolver, ends.clone()));
                }
                // A request was rejected and none is left; there may be more to reject.
                Ok(None) if is_leaving => tokio::time::sleep(REJECT_PAUSE).await,
                Ok(None) | Err(_) => break,
            },
            Some(_ended) = requests.join_next(), if !requests.is_empty() => (),
            () = leaving(&mut phase), if !is_leaving => {
                is_leaving = true;
                if http.shutdown(0).await.is_err() {
                    break;
                }
            }
            () = sleep_until(close_at), if close_at.is_some() => {
                call_forth(&quic).await;
                break;
            }
        }
    }
    // After a loss the remaining requests end by themselves.
    while requests.join_next().await.is_some() {}
}

/// Makes the caller answer, shortly before the connection ends.
///
/// The end of a connection is told in one datagram, which QUIC repeats only in answer to a
/// datagram that comes soon after. If it is lost, the caller's acknowledgement brings it again.
async fn call_forth(quic: &quinn::Connection) {
    // A caller that allows no more streams is not waited for.
    let Ok(Ok(mut stream)) = tokio::time::timeout(FAREWELL, quic.open_uni()).await else {
        return;
    };
    // A caller that is gone need not be told.
    // Each datagram takes the way through other balancers, so one that just died doesn't matter.
    for _ in 0..FAREWELLS {
        let _ = stream.write_all(IGNORED_STREAM).await;
        tokio::time::sleep(FAREWELL).await;
    }
    let _ = stream.finish();
    tokio::time::sleep(FAREWELL).await;
}

/// Waits for a moment, for ever if there is none.
async fn sleep_until(moment: Option<Instant>) {
    match moment {
        Some(moment) => tokio::time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

/// Waits until the agent leaves or is gone.
async fn leaving(phase: &mut watch::Receiver<Phase>) {
    // An agent that is gone has left.
    let _ = phase.wait_for(|it| *it != Phase::Serving).await;
}

/// Reads a request's head and serves it.
async fn take<F: Filter + 'static>(
    handler: Arc<RequestHandler<F>>,
    resolver: RequestResolver<Connection, Bytes>,
    ends: Ends,
) {
    let resolving = tokio::time::timeout(HEAD_TIMEOUT, resolver.resolve_request()).await;
    let Ok(Ok((head, stream))) = resolving else {
        handler.counters.requests_malformed.add_one();
        return;
    };
    let Some(ended) = ends.take(stream.id()) else {
        return;
    };
    request::serve(&handler, head, stream, ended).await;
}
