//! Filter that acquires an upstream slot, or refuses a request that can't meet its deadline.

use std::{sync::Arc, time::Instant};

use admission::{Priority, Refusal, class_of};
use http::StatusCode;
use units::Millis;

use super::{EarlyResponse, Exchange, Filter};
use crate::{
    gate::{Gate, Slot, SlotRefusal, SlotRequest},
    problem::Problem,
};

/// Acquires an upstream slot from the gate by request class and deadline.
#[derive(Debug)]
pub(crate) struct AcquireSlot {
    pub(crate) gate: Arc<Gate>,
}

impl Filter for AcquireSlot {
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), EarlyResponse> {
        let request = self.slot_request(exchange);
        let slot = self
            .gate
            .acquire(request)
            .await
            .map_err(|it| refusal_problem(&it))?;
        exchange.slot = Some(slot);
        Ok(())
    }
}

impl AcquireSlot {
    /// Acquires an upstream slot without waiting; returns `None` if none is free for the request.
    pub(crate) fn try_acquire(&self, exchange: &Exchange) -> Option<Slot> {
        self.gate.try_acquire(self.slot_request(exchange))
    }

    fn slot_request(&self, exchange: &Exchange) -> SlotRequest {
        let priority = exchange.header_text("priority").map(Priority::parse);
        let left = exchange.deadline.saturating_duration_since(Instant::now());
        SlotRequest {
            class: class_of(exchange.rule.class, priority.unwrap_or_default()),
            route: exchange.rule.index,
            deadline_ms: self.gate.now().plus(Millis::from_duration(left)),
        }
    }
}

fn refusal_problem(slot_refusal: &SlotRefusal) -> Problem {
    let detail = match slot_refusal.refusal {
        Refusal::DeadlineUnmeetable => "too busy to end before the deadline; retry later",
        Refusal::ExpiredInQueue => "no slot became free in time; retry later",
        Refusal::QueueFull => "too many requests wait; retry later",
        Refusal::Draining => "the instance is leaving; retry on a new connection",
    };
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail)
        .with_retry_after(slot_refusal.retry_after_ms)
}
