//! Where a request runs: in a slot here, or handed to another agent of the service.

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
    filter::{Admit, Exchange, Filter, Replay, Route, Stop},
    peers::Peers,
    problem::Problem,
};

pub(crate) use loads::Loads;
pub(crate) use offer::{Callee, Replies, forward_remote};

/// Free slots that a peer must have beyond those free here to get a request that could start here.
///
/// With less the hop costs more than the evener spread gains.
const MARGIN_SLOTS: u32 = 2;

/// Time between looks for a free slot elsewhere while a request waits.
const LOOK_INTERVAL: Duration = Duration::from_millis(4);

/// Agents tried at once for one request that can't start here.
const TRIES_MAX: u32 = 3;

/// Decides where a request runs.
#[derive(Debug)]
pub(crate) struct HandOff {
    pub(crate) me: Agent,
    pub(crate) service: ServiceId,
    pub(crate) route: Route,
    pub(crate) replay: Replay,
    pub(crate) admit: Admit,
    pub(crate) loads: Loads,
    pub(crate) peers: Arc<Peers>,
    pub(crate) counters: Arc<Counters>,
    next_offer: AtomicU64,
}

/// Where a request runs.
#[derive(Debug)]
pub(crate) enum Offered {
    /// It holds a slot here.
    Here,
    /// Another agent took it and answers.
    Elsewhere(Box<Streaming<HandOffReply>>),
}

impl HandOff {
    pub(crate) fn new(
        me: Agent,
        service: ServiceId,
        route: Route,
        replay: Replay,
        admit: Admit,
        peers: Arc<Peers>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            me,
            service,
            route,
            replay,
            admit,
            loads: Loads::default(),
            peers,
            counters,
            next_offer: AtomicU64::new(1),
        }
    }

    /// Finds a place for a request: a slot here, or another agent that takes it.
    ///
    /// A request whose body is still under way stays here.
    pub(crate) async fn place(&self, exchange: &mut Exchange) -> Result<Offered, Stop> {
        let class = exchange.rule.class;
        let mut may_offer = exchange.body.whole().is_some();
        let mut callee = may_offer.then(|| self.better_place(exchange)).flatten();
        loop {
            let mut tries = 0;
            while let Some(to) = callee.take() {
                let (reply, answer) = self.offer(exchange, to).await;
                if let Some(answer) = answer {
                    return Ok(Offered::Elsewhere(Box::new(answer)));
                }
                match origin_action(reply, exchange.rule.retry) {
                    OriginAction::OutcomeUnknown => return Err(unclear().into()),
                    OriginAction::Forget | OriginAction::Requeue => {}
                }
                may_offer &= reply == OfferReply::Refused;
                tries += 1;
                if may_offer && tries < TRIES_MAX && self.free(class) == 0 {
                    callee = self.loads.choose_in_need(class);
                }
            }
            // A granted request stays: its grant names this agent.
            if !may_offer || exchange.rule.retry == RetrySafety::AtMostOnce {
                self.replay.admit(exchange).await?;
                self.admit.admit(exchange).await?;
                return Ok(Offered::Here);
            }
            tokio::select! {
                admitted = self.admit.admit(exchange) => {
                    admitted?;
                    return Ok(Offered::Here);
                }
                found = self.free_elsewhere(class) => callee = Some(found),
            }
        }
    }

    /// Returns an agent with clearly more room, counting one slot of it as taken.
    fn better_place(&self, exchange: &Exchange) -> Option<Agent> {
        let floor = match (self.free(exchange.rule.class), exchange.rule.retry) {
            (0, _) => 0,
            // Its offer may end unclear, so it is made only in need.
            (_, RetrySafety::AtMostOnce) => return None,
            (free, RetrySafety::Idempotent) => free + MARGIN_SLOTS - 1,
        };
        self.loads.choose(exchange.rule.class, floor)
    }

    /// Returns how many requests of a class could start here now.
    fn free(&self, class: RequestClass) -> u32 {
        let load = self.admit.gate.load();
        match class {
            RequestClass::Short => load.free_short,
            RequestClass::Long => load.free_long,
        }
    }

    /// Waits until another agent seems to have a free slot.
    async fn free_elsewhere(&self, class: RequestClass) -> Agent {
        loop {
            tokio::time::sleep(LOOK_INTERVAL).await;
            if let Some(found) = self.loads.choose_in_need(class) {
                return found;
            }
        }
    }

    fn next_offer(&self) -> OfferId {
        OfferId::new(self.next_offer.fetch_add(1, Ordering::Relaxed))
    }
}

fn unclear() -> Problem {
    let detail = "the request was handed to another agent that gave no answer; look its result up";
    Problem::outcome_unknown(StatusCode::BAD_GATEWAY, detail)
}
