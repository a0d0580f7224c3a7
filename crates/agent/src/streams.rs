//! QUIC streams for HTTP/3 that tell when the caller has lost interest in an answer.
//!
//! The ready-made adapter drops a stream by finishing it, so an answer cut short would look whole,
//! and hides that a caller stopped reading. Requests therefore run on these streams: dropped
//! before their end they are reset, and each has a future for its end.

mod bidi;

use std::{
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
};

use bytes::Buf;
use h3::quic::{self, ConnectionErrorIncoming, StreamErrorIncoming};

pub(crate) use bidi::{Bidi, Receiving, Sending};

type Accepting = Pin<
    Box<
        dyn Future<Output = Result<(quinn::SendStream, quinn::RecvStream), quinn::ConnectionError>>
            + Send
            + Sync,
    >,
>;

/// Resolves when the caller has acknowledged an answer whole or has lost interest in it.
pub(crate) type Ended = Pin<Box<dyn Future<Output = StreamEnd> + Send + Sync>>;

/// How the caller's side of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// The whole answer arrived.
    Acknowledged,
    /// The caller wants no more of it.
    Cancelled,
    /// The connection was lost.
    Lost,
}

/// Ends of streams that were accepted but whose request was not taken yet.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ends(Arc<Mutex<Vec<(u64, EndFuture)>>>);

struct EndFuture(Ended);

impl std::fmt::Debug for EndFuture {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EndFuture(..)")
    }
}

impl Ends {
    /// Takes the end of a stream; each can be taken once.
    pub(crate) fn take(&self, stream: quic::StreamId) -> Option<Ended> {
        let mut ends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let idx = ends.iter().position(|it| it.0 == stream.into_inner())?;
        Some(ends.swap_remove(idx).1.0)
    }

    fn put(&self, send: &quinn::SendStream) {
        let stopped = send.stopped();
        let ended = Box::pin(async move {
            match stopped.await {
                Ok(None) => StreamEnd::Acknowledged,
                Ok(Some(_code)) => StreamEnd::Cancelled,
                Err(_lost) => StreamEnd::Lost,
            }
        });
        let mut ends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        ends.push((send.id().into(), EndFuture(ended)));
    }
}

/// A QUIC connection for HTTP/3, over the ready-made adapter for control streams.
pub(crate) struct Connection {
    quic: quinn::Connection,
    control: h3_quinn::Connection,
    accepting: Option<Accepting>,
    ends: Ends,
}

impl Connection {
    pub(crate) fn new(quic: quinn::Connection, ends: Ends) -> Self {
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
        let (send, recv) = accepted.map_err(connection_error)?;
        self.ends.put(&send);
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
        Poll::Ready(Err(server_opens_no_requests()))
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

/// Opens control streams.
pub(crate) struct Opener(h3_quinn::OpenStreams);

impl<B: Buf> quic::OpenStreams<B> for Opener {
    type BidiStream = Bidi<B>;
    type SendStream = h3_quinn::SendStream<B>;

    fn poll_open_bidi(
        &mut self,
        _cx: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, StreamErrorIncoming>> {
        Poll::Ready(Err(server_opens_no_requests()))
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

fn server_opens_no_requests() -> StreamErrorIncoming {
    StreamErrorIncoming::Unknown("a server opens no request streams".into())
}

/// Maps a lost connection.
pub(crate) fn connection_error(err: quinn::ConnectionError) -> ConnectionErrorIncoming {
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
