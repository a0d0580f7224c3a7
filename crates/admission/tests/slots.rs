//! Admission decides whether a request starts, waits or is refused.

use admission::{Admission, Config, Decision, Event, LoadSignal, Refusal, RequestId};
use bundle::RequestClass::{self, Long, Short};
use units::{Millis, Slots};

const FAR_DEADLINE_MS: u64 = 1_000_000;

/// Wraps [`Admission`] with a clock and short helper methods.
struct Endpoint {
    admission: Admission,
    now_ms: u64,
}

impl Endpoint {
    fn new(slots: u16, reserve_percent: u8) -> Self {
        let config = Config::new(Slots::new(slots)).with_short_reserve_percent(reserve_percent);
        Self {
            admission: Admission::new(Millis::new(0), config),
            now_ms: 0,
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.admission
            .handle_event(Millis::new(self.now_ms), event, &mut decisions);
        decisions
    }

    fn arrive(&mut self, id: u64, class: RequestClass, deadline_ms: u64) -> Vec<Decision> {
        let deadline_ms = Millis::new(deadline_ms);
        let route = u16::from(class == Long);
        self.handle(Event::Arrived {
            id: RequestId::new(id),
            class,
            route,
            deadline_ms,
        })
    }

    fn finish(&mut self, id: u64) -> Vec<Decision> {
        self.handle(Event::Finished {
            id: RequestId::new(id),
            signal: LoadSignal::Answered,
        })
    }

    /// Runs requests of a class for `running_ms` each, until the running times have enough samples.
    fn record_runs(&mut self, class: RequestClass, running_ms: u64) {
        for id in 1_000_000..1_000_032 {
            assert_eq!(
                self.arrive(id, class, self.now_ms + FAR_DEADLINE_MS),
                [start_decision(id)]
            );
            self.now_ms += running_ms;
            assert_eq!(self.finish(id), []);
        }
    }
}

fn start_decision(id: u64) -> Decision {
    Decision::Start(RequestId::new(id))
}

fn wait_decision(id: u64) -> Decision {
    Decision::Wait(RequestId::new(id))
}

fn refused(decisions: &[Decision]) -> Vec<(u64, Refusal)> {
    let refusal = |it: &Decision| match it {
        Decision::Refuse { id, refusal, .. } => Some((id.get(), *refusal)),
        _ => None,
    };
    decisions.iter().filter_map(refusal).collect()
}

#[test]
fn long_work_leaves_reserve() {
    fn check(slots: u16, expect_started: usize) {
        let mut endpoint = Endpoint::new(slots, 20);
        let started = (0..30).flat_map(|id| endpoint.arrive(id, Long, FAR_DEADLINE_MS));
        let started = started
            .filter(|it| matches!(it, Decision::Start(_)))
            .count();
        assert_eq!(started, expect_started);
        assert_eq!(
            endpoint.arrive(99, Short, FAR_DEADLINE_MS),
            [start_decision(99)],
            "a slot is reserved for short work"
        );
    }
    check(2, 1);
    check(5, 4);
    check(20, 16);
}

#[test]
fn reserve_follows_short_slot_use() {
    let mut endpoint = Endpoint::new(5, 20);
    for id in 0..2 {
        assert_eq!(
            endpoint.arrive(id, Short, FAR_DEADLINE_MS),
            [start_decision(id)]
        );
    }
    endpoint.now_ms += 900;
    assert_eq!(endpoint.handle(Event::Tick), []);
    for id in 0..2 {
        assert_eq!(endpoint.finish(id), []);
    }
    for id in 2..5 {
        assert_eq!(
            endpoint.arrive(id, Long, FAR_DEADLINE_MS),
            [start_decision(id)]
        );
    }
    assert_eq!(
        endpoint.arrive(5, Long, FAR_DEADLINE_MS),
        [wait_decision(5)],
        "short work recently held two slots in the mean"
    );
    endpoint.now_ms += 900;
    assert_eq!(
        endpoint.handle(Event::Tick),
        [start_decision(5)],
        "the reserve shrinks again"
    );
}

#[test]
fn long_work_borrows_idle_reserve() {
    let mut endpoint = Endpoint::new(2, 20);
    endpoint.record_runs(Long, 100);
    endpoint.now_ms += 1_000;
    assert_eq!(
        endpoint.arrive(1, Long, endpoint.now_ms + FAR_DEADLINE_MS),
        [start_decision(1)]
    );
    assert_eq!(
        endpoint.arrive(2, Long, endpoint.now_ms + FAR_DEADLINE_MS),
        [start_decision(2)]
    );
    assert_eq!(
        endpoint.arrive(3, Short, endpoint.now_ms + FAR_DEADLINE_MS),
        [wait_decision(3)]
    );
    assert_eq!(
        endpoint.arrive(4, Long, endpoint.now_ms + FAR_DEADLINE_MS),
        [wait_decision(4)]
    );
    endpoint.now_ms += 50;
    assert_eq!(
        endpoint.finish(1),
        [start_decision(3)],
        "short work has priority"
    );
    assert_eq!(endpoint.finish(2), [start_decision(4)]);
    assert_eq!(endpoint.finish(4), []);
    assert_eq!(
        endpoint.arrive(5, Long, endpoint.now_ms + FAR_DEADLINE_MS),
        [start_decision(5)]
    );
    assert_eq!(
        endpoint.arrive(6, Long, endpoint.now_ms + FAR_DEADLINE_MS),
        [wait_decision(6)],
        "long work can't borrow right after short work"
    );
}

#[test]
fn earliest_deadline_starts_first() {
    let mut endpoint = Endpoint::new(1, 0);
    assert_eq!(
        endpoint.arrive(1, Short, FAR_DEADLINE_MS),
        [start_decision(1)]
    );
    assert_eq!(endpoint.arrive(2, Short, 900), [wait_decision(2)]);
    assert_eq!(endpoint.arrive(3, Short, 500), [wait_decision(3)]);
    assert_eq!(endpoint.arrive(4, Short, 700), [wait_decision(4)]);
    assert_eq!(endpoint.finish(1), [start_decision(3)]);
    assert_eq!(endpoint.finish(3), [start_decision(4)]);
    assert_eq!(endpoint.finish(4), [start_decision(2)]);
}

#[test]
fn unmeetable_deadline_is_refused() {
    let mut endpoint = Endpoint::new(1, 0);
    endpoint.record_runs(Short, 100);
    let now_ms = endpoint.now_ms;
    let too_soon = endpoint.arrive(1, Short, now_ms + 50);
    assert_eq!(refused(&too_soon), [(1, Refusal::DeadlineUnmeetable)]);
    assert_eq!(endpoint.arrive(2, Short, now_ms + 150), [start_decision(2)]);
    let behind = endpoint.arrive(3, Short, now_ms + 150);
    assert_eq!(refused(&behind), [(3, Refusal::DeadlineUnmeetable)]);
    assert_eq!(endpoint.arrive(4, Short, now_ms + 300), [wait_decision(4)]);
}

#[test]
fn late_waiting_request_is_refused() {
    let mut endpoint = Endpoint::new(1, 0);
    endpoint.record_runs(Short, 100);
    let now_ms = endpoint.now_ms;
    assert_eq!(
        endpoint.arrive(1, Short, now_ms + FAR_DEADLINE_MS),
        [start_decision(1)]
    );
    assert_eq!(endpoint.arrive(2, Short, now_ms + 400), [wait_decision(2)]);
    let tick_ms = endpoint.admission.next_tick_ms().unwrap().get();
    assert!(
        tick_ms <= now_ms + 400,
        "the next tick must not be after the deadline"
    );
    endpoint.now_ms = now_ms + 400;
    assert_eq!(
        refused(&endpoint.handle(Event::Tick)),
        [(2, Refusal::ExpiredInQueue)]
    );
    assert_eq!(endpoint.finish(1), [], "a refused request never starts");
}

#[test]
fn straggler_is_demoted_to_long() {
    let mut endpoint = Endpoint::new(2, 20);
    endpoint.record_runs(Short, 10);
    let far_ms = endpoint.now_ms + FAR_DEADLINE_MS;
    assert_eq!(endpoint.arrive(1, Short, far_ms), [start_decision(1)]);
    endpoint.now_ms += 100;
    assert_eq!(
        endpoint.arrive(2, Long, far_ms),
        [wait_decision(2)],
        "the slot of a straggler counts as long"
    );
    assert_eq!(endpoint.admission.counters().demoted, 1);
    assert_eq!(
        endpoint.arrive(3, Short, far_ms),
        [start_decision(3)],
        "the other slot stays reserved for short work"
    );
    assert_eq!(endpoint.finish(3), []);
    assert_eq!(endpoint.finish(1), [start_decision(2)]);
}

#[test]
fn withdrawn_request_is_dropped() {
    let mut endpoint = Endpoint::new(1, 0);
    assert_eq!(
        endpoint.arrive(1, Short, FAR_DEADLINE_MS),
        [start_decision(1)]
    );
    assert_eq!(
        endpoint.arrive(2, Short, FAR_DEADLINE_MS),
        [wait_decision(2)]
    );
    let withdraw = |id| Event::Withdrawn {
        id: RequestId::new(id),
    };
    assert_eq!(
        endpoint.handle(withdraw(2)),
        [Decision::Forget(RequestId::new(2))]
    );
    assert_eq!(
        endpoint.handle(withdraw(1)),
        [],
        "a started request keeps its slot"
    );
    assert_eq!(endpoint.finish(1), []);
}

#[test]
fn drain_stops_starts_after_grace() {
    let mut endpoint = Endpoint::new(1, 0);
    assert_eq!(
        endpoint.arrive(1, Short, FAR_DEADLINE_MS),
        [start_decision(1)]
    );
    assert_eq!(
        endpoint.arrive(2, Short, FAR_DEADLINE_MS),
        [wait_decision(2)]
    );
    assert_eq!(endpoint.handle(Event::DrainBegan), []);
    endpoint.now_ms += 1_000;
    assert_eq!(
        endpoint.arrive(3, Short, FAR_DEADLINE_MS),
        [wait_decision(3)]
    );
    assert_eq!(
        endpoint.finish(1),
        [start_decision(2)],
        "waiting requests may start during the grace period"
    );
    endpoint.now_ms += 1_000;
    assert_eq!(
        refused(&endpoint.handle(Event::Tick)),
        [(3, Refusal::Draining)]
    );
    assert_eq!(
        refused(&endpoint.arrive(4, Short, FAR_DEADLINE_MS)),
        [(4, Refusal::Draining)]
    );
    assert_eq!(endpoint.finish(2), []);
    assert!(endpoint.admission.is_idle());
}
