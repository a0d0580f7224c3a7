//! Paces the openings that the agent delivers to a cold endpoint.
//!
//! An endpoint that has just started bears less than a warm one for some seconds. Answers the rush on
//! endpoints that were replaced, added or crashed, or whose zone is back after an outage or was taken
//! back into use. Every opening of an endpoint passes its agent, so the pace holds over all
//! balancers.
//!
//! Invariant: where the operator states a rate, no sliding second in which the endpoint is known to be
//! cold has more deliveries than the rate, or half more just after a start of the agent.

use std::collections::VecDeque;

use units::{Millis, PerSecond, Slots};

use super::held_flows::AnsweredRequest;

/// The span over which deliveries are counted.
const WINDOW_MS: Millis = Millis::new(1_000);

/// Maximum number of deliveries that are remembered. A cold endpoint gets no more in a second.
const DELIVERIES_MAX: usize = 4_096;

/// Deliveries a second before any balancer has told the agent about its endpoint.
///
/// The number is the excess that a cold endpoint bears at any rate.
const UNTOLD_OPENINGS_MAX: usize = 5;

/// Time after the start within which a balancer tells the agent about its endpoint: one and a half
/// notice intervals.
const UNTOLD_MS: Millis = Millis::new(1_500);

/// Time within which a balancer tells that the endpoint restarted, or that it became cold while its
/// zone was out of use: a heartbeat, the catalog's way and a notice interval.
const SUSPICION_MS: Millis = Millis::new(2_000);

/// Excess over the running time from which a stated time can't be an old one that came late.
const RENEWAL_MIN_MS: Millis = Millis::new(1_000);

/// Deliveries for each slot until the first request was measured: one that runs and one that waits.
const UNMEASURED_PER_SLOT: usize = 2;

/// Minimum work of a request in microseconds, since the clock has a resolution of a millisecond.
const WORK_MIN_US: u64 = 500;

/// What the balancers' notices state about the endpoint's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StatedStart {
    /// Start time of the endpoint's process.
    pub(crate) born_ms: u64,
    /// Time for which the endpoint stayed cold when it said so.
    pub(crate) cold_left: Millis,
    /// Openings a second that the endpoint bears while it is cold; zero if no rate is stated.
    pub(crate) rate: PerSecond,
}

/// A change between cold and warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Warmth {
    Warm,
    Cold {
        left: Millis,
        /// Openings a second.
        rate: u32,
        is_learned: bool,
    },
}

/// Decides how many openings a cold endpoint gets.
#[derive(Debug, Default)]
pub(crate) struct ColdStartPacer {
    /// Time of the agent's first decision.
    started_at: Option<Millis>,
    stated: Option<StatedStart>,
    cold_until: Millis,
    /// Time until which the endpoint may be cold without having said so.
    suspected_until: Millis,
    /// Times of the deliveries of the last `WINDOW_MS`, oldest first.
    deliveries: VecDeque<Millis>,
    /// Mean time for which a request occupies a slot, measured since the endpoint became cold.
    work_us: Option<u64>,
    /// Time since which `work_us` is measured.
    measured_from: Millis,
    was_cold: bool,
}

impl ColdStartPacer {
    /// Adopts what a balancer states about the endpoint's start.
    ///
    /// The agent's clock starts when it hears of a start, so news that are late only lengthen the
    /// time. A statement that is repeated changes nothing.
    pub(crate) fn on_stated_start(&mut self, now: Millis, stated: StatedStart) {
        self.started_at.get_or_insert(now);
        let until = now.plus(stated.cold_left);
        let known = self.stated.replace(stated);
        let Some(known) = known.filter(|it| it.born_ms == stated.born_ms) else {
            self.suspected_until = Millis::default();
            return self.begin_cold_time(now, until);
        };
        if known.cold_left == stated.cold_left {
            return;
        }
        let is_renewed = stated.cold_left > known.cold_left
            || until.since(self.cold_until.max(now)) > RENEWAL_MIN_MS;
        if is_renewed {
            self.begin_cold_time(now, until);
        } else {
            self.cold_until = self.cold_until.min(until);
        }
    }

