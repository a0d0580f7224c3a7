//! One bounded HTTP/1.1 read.

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

/// Largest body read.
const BODY_MAX_BYTES: usize = 1_000_000;

/// Why a read gave nothing.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// No answer in time.
    Timeout,
    /// No connection.
    Connect(std::io::Error),
    /// The connection broke or didn't speak HTTP.
    Http(hyper::Error),
    /// An answer other than 200.
    Status(StatusCode),
    /// The body broke off or is over the bound.
    Body(String),
    /// The body isn't what was asked for.
    Form(serde_json::Error),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => f.write_str("no answer in time"),
            Self::Connect(err) => write!(f, "no connection: {err}"),
            Self::Http(err) => write!(f, "broken connection: {err}"),
            Self::Status(status) => write!(f, "answered {status}"),
            Self::Body(err) => write!(f, "broken body: {err}"),
            Self::Form(err) => write!(f, "not the expected form: {err}"),
        }
    }
}

impl ReadError {
    /// Returns the error's kind as used in counters.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Connect(_) => "connect",
            Self::Http(_) => "http",
            Self::Status(_) => "status",
            Self::Body(_) => "body",
            Self::Form(_) => "form",
        }
    }
}

/// Reads one path within `timeout`, naming the reader.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    reader: &str,
    timeout: Duration,
) -> Result<Bytes, ReadError> {
    tokio::time::timeout(timeout, get_unbounded(address, path, reader))
        .await
        .unwrap_or(Err(ReadError::Timeout))
}

async fn get_unbounded(address: SocketAddr, path: &str, reader: &str) -> Result<Bytes, ReadError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(ReadError::Connect)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(ReadError::Http)?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .header(USER_AGENT, reader)
        .body(Empty::<Bytes>::new())
        .expect("paths and names are header-safe");
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
    // The connection is driven here, so that it ends with the read.
    tokio::select! {
        res = &mut reading => res,
        res = connection => match res {
            Ok(()) => reading.await,
            Err(err) => Err(ReadError::Http(err)),
        },
    }
}
