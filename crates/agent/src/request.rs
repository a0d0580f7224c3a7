//! One request of a caller: through the filter chain, to a slot here or elsewhere, and back.

use std::sync::Arc;

use bytes::Bytes;
use h3::{error::Code, server::RequestStream};
use http::{Request, StatusCode};

use crate::{
    counters::Counters,
    filter::{Exchange, Filter, Stop},
    handoff::{HandOff, Offered, forward_remote},
    problem::Problem,
    relay,
    retries::Retries,
    sink::{Answering, Gone, PartSink, Sink, WhenGone, forward, send_kept, send_problem},
    streams::{Bidi, Ended, StreamEnd},
    upstream::Client,
};

/// What all requests of an agent share.
#[derive(Debug)]
pub(crate) struct Core<F> {
    /// What a request passes before it is decided where it runs.
    pub(crate) entry: F,
    pub(crate) handoff: Arc<HandOff>,
    pub(crate) client: Arc<Client>,
    pub(crate) retries: Retries,
    pub(crate) counters: Arc<Counters>,
}

/// Serves a request to its end.
pub(crate) async fn serve<F: Filter + 'static>(
    core: &Arc<Core<F>>,
    request: Request<()>,
    stream: RequestStream<Bidi<Bytes>, Bytes>,
    mut ended: Ended,
) {
    core.counters.requests.add_one();
    let (mut sending, receiving) = stream.split();
    let exchange = Exchange::new(request, receiving);
    let answered = tokio::select! {
        answered = answer(core, exchange, &mut sending) => answered,
        // The caller lost interest or its connection: what its request holds is dropped, which
        // cancels a run under way unless it must not be repeated.
        _end = &mut ended => {
            core.counters.requests_cancelled.add_one();
            return;
        }
    };
    if answered == Err(Gone) {
        return;
    }
    match ended.await {
        StreamEnd::Acknowledged => core.counters.requests_answered.add_one(),
        StreamEnd::Cancelled | StreamEnd::Lost => core.counters.requests_cancelled.add_one(),
    }
}

async fn answer<F: Filter + 'static>(
    core: &Arc<Core<F>>,
    mut exchange: Exchange,
    sending: &mut Answering,
) -> Result<(), Gone> {
    if let Err(stop) = core.entry.admit(&mut exchange).await {
        return refuse(core, exchange, sending, stop).await;
    }
    match core.handoff.place(&mut exchange).await {
        Ok(Offered::Here) => run(core, exchange, sending).await,
        Ok(Offered::Elsewhere(answer)) => forward_remote(*answer, sending).await,
        Err(stop) => refuse(core, exchange, sending, stop).await,
    }
}

/// Runs an admitted request; one that must not be repeated goes on without its caller.
pub(crate) async fn run<F: Filter + 'static, S: Sink>(
    core: &Arc<Core<F>>,
    mut exchange: Exchange,
    sink: &mut S,
) -> Result<(), Gone> {
    if exchange.ticket.is_none() {
        return relay::run(core, &mut exchange, sink).await;
    }
    let (mut part_sink, parts) = PartSink::new(WhenGone::GoOn);
    let core = Arc::clone(core);
    tokio::spawn(async move { relay::run(&core, &mut exchange, &mut part_sink).await });
    forward(parts, sink).await
}

/// Answers a request that never reaches the upstream by this attempt.
pub(crate) async fn refuse<F, S: Sink>(
    core: &Core<F>,
    mut exchange: Exchange,
    sink: &mut S,
    stop: Stop,
) -> Result<(), Gone> {
    let problem = match stop {
        Stop::Kept(answer) => return send_kept(sink, answer).await,
        Stop::Problem(problem) => exchange.settle_refusal(problem),
    };
    core.count_refusal(&problem);
    if let Some(receiving) = &mut exchange.receiving {
        receiving.stop_sending(Code::H3_NO_ERROR);
    }
    send_problem(sink, &problem).await
}

impl<F> Core<F> {
    pub(crate) fn count_refusal(&self, problem: &Problem) {
        match problem.status {
            StatusCode::SERVICE_UNAVAILABLE => self.counters.requests_refused.add_one(),
            StatusCode::CONFLICT => self.counters.outcomes_unknown.add_one(),
            _ => self.counters.requests_malformed.add_one(),
        }
    }
}
