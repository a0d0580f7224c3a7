//! Serves one request of a caller: filter chain, placement and response.

use std::sync::Arc;

use bytes::Bytes;
use h3::{error::Code, server::RequestStream};
use http::{Request, StatusCode};

use crate::{
    counters::Counters,
    filter::{EarlyResponse, Exchange, Filter},
    handoff::{HandOff, Placement, forward_remote_response},
    problem::Problem,
    relay,
    retries::RetryLimiter,
    sink::{
        ChannelSink, OnReceiverGone, ReceiverGone, ResponseSink, ResponseStream,
        forward_response_parts, send_cached_response, send_problem,
    },
    streams::{Bidi, StreamEnd, StreamEndFuture},
    upstream::Client,
};

/// Handler of requests, with the state that all requests of an agent share.
#[derive(Debug)]
pub(crate) struct RequestHandler<F> {
    /// Filters that a request passes before it gets a local slot or is handed off.
    pub(crate) entry_filters: F,
    pub(crate) handoff: Arc<HandOff>,
    pub(crate) client: Arc<Client>,
    pub(crate) retry_limiter: RetryLimiter,
    pub(crate) counters: Arc<Counters>,
}

/// Serves a caller's request until its stream has ended, and counts the result.
pub(crate) async fn serve_until_stream_end<F: Filter + 'static>(
    handler: &Arc<RequestHandler<F>>,
    request: Request<()>,
    stream: RequestStream<Bidi<Bytes>, Bytes>,
    mut ended: StreamEndFuture,
) {
    handler.counters.requests.add_one();
    let (mut sending, receiving) = stream.split();
    let exchange = Exchange::new(request, receiving);
    let answered = tokio::select! {
        answered = filter_place_and_relay(handler, exchange, &mut sending) => answered,
        // The caller cancelled the request or lost its connection. Dropping the exchange cancels a
        // run in progress, except for an at-most-once request, which runs in a task of its own.
        _end = &mut ended => {
            handler.counters.requests_cancelled.add_one();
            return;
        }
    };
    if answered == Err(ReceiverGone) {
        return;
    }
    match ended.await {
        StreamEnd::Acknowledged => handler.counters.requests_answered.add_one(),
        StreamEnd::Cancelled | StreamEnd::Lost => handler.counters.requests_cancelled.add_one(),
    }
}

/// Applies the entry filters, runs the request here or hands it off, and relays its response.
async fn filter_place_and_relay<F: Filter + 'static>(
    handler: &Arc<RequestHandler<F>>,
    mut exchange: Exchange,
    sending: &mut ResponseStream,
) -> Result<(), ReceiverGone> {
    if let Err(early) = handler.entry_filters.apply(&mut exchange).await {
        return respond_early(handler, exchange, sending, early).await;
    }
    match handler.handoff.place_request(&mut exchange).await {
        Ok(Placement::Local) => run_admitted(handler, exchange, sending).await,
        Ok(Placement::Remote(replies)) => forward_remote_response(*replies, sending).await,
        Err(early) => respond_early(handler, exchange, sending, early).await,
    }
}

/// Runs a request that holds a slot.
///
/// An at-most-once request runs in a task of its own, so that it completes without its caller.
pub(crate) async fn run_admitted<F: Filter + 'static, S: ResponseSink>(
    handler: &Arc<RequestHandler<F>>,
    mut exchange: Exchange,
    sink: &mut S,
) -> Result<(), ReceiverGone> {
    if exchange.pending_attempt.is_none() {
        return relay::run_until_deadline(handler, &mut exchange, sink).await;
    }
    let (mut part_sink, parts) = ChannelSink::new(OnReceiverGone::Continue);
    let handler = Arc::clone(handler);
    tokio::spawn(async move {
        relay::run_until_deadline(&handler, &mut exchange, &mut part_sink).await
    });
    forward_response_parts(parts, sink).await
}

/// Sends the response to a request whose filter chain ended early.
pub(crate) async fn respond_early<F, S: ResponseSink>(
    handler: &RequestHandler<F>,
    mut exchange: Exchange,
    sink: &mut S,
    early: EarlyResponse,
) -> Result<(), ReceiverGone> {
    let problem = match early {
        EarlyResponse::Cached(response) => return send_cached_response(sink, response).await,
        EarlyResponse::Problem(problem) => exchange.abandon_attempt(problem),
    };
    handler.count_refusal(&problem);
    if let Some(receiving) = &mut exchange.receiving {
        receiving.stop_sending(Code::H3_NO_ERROR);
    }
    send_problem(sink, &problem).await
}

impl<F> RequestHandler<F> {
    /// Counts a refused request by the HTTP status of its problem.
    pub(crate) fn count_refusal(&self, problem: &Problem) {
        match problem.status {
            StatusCode::SERVICE_UNAVAILABLE => self.counters.requests_refused.add_one(),
            StatusCode::CONFLICT => self.counters.outcomes_unknown.add_one(),
            _ => self.counters.requests_malformed.add_one(),
        }
    }
}
