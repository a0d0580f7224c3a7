//! A request's body, streamed from the caller to the upstream.

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

use crate::streams::Receiving;

/// Bodies up to this size are read whole before the request is admitted, so that a slow sender of a
/// small body holds no slot and its request can be handed off.
const SMALL_MAX_BYTES: usize = 64 * 1024;

/// A request's body; nothing of it is kept beyond its start and the chunk on its way.
#[derive(Default)]
pub(crate) struct CallerBody {
    /// What was read before the request was admitted; never empty.
    start: Option<Bytes>,
    /// `None` once the body has ended.
    rest: Option<RequestStream<Receiving, Bytes>>,
    /// Length announced by the caller.
    announced_bytes: Option<u64>,
    passed_bytes: u64,
    max_bytes: u64,
    fault: Arc<FaultCell>,
}

/// Why a body could not be passed on whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFault {
    /// It is larger than the bundle allows.
    TooLarge,
    /// It is shorter or longer than announced.
    Length,
    /// The caller stopped sending it.
    Broken,
}

/// Where a body leaves its fault for the one who answers.
#[derive(Debug, Default)]
pub(crate) struct FaultCell(AtomicU8);

impl CallerBody {
    /// Creates a body that is there whole.
    pub(crate) fn from_whole(body: Bytes) -> Self {
        let bytes = body.len() as u64;
        Self {
            start: (!body.is_empty()).then_some(body),
            announced_bytes: Some(bytes),
            max_bytes: bytes,
            ..Self::default()
        }
    }

    /// Reads the body's start: a small one whole, of a large one enough to know that it is.
    pub(crate) async fn read_start(
        stream: RequestStream<Receiving, Bytes>,
        announced_bytes: Option<u64>,
        max_bytes: u64,
    ) -> Result<Self, BodyFault> {
        let mut body = Self {
            rest: Some(stream),
            announced_bytes,
            max_bytes,
            ..Self::default()
        };
        let mut start = BytesMut::new();
        while start.len() < SMALL_MAX_BYTES {
            let next = std::future::poll_fn(|cx| body.poll_next(cx)).await;
            let Some(chunk) = next.transpose()? else {
                break;
            };
            start.extend_from_slice(&chunk);
        }
        // What was read is passed on, and counted, once more.
        body.passed_bytes = 0;
        body.start = (!start.is_empty()).then(|| start.freeze());
        Ok(body)
    }

    /// Returns the body if it is there whole.
    pub(crate) fn whole(&self) -> Option<Bytes> {
        match self.rest {
            None => Some(self.start.clone().unwrap_or_default()),
            Some(_) => None,
        }
    }

    /// Returns where the body leaves its fault.
    pub(crate) fn fault_cell(&self) -> Arc<FaultCell> {
        Arc::clone(&self.fault)
    }

    fn check_end(&self) -> Result<(), BodyFault> {
        match self.announced_bytes {
            Some(bytes) if bytes != self.passed_bytes => Err(BodyFault::Length),
            _ => Ok(()),
        }
    }

    fn pass(&mut self, chunk: Bytes) -> Result<Bytes, BodyFault> {
        self.passed_bytes += chunk.len() as u64;
        let is_longer = |it| self.passed_bytes > it;
        if self.announced_bytes.is_some_and(is_longer) {
            return Err(BodyFault::Length);
        }
        if is_longer(self.max_bytes) {
            return Err(BodyFault::TooLarge);
        }
        Ok(chunk)
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        if let Some(chunk) = self.start.take() {
            return Poll::Ready(Some(self.pass(chunk)));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        let received = ready!(rest.poll_recv_data(cx))
            .map(|chunk| chunk.map(|mut it| it.copy_to_bytes(it.remaining())));
        match received {
            Ok(Some(chunk)) => Poll::Ready(Some(self.pass(chunk))),
            Ok(None) => {
                self.rest = None;
                Poll::Ready(self.check_end().err().map(Err))
            }
            Err(_gone) => Poll::Ready(Some(Err(BodyFault::Broken))),
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
    type Error = BodyFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let next = ready!(self.poll_next(cx));
        if let Some(Err(fault)) = &next {
            self.fault.set(*fault);
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

impl FaultCell {
    /// Returns the fault, if the body had one.
    pub(crate) fn get(&self) -> Option<BodyFault> {
        match self.0.load(Ordering::Acquire) {
            1 => Some(BodyFault::TooLarge),
            2 => Some(BodyFault::Length),
            3 => Some(BodyFault::Broken),
            _ => None,
        }
    }

    fn set(&self, fault: BodyFault) {
        let raw = match fault {
            BodyFault::TooLarge => 1,
            BodyFault::Length => 2,
            BodyFault::Broken => 3,
        };
        self.0.store(raw, Ordering::Release);
    }
}

impl fmt::Display for BodyFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "the body is too large; send less",
            Self::Length => "the body is not as long as announced; send it whole",
            Self::Broken => "the caller stopped sending the body; repeat the request",
        })
    }
}

impl std::error::Error for BodyFault {}
