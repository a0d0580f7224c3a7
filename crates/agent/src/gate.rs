//! Gate in front of the upstream: drives the admission core, and queues requests until the core
//! grants them a slot or refuses them.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use admission::{Admission, Config, Decision, Event, Load, LoadSignal, Refusal, RequestId};
use bundle::RequestClass;
use tokio::sync::{Notify, oneshot};
use units::{Millis, Slots};

use crate::tunnel::LoadCell;

/// Delay between the cancellation of a run and the release of its slot, in which the cancellation
/// reaches the upstream.
const CANCEL_PROPAGATION_TIME: Duration = Duration::from_millis(10);

/// Admission gate for the queued and running requests of one endpoint.
#[derive(Debug)]
pub struct Gate {
    inner: Mutex<Inner>,
    /// Notified when the time of the next tick may have changed.
    tick_rescheduled: Notify,
    started: Instant,
    load: Arc<LoadCell>,
}

#[derive(Debug)]
struct Inner {
    core: Admission,
    next_id: u64,
    /// Queued requests without a decision, sorted by id.
    waiting: Vec<Waiter>,
    decisions: Vec<Decision>,
    slots: Slots,
}

#[derive(Debug)]
struct Waiter {
    id: RequestId,
    verdict_tx: oneshot::Sender<Verdict>,
}

#[derive(Debug, Clone, Copy)]
enum Verdict {
    Start,
    Refuse(SlotRefusal),
}

/// Refusal of a slot: the request did not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRefusal {
    /// Reason of the refusal.
    pub refusal: Refusal,
    /// Time after which a retry is more likely to succeed.
    pub retry_after_ms: Millis,
}

/// Parameters by which a request acquires a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequest {
    /// Class of the request by its route rule and priority.
    pub class: RequestClass,
    /// Index of the request's route rule in the bundle.
    pub route: u16,
    /// Time by which the response must be complete, on the gate's clock.
    pub deadline_ms: Millis,
}

