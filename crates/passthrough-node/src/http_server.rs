//! Answers to questions about readiness and counters, over HTTP/1.1.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::Semaphore};

use crate::NodeError;

/// Time within which a connection must send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections answered at once; a prober and an engineer need few.
const CONNECTIONS_MAX: usize = 32;

/// What the answers say.
#[derive(Debug, Clone, Default)]
pub(crate) struct Answers {
    ready: Arc<AtomicBool>,
    metrics: Arc<Mutex<String>>,
}

impl Answers {
    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    pub(crate) fn set_metrics(&self, text: String) {
        *self.metrics.lock().unwrap_or_else(PoisonError::into_inner) = text;
    }

    fn readiness(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if !self.ready.load(Ordering::Relaxed) {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let text = self
            .metrics
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        Response::new(Full::new(Bytes::from(text)))
    }
}

/// Opens a listener.
pub(crate) fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    let error = |source| NodeError::Socket {
        purpose,
        address,
        source,
    };
    let socket = tokio::net::TcpSocket::new_v4().map_err(error)?;
    // A process that starts again must not wait for connections of the one before.
    socket.set_reuseaddr(true).map_err(error)?;
    socket.bind(address).map_err(error)?;
    socket.listen(64).map_err(error)
}

/// Answers `/metrics` with the counters and everything else with the readiness.
pub(crate) async fn serve(listener: TcpListener, answers: Answers) {
    let places = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors: wait until some connection has ended.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let answers = answers.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: http::Request<hyper::body::Incoming>| {
                let response = if request.uri().path() == "/metrics" {
                    answers.metrics()
                } else {
                    answers.readiness()
                };
                async move { Ok::<_, Infallible>(response) }
            });
            // A connection that breaks concerns the one who asked only.
            let _broken = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(place);
        });
    }
}
