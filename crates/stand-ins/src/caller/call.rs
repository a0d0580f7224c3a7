//! A call's request, complete response and typed errors.

use std::{fmt, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use h3::{
    client::{RequestStream, SendRequest},
    error::{Code, StreamError},
    quic,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};

use crate::pattern::{CHUNK_BYTES, Pattern};

/// Timeout of a call that sets no timeout of its own.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP request that a caller makes, with its timeout.
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

/// A complete HTTP response that a caller received.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Header fields of the response.
    pub headers: HeaderMap,
    /// Complete body of the response.
    pub body: Bytes,
}

/// An error of a call that got no complete response, with what it tells about the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The stream was reset with `H3_REQUEST_REJECTED` or never opened; the request did not run.
    Rejected,
    /// The stream was reset with a code other than `H3_REQUEST_REJECTED`; the request may have run.
    Reset {
        /// The HTTP/3 error code of the reset.
        code: u64,
    },
    /// No complete response arrived before the call's timeout; the request may have run.
    Timeout,
    /// The caller's connection was lost; the request may have run.
    ConnectionLost {
        /// QUIC's reason for the loss of the connection.
        reason: String,
    },
}

impl Call {
    /// Creates a call with an empty body and the default timeout.
    #[must_use]
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: CallBody::Whole(Bytes::new()),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Creates a GET call with an empty body.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path)
    }

    /// Creates a POST call with an empty body.
    #[must_use]
    pub fn post(path: &str) -> Self {
        Self::new(Method::POST, path)
    }

    /// Appends a header field to the request.
    ///
    /// # Panics
    ///
    /// Panics if the header field's name or value is malformed.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("header name is malformed");
        let value = HeaderValue::from_str(value).expect("header value is malformed");
        self.headers.append(name, value);
        self
    }

    /// Sets the request body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = CallBody::Whole(body.into());
        self
    }

    /// Sets the request body to the generated body of length `bytes` for `request_id`.
    #[must_use]
    pub fn with_generated_body(mut self, request_id: &str, bytes: u64) -> Self {
        self.body = CallBody::Generated(Pattern::new(request_id, bytes));
        self
    }

    /// Sets the longest time from the call's start to the complete response.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// Sends a call's request on a connection and waits for the complete response.
pub(super) async fn execute_call(
    mut requests: SendRequest<h3_quinn::OpenStreams, Bytes>,
    call: Call,
) -> Result<CallResponse, CallError> {
    let mut request = Request::new(());
    *request.method_mut() = call.method;
    let uri = format!("https://service{}", call.path);
    *request.uri_mut() = uri.parse().map_err(|_malformed| CallError::Rejected)?;
    *request.headers_mut() = call.headers;
    let stream = requests
        .send_request(request)
        .await
        .map_err(map_open_error)?;
    let (send, recv) = stream.split();
    let (send_result, response) = tokio::join!(send_body(send, call.body), receive_response(recv));
    // The upstream may respond before it has read the whole body, which fails the send. Such a
    // response is still valid.
    response.map_err(|err| {
        if send_result == Err(CallError::Rejected) {
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
                send.send_data(chunk).await.map_err(map_stream_error)?;
            }
        }
        CallBody::Generated(pattern) => {
            for chunk in pattern {
                send.send_data(chunk).await.map_err(map_stream_error)?;
            }
        }
    }
    send.finish().await.map_err(map_stream_error)
}

async fn receive_response<S: quic::RecvStream>(
    mut recv: RequestStream<S, Bytes>,
) -> Result<CallResponse, CallError> {
    let head = recv.recv_response().await.map_err(map_stream_error)?;
    let mut body = BytesMut::new();
    while let Some(mut chunk) = recv.recv_data().await.map_err(map_stream_error)? {
        body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    let (head, ()) = head.into_parts();
    check_content_length(&head.headers, body.len())?;
    Ok(CallResponse {
        status: head.status,
        headers: head.headers,
        body: body.freeze(),
    })
}

/// Fails if the length of a response body differs from `Content-Length`, which makes the response
/// malformed.
fn check_content_length(headers: &HeaderMap, received_bytes: usize) -> Result<(), CallError> {
    let content_length = headers
        .get(http::header::CONTENT_LENGTH)
        .and_then(|it| it.to_str().ok()?.parse::<usize>().ok());
    match content_length {
        Some(bytes) if bytes != received_bytes => Err(CallError::Reset {
            code: Code::H3_MESSAGE_ERROR.value(),
        }),
        _ => Ok(()),
    }
}

/// Maps an error that occurred while the request's stream was opened, before the request was sent.
fn map_open_error(err: StreamError) -> CallError {
    match err {
        StreamError::RemoteClosing { .. } => CallError::Rejected,
        err => map_stream_error(err),
    }
}

/// Maps an error that occurred on a request stream after it was opened.
fn map_stream_error(err: StreamError) -> CallError {
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
            Self::Rejected => write!(f, "request rejected before it ran; it is safe to retry"),
            Self::Reset { code } => write!(
                f,
                "stream reset with code {code:#x}; retry only an idempotent request"
            ),
            Self::Timeout => write!(
                f,
                "no complete response before the timeout; retry only an idempotent request"
            ),
            Self::ConnectionLost { reason } => write!(
                f,
                "connection lost ({reason}); reconnect and retry only an idempotent request"
            ),
        }
    }
}

impl std::error::Error for CallError {}
