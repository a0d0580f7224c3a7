//! Offers requests to other agents, and accepts or refuses the requests that they offer.

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
    filter::{EntryFilters, Exchange, Filter},
    request::{self, RequestHandler},
    sink::{ChannelSink, OnReceiverGone, ReceiverGone, ResponsePart, ResponseSink},
};

/// Timeout for the other agent to accept or refuse an offered request.
const OFFER_TIMEOUT: Duration = Duration::from_millis(250);

impl HandOff {
    /// Offers a request to another agent.
    ///
    /// Returns the stream of the response only if the agent accepted the request.
    pub(super) async fn offer_request(
        &self,
        exchange: &Exchange,
        to: Agent,
    ) -> (OfferReply, Option<Streaming<HandOffReply>>) {
        let Some(mut client) = self.peers.client_for_endpoint(to.endpoint) else {
            return (OfferReply::Refused, None);
        };
        let request = convert::encode_hand_off(
            self.service,
            self.local_agent,
            to,
            self.next_offer_id(),
            exchange,
        );
        let offering = async {
            let mut replies = client.hand_off(request).await.ok()?.into_inner();
            let first = replies.message().await.ok()??.part?;
            Some((first, replies))
        };
        let reply = tokio::time::timeout(OFFER_TIMEOUT, offering).await;
        match reply.ok().flatten() {
            Some((Message::Taken(taken), replies)) => {
                self.counters.handoffs_taken.add_one();
                if let Some((agent, load)) = taken.load.and_then(convert::decode_load) {
                    self.loads.record_load(agent, load);
                }
                (OfferReply::Taken, Some(replies))
            }
            Some((Message::Refused(refused), _answer)) => {
                self.counters.handoffs_refused.add_one();
                match refused.load.and_then(convert::decode_load) {
                    Some((agent, load)) => self.loads.record_load(agent, load),
                    None => self.loads.record_failure(to.endpoint),
                }
                (OfferReply::Refused, None)
            }
            _ => {
                self.counters.handoffs_unclear.add_one();
                self.loads.record_failure(to.endpoint);
                (OfferReply::Unknown, None)
            }
        }
    }
}

/// Forwards the response to a handed-off request from the agent that accepted it to a sink.
pub(crate) async fn forward_remote_response<S: ResponseSink>(
    mut replies: Streaming<HandOffReply>,
    sink: &mut S,
) -> Result<(), ReceiverGone> {
    while let Ok(Some(HandOffReply { part: Some(part) })) = replies.message().await {
        match part {
            Message::Head(head) => {
                sink.write_head(convert::decode_head(&head).ok_or(ReceiverGone)?)
                    .await?;
            }
            Message::Body(data) => sink.write_data(data.into()).await?,
            Message::End(_) => return sink.write_end().await,
            Message::Refused(_) | Message::Taken(_) => return Err(ReceiverGone),
        }
    }
    Err(ReceiverGone)
}

/// Accepts or refuses the requests that other agents offer, and runs the accepted ones.
#[derive(Debug)]
pub(crate) struct OfferServer {
    handler: Arc<RequestHandler<EntryFilters>>,
    /// Offers that were accepted or refused already, so that a duplicate is refused.
    decided: Mutex<SeenOffers>,
}

impl OfferServer {
    pub(crate) fn new(handler: Arc<RequestHandler<EntryFilters>>) -> Self {
        Self {
            handler,
            decided: Mutex::default(),
        }
    }

    /// Accepts an offered request if a slot is free for it now, and refuses it for good otherwise.
    pub(crate) async fn handle_offer(&self, request: HandOffRequest) -> HandOffReplies {
        match self.accept_if_slot_free(request).await {
            Some(exchange) => self.run_accepted_request(exchange),
            None => self.refuse_offer(),
        }
    }

    /// Acquires a slot for an offered request.
    ///
    /// Returns `None` if the offer is malformed, a duplicate or for another incarnation of this
    /// agent, or if no slot is free.
    async fn accept_if_slot_free(&self, request: HandOffRequest) -> Option<Exchange> {
        let handoff = &self.handler.handoff;
        let (origin, callee) = convert::decode_offer_parties(&request)?;
        let offer = convert::decode_offer_id(&request);
        let is_new = callee == handoff.local_agent && {
            let mut decided = self.decided.lock().unwrap_or_else(PoisonError::into_inner);
            decided.insert(origin, offer)
        };
        if !is_new {
            return None;
        }
        let deadline = Instant::now() + Duration::from_millis(request.deadline_ms_left);
        let mut exchange = convert::decode_exchange(request, deadline)?;
        handoff.route.apply(&mut exchange).await.ok()?;
        exchange.slot = Some(handoff.acquire_slot.try_acquire(&exchange)?);
        Some(exchange)
    }

    fn refuse_offer(&self) -> HandOffReplies {
        let load = Some(self.local_load());
        HandOffReplies::new(Message::Refused(Refused { load }), None)
    }

    fn local_load(&self) -> LoadReply {
        let handoff = &self.handler.handoff;
        convert::encode_load(handoff.local_agent, handoff.acquire_slot.gate.load())
    }

    /// Runs an accepted request in a task of its own and returns the stream of its response.
    fn run_accepted_request(&self, exchange: Exchange) -> HandOffReplies {
        let handler = Arc::clone(&self.handler);
        handler.counters.handoffs_served.add_one();
        let (mut sink, parts) = ChannelSink::new(OnReceiverGone::Cancel);
        tokio::spawn(async move {
            let watched = sink.clone();
            tokio::select! {
                // The agent that offered the request detects a truncated response by the missing
                // end message.
                _answered = run_after_grant(&handler, exchange, &mut sink) => (),
                () = watched.wait_for_cancellation() => (),
            }
        });
        let load = Some(self.local_load());
        HandOffReplies::new(Message::Taken(Taken { load }), Some(parts))
    }
}

/// Runs an accepted request, after its grant if it is an at-most-once request.
async fn run_after_grant(
    handler: &Arc<RequestHandler<EntryFilters>>,
    mut exchange: Exchange,
    sink: &mut ChannelSink,
) -> Result<(), ReceiverGone> {
    match handler.handoff.replay_guard.apply(&mut exchange).await {
        Ok(()) => request::run_admitted(handler, exchange, sink).await,
        Err(early) => request::respond_early(handler, exchange, sink, early).await,
    }
}

/// Reply stream for an offered request: the decision, then the parts of the response.
#[derive(Debug)]
pub struct HandOffReplies {
    first: Option<Message>,
    parts: Option<mpsc::Receiver<ResponsePart>>,
}

impl HandOffReplies {
    fn new(first: Message, parts: Option<mpsc::Receiver<ResponsePart>>) -> Self {
        Self {
            first: Some(first),
            parts,
        }
    }
}

impl Stream for HandOffReplies {
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
                ResponsePart::Head(head) => reply(Message::Head(convert::encode_head(&head))),
                ResponsePart::Data(data) => reply(Message::Body(data.into())),
                ResponsePart::End => reply(Message::End(AnswerEnd {})),
                // The hand-off protocol has no message for trailers, so they are dropped.
                ResponsePart::Trailers(_) => continue,
            });
        }
    }
}
