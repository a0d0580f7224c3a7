//! Slots and waiting: which request starts now, waits or is refused.
//!
//! Waiting is bounded by time, not by length: a request whose deadline can't be met by the
//! estimate is refused at once, and one that has waited too long is refused before it starts.
//! Short work goes first and long work leaves a reserve of slots for it.

mod estimate;
mod event;
mod running;
mod slot_use;

use bundle::RequestClass;
use units::Millis;

use crate::{
    concurrency::{ConcurrencyLimit, LoadSignal},
    running_time::RunningTimes,
    waiting::{Waiting, WaitingList},
};

pub use event::{Config, Counters, Decision, Event, Load, Refusal, RequestId};

use running::Running;
use slot_use::SlotUse;

/// Requests that may wait at once, a bound on memory only.
const WAITING_MAX: usize = 4096;

/// Routes with running times of their own; later ones share the last.
const ROUTES_MAX: usize = 64;

/// Shortest time without short work after which long work may borrow the reserve.
const BORROW_IDLE_MIN_MS: Millis = Millis::new(1000);

/// Longest time without short work after which long work may borrow the reserve.
const BORROW_IDLE_MAX_MS: Millis = Millis::new(30_000);

/// Times a typical long run without short work after which long work may borrow the reserve.
///
/// A short request that finds all slots borrowed waits for one long run to end. Such a run is
/// started only after this many times its length without short work, which bounds the share of
/// time in which it can happen.
const BORROW_IDLE_RUNS: u64 = 4;

/// Time between looks at the reserve while long work waits.
const RESERVE_LOOK_MS: Millis = Millis::new(100);

/// Time after the start of a drain in which waiting and arriving requests may still start.
const DRAIN_START_MS: Millis = Millis::new(2000);

/// The decisions of one endpoint.
///
/// After every event no request waits that could start.
#[derive(Debug)]
pub struct Admission {
    config: Config,
    concurrency: ConcurrencyLimit,
    /// Never more than the slots in force when the last of them started.
    running: Running,
    waiting_short: WaitingList,
    waiting_long: WaitingList,
    /// By route, at most [`ROUTES_MAX`].
    routes: Vec<RunningTimes>,
    /// Over all requests that came as short and as long.
    short_times: RunningTimes,
    long_times: RunningTimes,
    last_short_ms: Millis,
    short_use: SlotUse,
    drain_began_ms: Option<Millis>,
    /// The latest moment seen; time never goes back.
    now_ms: Millis,
    counters: Counters,
}

impl Admission {
    /// Starts with an idle upstream at `now_ms`.
    #[must_use]
    pub fn new(now_ms: Millis, config: Config) -> Self {
        Self {
            config,
            concurrency: ConcurrencyLimit::new(now_ms, config.slots, config.cold_start_ramp_ms),
            running: Running::default(),
            waiting_short: WaitingList::default(),
            waiting_long: WaitingList::default(),
            routes: Vec::new(),
            short_times: RunningTimes::new(),
            long_times: RunningTimes::new(),
            last_short_ms: now_ms,
            short_use: SlotUse::starting_at(now_ms),
            drain_began_ms: None,
            now_ms,
            counters: Counters::default(),
        }
    }

    /// Takes in an event and appends the decisions that follow from it.
    ///
    /// A moment before an earlier one counts as that one.
    ///
    /// # Panics
    ///
    /// Panics if an arriving request is already known or a finished one was not started.
    pub fn handle(&mut self, now_ms: Millis, event: Event, decisions: &mut Vec<Decision>) {
        self.now_ms = self.now_ms.max(now_ms);
        self.short_use.advance(self.now_ms, self.running.short());
        self.counters.demoted += self.demote_stragglers();
        self.refuse_late(decisions);
        match event {
            Event::Arrived {
                id,
                class,
                route,
                deadline_ms,
            } => {
                self.arrive(id, class, route, deadline_ms, decisions);
            }
            Event::Finished { id, signal } => self.finish(id, signal),
            Event::Withdrawn { id } => self.withdraw(id, decisions),
            Event::Tick => {}
            Event::DrainBegan => {
                self.drain_began_ms.get_or_insert(self.now_ms);
            }
            Event::DrainEnded => self.drain_began_ms = None,
            Event::ConfigChanged(config) => self.reconfigure(config),
        }
        self.start_waiting(decisions);
        self.check();
    }

