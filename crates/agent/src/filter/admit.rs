//! Waits for a slot of the upstream, or refuses a request that can't end in time.

use std::{sync::Arc, time::Instant};

use admission::{Priority, Refusal, class_of};
use http::StatusCode;
use units::Millis;

use super::{Exchange, Filter, Stop};
use crate::{
    gate::{Ask, Gate, Refused, Slot},
    problem::Problem,
};

/// Admits requests by class and deadline.
#[derive(Debug)]
pub(crate) struct Admit {
    pub(crate) gate: Arc<Gate>,
}

impl Filter for Admit {
    async fn admit(&self, exchange: &mut Exchange) -> Result<(), Stop> {
        let ask = self.ask(exchange);
        let slot = self.gate.enter(ask).await.map_err(|it| problem(&it))?;
        exchange.slot = Some(slot);
        Ok(())
    }
}

impl Admit {
    /// Takes a slot if one is free for the request now.
    pub(crate) fn try_enter(&self, exchange: &Exchange) -> Option<Slot> {
        self.gate.try_enter(self.ask(exchange))
    }

    fn ask(&self, exchange: &Exchange) -> Ask {
        let priority = exchange.text("priority").map(Priority::parse);
        let left = exchange.deadline.saturating_duration_since(Instant::now());
        Ask {
            class: class_of(exchange.rule.class, priority.unwrap_or_default()),
            route: exchange.rule.index,
            deadline_ms: self.gate.now().plus(Millis::from_duration(left)),
        }
    }
}

fn problem(refused: &Refused) -> Problem {
    let detail = match refused.refusal {
        Refusal::DeadlineUnmeetable => "too busy to end before the deadline; retry later",
        Refusal::ExpiredInQueue => "no slot became free in time; retry later",
        Refusal::QueueFull => "too many requests wait; retry later",
        Refusal::Draining => "the instance is leaving; retry on a new connection",
    };
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail)
        .with_retry_after(refused.retry_after_ms)
}
