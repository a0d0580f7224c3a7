//! One call: its request, its whole answer and its typed failures.

use std::{fmt, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use h3::{
    client::{RequestStream, SendRequest},
    error::{Code, StreamError},
    quic,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};

use crate::pattern::{CHUNK_BYTES, Pattern};

/// Time a call may take unless it says otherwise.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A request to make.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: CallBody,
    pub(super) timeout: Duration,
}

#[derive(Debug, Clone)]
enum CallBody {
    Whole(Bytes),
    Generated(Pattern),
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Header fields of the answer.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why a call has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The stream was reset with `H3_REQUEST_REJECTED`, or never opened: it did not run.
    Rejected,
    /// The stream was reset with another code: it may have run.
    Reset {
        /// The HTTP/3 error code.
        code: u64,
    },
    /// No whole answer came in time: it may have run.
    Timeout,
    /// The connection was lost: it may have run.
    ConnectionLost {
        /// What QUIC says.
        reason: String,
    },
}

impl Call {
    /// Creates a call without a body.
    #[must_use]
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: CallBody::Whole(Bytes::new()),
            timeout: TIMEOUT,
        }
    }

    /// Creates a GET.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path)
    }

    /// Creates a POST.
    #[must_use]
    pub fn post(path: &str) -> Self {
        Self::new(Method::POST, path)
    }

    /// Adds a header field.
    ///
    /// # Panics
    ///
    /// Panics if the name or the value is malformed.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("well-formed name");
        let value = HeaderValue::from_str(value).expect("well-formed value");
        self.headers.append(name, value);
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = CallBody::Whole(body.into());
        self
    }

    /// Sets a generated body of `bytes` that belongs to `request_id`.
    #[must_use]
    pub fn with_generated_body(mut self, request_id: &str, bytes: u64) -> Self {
        self.body = CallBody::Generated(Pattern::new(request_id, bytes));
        self
    }

    /// Sets the time the call may take.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// Makes the call on a connection and waits for the whole answer.
pub(super) async fn make(
    mut requests: SendRequest<h3_quinn::OpenStreams, Bytes>,
    call: Call,
) -> Result<CallResponse, CallError> {
    let mut request = Request::new(());
    *request.method_mut() = call.method;
    let uri = format!("https://service{}", call.path);
    *request.uri_mut() = uri.parse().map_err(|_malformed| CallError::Rejected)?;
    *request.headers_mut() = call.headers;
    let stream = requests.send_request(request).await.map_err(not_opened)?;
    let (send, recv) = stream.split();
    let (sending, answer) = tokio::join!(send_body(send, call.body), receive(recv));
    // An early answer may stop the body; the answer counts.
    answer.map_err(|err| {
        if sending == Err(CallError::Rejected) {
            CallError::Rejected
        } else {
            err
        }
    })
}

async fn send_body<S: quic::SendStream<Bytes>>(
    mut send: RequestStream<S, Bytes>,
    body: CallBody,
) -> Result<(), CallError> {
    match body {
        CallBody::Whole(mut bytes) => {
            while bytes.has_remaining() {
                let chunk = bytes.split_to(bytes.len().min(CHUNK_BYTES));
                send.send_data(chunk).await.map_err(failed)?;
            }
        }
        CallBody::Generated(pattern) => {
            for chunk in pattern {
                send.send_data(chunk).await.map_err(failed)?;
            }
        }
    }
    send.finish().await.map_err(failed)
}

async fn receive<S: quic::RecvStream>(
    mut recv: RequestStream<S, Bytes>,
) -> Result<CallResponse, CallError> {
    let head = recv.recv_response().await.map_err(failed)?;
    let mut body = BytesMut::new();
    while let Some(mut chunk) = recv.recv_data().await.map_err(failed)? {
        body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    let (head, ()) = head.into_parts();
    check_length(&head.headers, body.len())?;
    Ok(CallResponse {
        status: head.status,
        headers: head.headers,
        body: body.freeze(),
    })
}

/// An answer shorter or longer than announced is malformed.
fn check_length(headers: &HeaderMap, received_bytes: usize) -> Result<(), CallError> {
    let announced = headers
        .get(http::header::CONTENT_LENGTH)
        .and_then(|it| it.to_str().ok()?.parse::<usize>().ok());
    match announced {
        Some(bytes) if bytes != received_bytes => Err(CallError::Reset {
            code: Code::H3_MESSAGE_ERROR.value(),
        }),
        _ => Ok(()),
    }
}

/// Maps a failure before the request was sent.
fn not_opened(err: StreamError) -> CallError {
    match err {
        StreamError::RemoteClosing { .. } => CallError::Rejected,
        err => failed(err),
    }
}

fn failed(err: StreamError) -> CallError {
    match err {
        StreamError::RemoteTerminate { code, .. } if code == Code::H3_REQUEST_REJECTED => {
            CallError::Rejected
        }
        StreamError::RemoteTerminate { code, .. } | StreamError::StreamError { code, .. } => {
            CallError::Reset { code: code.value() }
        }
        err => CallError::ConnectionLost {
            reason: err.to_string(),
        },
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rejected => write!(f, "request rejected before it ran; it may be sent again"),
            Self::Reset { code } => write!(
                f,
                "stream reset with code {code:#x}; repeat only an idempotent request"
            ),
            Self::Timeout => write!(
                f,
                "no whole answer in time; repeat only an idempotent request"
            ),
            Self::ConnectionLost { reason } => write!(
                f,
                "connection lost ({reason}); connect again, repeat only an idempotent request"
            ),
        }
    }
}

impl std::error::Error for CallError {}
