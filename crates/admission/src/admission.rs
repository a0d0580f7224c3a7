//! Admission control: decides whether a request starts now, waits for a slot or is refused.
//!
//! The queues are bounded by time rather than by length: a request that is not expected to meet its
//! deadline is refused on arrival, and a request that waited too long is refused before it starts.
//! Short work has priority, and long work leaves a reserve of slots free for it.

mod estimate;
mod event;
mod running;
mod slot_use;

use bundle::RequestClass;
use units::Millis;

use crate::{
    concurrency::{ConcurrencyLimit, LoadSignal},
    running_time::RunningTimes,
    waiting::{Waiting, WaitingQueue},
};

pub use event::{Config, Counters, Decision, Event, Load, Refusal, RequestId};

use running::Running;
use slot_use::MeanSlotUse;

/// Largest number of requests that wait for a slot; only bounds memory.
const WAITING_MAX: usize = 4096;

/// Largest number of running-time histograms of routes; higher route indexes share the last.
const ROUTES_MAX: usize = 64;

/// Lower bound of the time without short work before long work may use the slots reserved for short
/// work.
const BORROW_IDLE_MIN_MS: Millis = Millis::new(1000);

/// Upper bound of the time without short work before long work may use the slots reserved for short
/// work.
const BORROW_IDLE_MAX_MS: Millis = Millis::new(30_000);

/// Time without short work before long work may use the slots reserved for short work, as a
/// multiple of the median running time of long work.
///
/// A short request that arrives while all slots are borrowed waits until a long run ends. Requiring
/// an idle time of several such runs bounds the share of time in which that can happen.
const BORROW_IDLE_MEDIANS: u64 = 4;

/// Interval at which the slots reserved for short work are recomputed while long work waits.
const RESERVE_RECHECK_MS: Millis = Millis::new(100);

/// Time after the start of a drain during which waiting and arriving requests may still start.
const DRAIN_START_GRACE_MS: Millis = Millis::new(2000);

/// Admission control of one endpoint.
///
/// After every event, no request waits that could start.
#[derive(Debug)]
pub struct Admission {
    config: Config,
    concurrency: ConcurrencyLimit,
    /// Running requests. No start raises their number above the concurrency limit of that time.
    running: Running,
    waiting_short: WaitingQueue,
    waiting_long: WaitingQueue,
    /// Histograms of running times by route index; at most [`ROUTES_MAX`] entries.
    routes: Vec<RunningTimes>,
    /// Running times of all requests that were admitted as short.
    short_times: RunningTimes,
    /// Running times of all requests that were admitted as long.
    long_times: RunningTimes,
    /// Time at which the last short request arrived.
    last_short_ms: Millis,
    short_slot_use: MeanSlotUse,
    drain_began_ms: Option<Millis>,
    /// The latest time passed to [`Self::handle_event`]; never decreases.
    now_ms: Millis,
    counters: Counters,
}

impl Admission {
    /// Creates the state of an idle upstream at `now_ms`.
    #[must_use]
    pub fn new(now_ms: Millis, config: Config) -> Self {
        Self {
            config,
            concurrency: ConcurrencyLimit::new(now_ms, config.slots, config.cold_start_ramp_ms),
            running: Running::default(),
            waiting_short: WaitingQueue::default(),
            waiting_long: WaitingQueue::default(),
            routes: Vec::new(),
            short_times: RunningTimes::new(),
            long_times: RunningTimes::new(),
            last_short_ms: now_ms,
            short_slot_use: MeanSlotUse::new(now_ms),
            drain_began_ms: None,
            now_ms,
            counters: Counters::default(),
        }
    }

    /// Processes an event of a request or of the endpoint and appends the resulting decisions.
    ///
    /// If `now_ms` is before the time of an earlier event, the earlier event's time is used.
    ///
    /// # Panics
    ///
    /// Panics if an arriving request is already running or a finished request was not started.
    pub fn handle_event(&mut self, now_ms: Millis, event: Event, decisions: &mut Vec<Decision>) {
        self.now_ms = self.now_ms.max(now_ms);
        self.short_slot_use
            .update_mean(self.now_ms, self.running.short_len());
        self.counters.demoted += self.demote_stragglers();
        self.refuse_late_requests(decisions);
        match event {
            Event::Arrived {
                id,
                class,
                route,
                deadline_ms,
            } => {
                self.handle_arrived(id, class, route, deadline_ms, decisions);
            }
            Event::Finished { id, signal } => self.handle_finished(id, signal),
            Event::Withdrawn { id } => self.handle_withdrawn(id, decisions),
            Event::Tick => {}
            Event::DrainBegan => {
                self.drain_began_ms.get_or_insert(self.now_ms);
            }
            Event::DrainEnded => self.drain_began_ms = None,
            Event::ConfigChanged(config) => self.reconfigure(config),
        }
        self.start_waiting_requests(decisions);
        self.check_invariants();
    }

