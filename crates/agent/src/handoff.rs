//! Places each request in a local slot, or hands it off to another agent of the service.

mod loads;
mod offer;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use admission::{
    at_most_once::Agent,
    handoff::{OfferId, OfferReply, OriginAction, origin_action},
};
use bundle::{RequestClass, RetrySafety};
use http::StatusCode;
use tonic::Streaming;
use units::ServiceId;
use wire::requests::HandOffReply;

use crate::{
    counters::Counters,
    filter::{AcquireSlot, EarlyResponse, Exchange, Filter, ReplayGuard, Route},
    peers::Peers,
    problem::Problem,
};

pub(crate) use loads::PeerLoadTable;
pub(crate) use offer::{HandOffReplies, OfferServer, forward_remote_response};

/// Number of free slots that a peer must have beyond the local ones to be offered a request that
/// could start locally.
///
/// With a smaller difference the extra hop costs more latency than the better balance saves.
const FREE_SLOTS_MARGIN: u32 = 2;

/// Interval at which a queued request checks whether a peer has a free slot.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(4);

/// Maximum number of offers of a request in a row before it joins the local queue.
const OFFERS_PER_ROUND_MAX: u32 = 3;

/// Places requests in a local slot or hands them off to other agents.
#[derive(Debug)]
pub(crate) struct HandOff {
    pub(crate) local_agent: Agent,
    pub(crate) service: ServiceId,
    pub(crate) route: Route,
    pub(crate) replay_guard: ReplayGuard,
    pub(crate) acquire_slot: AcquireSlot,
    pub(crate) loads: PeerLoadTable,
    pub(crate) peers: Arc<Peers>,
    pub(crate) counters: Arc<Counters>,
    next_offer_id: AtomicU64,
}

/// Where a request runs: at this agent or at another one.
#[derive(Debug)]
pub(crate) enum Placement {
    /// The request holds a local slot.
    Local,
    /// Another agent accepted the request; the stream carries its response.
    Remote(Box<Streaming<HandOffReply>>),
}

impl HandOff {
    pub(crate) fn new(
        local_agent: Agent,
        service: ServiceId,
        route: Route,
        replay_guard: ReplayGuard,
        acquire_slot: AcquireSlot,
        peers: Arc<Peers>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            local_agent,
            service,
            route,
            replay_guard,
            acquire_slot,
            loads: PeerLoadTable::default(),
            peers,
            counters,
            next_offer_id: AtomicU64::new(1),
        }
    }

    /// Acquires a local slot for a request or hands it off to another agent.
    ///
    /// A request whose body has not arrived completely is not offered to other agents.
    pub(crate) async fn place_request(
        &self,
        exchange: &mut Exchange,
    ) -> Result<Placement, EarlyResponse> {
        let class = exchange.rule.class;
        let mut may_offer = exchange.body.complete_body().is_some();
        let mut callee = may_offer
            .then(|| self.choose_less_loaded_peer(exchange))
            .flatten();
        loop {
            let mut offers_made = 0;
            while let Some(to) = callee.take() {
                let (reply, replies) = self.offer_request(exchange, to).await;
                if let Some(replies) = replies {
                    return Ok(Placement::Remote(Box::new(replies)));
                }
                match origin_action(reply, exchange.rule.retry) {
                    OriginAction::OutcomeUnknown => return Err(unclear_offer_problem().into()),
                    OriginAction::Forget | OriginAction::Requeue => {}
                }
                may_offer &= reply == OfferReply::Refused;
                offers_made += 1;
                if may_offer && offers_made < OFFERS_PER_ROUND_MAX && self.free_slots(class) == 0 {
                    callee = self.loads.choose_free_or_probe(class);
                }
            }
            // An at-most-once request is granted to this agent alone, so it can't be offered to
            // others after the grant.
            if !may_offer || exchange.rule.retry == RetrySafety::AtMostOnce {
                self.replay_guard.apply(exchange).await?;
                self.acquire_slot.apply(exchange).await?;
                return Ok(Placement::Local);
            }
            tokio::select! {
                admitted = self.acquire_slot.apply(exchange) => {
                    admitted?;
                    return Ok(Placement::Local);
                }
                found = self.wait_for_free_peer(class) => callee = Some(found),
            }
        }
    }

    /// Chooses a peer with clearly more free slots than this agent, and counts one slot of the peer
    /// as taken.
    fn choose_less_loaded_peer(&self, exchange: &Exchange) -> Option<Agent> {
        let floor = match (self.free_slots(exchange.rule.class), exchange.rule.retry) {
            (0, _) => 0,
            // The outcome of an offer may remain unknown, so an at-most-once request is offered
            // only if it can't start here.
            (_, RetrySafety::AtMostOnce) => return None,
            (free, RetrySafety::Idempotent) => free + FREE_SLOTS_MARGIN - 1,
        };
        self.loads
            .choose_with_more_free_slots(exchange.rule.class, floor)
    }

    /// Returns the number of local slots that are free for a request class.
    fn free_slots(&self, class: RequestClass) -> u32 {
        let load = self.acquire_slot.gate.load();
        match class {
            RequestClass::Short => load.free_short,
            RequestClass::Long => load.free_long,
        }
    }

    /// Waits until a peer reports a free slot or is due for a probe.
    async fn wait_for_free_peer(&self, class: RequestClass) -> Agent {
        loop {
            tokio::time::sleep(PEER_CHECK_INTERVAL).await;
            if let Some(found) = self.loads.choose_free_or_probe(class) {
                return found;
            }
        }
    }

    fn next_offer_id(&self) -> OfferId {
        OfferId::new(self.next_offer_id.fetch_add(1, Ordering::Relaxed))
    }
}

fn unclear_offer_problem() -> Problem {
    let detail = "the request was handed to another agent that gave no answer; look its result up";
    Problem::outcome_unknown(StatusCode::BAD_GATEWAY, detail)
}
