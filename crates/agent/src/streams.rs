//! QUIC streams for HTTP/3 that report when the caller stops reading a response.
//!
//! `h3_quinn` finishes a stream when it is dropped, so a truncated response would look complete,
//! and it doesn't report a `STOP_SENDING` of the caller. Request streams therefore use this
//! adapter: a stream that is dropped before its end is reset, and a future resolves when the stream
//! ends.

mod bidi;

use std::{
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
};

use bytes::Buf;
use h3::quic::{self, ConnectionErrorIncoming, StreamErrorIncoming};

pub(crate) use bidi::{Bidi, RecvHalf, SendHalf};

type AcceptFuture = Pin<
    Box<
        dyn Future<Output = Result<(quinn::SendStream, quinn::RecvStream), quinn::ConnectionError>>
            + Send
            + Sync,
    >,
>;

/// Resolves when the caller has acknowledged the complete response, cancelled it or lost its
/// connection.
pub(crate) type StreamEndFuture = Pin<Box<dyn Future<Output = StreamEnd> + Send + Sync>>;

/// How the caller's side of a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// The caller acknowledged the complete response.
    Acknowledged,
    /// The caller stopped reading (`STOP_SENDING`).
    Cancelled,
    /// The connection was lost.
    Lost,
}

/// Futures that resolve at the end of accepted streams, by stream id, each kept until its request
/// is served.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamEnds(Arc<Mutex<Vec<(u64, OpaqueEndFuture)>>>);

struct OpaqueEndFuture(StreamEndFuture);

impl std::fmt::Debug for OpaqueEndFuture {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("OpaqueEndFuture(..)")
    }
}

impl StreamEnds {
    /// Removes and returns the future that resolves at the end of a stream; each can be taken once.
    pub(crate) fn take_end_future(&self, stream: quic::StreamId) -> Option<StreamEndFuture> {
        let mut ends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let idx = ends.iter().position(|it| it.0 == stream.into_inner())?;
        Some(ends.swap_remove(idx).1.0)
    }

    fn insert_end_future(&self, send: &quinn::SendStream) {
        let stopped = send.stopped();
        let ended = Box::pin(async move {
            match stopped.await {
                Ok(None) => StreamEnd::Acknowledged,
                Ok(Some(_code)) => StreamEnd::Cancelled,
                Err(_lost) => StreamEnd::Lost,
            }
        });
        let mut ends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        ends.push((send.id().into(), OpaqueEndFuture(ended)));
    }
}

/// QUIC connection for HTTP/3, which uses `h3_quinn` for everything but request streams.
pub(crate) struct Connection {
    quic: quinn::Connection,
    control: h3_quinn::Connection,
    accepting: Option<AcceptFuture>,
    ends: StreamEnds,
}

impl Connection {
    pub(crate) fn new(quic: quinn::Connection, ends: StreamEnds) -> Self {
        Self {
            control: h3_quinn::Connection::new(quic.clone()),
            quic,
            accepting: None,
            ends,
        }
    }
}

impl<B: Buf> quic::Connection<B> for Connection {
    type RecvStream = h3_quinn::RecvStream;
    type OpenStreams = Opener;

    fn poll_accept_recv(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::RecvStream, ConnectionErrorIncoming>> {
        quic::Connection::<B>::poll_accept_recv(&mut self.control, cx)
    }

    fn poll_accept_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, ConnectionErrorIncoming>> {
        let accepting = self.accepting.get_or_insert_with(|| {
            let quic = self.quic.clone();
            Box::pin(async move { quic.accept_bi().await })
        });
        let accepted = ready!(accepting.as_mut().poll(cx));
        self.accepting = None;
        let (send, recv) = accepted.map_err(map_connection_error)?;
        self.ends.insert_end_future(&send);
        Poll::Ready(Ok(Bidi::new(send, recv)))
    }

    fn opener(&self) -> Self::OpenStreams {
        Opener(quic::Connection::<B>::opener(&self.control))
    }
}

impl<B: Buf> quic::OpenStreams<B> for Connection {
    type BidiStream = Bidi<B>;
    type SendStream = h3_quinn::SendStream<B>;

    fn poll_open_bidi(
        &mut self,
        _cx: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, StreamErrorIncoming>> {
        Poll::Ready(Err(request_stream_refused()))
    }

    fn poll_open_send(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::SendStream, StreamErrorIncoming>> {
        quic::OpenStreams::<B>::poll_open_send(&mut self.control, cx)
    }

    fn close(&mut self, code: h3::error::Code, reason: &[u8]) {
        quic::OpenStreams::<B>::close(&mut self.control, code, reason);
    }
}

/// Opens unidirectional streams; a server can't open request streams.
pub(crate) struct Opener(h3_quinn::OpenStreams);

impl<B: Buf> quic::OpenStreams<B> for Opener {
    type BidiStream = Bidi<B>;
    type SendStream = h3_quinn::SendStream<B>;

    fn poll_open_bidi(
        &mut self,
        _cx: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, StreamErrorIncoming>> {
        Poll::Ready(Err(request_stream_refused()))
    }

    fn poll_open_send(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::SendStream, StreamErrorIncoming>> {
        quic::OpenStreams::<B>::poll_open_send(&mut self.0, cx)
    }

    fn close(&mut self, code: h3::error::Code, reason: &[u8]) {
        quic::OpenStreams::<B>::close(&mut self.0, code, reason);
    }
}

fn request_stream_refused() -> StreamErrorIncoming {
    StreamErrorIncoming::Unknown("a server can't open request streams".into())
}

/// Converts the QUIC error of a lost connection for the HTTP/3 library.
pub(crate) fn map_connection_error(err: quinn::ConnectionError) -> ConnectionErrorIncoming {
    match err {
        quinn::ConnectionError::ApplicationClosed(close) => {
            ConnectionErrorIncoming::ApplicationClose {
                error_code: close.error_code.into(),
            }
        }
        quinn::ConnectionError::TimedOut => ConnectionErrorIncoming::Timeout,
        err => ConnectionErrorIncoming::Undefined(Arc::new(err)),
    }
}