    /// Returns when the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_tick_ms(&self) -> Option<Millis> {
        if self.waiting_len() == 0 {
            return None;
        }
        let drain = self.drain_began_ms.map(|at| at.plus(DRAIN_START_GRACE_MS));
        let borrow = (!self.waiting_long.is_empty()).then(|| self.borrowing_starts_ms());
        let ramp = self.concurrency.next_change_ms(self.now_ms);
        [
            self.waiting_short.next_late_ms(),
            self.waiting_long.next_late_ms(),
            self.next_demotion_ms(),
            drain,
            borrow,
            ramp,
            self.next_reserve_check_ms(),
        ]
        .into_iter()
        .flatten()
        .filter(|at| *at > self.now_ms)
        .min()
    }

    /// Returns the load of the endpoint as of the last event.
    #[must_use]
    pub fn load(&self) -> Load {
        let waiting = u32::try_from(self.waiting_len()).unwrap_or(u32::MAX);
        Load {
            limit: self.concurrency_limit(),
            running: self.running.len(),
            waiting,
            free_short: self.free_slots(RequestClass::Short),
            free_long: self.free_slots(RequestClass::Long),
        }
    }

    /// Returns the counters of admission control since the start of the process.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns whether no request runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.len() == 0 && self.waiting_len() == 0
    }

    fn handle_arrived(
        &mut self,
        id: RequestId,
        class: RequestClass,
        route: u16,
        deadline_ms: Millis,
        decisions: &mut Vec<Decision>,
    ) {
        assert!(
            !self.running.contains(id),
            "request {id} arrived again while it is running"
        );
        let class = self.observed_class(class, route);
        if class == RequestClass::Short {
            self.last_short_ms = self.now_ms;
        }
        let latest_start_ms = self.latest_start_ms(route, class, deadline_ms);
        if let Some(refusal) = self.refusal_on_arrival(class, deadline_ms, latest_start_ms) {
            self.refuse_request(id, class, refusal, decisions);
            return;
        }
        self.queue_of_class(class).insert(Waiting {
            id,
            route,
            deadline_ms,
            latest_start_ms,
        });
        self.start_waiting_requests(decisions);
        if !self.running.contains(id) {
            decisions.push(Decision::Wait(id));
        }
    }

    fn refusal_on_arrival(
        &self,
        class: RequestClass,
        deadline_ms: Millis,
        latest_start_ms: Millis,
    ) -> Option<Refusal> {
        if self.has_drain_start_grace_ended() {
            return Some(Refusal::Draining);
        }
        if self.waiting_len() >= WAITING_MAX {
            return Some(Refusal::QueueFull);
        }
        let start_ms = self.now_ms.plus(self.expected_wait_ms(class, deadline_ms));
        (start_ms > latest_start_ms).then_some(Refusal::DeadlineUnmeetable)
    }

    fn handle_finished(&mut self, id: RequestId, signal: LoadSignal) {
        let run = self.running.remove(id);
        let running_ms = self.now_ms.since(run.started_ms);
        match signal {
            LoadSignal::Answered => self.record_run(run, running_ms),
            LoadSignal::Shed => self.counters.shed += 1,
            LoadSignal::Cancelled => {}
        }
        self.concurrency
            .record_signal(self.now_ms, run.started_ms, signal);
    }

    fn handle_withdrawn(&mut self, id: RequestId, decisions: &mut Vec<Decision>) {
        let short = self.waiting_short.remove(id);
        let long = self.waiting_long.remove(id);
        if short.or(long).is_some() {
            decisions.push(Decision::Forget(id));
        }
    }

    fn reconfigure(&mut self, config: Config) {
        if config.slots != self.config.slots {
            self.concurrency.set_slots(config.slots);
        }
        self.config = config;
    }

    /// Starts waiting requests while slots are free: all short work first, then long work while it
    /// may hold more slots.
    fn start_waiting_requests(&mut self, decisions: &mut Vec<Decision>) {
        for class in [RequestClass::Short, RequestClass::Long] {
            for _slot in 0..self.free_slots(class) {
                let Some(next) = self.queue_of_class(class).pop() else {
                    break;
                };
                self.running.insert(next.id, class, next.route, self.now_ms);
                self.counters.started += 1;
                decisions.push(Decision::Start(next.id));
            }
        }
    }

    /// Returns how many more requests of a class may start now.
    fn free_slots(&self, class: RequestClass) -> u32 {
        if self.has_drain_start_grace_ended() {
            return 0;
        }
        let free = self.concurrency_limit().saturating_sub(self.running.len());
        match class {
            RequestClass::Short => free,
            RequestClass::Long => free.min(
                self.long_slots_max()
                    .saturating_sub(self.running.long_len()),
            ),
        }
    }

    /// Returns how many slots long work may hold in total.
    fn long_slots_max(&self) -> u32 {
        let limit = self.concurrency_limit();
        if self.may_borrow_reserve() {
            return limit;
        }
        limit.saturating_sub(self.reserved_slots()).max(1)
    }

    /// Returns how many slots long work leaves free for short work: the configured reserve or the
    /// recent mean number of slots held by short work, whichever is larger.
    fn reserved_slots(&self) -> u32 {
        self.configured_reserve_slots()
            .max(self.short_slot_use.mean_rounded_up())
    }

    /// Returns the configured number of slots reserved for short work, rounded up.
    fn configured_reserve_slots(&self) -> u32 {
        (self.concurrency_limit() * u32::from(self.config.short_reserve_percent)).div_ceil(100)
    }

    /// Returns when to recompute the slots reserved for short work, which shrink as short work
    /// holds fewer slots; `None` if they can't shrink or no long work waits.
    fn next_reserve_check_ms(&self) -> Option<Millis> {
        let may_fall = !self.waiting_long.is_empty()
            && self.reserved_slots() > self.configured_reserve_slots();
        may_fall.then(|| self.now_ms.plus(RESERVE_RECHECK_MS))
    }

    /// Returns whether short work has been absent for long enough that long work may hold all
    /// slots.
    fn may_borrow_reserve(&self) -> bool {
        let is_short_idle = self.running.short_len() == 0 && self.waiting_short.is_empty();
        is_short_idle && self.now_ms >= self.borrowing_starts_ms()
    }

    /// Returns when long work may borrow the slots reserved for short work, if no short request
    /// arrives before.
    fn borrowing_starts_ms(&self) -> Millis {
        let run_ms = self
            .long_times
            .quantile_ms(500)
            .unwrap_or(BORROW_IDLE_MAX_MS);
        let idle_ms = Millis::new(run_ms.get().saturating_mul(BORROW_IDLE_MEDIANS))
            .clamp(BORROW_IDLE_MIN_MS, BORROW_IDLE_MAX_MS);
        self.last_short_ms.plus(idle_ms)
    }

    /// Refuses waiting requests whose latest start time has passed, and all waiting requests once a
    /// drain allows no more starts.
    fn refuse_late_requests(&mut self, decisions: &mut Vec<Decision>) {
        let now_ms = self.now_ms;
        for class in [RequestClass::Short, RequestClass::Long] {
            for late in self.queue_of_class(class).remove_late(now_ms) {
                self.refuse_request(late.id, class, Refusal::ExpiredInQueue, decisions);
            }
            if self.has_drain_start_grace_ended() {
                for left in self.queue_of_class(class).remove_all() {
                    self.refuse_request(left.id, class, Refusal::Draining, decisions);
                }
            }
        }
    }

    fn refuse_request(
        &mut self,
        id: RequestId,
        class: RequestClass,
        refusal: Refusal,
        decisions: &mut Vec<Decision>,
    ) {
        let counter = match refusal {
            Refusal::DeadlineUnmeetable => &mut self.counters.refused_unmeetable,
            Refusal::ExpiredInQueue => &mut self.counters.refused_waited,
            Refusal::QueueFull => &mut self.counters.refused_queue_full,
            Refusal::Draining => &mut self.counters.refused_draining,
        };
        *counter += 1;
        let retry_after_ms = self.retry_after_ms(class, refusal);
        decisions.push(Decision::Refuse {
            id,
            refusal,
            retry_after_ms,
        });
    }

    /// Returns whether the endpoint has been draining for so long that no request may start any
    /// more.
    fn has_drain_start_grace_ended(&self) -> bool {
        self.drain_began_ms
            .is_some_and(|at| self.now_ms >= at.plus(DRAIN_START_GRACE_MS))
    }

    fn concurrency_limit(&self) -> u32 {
        self.concurrency.limit(self.now_ms)
    }

    const fn waiting_len(&self) -> usize {
        self.waiting_short.len() + self.waiting_long.len()
    }

    const fn queue_of_class(&mut self, class: RequestClass) -> &mut WaitingQueue {
        match class {
            RequestClass::Short => &mut self.waiting_short,
            RequestClass::Long => &mut self.waiting_long,
        }
    }

    /// Asserts the invariants that hold after every event.
    fn check_invariants(&self) {
        assert!(
            self.waiting_len() <= WAITING_MAX,
            "the number of waiting requests must be bounded"
        );
        let short_left = !self.waiting_short.is_empty() && self.free_slots(RequestClass::Short) > 0;
        let long_left = !self.waiting_long.is_empty() && self.free_slots(RequestClass::Long) > 0;
        assert!(
            !short_left && !long_left,
            "a request that could start must not wait"
        );
    }
}
