//! Probes idle connections to the upstream and drops unresponsive ones.

use std::time::{Duration, Instant};

use http::{HeaderValue, Method, Request, Uri, header};
use http_body_util::BodyExt;

use super::{
    CallerBody,
    client::{Client, IdleConnection},
};

/// Time since the last response after which an idle connection is probed.
const PROBE_IDLE_TIME: Duration = Duration::from_millis(400);

/// Interval at which idle connections are checked.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl Client {
    /// Probes idle connections, and reconnects to an unreachable upstream; never returns.
    pub(crate) async fn run_probes(&self) {
        let mut interval = tokio::time::interval(PROBE_INTERVAL);
        loop {
            interval.tick().await;
            let due = self.take_due_connections();
            let probes = due.into_iter().map(|it| self.probe_connection(it));
            futures_util::future::join_all(probes).await;
            self.reconnect_if_unreachable().await;
        }
    }

    /// Tries to reconnect to the upstream if it is marked unreachable.
    async fn reconnect_if_unreachable(&self) {
        if self.unreachable_since().is_none() {
            return;
        }
        if let Ok(connection) = self.acquire_connection().await {
            let verified_at = Instant::now();
            self.push_idle(IdleConnection {
                connection,
                verified_at,
            });
        }
    }

    /// Removes the connections that are due for a probe from the pool.
    fn take_due_connections(&self) -> Vec<IdleConnection> {
        let mut inner = self.lock();
        let is_due = |it: &mut IdleConnection| it.verified_at.elapsed() >= PROBE_IDLE_TIME;
        inner.idle.extract_if(.., is_due).collect()
    }

    /// Probes a connection and returns it to the pool if any response arrives, whatever its status.
    async fn probe_connection(&self, mut idle: IdleConnection) {
        let probing = async {
            let answer = idle
                .connection
                .sender
                .send_request(probe_request())
                .await
                .ok()?;
            answer.into_body().collect().await.ok()?;
            idle.connection.sender.ready().await.ok()
        };
        match tokio::time::timeout(PROBE_TIMEOUT, probing).await {
            Ok(Some(())) => {
                idle.verified_at = Instant::now();
                self.push_idle(idle);
            }
            // The upstream closed the idle connection, which is normal.
            Ok(None) => (),
            Err(_unresponsive) => self.counters.upstream_silent.add_one(),
        }
    }
}

/// Creates an `OPTIONS *` request, which HTTP defines for testing whether a server responds.
fn probe_request() -> Request<CallerBody> {
    let mut request = Request::new(CallerBody::default());
    *request.method_mut() = Method::OPTIONS;
    *request.uri_mut() = Uri::from_static("*");
    let host = HeaderValue::from_static("upstream");
    request.headers_mut().insert(header::HOST, host);
    request
}