impl Gate {
    /// Creates a gate for an idle upstream.
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
            tick_rescheduled: Notify::new(),
            started: Instant::now(),
            load,
        }
    }

    /// Returns the time since the gate was created.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from_duration(self.started.elapsed())
    }

    /// Returns the endpoint's load as of the admission core's last event.
    #[must_use]
    pub fn load(&self) -> Load {
        self.lock().core.load()
    }

    /// Returns the counters of the admission core.
    #[must_use]
    pub fn counters(&self) -> admission::Counters {
        self.lock().core.counters()
    }

    /// Waits until the request gets an upstream slot or is refused.
    ///
    /// Dropping the future takes the request out of the queue, or returns a slot that was just
    /// granted.
    ///
    /// # Errors
    ///
    /// Fails if the request was refused; a refused request never holds a slot.
    ///
    /// # Panics
    ///
    /// Panics if the admission core drops a queued request without a decision, which is a bug.
    pub async fn acquire(self: &Arc<Self>, request: SlotRequest) -> Result<Slot, SlotRefusal> {
        let mut pending = self.enqueue_request(request);
        let verdict = (&mut pending.verdict_rx).await;
        pending.is_delivered = true;
        match verdict.expect("the admission core decides on every request") {
            Verdict::Start => Ok(Slot {
                gate: Arc::clone(self),
                id: pending.id,
                signal: LoadSignal::Cancelled,
            }),
            Verdict::Refuse(refusal) => Err(refusal),
        }
    }

    /// Starts to drain the gate: queued requests are started or refused within a time limit.
    pub fn begin_drain(&self) {
        self.handle_event(Event::DrainBegan);
    }

    /// Ends the drain of the gate: new requests are admitted again.
    pub fn end_drain(&self) {
        self.handle_event(Event::DrainEnded);
    }

    /// Applies the admission settings of the endpoint in a new bundle.
    pub fn reconfigure(&self, config: Config) {
        self.lock().slots = config.slots;
        self.handle_event(Event::ConfigChanged(config));
    }

    /// Runs the timer that ticks the admission core; never returns.
    pub async fn run_tick_timer(&self) {
        loop {
            let next = self.lock().core.next_tick_ms();
            let tick_rescheduled = self.tick_rescheduled.notified();
            let Some(at) = next else {
                tick_rescheduled.await;
                continue;
            };
            let wait = at
                .since(self.now())
                .to_duration()
                .max(Duration::from_millis(1));
            if tokio::time::timeout(wait, tick_rescheduled).await.is_err() {
                self.handle_event(Event::Tick);
            }
        }
    }

    /// Acquires an upstream slot without waiting; returns `None` if none is free for the request.
    #[must_use]
    pub fn try_acquire(self: &Arc<Self>, request: SlotRequest) -> Option<Slot> {
        let mut pending = self.enqueue_request(request);
        let Ok(Verdict::Start) = pending.verdict_rx.try_recv() else {
            return None;
        };
        pending.is_delivered = true;
        Some(Slot {
            gate: Arc::clone(self),
            id: pending.id,
            signal: LoadSignal::Cancelled,
        })
    }

    /// Queues a request at the admission core, which may decide on it at once.
    fn enqueue_request(self: &Arc<Self>, request: SlotRequest) -> PendingSlot {
        let (verdict_tx, verdict_rx) = oneshot::channel();
        let mut inner = self.lock();
        let id = RequestId::new(inner.next_id);
        inner.next_id += 1;
        inner.waiting.push(Waiter { id, verdict_tx });
        let arrival = Event::Arrived {
            id,
            class: request.class,
            route: request.route,
            deadline_ms: request.deadline_ms,
        };
        self.handle_event_locked(&mut inner, arrival);
        PendingSlot {
            gate: Arc::clone(self),
            id,
            verdict_rx,
            is_delivered: false,
        }
    }

    /// Passes an event to the admission core and carries out its decisions.
    fn handle_event(&self, event: Event) {
        self.handle_event_locked(&mut self.lock(), event);
    }

    fn handle_event_locked(&self, inner: &mut Inner, event: Event) {
        let now = self.now();
        inner.core.handle_event(now, event, &mut inner.decisions);
        for decision in inner.decisions.drain(..) {
            deliver_decision(&mut inner.waiting, decision);
        }
        let load = inner.core.load();
        let busy = u16::try_from(load.running + load.waiting).unwrap_or(u16::MAX);
        self.load.set_slots(Slots::new(busy), inner.slots);
        self.tick_rescheduled.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends a decision of the admission core to the queued request concerned.
fn deliver_decision(waiting: &mut Vec<Waiter>, decision: Decision) {
    let (id, verdict) = match decision {
        Decision::Start(id) => (id, Verdict::Start),
        Decision::Refuse {
            id,
            refusal,
            retry_after_ms,
        } => {
            let slot_refusal = SlotRefusal {
                refusal,
                retry_after_ms,
            };
            (id, Verdict::Refuse(slot_refusal))
        }
        Decision::Wait(_) | Decision::Forget(_) => return,
    };
    let idx = waiting
        .binary_search_by_key(&id, |it| it.id)
        .expect("the admission core decides only on queued requests");
    // If the request is being cancelled, dropping its `PendingSlot` returns the slot.
    let _ = waiting.remove(idx).verdict_tx.send(verdict);
}

/// A request whose verdict the gate has not delivered yet; dropping it withdraws the request.
#[derive(Debug)]
struct PendingSlot {
    gate: Arc<Gate>,
    id: RequestId,
    verdict_rx: oneshot::Receiver<Verdict>,
    is_delivered: bool,
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        if self.is_delivered {
            return;
        }
        let mut inner = self.gate.lock();
        if let Ok(idx) = inner.waiting.binary_search_by_key(&self.id, |it| it.id) {
            inner.waiting.remove(idx);
            self.gate
                .handle_event_locked(&mut inner, Event::Withdrawn { id: self.id });
            return;
        }
        // The verdict was sent but not received: a granted slot is returned unused.
        if let Ok(Verdict::Start) = self.verdict_rx.try_recv() {
            let event = Event::Finished {
                id: self.id,
                signal: LoadSignal::Cancelled,
            };
            self.gate.handle_event_locked(&mut inner, event);
        }
    }
}

/// A slot of the upstream, released when dropped.
#[derive(Debug)]
pub struct Slot {
    gate: Arc<Gate>,
    id: RequestId,
    signal: LoadSignal,
}

impl Slot {
    /// Records the load signal in the upstream's response.
    ///
    /// A run without a load signal counts as cancelled.
    pub fn set_load_signal(&mut self, signal: LoadSignal) {
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
            self.gate.handle_event(event);
            return;
        };
        // The upstream is still busy with the request until the cancellation reaches it.
        let gate = Arc::clone(&self.gate);
        runtime.spawn(async move {
            tokio::time::sleep(CANCEL_PROPAGATION_TIME).await;
            gate.handle_event(event);
        });
    }
}
