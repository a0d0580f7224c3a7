//! Serves the requests of one caller's connection and closes it gracefully.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use h3::server::RequestResolver;
use tokio::{sync::watch, task::JoinSet, time::Instant};

use crate::{
    agent::Phase,
    filter::{Filter, HEADERS_MAX_BYTES},
    request::{self, RequestHandler},
    streams::{Connection, StreamEnds},
};

/// Timeout for receiving a request's header section.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a connection without requests stays open after GOAWAY was sent.
///
/// Requests that the caller sent before it received the GOAWAY are rejected in this time, so the
/// caller learns that they did not run.
const REJECT_TIME: Duration = Duration::from_millis(500);

/// Reserved HTTP/3 stream type, which callers must ignore.
const RESERVED_STREAM_TYPE: &[u8] = &[0x21];

/// Interval between ack-eliciting datagrams, and between the last one and the close of the
/// connection.
const ACK_ELICIT_INTERVAL: Duration = Duration::from_millis(5);

/// Number of ack-eliciting datagrams sent before the stream's FIN, which elicits an ACK too.
const ACK_ELICIT_COUNT: usize = 4;

/// Interval at which the connection of a leaving agent polls for requests to reject.
const REJECT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Serves a caller's connection until it is lost, or closes it once the agent leaves and no request
/// is running.
pub(crate) async fn serve_connection<F: Filter + 'static>(
    handler: Arc<RequestHandler<F>>,
    quic: quinn::Connection,
    mut phase: watch::Receiver<Phase>,
) {
    let ends = StreamEnds::default();
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
        let close_at = idle_since.map(|it: Instant| it + REJECT_TIME);
        tokio::select! {
            accepted = http.accept() => match accepted {
                Ok(Some(resolver)) => {
                    requests.spawn(serve_request(Arc::clone(&handler), resolver, ends.clone()));
                }
                // The connection has no request left after one was rejected, but further requests
                // may arrive.
                Ok(None) if is_leaving => tokio::time::sleep(REJECT_POLL_INTERVAL).await,
                Ok(None) | Err(_) => break,
            },
            Some(_ended) = requests.join_next(), if !requests.is_empty() => (),
            () = wait_until_not_serving(&mut phase), if !is_leaving => {
                is_leaving = true;
                if http.shutdown(0).await.is_err() {
                    break;
                }
            }
            () = sleep_until(close_at), if close_at.is_some() => {
                elicit_acks(&quic).await;
                break;
            }
        }
    }
    // The streams of a lost connection fail, so the remaining requests end.
    while requests.join_next().await.is_some() {}
}

/// Sends ack-eliciting datagrams shortly before the connection is closed.
///
/// QUIC sends `CONNECTION_CLOSE` once and repeats it only in response to a datagram that arrives
/// soon after. If the first `CONNECTION_CLOSE` is lost, the caller's acknowledgement triggers
/// another.
async fn elicit_acks(quic: &quinn::Connection) {
    // The timeout applies if the caller permits no further stream, since opening one would wait.
    let Ok(Ok(mut stream)) = tokio::time::timeout(ACK_ELICIT_INTERVAL, quic.open_uni()).await
    else {
        return;
    };
    // Write errors are ignored, since they mean that the caller is gone and needs no close. Each
    // datagram goes through another balancer, so that a balancer that just failed doesn't drop them
    // all.
    for _ in 0..ACK_ELICIT_COUNT {
        let _ = stream.write_all(RESERVED_STREAM_TYPE).await;
        tokio::time::sleep(ACK_ELICIT_INTERVAL).await;
    }
    let _ = stream.finish();
    tokio::time::sleep(ACK_ELICIT_INTERVAL).await;
}

/// Sleeps until the given instant, or forever if it is `None`.
async fn sleep_until(instant: Option<Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}

/// Waits until the agent leaves the serving phase or is dropped.
async fn wait_until_not_serving(phase: &mut watch::Receiver<Phase>) {
    // An error means that the agent was dropped, which ends serving too.
    let _ = phase.wait_for(|it| *it != Phase::Serving).await;
}

/// Receives a request's header section and serves the request.
async fn serve_request<F: Filter + 'static>(
    handler: Arc<RequestHandler<F>>,
    resolver: RequestResolver<Connection, Bytes>,
    ends: StreamEnds,
) {
    let resolving = tokio::time::timeout(HEAD_TIMEOUT, resolver.resolve_request()).await;
    let Ok(Ok((head, stream))) = resolving else {
        handler.counters.requests_malformed.add_one();
        return;
    };
    let Some(ended) = ends.take_end_future(stream.id()) else {
        return;
    };
    request::serve_until_stream_end(&handler, head, stream, ended).await;
}
