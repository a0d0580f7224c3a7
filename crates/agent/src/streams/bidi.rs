//! A request's stream.

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

use super::connection_error;

/// Bytes read from a stream at once.
const READ_BYTES: usize = 16 * 1024;

/// Both directions of a request's stream.
pub(crate) struct Bidi<B: Buf> {
    sending: Sending<B>,
    receiving: Receiving,
}

/// The answer's direction; reset when dropped before it was finished.
pub(crate) struct Sending<B: Buf> {
    stream: quinn::SendStream,
    writing: Option<WriteBuf<B>>,
    is_closed: bool,
}

/// The request's direction.
pub(crate) struct Receiving {
    stream: quinn::RecvStream,
    is_ended: bool,
}

impl<B: Buf> Bidi<B> {
    pub(super) fn new(send: quinn::SendStream, recv: quinn::RecvStream) -> Self {
        Self {
            sending: Sending {
                stream: send,
                writing: None,
                is_closed: false,
            },
            receiving: Receiving {
                stream: recv,
                is_ended: false,
            },
        }
    }
}

impl<B: Buf> Drop for Sending<B> {
    fn drop(&mut self) {
        if !self.is_closed {
            quic::SendStream::<B>::reset(self, Code::H3_INTERNAL_ERROR.value());
        }
    }
}

impl<B: Buf> quic::SendStream<B> for Sending<B> {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        if let Some(data) = &mut self.writing {
            while data.has_remaining() {
                let stream = Pin::new(&mut self.stream);
                let written = ready!(stream.poll_write(cx, data.chunk())).map_err(write_error)?;
                data.advance(written);
            }
        }
        self.writing = None;
        Poll::Ready(Ok(()))
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        assert!(self.writing.is_none(), "HTTP/3 waits until data is written");
        self.writing = Some(data.into());
        Ok(())
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        ready!(self.poll_ready(cx))?;
        self.is_closed = true;
        let finished = self.stream.finish();
        Poll::Ready(finished.map_err(|err| StreamErrorIncoming::Unknown(Box::new(err))))
    }

    fn reset(&mut self, reset_code: u64) {
        self.is_closed = true;
        // A stream that is closed already needs no reset.
        let _ = self
            .stream
            .reset(VarInt::from_u64(reset_code).unwrap_or(VarInt::MAX));
    }

    fn send_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

impl quic::RecvStream for Receiving {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        if self.is_ended {
            return Poll::Ready(Ok(None));
        }
        // Reading a chunk keeps no state between polls.
        let reading = pin!(self.stream.read_chunk(READ_BYTES, true));
        let chunk = ready!(reading.poll(cx)).map_err(read_error)?;
        self.is_ended = chunk.is_none();
        Poll::Ready(Ok(chunk.map(|it| it.bytes)))
    }

    fn stop_sending(&mut self, error_code: u64) {
        // A stream that is closed already needs no stop.
        let _ = self
            .stream
            .stop(VarInt::from_u64(error_code).unwrap_or(VarInt::MAX));
    }

    fn recv_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

fn stream_id(id: quinn::StreamId) -> StreamId {
    u64::from(id).try_into().expect("QUIC bounds stream ids")
}

fn write_error(err: quinn::WriteError) -> StreamErrorIncoming {
    match err {
        quinn::WriteError::Stopped(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        quinn::WriteError::ConnectionLost(err) => StreamErrorIncoming::ConnectionErrorIncoming {
            connection_error: connection_error(err),
        },
        err => StreamErrorIncoming::Unknown(Box::new(err)),
    }
}

fn read_error(err: quinn::ReadError) -> StreamErrorIncoming {
    match err {
        quinn::ReadError::Reset(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        quinn::ReadError::ConnectionLost(err) => StreamErrorIncoming::ConnectionErrorIncoming {
            connection_error: connection_error(err),
        },
        err => StreamErrorIncoming::Unknown(Box::new(err)),
    }
}

impl<B: Buf> quic::SendStream<B> for Bidi<B> {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.sending.poll_ready(cx)
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.sending.send_data(data)
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.sending.poll_finish(cx)
    }

    fn reset(&mut self, reset_code: u64) {
        self.sending.reset(reset_code);
    }

    fn send_id(&self) -> StreamId {
        self.sending.send_id()
    }
}

impl<B: Buf> quic::RecvStream for Bidi<B> {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        self.receiving.poll_data(cx)
    }

    fn stop_sending(&mut self, error_code: u64) {
        self.receiving.stop_sending(error_code);
    }

    fn recv_id(&self) -> StreamId {
        self.receiving.recv_id()
    }
}

impl<B: Buf> quic::BidiStream<B> for Bidi<B> {
    type SendStream = Sending<B>;
    type RecvStream = Receiving;

    fn split(self) -> (Sending<B>, Receiving) {
        (self.sending, self.receiving)
    }
}
