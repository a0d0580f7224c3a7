//! An HTTP/1.1 server for readiness probes and metrics.

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

use crate::{
    NodeError,
    placement_questions::{Answer, QuestionSender},
};

/// Time within which a client must send a request's head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of concurrent connections; probes and metrics scrapers need only a few.
const CONNECTIONS_MAX: usize = 32;

/// The readiness and metrics that the HTTP server reports.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerState {
    ready: Arc<AtomicBool>,
    metrics: Arc<Mutex<String>>,
}

impl ServerState {
    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    pub(crate) fn set_metrics(&self, text: String) {
        *self.metrics.lock().unwrap_or_else(PoisonError::into_inner) = text;
    }

    fn readiness_response(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if !self.ready.load(Ordering::Relaxed) {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    fn metrics_response(&self) -> Response<Full<Bytes>> {
        let text = self
            .metrics
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        Response::new(Full::new(Bytes::from(text)))
    }
}

/// Opens a TCP listener at `address`; `purpose` names the listener in errors.
pub(crate) fn bind_listener(
    purpose: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, NodeError> {
    let error = |source| NodeError::Socket {
        purpose,
        address,
        source,
    };
    let socket = tokio::net::TcpSocket::new_v4().map_err(error)?;
    // A restarted process must not wait until the connections of the previous run have timed out.
    socket.set_reuseaddr(true).map_err(error)?;
    socket.bind(address).map_err(error)?;
    socket.listen(64).map_err(error)
}

/// Serves HTTP requests on a listener: the metrics at `/metrics`, the readiness at every other
/// path.
pub(crate) async fn serve_status(listener: TcpListener, state: ServerState) {
    serve_balancer_status(listener, state, None).await;
}

/// Serves HTTP requests on a listener like `serve_status`, and where an opening would go at `/where`
/// if `questions` is given.
pub(crate) async fn serve_balancer_status(
    listener: TcpListener,
    state: ServerState,
    questions: Option<QuestionSender>,
) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // File descriptors may be exhausted; wait until some connections have closed.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (state, questions) = (state.clone(), questions.clone());
        tokio::spawn(async move {
            let service = service_fn(|request: http::Request<hyper::body::Incoming>| {
                let (state, questions) = (state.clone(), questions.clone());
                async move {
                    let response = match (request.uri().path(), questions) {
                        ("/metrics", _) => state.metrics_response(),
                        ("/where", Some(questions)) => {
                            let query = request.uri().query().unwrap_or_default();
                            answer_response(questions.answer_query(query).await)
                        }
                        _ => state.readiness_response(),
                    };
                    Ok::<_, Infallible>(response)
                }
            });
            // A broken connection affects only its client.
            let _broken = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(REQUEST_HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(permit);
        });
    }
}

fn answer_response(answer: Answer) -> Response<Full<Bytes>> {
    let (status, content_type, text) = match answer {
        Answer::Report(json) => (StatusCode::OK, "application/json", json),
        Answer::BadQuery(text) => (StatusCode::BAD_REQUEST, "text/plain", text),
        Answer::Busy => (
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            "the balancer is busy; ask again".to_owned(),
        ),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static(content_type),
    );
    response
}
