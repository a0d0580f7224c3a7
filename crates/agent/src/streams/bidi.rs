//! Bidirectional stream of one request.

use std::{
    pin::{Pin, pin},
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes};
use h3::{
    error::Code,
    quic::{self, StreamErrorIncoming, StreamId, WriteBuf},
};
use quinn::VarInt;

use super::map_connection_error;

/// Maximum number of bytes read from a stream at once.
const READ_BYTES: usize = 16 * 1024;

/// Bidirectional HTTP/3 stream of a request.
pub(crate) struct Bidi<B: Buf> {
    send: SendHalf<B>,
    recv: RecvHalf,
}

/// Sending half of a request stream, which carries the response; reset if dropped before it is
/// finished.
pub(crate) struct SendHalf<B: Buf> {
    stream: quinn::SendStream,
    pending: Option<WriteBuf<B>>,
    is_finished: bool,
}

/// Receiving half of a request stream, which carries the request.
pub(crate) struct RecvHalf {
    stream: quinn::RecvStream,
    is_at_end: bool,
}

impl<B: Buf> Bidi<B> {
    pub(super) fn new(send: quinn::SendStream, recv: quinn::RecvStream) -> Self {
        Self {
            send: SendHalf {
                stream: send,
                pending: None,
                is_finished: false,
            },
            recv: RecvHalf {
                stream: recv,
                is_at_end: false,
            },
        }
    }
}

impl<B: Buf> Drop for SendHalf<B> {
    fn drop(&mut self) {
        if !self.is_finished {
            quic::SendStream::<B>::reset(self, Code::H3_INTERNAL_ERROR.value());
        }
    }
}

impl<B: Buf> quic::SendStream<B> for SendHalf<B> {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        if let Some(data) = &mut self.pending {
            while data.has_remaining() {
                let stream = Pin::new(&mut self.stream);
                let written =
                    ready!(stream.poll_write(cx, data.chunk())).map_err(map_write_error)?;
                data.advance(written);
            }
        }
        self.pending = None;
        Poll::Ready(Ok(()))
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        assert!(
            self.pending.is_none(),
            "`poll_ready` must complete before the next write"
        );
        self.pending = Some(data.into());
        Ok(())
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        ready!(self.poll_ready(cx))?;
        self.is_finished = true;
        let finished = self.stream.finish();
        Poll::Ready(finished.map_err(|err| StreamErrorIncoming::Unknown(Box::new(err))))
    }

    fn reset(&mut self, reset_code: u64) {
        self.is_finished = true;
        // The call fails only if the QUIC stream is closed already.
        let _ = self
            .stream
            .reset(VarInt::from_u64(reset_code).unwrap_or(VarInt::MAX));
    }

    fn send_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

impl quic::RecvStream for RecvHalf {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        if self.is_at_end {
            return Poll::Ready(Ok(None));
        }
        // `read_chunk` keeps no state between polls, so its future can be created anew in each
        // poll.
        let reading = pin!(self.stream.read_chunk(READ_BYTES, true));
        let chunk = ready!(reading.poll(cx)).map_err(map_read_error)?;
        self.is_at_end = chunk.is_none();
        Poll::Ready(Ok(chunk.map(|it| it.bytes)))
    }

    fn stop_sending(&mut self, error_code: u64) {
        // The call fails only if the QUIC stream is closed already.
        let _ = self
            .stream
            .stop(VarInt::from_u64(error_code).unwrap_or(VarInt::MAX));
    }

    fn recv_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

fn stream_id(id: quinn::StreamId) -> StreamId {
    u64::from(id)
        .try_into()
        .expect("QUIC stream ids are valid HTTP/3 stream ids")
}

fn map_write_error(err: quinn::WriteError) -> StreamErrorIncoming {
    match err {
        quinn::WriteError::Stopped(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        quinn::WriteError::ConnectionLost(err) => StreamErrorIncoming::ConnectionErrorIncoming {
            connection_error: map_connection_error(err),
        },
        err => StreamErrorIncoming::Unknown(Box::new(err)),
    }
}

fn map_read_error(err: quinn::ReadError) -> StreamErrorIncoming {
    match err {
        quinn::ReadError::Reset(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        quinn::ReadError::ConnectionLost(err) => StreamErrorIncoming::ConnectionErrorIncoming {
            connection_error: map_connection_error(err),
        },
        err => StreamErrorIncoming::Unknown(Box::new(err)),
    }
}

impl<B: Buf> quic::SendStream<B> for Bidi<B> {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_ready(cx)
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.send.send_data(data)
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_finish(cx)
    }

    fn reset(&mut self, reset_code: u64) {
        self.send.reset(reset_code);
    }

    fn send_id(&self) -> StreamId {
        self.send.send_id()
    }
}

impl<B: Buf> quic::RecvStream for Bidi<B> {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        self.recv.poll_data(cx)
    }

    fn stop_sending(&mut self, error_code: u64) {
        self.recv.stop_sending(error_code);
    }

    fn recv_id(&self) -> StreamId {
        self.recv.recv_id()
    }
}

impl<B: Buf> quic::BidiStream<B> for Bidi<B> {
    type SendStream = SendHalf<B>;
    type RecvStream = RecvHalf;

    fn split(self) -> (SendHalf<B>, RecvHalf) {
        (self.send, self.recv)
    }
}
