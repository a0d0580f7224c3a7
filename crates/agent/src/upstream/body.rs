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

use bytes::{Buf, Bytes};
use h3::server::RequestStream;
use hyper::body::{Body, Frame, SizeHint};

use crate::streams::Receiving;

/// A request's body; nothing of it is kept beyond the chunk on its way.
#[derive(Default)]
pub(crate) struct CallerBody {
    /// The chunk that was read to learn whether there is a body.
    first: Option<Bytes>,
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
    /// Reads the first chunk, so that a request without body is known as such.
    pub(crate) async fn read_start(
        mut stream: RequestStream<Receiving, Bytes>,
        announced_bytes: Option<u64>,
        max_bytes: u64,
    ) -> Result<Self, BodyFault> {
        let received = stream.recv_data().await;
        let first = received
            .map_err(|_gone| BodyFault::Broken)?
            .map(|mut it| it.copy_to_bytes(it.remaining()));
        let body = Self {
            rest: first.is_some().then_some(stream),
            first,
            announced_bytes,
            max_bytes,
            ..Self::default()
        };
        if body.rest.is_none() {
            body.check_end()?;
        }
        Ok(body)
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

    fn pass(&mut self, chunk: Bytes) -> Result<Frame<Bytes>, BodyFault> {
        self.passed_bytes += chunk.len() as u64;
        let is_longer = |it| self.passed_bytes > it;
        if self.announced_bytes.is_some_and(is_longer) {
            return Err(BodyFault::Length);
        }
        if is_longer(self.max_bytes) {
            return Err(BodyFault::TooLarge);
        }
        Ok(Frame::data(chunk))
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        if let Some(chunk) = self.first.take() {
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
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_none()
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
