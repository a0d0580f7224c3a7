//! Where an answer goes: to the caller's stream, or to another task in parts.

use std::fmt;

use bytes::Bytes;
use h3::server::RequestStream;
use http::{HeaderMap, Response};
use tokio::sync::mpsc;

use crate::{once::CachedResponse, problem::Problem, streams::Sending};

/// Parts of an answer that may wait for their reader.
pub(crate) const PARTS_MAX: usize = 8;

/// The caller's stream, the answer's direction.
pub(crate) type Answering = RequestStream<Sending<Bytes>, Bytes>;

/// Nobody takes the answer any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Gone;

/// Takes an answer part by part; without its end the answer counts as cut.
pub(crate) trait Sink: Send {
    /// Takes the answer's head.
    fn head(&mut self, head: Response<()>) -> impl Future<Output = Result<(), Gone>> + Send;

    /// Takes the next chunk of the body.
    fn data(&mut self, data: Bytes) -> impl Future<Output = Result<(), Gone>> + Send;

    /// Takes the trailers.
    fn trailers(&mut self, trailers: HeaderMap) -> impl Future<Output = Result<(), Gone>> + Send;

    /// Takes the answer's end.
    fn end(&mut self) -> impl Future<Output = Result<(), Gone>> + Send;
}

impl Sink for Answering {
    async fn head(&mut self, head: Response<()>) -> Result<(), Gone> {
        self.send_response(head).await.map_err(|_gone| Gone)
    }

    async fn data(&mut self, data: Bytes) -> Result<(), Gone> {
        self.send_data(data).await.map_err(|_gone| Gone)
    }

    async fn trailers(&mut self, trailers: HeaderMap) -> Result<(), Gone> {
        self.send_trailers(trailers).await.map_err(|_gone| Gone)
    }

    async fn end(&mut self) -> Result<(), Gone> {
        self.finish().await.map_err(|_gone| Gone)
    }
}

/// A part of an answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// Comes first.
    Head(Response<()>),
    /// A chunk of the body.
    Data(Bytes),
    /// Comes after the body.
    Trailers(HeaderMap),
    /// Comes last; without it the answer was cut.
    End,
}

/// Hands an answer to another task.
#[derive(Debug, Clone)]
pub(crate) struct PartSink {
    parts: mpsc::Sender<Part>,
    when_gone: WhenGone,
}

/// What a run does when nobody takes its answer any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WhenGone {
    /// It is cancelled.
    Cancel,
    /// It goes on, and its answer is kept for repeats.
    GoOn,
}

impl PartSink {
    pub(crate) fn new(when_gone: WhenGone) -> (Self, mpsc::Receiver<Part>) {
        let (parts, receiver) = mpsc::channel(PARTS_MAX);
        (Self { parts, when_gone }, receiver)
    }

    /// Waits until a run that is to be cancelled then has lost its reader.
    pub(crate) async fn cancelled(&self) {
        match self.when_gone {
            WhenGone::Cancel => self.parts.closed().await,
            WhenGone::GoOn => std::future::pending().await,
        }
    }

    async fn send(&self, part: Part) -> Result<(), Gone> {
        let sent = self.parts.send(part).await;
        match (sent, self.when_gone) {
            (Err(_), WhenGone::Cancel) => Err(Gone),
            _ => Ok(()),
        }
    }
}

impl Sink for PartSink {
    async fn head(&mut self, head: Response<()>) -> Result<(), Gone> {
        self.send(Part::Head(head)).await
    }

    async fn data(&mut self, data: Bytes) -> Result<(), Gone> {
        self.send(Part::Data(data)).await
    }

    async fn trailers(&mut self, trailers: HeaderMap) -> Result<(), Gone> {
        self.send(Part::Trailers(trailers)).await
    }

    async fn end(&mut self) -> Result<(), Gone> {
        self.send(Part::End).await
    }
}

/// Passes an answer's parts on until its end.
pub(crate) async fn forward<S: Sink>(
    mut parts: mpsc::Receiver<Part>,
    sink: &mut S,
) -> Result<(), Gone> {
    while let Some(part) = parts.recv().await {
        match part {
            Part::Head(head) => sink.head(head).await?,
            Part::Data(data) => sink.data(data).await?,
            Part::Trailers(trailers) => sink.trailers(trailers).await?,
            Part::End => return sink.end().await,
        }
    }
    Err(Gone)
}

/// Sends an answer that the agent gives itself.
pub(crate) async fn send_problem<S: Sink>(sink: &mut S, problem: &Problem) -> Result<(), Gone> {
    let (head, body) = problem.to_response();
    sink.head(head).await?;
    sink.data(body).await?;
    sink.end().await
}

/// Sends an answer that was kept of an earlier attempt.
pub(crate) async fn send_cached<S: Sink>(sink: &mut S, answer: CachedResponse) -> Result<(), Gone> {
    let mut head = Response::new(());
    *head.status_mut() = answer.status;
    *head.headers_mut() = answer.headers;
    sink.head(head).await?;
    if !answer.body.is_empty() {
        sink.data(answer.body).await?;
    }
    sink.end().await
}

impl fmt::Display for Gone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("nobody takes the answer any more; give the request up")
    }
}

impl std::error::Error for Gone {}
