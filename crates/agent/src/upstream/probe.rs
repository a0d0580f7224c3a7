//! Finds idle connections that have gone silent.

use std::time::{Duration, Instant};

use http::{HeaderValue, Method, Request, Uri, header};
use http_body_util::BodyExt;

use super::{
    CallerBody,
    client::{Client, Idle},
};

/// Time without use after which an idle connection is asked for a sign of life.
const PROBE_AFTER: Duration = Duration::from_millis(400);

/// Time between looks at the idle connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for a sign of life.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl Client {
    /// Probes idle connections, and an upstream that is away, for ever.
    pub(crate) async fn probe(&self) {
        let mut interval = tokio::time::interval(PROBE_INTERVAL);
        loop {
            interval.tick().await;
            let due = self.take_due();
            let probes = due.into_iter().map(|it| self.probe_one(it));
            futures_util::future::join_all(probes).await;
            self.try_again().await;
        }
    }

    /// Looks whether an upstream that took no connection does again.
    async fn try_again(&self) {
        if self.unreachable_since().is_none() {
            return;
        }
        if let Ok(link) = self.link().await {
            let proven = Instant::now();
            self.put(Idle { link, proven });
        }
    }

    /// Takes the connections that are due for a probe.
    fn take_due(&self) -> Vec<Idle> {
        let mut inner = self.lock();
        let is_due = |it: &mut Idle| it.proven.elapsed() >= PROBE_AFTER;
        inner.idle.extract_if(.., is_due).collect()
    }

    /// Asks for a sign of life; any answer is one, whatever it says.
    async fn probe_one(&self, mut idle: Idle) {
        let asking = async {
            let answer = idle.link.sender.send_request(probe_request()).await.ok()?;
            answer.into_body().collect().await.ok()?;
            idle.link.sender.ready().await.ok()
        };
        match tokio::time::timeout(PROBE_TIMEOUT, asking).await {
            Ok(Some(())) => {
                idle.proven = Instant::now();
                self.put(idle);
            }
            // Closed in the usual way.
            Ok(None) => (),
            Err(_silent) => self.counters.upstream_silent.add_one(),
        }
    }
}

/// Makes the request that HTTP has for asking whether a server is there.
fn probe_request() -> Request<CallerBody> {
    let mut request = Request::new(CallerBody::default());
    *request.method_mut() = Method::OPTIONS;
    *request.uri_mut() = Uri::from_static("*");
    let host = HeaderValue::from_static("upstream");
    request.headers_mut().insert(header::HOST, host);
    request
}