    /// Returns when the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_tick_ms(&self) -> Option<Millis> {
        if self.waiting() == 0 {
            return None;
        }
        let drain = self.drain_began_ms.map(|at| at.plus(DRAIN_START_MS));
        let borrow = (!self.waiting_long.is_empty()).then(|| self.borrow_from_ms());
        let ramp = self.concurrency.next_change_ms(self.now_ms);
        [
            self.waiting_short.next_late_ms(),
            self.waiting_long.next_late_ms(),
            self.next_demotion_ms(),
            drain,
            borrow,
            ramp,
            self.next_reserve_ms(),
        ]
        .into_iter()
        .flatten()
        .filter(|at| *at > self.now_ms)
        .min()
    }

    /// Returns the load at the last event.
    #[must_use]
    pub fn load(&self) -> Load {
        let waiting = u32::try_from(self.waiting()).unwrap_or(u32::MAX);
        Load {
            limit: self.limit(),
            running: self.running.len(),
            waiting,
            free_short: self.free_slots(RequestClass::Short),
            free_long: self.free_slots(RequestClass::Long),
        }
    }

    /// Returns the counts since the start.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns whether nothing runs and nothing waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.len() == 0 && self.waiting() == 0
    }

    fn arrive(
        &mut self,
        id: RequestId,
        class: RequestClass,
        route: u16,
        deadline_ms: Millis,
        decisions: &mut Vec<Decision>,
    ) {
        assert!(
            !self.running.contains(id),
            "request {id} arrives while it runs"
        );
        let class = self.observed_class(class, route);
        if class == RequestClass::Short {
            self.last_short_ms = self.now_ms;
        }
        let latest_start_ms = self.latest_start_ms(route, class, deadline_ms);
        if let Some(refusal) = self.refusal_on_arrival(class, deadline_ms, latest_start_ms) {
            self.refuse(id, class, refusal, decisions);
            return;
        }
        self.list(class).insert(Waiting {
            id,
            route,
            deadline_ms,
            latest_start_ms,
        });
        self.start_waiting(decisions);
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
        if self.is_drained() {
            return Some(Refusal::Draining);
        }
        if self.waiting() >= WAITING_MAX {
            return Some(Refusal::QueueFull);
        }
        let start_ms = self.now_ms.plus(self.expected_wait_ms(class, deadline_ms));
        (start_ms > latest_start_ms).then_some(Refusal::DeadlineUnmeetable)
    }

    fn finish(&mut self, id: RequestId, signal: LoadSignal) {
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

    fn withdraw(&mut self, id: RequestId, decisions: &mut Vec<Decision>) {
        let short = self.waiting_short.remove(id);
        let long = self.waiting_long.remove(id);
        if short.or(long).is_some() {
            decisions.push(Decision::Forget(id));
        }
    }

    fn reconfigure(&mut self, config: Config) {
        if config.slots != self.config.slots {
            self.concurrency.resize(config.slots);
        }
        self.config = config;
    }

    /// Starts what fits: all short work first, then long work up to its share.
    fn start_waiting(&mut self, decisions: &mut Vec<Decision>) {
        for class in [RequestClass::Short, RequestClass::Long] {
            for _slot in 0..self.free_slots(class) {
                let Some(next) = self.list(class).pop() else {
                    break;
                };
                self.running.insert(next.id, class, next.route, self.now_ms);
                self.counters.started += 1;
                decisions.push(Decision::Start(next.id));
            }
        }
    }

    /// Returns how many requests of a class may start now.
    fn free_slots(&self, class: RequestClass) -> u32 {
        if self.is_drained() {
            return 0;
        }
        let free = self.limit().saturating_sub(self.running.len());
        match class {
            RequestClass::Short => free,
            RequestClass::Long => free.min(self.long_cap().saturating_sub(self.running.long())),
        }
    }

    /// Returns how many slots long work may hold.
    fn long_cap(&self) -> u32 {
        let limit = self.limit();
        if self.may_borrow() {
            return limit;
        }
        limit.saturating_sub(self.reserve()).max(1)
    }

    /// Returns how many slots long work leaves free: those set aside, or as many as short work
    /// held lately.
    fn reserve(&self) -> u32 {
        self.reserve_min().max(self.short_use.slots())
    }

    fn reserve_min(&self) -> u32 {
        (self.limit() * u32::from(self.config.short_reserve_percent)).div_ceil(100)
    }

    /// Returns when to look whether long work may hold more slots, as short work holds fewer.
    fn next_reserve_ms(&self) -> Option<Millis> {
        let may_fall = !self.waiting_long.is_empty() && self.reserve() > self.reserve_min();
        may_fall.then(|| self.now_ms.plus(RESERVE_LOOK_MS))
    }

    /// Returns whether there has been no short work for so long that long work may hold all slots.
    fn may_borrow(&self) -> bool {
        let is_short_idle = self.running.short() == 0 && self.waiting_short.is_empty();
        is_short_idle && self.now_ms >= self.borrow_from_ms()
    }

    fn borrow_from_ms(&self) -> Millis {
        let run_ms = self
            .long_times
            .quantile_ms(500)
            .unwrap_or(BORROW_IDLE_MAX_MS);
        let idle_ms = Millis::new(run_ms.get().saturating_mul(BORROW_IDLE_RUNS))
            .clamp(BORROW_IDLE_MIN_MS, BORROW_IDLE_MAX_MS);
        self.last_short_ms.plus(idle_ms)
    }

    fn refuse_late(&mut self, decisions: &mut Vec<Decision>) {
        let now_ms = self.now_ms;
        for class in [RequestClass::Short, RequestClass::Long] {
            for late in self.list(class).take_late(now_ms) {
                self.refuse(late.id, class, Refusal::ExpiredInQueue, decisions);
            }
            if self.is_drained() {
                for left in self.list(class).take_all() {
                    self.refuse(left.id, class, Refusal::Draining, decisions);
                }
            }
        }
    }

    fn refuse(
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

    /// Returns whether the endpoint leaves and nothing may start any more.
    fn is_drained(&self) -> bool {
        self.drain_began_ms
            .is_some_and(|at| self.now_ms >= at.plus(DRAIN_START_MS))
    }

    fn limit(&self) -> u32 {
        self.concurrency.limit(self.now_ms)
    }

    const fn waiting(&self) -> usize {
        self.waiting_short.len() + self.waiting_long.len()
    }

    const fn list(&mut self, class: RequestClass) -> &mut WaitingList {
        match class {
            RequestClass::Short => &mut self.waiting_short,
            RequestClass::Long => &mut self.waiting_long,
        }
    }

    /// Asserts what must hold after every event.
    fn check(&self) {
        assert!(
            self.waiting() <= WAITING_MAX,
            "waiting requests are bounded"
        );
        let short_left = !self.waiting_short.is_empty() && self.free_slots(RequestClass::Short) > 0;
        let long_left = !self.waiting_long.is_empty() && self.free_slots(RequestClass::Long) > 0;
        assert!(
            !short_left && !long_left,
            "no request waits that could start"
        );
    }
}
