//! One offer: its origin's side and its callee's.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use admission::{
    at_most_once::Agent,
    handoff::{OfferReply, SeenOffers},
};
use futures_util::Stream;
use tokio::sync::mpsc;
use tonic::{Status, Streaming};
use wire::requests::{
    AnswerEnd, HandOffReply, HandOffRequest, LoadReply, Refused, Taken,
    hand_off_reply::Part as Message,
};

use super::HandOff;
use crate::{
    calls::convert,
    filter::{Entry, Exchange, Filter},
    request::{self, Core},
    sink::{Gone, Part, PartSink, Sink, WhenGone},
};

/// Longest wait until the callee has taken or refused an offer.
const OFFER_TIMEOUT: Duration = Duration::from_millis(250);

impl HandOff {
    /// Offers a request to another agent; the answer is there if it took it.
    pub(super) async fn offer(
        &self,
        exchange: &Exchange,
        to: Agent,
    ) -> (OfferReply, Option<Streaming<HandOffReply>>) {
        let Some(mut client) = self.peers.client(to.endpoint) else {
            return (OfferReply::Refused, None);
        };
        let request = convert::hand_off(self.service, self.me, to, self.next_offer(), exchange);
        let offering = async {
            let mut answer = client.hand_off(request).await.ok()?.into_inner();
            let first = answer.message().await.ok()??.part?;
            Some((first, answer))
        };
        let reply = tokio::time::timeout(OFFER_TIMEOUT, offering).await;
        match reply.ok().flatten() {
            Some((Message::Taken(taken), answer)) => {
                self.counters.handoffs_taken.add_one();
                if let Some((agent, load)) = taken.load.and_then(convert::load) {
                    self.loads.hear(agent, load);
                }
                (OfferReply::Taken, Some(answer))
            }
            Some((Message::Refused(refused), _answer)) => {
                self.counters.handoffs_refused.add_one();
                match refused.load.and_then(convert::load) {
                    Some((agent, load)) => self.loads.hear(agent, load),
                    None => self.loads.lower(to.endpoint),
                }
                (OfferReply::Refused, None)
            }
            _ => {
                self.counters.handoffs_unclear.add_one();
                self.loads.lower(to.endpoint);
                (OfferReply::Unknown, None)
            }
        }
    }
}

/// Passes on the answer of an agent that took a request.
pub(crate) async fn forward_remote<S: Sink>(
    mut answer: Streaming<HandOffReply>,
    sink: &mut S,
) -> Result<(), Gone> {
    while let Ok(Some(HandOffReply { part: Some(part) })) = answer.message().await {
        match part {
            Message::Head(head) => sink.head(convert::head(&head).ok_or(Gone)?).await?,
            Message::Body(data) => sink.data(data.into()).await?,
            Message::End(_) => return sink.end().await,
            Message::Refused(_) | Message::Taken(_) => return Err(Gone),
        }
    }
    Err(Gone)
}

/// Decides about offers of other agents and runs what it takes.
#[derive(Debug)]
pub(crate) struct Callee {
    core: Arc<Core<Entry>>,
    decided: Mutex<SeenOffers>,
}

impl Callee {
    pub(crate) fn new(core: Arc<Core<Entry>>) -> Self {
        Self {
            core,
            decided: Mutex::default(),
        }
    }

    /// Takes an offer if a slot is free for it now, or refuses it for good.
    pub(crate) async fn consider(&self, request: HandOffRequest) -> Replies {
        match self.take(request).await {
            Some(exchange) => self.start(exchange),
            None => self.refuse(),
        }
    }

    async fn take(&self, request: HandOffRequest) -> Option<Exchange> {
        let handoff = &self.core.handoff;
        let (origin, callee) = convert::parties(&request)?;
        let offer = convert::offer_id(&request);
        let is_new = callee == handoff.me && {
            let mut decided = self.decided.lock().unwrap_or_else(PoisonError::into_inner);
            decided.insert(origin, offer)
        };
        if !is_new {
            return None;
        }
        let deadline = Instant::now() + Duration::from_millis(request.deadline_ms_left);
        let mut exchange = convert::exchange(request, deadline)?;
        handoff.route.admit(&mut exchange).await.ok()?;
        exchange.slot = Some(handoff.admit.try_enter(&exchange)?);
        Some(exchange)
    }

    fn refuse(&self) -> Replies {
        let load = Some(self.load());
        Replies::new(Message::Refused(Refused { load }), None)
    }

    fn load(&self) -> LoadReply {
        let handoff = &self.core.handoff;
        convert::load_reply(handoff.me, handoff.admit.gate.load())
    }

    fn start(&self, exchange: Exchange) -> Replies {
        let core = Arc::clone(&self.core);
        core.counters.handoffs_served.add_one();
        let (mut sink, parts) = PartSink::new(WhenGone::Cancel);
        tokio::spawn(async move {
            let watched = sink.clone();
            tokio::select! {
                // Without its end the origin sees that the answer was cut.
                _answered = answer(&core, exchange, &mut sink) => (),
                () = watched.cancelled() => (),
            }
        });
        let load = Some(self.load());
        Replies::new(Message::Taken(Taken { load }), Some(parts))
    }
}

async fn answer(
    core: &Arc<Core<Entry>>,
    mut exchange: Exchange,
    sink: &mut PartSink,
) -> Result<(), Gone> {
    match core.handoff.replay.admit(&mut exchange).await {
        Ok(()) => request::run(core, exchange, sink).await,
        Err(stop) => request::refuse(core, exchange, sink, stop).await,
    }
}

/// The callee's messages: its decision, then the answer's parts.
#[derive(Debug)]
pub struct Replies {
    first: Option<Message>,
    parts: Option<mpsc::Receiver<Part>>,
}

impl Replies {
    fn new(first: Message, parts: Option<mpsc::Receiver<Part>>) -> Self {
        Self {
            first: Some(first),
            parts,
        }
    }
}

impl Stream for Replies {
    type Item = Result<HandOffReply, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let reply = |part| Some(Ok(HandOffReply { part: Some(part) }));
        if let Some(first) = self.first.take() {
            return Poll::Ready(reply(first));
        }
        let Some(parts) = &mut self.parts else {
            return Poll::Ready(None);
        };
        loop {
            let Some(part) = std::task::ready!(parts.poll_recv(cx)) else {
                return Poll::Ready(None);
            };
            return Poll::Ready(match part {
                Part::Head(head) => reply(Message::Head(convert::answer_head(&head))),
                Part::Data(data) => reply(Message::Body(data.into())),
                Part::End => reply(Message::End(AnswerEnd {})),
                // The system's calls carry none.
                Part::Trailers(_) => continue,
            });
        }
    }
}
