//! The admission decisions at work: each request waits here for its slot.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use admission::{Admission, Config, Decision, Event, Load, LoadSignal, Refusal, RequestId};
use bundle::RequestClass;
use tokio::sync::{Notify, oneshot};
use units::{Millis, Slots};

use crate::tunnel::LoadCell;

/// Time for a cancellation to reach the upstream beside the agent.
const CANCEL_SETTLES: Duration = Duration::from_millis(10);

/// Requests of one endpoint, waiting and running.
#[derive(Debug)]
pub struct Gate {
    inner: Mutex<Inner>,
    /// Signalled when the next tick may have come nearer.
    rescheduled: Notify,
    started: Instant,
    load: Arc<LoadCell>,
}

#[derive(Debug)]
struct Inner {
    core: Admission,
    next_id: u64,
    /// Requests that wait for a decision, sorted by id.
    waiting: Vec<Waiter>,
    decisions: Vec<Decision>,
    slots: Slots,
}

#[derive(Debug)]
struct Waiter {
    id: RequestId,
    verdict: oneshot::Sender<Verdict>,
}

#[derive(Debug, Clone, Copy)]
enum Verdict {
    Start,
    Refuse(Refused),
}

/// A request that did not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub refusal: Refusal,
    /// When a retry may fare better.
    pub retry_after_ms: Millis,
}

/// What a request asks of the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// Class after route rule and priority.
    pub class: RequestClass,
    /// Index of the route rule.
    pub route: u16,
    /// When the answer must have ended, on the gate's clock.
    pub deadline_ms: Millis,
}

impl Gate {
    /// Opens the gate to an idle upstream.
    #[must_use]
    pub fn new(config: Config, load: Arc<LoadCell>) -> Self {
        load.set_slots(Slots::new(0), config.slots);
        Self {
            inner: Mutex::new(Inner {
                core: Admission::new(Millis::new(0), config),
                next_id: 1,
                waiting: Vec::new(),
                decisions: Vec::new(),
                slots: config.slots,
            }),
            rescheduled: Notify::new(),
            started: Instant::now(),
            load,
        }
    }

