//! HTTP/1.1 GET requests with a timeout and a body size limit.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    Request, StatusCode,
    header::{HOST, USER_AGENT},
};
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Maximum size of an HTTP response body.
const BODY_MAX_BYTES: usize = 1_000_000;

/// Reason why a GET request returned no usable body.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The request timed out.
    Timeout,
    /// The connection could not be opened.
    Connect(std::io::Error),
    /// The connection failed, or the peer violated the HTTP protocol.
    Http(hyper::Error),
    /// The response has a status other than 200.
    Status(StatusCode),
    /// The body is incomplete or exceeds the size limit.
    Body(String),
    /// The body is not valid JSON of the expected type.
    Parse(serde_json::Error),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => f.write_str("the request timed out"),
            Self::Connect(err) => write!(f, "could not connect: {err}"),
            Self::Http(err) => write!(f, "HTTP exchange failed: {err}"),
            Self::Status(status) => write!(f, "unexpected status {status}"),
            Self::Body(err) => write!(f, "could not read the response body: {err}"),
            Self::Parse(err) => write!(f, "could not parse the response body: {err}"),
        }
    }
}

impl ReadError {
    /// Returns the error's kind, which is part of a counter's name.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Connect(_) => "connect",
            Self::Http(_) => "http",
            Self::Status(_) => "status",
            Self::Body(_) => "body",
            Self::Parse(_) => "form",
        }
    }
}

/// Requests one path by HTTP GET and returns the response body, with a timeout on the whole
/// exchange.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    user_agent: &str,
    timeout: Duration,
) -> Result<Bytes, ReadError> {
    tokio::time::timeout(timeout, get_without_timeout(address, path, user_agent))
        .await
        .unwrap_or(Err(ReadError::Timeout))
}

async fn get_without_timeout(
    address: SocketAddr,
    path: &str,
    user_agent: &str,
) -> Result<Bytes, ReadError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(ReadError::Connect)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(ReadError::Http)?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .header(USER_AGENT, user_agent)
        .body(Empty::<Bytes>::new())
        .expect("paths and instance names contain only characters valid in a request");
    let reading = async {
        let answer = sender
            .send_request(request)
            .await
            .map_err(ReadError::Http)?;
        if answer.status() != StatusCode::OK {
            return Err(ReadError::Status(answer.status()));
        }
        let body = Limited::new(answer.into_body(), BODY_MAX_BYTES)
            .collect()
            .await;
        body.map(http_body_util::Collected::to_bytes)
            .map_err(|err| ReadError::Body(err.to_string()))
    };
    tokio::pin!(reading);
    // The connection is polled in this future, so that it closes when the request ends.
    tokio::select! {
        res = &mut reading => res,
        res = connection => match res {
            Ok(()) => reading.await,
            Err(err) => Err(ReadError::Http(err)),
        },
    }
}