    /// Takes the endpoint for cold until a balancer has told about its start: it restarted, or its
    /// zone was taken back into use.
    pub(crate) fn suspect_start(&mut self, now: Millis) {
        self.suspected_until = now.plus(SUSPICION_MS);
        self.restart_measurement(now);
    }

    /// Returns whether the endpoint may be given another opening now.
    pub(crate) fn may_deliver(&mut self, now: Millis, slots: Slots) -> bool {
        self.started_at.get_or_insert(now);
        self.forget_old_deliveries(now);
        let Some(limit) = self.limit(now, slots) else {
            return true;
        };
        // A learned rate says nothing about what the endpoint got before it was cold.
        let is_counted = |at: &Millis| self.stated_rate().is_some() || *at >= self.measured_from;
        self.deliveries.iter().filter(|it| is_counted(it)).count() < limit
    }

    /// Records that an opening is being delivered to the endpoint.
    pub(crate) fn record_delivery(&mut self, now: Millis) {
        self.forget_old_deliveries(now);
        if self.deliveries.len() == DELIVERIES_MAX {
            self.deliveries.pop_front();
        }
        self.deliveries.push_back(now);
    }

    /// Records a request that the endpoint answered.
    ///
    /// A request that found no free slot took longer than it occupied one, so it isn't measured.
    pub(crate) fn record_answer(&mut self, answered: AnsweredRequest, slots: Slots) {
        if answered.working > u32::from(slots.get().max(1)) {
            return;
        }
        let work = (answered.duration.get() * 1_000).max(WORK_MIN_US);
        self.work_us = Some(self.work_us.map_or(work, |it| (it * 7 + work) / 8));
    }

    /// Returns whether the endpoint became cold or warm since the last call.
    pub(crate) fn take_change(&mut self, now: Millis, slots: Slots) -> Option<Warmth> {
        let is_cold = self.is_cold(now);
        if std::mem::replace(&mut self.was_cold, is_cold) == is_cold {
            return None;
        }
        if !is_cold {
            return Some(Warmth::Warm);
        }
        let limit = self.limit(now, slots).unwrap_or_default();
        Some(Warmth::Cold {
            left: self.cold_until.max(self.suspected_until).since(now),
            rate: u32::try_from(limit).unwrap_or(u32::MAX),
            is_learned: self.stated_rate().is_none(),
        })
    }

    /// Returns how many openings the endpoint may be given in a second, or `None` if it is warm.
    fn limit(&self, now: Millis, slots: Slots) -> Option<usize> {
        let uptime = now.since(self.started_at.unwrap_or(now));
        if self.stated.is_none() && uptime <= UNTOLD_MS {
            return Some(UNTOLD_OPENINGS_MAX);
        }
        if !self.is_cold(now) {
            return None;
        }
        let Some(rate) = self.stated_rate() else {
            return Some(self.learned_rate(slots));
        };
        // What an agent before this one delivered in the same second is unknown.
        let limit = if uptime <= WINDOW_MS { rate / 2 } else { rate };
        Some(limit.clamp(1, DELIVERIES_MAX))
    }

    fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until.max(self.suspected_until)
    }

    fn stated_rate(&self) -> Option<usize> {
        let rate = self.stated.map_or(0, |it| it.rate.get());
        (rate > 0).then(|| usize::try_from(rate).unwrap_or(usize::MAX))
    }

    /// Returns the openings a second that the endpoint's slots bear by the measured work, and one that
    /// waits for each slot.
    fn learned_rate(&self, slots: Slots) -> usize {
        let slots = usize::from(slots.get().max(1));
        let Some(work_us) = self.work_us else {
            return slots * UNMEASURED_PER_SLOT;
        };
        let work_us = usize::try_from(work_us.max(WORK_MIN_US)).unwrap_or(usize::MAX);
        slots * 1_000_000 / work_us + slots
    }

    const fn begin_cold_time(&mut self, now: Millis, until: Millis) {
        self.cold_until = until;
        self.restart_measurement(now);
    }

    const fn restart_measurement(&mut self, now: Millis) {
        self.work_us = None;
        self.measured_from = now;
    }

    fn forget_old_deliveries(&mut self, now: Millis) {
        let is_old = |at: &Millis| now.since(*at) > WINDOW_MS;
        while self.deliveries.front().is_some_and(is_old) {
            self.deliveries.pop_front();
        }
    }
}