    /// Returns the time since the gate was opened.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from_duration(self.started.elapsed())
    }

    /// Returns the load at the last event.
    #[must_use]
    pub fn load(&self) -> Load {
        self.lock().core.load()
    }

    /// Returns the core's counts.
    #[must_use]
    pub fn counters(&self) -> admission::Counters {
        self.lock().core.counters()
    }

    /// Waits for a slot; a future dropped early gives up the place or the slot.
    ///
    /// # Errors
    ///
    /// Fails if the request was refused; then it never holds a slot.
    ///
    /// # Panics
    ///
    /// Panics only on a bug: when the core forgets a request that waits.
    pub async fn enter(self: &Arc<Self>, ask: Ask) -> Result<Slot, Refused> {
        let mut place = self.take_place(ask);
        let verdict = (&mut place.decided).await;
        place.is_kept = true;
        match verdict.expect("every request is decided about") {
            Verdict::Start => Ok(Slot {
                gate: Arc::clone(self),
                id: place.id,
                signal: LoadSignal::Cancelled,
            }),
            Verdict::Refuse(refused) => Err(refused),
        }
    }

    /// Starts to leave: what waits is started or refused within a bound.
    pub fn begin_drain(&self) {
        self.handle(Event::DrainBegan);
    }

    /// Takes new work again.
    pub fn end_drain(&self) {
        self.handle(Event::DrainEnded);
    }

    /// Takes over what a new bundle says of the endpoint.
    pub fn reconfigure(&self, config: Config) {
        self.lock().slots = config.slots;
        self.handle(Event::ConfigChanged(config));
    }

    /// Drives the gate's clock; never returns.
    pub async fn tick(&self) {
        loop {
            let next = self.lock().core.next_tick_ms();
            let rescheduled = self.rescheduled.notified();
            let Some(at) = next else {
                rescheduled.await;
                continue;
            };
            let wait = at
                .since(self.now())
                .to_duration()
                .max(Duration::from_millis(1));
            if tokio::time::timeout(wait, rescheduled).await.is_err() {
                self.handle(Event::Tick);
            }
        }
    }

    /// Takes a slot if one is free for the request now.
    #[must_use]
    pub fn try_enter(self: &Arc<Self>, ask: Ask) -> Option<Slot> {
        let mut place = self.take_place(ask);
        let Ok(Verdict::Start) = place.decided.try_recv() else {
            return None;
        };
        place.is_kept = true;
        Some(Slot {
            gate: Arc::clone(self),
            id: place.id,
            signal: LoadSignal::Cancelled,
        })
    }

    fn take_place(self: &Arc<Self>, ask: Ask) -> Place {
        let (verdict, decided) = oneshot::channel();
        let mut inner = self.lock();
        let id = RequestId::new(inner.next_id);
        inner.next_id += 1;
        inner.waiting.push(Waiter { id, verdict });
        let arrival = Event::Arrived {
            id,
            class: ask.class,
            route: ask.route,
            deadline_ms: ask.deadline_ms,
        };
        self.handle_locked(&mut inner, arrival);
        Place {
            gate: Arc::clone(self),
            id,
            decided,
            is_kept: false,
        }
    }

    /// Feeds an event to the core and carries its decisions out.
    fn handle(&self, event: Event) {
        self.handle_locked(&mut self.lock(), event);
    }

    fn handle_locked(&self, inner: &mut Inner, event: Event) {
        let now = self.now();
        inner.core.handle(now, event, &mut inner.decisions);
        for decision in inner.decisions.drain(..) {
            settle(&mut inner.waiting, decision);
        }
        let load = inner.core.load();
        let busy = u16::try_from(load.running + load.waiting).unwrap_or(u16::MAX);
        self.load.set_slots(Slots::new(busy), inner.slots);
        self.rescheduled.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Hands a decision to the request that waits for it.
fn settle(waiting: &mut Vec<Waiter>, decision: Decision) {
    let (id, verdict) = match decision {
        Decision::Start(id) => (id, Verdict::Start),
        Decision::Refuse {
            id,
            refusal,
            retry_after_ms,
        } => {
            let refused = Refused {
                refusal,
                retry_after_ms,
            };
            (id, Verdict::Refuse(refused))
        }
        Decision::Wait(_) | Decision::Forget(_) => return,
    };
    let idx = waiting
        .binary_search_by_key(&id, |it| it.id)
        .expect("decisions are about waiting requests");
    // A request that was given up in this moment returns its slot when its place is dropped.
    let _ = waiting.remove(idx).verdict.send(verdict);
}

/// A place in the gate, given up when dropped before it is kept.
#[derive(Debug)]
struct Place {
    gate: Arc<Gate>,
    id: RequestId,
    decided: oneshot::Receiver<Verdict>,
    is_kept: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.is_kept {
            return;
        }
        let mut inner = self.gate.lock();
        if let Ok(idx) = inner.waiting.binary_search_by_key(&self.id, |it| it.id) {
            inner.waiting.remove(idx);
            self.gate
                .handle_locked(&mut inner, Event::Withdrawn { id: self.id });
            return;
        }
        // Decided in this moment; a slot that was granted goes back unused.
        if let Ok(Verdict::Start) = self.decided.try_recv() {
            let event = Event::Finished {
                id: self.id,
                signal: LoadSignal::Cancelled,
            };
            self.gate.handle_locked(&mut inner, event);
        }
    }
}

/// A slot of the upstream, free again when dropped.
#[derive(Debug)]
pub struct Slot {
    gate: Arc<Gate>,
    id: RequestId,
    signal: LoadSignal,
}

impl Slot {
    /// Notes what the upstream's answer says about its load; without it the run counts as cancelled.
    pub fn set_signal(&mut self, signal: LoadSignal) {
        self.signal = signal;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let event = Event::Finished {
            id: self.id,
            signal: self.signal,
        };
        let runtime = tokio::runtime::Handle::try_current();
        let (LoadSignal::Cancelled, Ok(runtime)) = (self.signal, runtime) else {
            self.gate.handle(event);
            return;
        };
        // The upstream frees its slot only once it hears of the cancellation.
        let gate = Arc::clone(&self.gate);
        runtime.spawn(async move {
            tokio::time::sleep(CANCEL_SETTLES).await;
            gate.handle(event);
        });
    }
}
