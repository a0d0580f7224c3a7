//! Sinks for responses: the caller's stream, or a channel to another task.

use std::fmt;

use bytes::Bytes;
use h3::server::RequestStream;
use http::{HeaderMap, Response};
use tokio::sync::mpsc;

use crate::{once::CachedResponse, problem::Problem, streams::SendHalf};

/// Maximum number of response parts queued in a channel.
pub(crate) const PART_QUEUE_MAX: usize = 8;

/// Sending half of the caller's request stream.
pub(crate) type ResponseStream = RequestStream<SendHalf<Bytes>, Bytes>;

/// Error of a response sink whose receiver accepts no more of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReceiverGone;

/// Sink for a response, written part by part; without its end the response counts as truncated.
pub(crate) trait ResponseSink: Send {
    /// Writes the response head.
    fn write_head(
        &mut self,
        head: Response<()>,
    ) -> impl Future<Output = Result<(), ReceiverGone>> + Send;

    /// Writes the next chunk of the body.
    fn write_data(&mut self, data: Bytes) -> impl Future<Output = Result<(), ReceiverGone>> + Send;

    /// Writes the trailers.
    fn write_trailers(
        &mut self,
        trailers: HeaderMap,
    ) -> impl Future<Output = Result<(), ReceiverGone>> + Send;

    /// Marks the response in the sink as complete.
    fn write_end(&mut self) -> impl Future<Output = Result<(), ReceiverGone>> + Send;
}

impl ResponseSink for ResponseStream {
    async fn write_head(&mut self, head: Response<()>) -> Result<(), ReceiverGone> {
        self.send_response(head).await.map_err(|_gone| ReceiverGone)
    }

    async fn write_data(&mut self, data: Bytes) -> Result<(), ReceiverGone> {
        self.send_data(data).await.map_err(|_gone| ReceiverGone)
    }

    async fn write_trailers(&mut self, trailers: HeaderMap) -> Result<(), ReceiverGone> {
        self.send_trailers(trailers)
            .await
            .map_err(|_gone| ReceiverGone)
    }

    async fn write_end(&mut self) -> Result<(), ReceiverGone> {
        self.finish().await.map_err(|_gone| ReceiverGone)
    }
}

/// Part of a response.
#[derive(Debug)]
pub(crate) enum ResponsePart {
    /// Status and headers, the first part of a response.
    Head(Response<()>),
    /// Chunk of the body.
    Data(Bytes),
    /// Trailers, which follow the body.
    Trailers(HeaderMap),
    /// Last part of a complete response; without it the response was truncated.
    End,
}

/// Sends a response to another task through a bounded channel.
#[derive(Debug, Clone)]
pub(crate) struct ChannelSink {
    parts: mpsc::Sender<ResponsePart>,
    on_receiver_gone: OnReceiverGone,
}

/// What a run does when its response has no receiver any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OnReceiverGone {
    /// The run is cancelled.
    Cancel,
    /// The run continues, and its response is cached for repeated requests.
    Continue,
}

impl ChannelSink {
    pub(crate) fn new(on_receiver_gone: OnReceiverGone) -> (Self, mpsc::Receiver<ResponsePart>) {
        let (parts, receiver) = mpsc::channel(PART_QUEUE_MAX);
        (
            Self {
                parts,
                on_receiver_gone,
            },
            receiver,
        )
    }

    /// Waits until the run must be cancelled because the receiver of its response is gone; never
    /// returns if the run continues without a receiver.
    pub(crate) async fn wait_for_cancellation(&self) {
        match self.on_receiver_gone {
            OnReceiverGone::Cancel => self.parts.closed().await,
            OnReceiverGone::Continue => std::future::pending().await,
        }
    }

    async fn send_part(&self, part: ResponsePart) -> Result<(), ReceiverGone> {
        let sent = self.parts.send(part).await;
        match (sent, self.on_receiver_gone) {
            (Err(_), OnReceiverGone::Cancel) => Err(ReceiverGone),
            _ => Ok(()),
        }
    }
}

impl ResponseSink for ChannelSink {
    async fn write_head(&mut self, head: Response<()>) -> Result<(), ReceiverGone> {
        self.send_part(ResponsePart::Head(head)).await
    }

    async fn write_data(&mut self, data: Bytes) -> Result<(), ReceiverGone> {
        self.send_part(ResponsePart::Data(data)).await
    }

    async fn write_trailers(&mut self, trailers: HeaderMap) -> Result<(), ReceiverGone> {
        self.send_part(ResponsePart::Trailers(trailers)).await
    }

    async fn write_end(&mut self) -> Result<(), ReceiverGone> {
        self.send_part(ResponsePart::End).await
    }
}

/// Forwards the parts of a response from a channel to a sink until the response ends.
///
/// Fails if the channel closes before the response's end or the sink's receiver is gone.
pub(crate) async fn forward_response_parts<S: ResponseSink>(
    mut parts: mpsc::Receiver<ResponsePart>,
    sink: &mut S,
) -> Result<(), ReceiverGone> {
    while let Some(part) = parts.recv().await {
        match part {
            ResponsePart::Head(head) => sink.write_head(head).await?,
            ResponsePart::Data(data) => sink.write_data(data).await?,
            ResponsePart::Trailers(trailers) => sink.write_trailers(trailers).await?,
            ResponsePart::End => return sink.write_end().await,
        }
    }
    Err(ReceiverGone)
}

/// Sends an error response that the agent creates itself.
pub(crate) async fn send_problem<S: ResponseSink>(
    sink: &mut S,
    problem: &Problem,
) -> Result<(), ReceiverGone> {
    let (head, body) = problem.to_response();
    sink.write_head(head).await?;
    sink.write_data(body).await?;
    sink.write_end().await
}

/// Sends the cached response of an earlier attempt.
pub(crate) async fn send_cached_response<S: ResponseSink>(
    sink: &mut S,
    answer: CachedResponse,
) -> Result<(), ReceiverGone> {
    let mut head = Response::new(());
    *head.status_mut() = answer.status;
    *head.headers_mut() = answer.headers;
    sink.write_head(head).await?;
    if !answer.body.is_empty() {
        sink.write_data(answer.body).await?;
    }
    sink.write_end().await
}

impl fmt::Display for ReceiverGone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the receiver of the response is gone; cancel the request")
    }
}

impl std::error::Error for ReceiverGone {}
