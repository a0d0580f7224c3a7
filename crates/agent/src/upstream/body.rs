//! Body of a request, streamed from the caller to the upstream.

use std::{
    fmt,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes, BytesMut};
use h3::server::RequestStream;
use hyper::body::{Body, Frame, SizeHint};

use crate::streams::RecvHalf;

/// Size below which a body is read completely before the request is admitted, so that a slow sender
/// of a small body holds no slot and its request can be handed off.
const SMALL_BODY_MAX_BYTES: usize = 64 * 1024;

/// Body of a request; only its start and the current chunk are buffered.
#[derive(Default)]
pub(crate) struct CallerBody {
    /// Bytes read before the request was admitted; never empty.
    start: Option<Bytes>,
    /// Receiving half of the request stream; `None` once the body has ended.
    rest: Option<RequestStream<RecvHalf, Bytes>>,
    /// Length given in the caller's `content-length`.
    announced_bytes: Option<u64>,
    passed_bytes: u64,
    max_bytes: u64,
    error: Arc<BodyErrorCell>,
}

/// Error of a request body that could not be forwarded completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body is larger than the bundle allows.
    TooLarge,
    /// The body's length differs from the caller's `content-length`.
    Length,
    /// The caller stopped sending the body.
    Broken,
}

/// Holds the error of a request body for the code that sends the response.
#[derive(Debug, Default)]
pub(crate) struct BodyErrorCell(AtomicU8);

impl CallerBody {
    /// Creates a request body from its complete content.
    pub(crate) fn from_complete(body: Bytes) -> Self {
        let bytes = body.len() as u64;
        Self {
            start: (!body.is_empty()).then_some(body),
            announced_bytes: Some(bytes),
            max_bytes: bytes,
            ..Self::default()
        }
    }

    /// Reads the start of a request body: a body smaller than [`SMALL_BODY_MAX_BYTES`] completely,
    /// a larger one until at least that many bytes have arrived.
    pub(crate) async fn read_start(
        stream: RequestStream<RecvHalf, Bytes>,
        announced_bytes: Option<u64>,
        max_bytes: u64,
    ) -> Result<Self, BodyError> {
        let mut body = Self {
            rest: Some(stream),
            announced_bytes,
            max_bytes,
            ..Self::default()
        };
        let mut start = BytesMut::new();
        while start.len() < SMALL_BODY_MAX_BYTES {
            let next = std::future::poll_fn(|cx| body.poll_next(cx)).await;
            let Some(chunk) = next.transpose()? else {
                break;
            };
            start.extend_from_slice(&chunk);
        }
        // The start of the body is counted again when it is forwarded.
        body.passed_bytes = 0;
        body.start = (!start.is_empty()).then(|| start.freeze());
        Ok(body)
    }

    /// Returns the body of the request if it was received completely.
    pub(crate) fn complete_body(&self) -> Option<Bytes> {
        match self.rest {
            None => Some(self.start.clone().unwrap_or_default()),
            Some(_) => None,
        }
    }

    /// Returns the cell in which the body stores its error.
    pub(crate) fn error_cell(&self) -> Arc<BodyErrorCell> {
        Arc::clone(&self.error)
    }

    fn check_body_length(&self) -> Result<(), BodyError> {
        match self.announced_bytes {
            Some(bytes) if bytes != self.passed_bytes => Err(BodyError::Length),
            _ => Ok(()),
        }
    }

    fn count_chunk(&mut self, chunk: Bytes) -> Result<Bytes, BodyError> {
        self.passed_bytes += chunk.len() as u64;
        let is_longer = |it| self.passed_bytes > it;
        if self.announced_bytes.is_some_and(is_longer) {
            return Err(BodyError::Length);
        }
        if is_longer(self.max_bytes) {
            return Err(BodyError::TooLarge);
        }
        Ok(chunk)
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(chunk) = self.start.take() {
            return Poll::Ready(Some(self.count_chunk(chunk)));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        let received = ready!(rest.poll_recv_data(cx))
            .map(|chunk| chunk.map(|mut it| it.copy_to_bytes(it.remaining())));
        match received {
            Ok(Some(chunk)) => Poll::Ready(Some(self.count_chunk(chunk))),
            Ok(None) => {
                self.rest = None;
                Poll::Ready(self.check_body_length().err().map(Err))
            }
            Err(_gone) => Poll::Ready(Some(Err(BodyError::Broken))),
        }
    }
}

impl fmt::Debug for CallerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerBody")
            .field("announced_bytes", &self.announced_bytes)
            .field("passed_bytes", &self.passed_bytes)
            .finish_non_exhaustive()
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let next = ready!(self.poll_next(cx));
        if let Some(Err(error)) = &next {
            self.error.set(*error);
        }
        Poll::Ready(next.map(|it| it.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        if self.is_end_stream() {
            return SizeHint::with_exact(0);
        }
        self.announced_bytes.map_or_else(SizeHint::default, |it| {
            SizeHint::with_exact(it.saturating_sub(self.passed_bytes))
        })
    }
}

impl BodyErrorCell {
    /// Returns the error of the request body, `None` if it has none.
    pub(crate) fn get(&self) -> Option<BodyError> {
        match self.0.load(Ordering::Acquire) {
            1 => Some(BodyError::TooLarge),
            2 => Some(BodyError::Length),
            3 => Some(BodyError::Broken),
            _ => None,
        }
    }

    fn set(&self, error: BodyError) {
        let raw = match error {
            BodyError::TooLarge => 1,
            BodyError::Length => 2,
            BodyError::Broken => 3,
        };
        self.0.store(raw, Ordering::Release);
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "the body is too large; send a smaller one",
            Self::Length => {
                "the body is not as long as announced; send a body of the announced length"
            }
            Self::Broken => "the caller stopped sending the body; repeat the request",
        })
    }
}

impl std::error::Error for BodyError {}
