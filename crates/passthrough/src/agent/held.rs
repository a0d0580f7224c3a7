//! Flows that the endpoint beside an agent holds, and the requests that it works on.

use std::{
    collections::{HashMap, VecDeque},
    net::Ipv4Addr,
};

use units::Millis;

use super::{
    held_flow::{Held, Phase, Weight, Work},
    record::Outcome,
    usage::Usage,
};
use crate::{Flow, Segment};

/// Time for which a flow that just opened counts as a request about to come.
///
/// A caller's first request follows the handshake by a round trip, or by 200 ms more if its packet is lost
/// or waits in a busy balancer.
const EXPECTED_MS: Millis = Millis::new(250);

/// Time after which an unanswered request no longer counts as work of the endpoint.
const RUNNING_MAX_MS: Millis = Millis::new(6_000);

/// Time for which a flow that both ends closed is remembered, for packets that come late.
const CLOSED_KEPT_MS: Millis = Millis::new(2_000);

/// Time without packets after which a flow is forgotten, until a notice says otherwise.
const IDLE_TIMEOUT_MS: Millis = Millis::new(60_000);

/// What a packet of the endpoint tells.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Told {
    /// Whom to tell that the flow is here, if somebody asked.
    pub(crate) asked: Option<Asked>,
    /// How a request ended, if one did.
    pub(crate) outcome: Option<Outcome>,
}

/// Whom to tell that a flow was found here.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Asked {
    pub(crate) origin: Ipv4Addr,
    pub(crate) tag: u32,
}

/// The flows of one endpoint.
///
/// A hash map, not a sorted vector: flows open and close hundreds of times a second.
#[derive(Debug)]
pub(crate) struct HeldFlows {
    flows: HashMap<Flow, Held>,
    /// Invariant: the number of flows whose weight is `Weight::Working`.
    load: u32,
    /// Invariant: the number of flows whose weight is `Weight::Idle`.
    idle: u32,
    usage: Usage,
    last_sweep: Option<Millis>,
    /// Flows that count as requests about to come, oldest first.
    expected: VecDeque<(Millis, Flow)>,
    idle_timeout: Millis,
}

impl Default for HeldFlows {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            load: 0,
            idle: 0,
            usage: Usage::default(),
            last_sweep: None,
            expected: VecDeque::new(),
            idle_timeout: IDLE_TIMEOUT_MS,
        }
    }
}

impl HeldFlows {
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns the requests that the endpoint runs, holds in its queue or is about to get.
    pub(crate) const fn load(&self) -> u32 {
        self.load
    }

    /// Returns the requests that idle flows stand for, in thousandths.
    pub(crate) fn idle_load(&self) -> u32 {
        self.idle.saturating_mul(self.usage.per_flow())
    }

    pub(crate) fn set_idle_timeout(&mut self, timeout: Millis) {
        self.idle_timeout = timeout.max(CLOSED_KEPT_MS);
    }

    /// Returns whether the endpoint accepted the flow.
    pub(crate) fn is_known(&self, flow: Flow) -> bool {
        self.flows
            .get(&flow)
            .is_some_and(|it| it.phase > Phase::Asked)
    }

    pub(crate) fn note_origin(&mut self, flow: Flow, origin: Ipv4Addr) {
        if let Some(held) = self.flows.get_mut(&flow) {
            held.origin = origin;
        }
    }

    /// A packet of an unknown flow is about to be given to the endpoint.
    pub(crate) fn insert_asked(&mut self, now: Millis, flow: Flow, origin: Ipv4Addr, tag: u32) {
        let held = self.flows.entry(flow).or_insert(Held {
            phase: Phase::Asked,
            origin,
            tag,
            last_used: now,
            work: Work::None,
            caller_end: None,
            endpoint_end: None,
            caller_acknowledged: 0,
            caller_closed: false,
            endpoint_closed: false,
            answered: false,
        });
        held.origin = origin;
        held.tag = tag;
        if held.work == Work::None {
            let before = held.weight();
            held.work = Work::Expected;
            let after = held.weight();
            self.expected.push_back((now, flow));
            self.recount(before, after);
        }
        self.expire_expected(now);
    }

    /// A packet of the caller is about to be given to the endpoint; returns how a request ended if the
    /// caller gave it up.
    pub(crate) fn note_caller(
        &mut self,
        now: Millis,
        flow: Flow,
        origin: Ipv4Addr,
        segment: &Segment,
    ) -> Option<Outcome> {
        self.expire_expected(now);
        let held = self.flows.get_mut(&flow)?;
        let was_running = matches!(held.work, Work::Running { .. });
        held.origin = origin;
        held.last_used = now;
        held.caller_acknowledged = segment.acknowledged;
        let before = held.weight();
        let end = segment.sequence.wrapping_add(u32::from(segment.data_bytes));
        let is_new = held
            .caller_end
            .is_none_or(|it| end.wrapping_sub(it).cast_signed() > 0);
        if segment.data_bytes > 0 && is_new {
            held.caller_end = Some(end);
            held.work = Work::Running { since: now };
        }
        if segment.rst || segment.fin {
            held.caller_closed = true;
            if held.work == Work::Expected {
                held.work = Work::None;
            }
        }
        if segment.rst {
            held.endpoint_closed = true;
            held.work = Work::None;
        }
        let after = held.weight();
        self.recount(before, after);
        (was_running && segment.rst).then_some(Outcome::Failed)
    }

    /// The endpoint sent a packet of the flow.
    pub(crate) fn note_endpoint(&mut self, now: Millis, flow: Flow, segment: &Segment) -> Told {
        self.expire_expected(now);
        let held = self.flows.entry(flow).or_insert(Held {
            phase: Phase::Accepted,
            origin: Ipv4Addr::UNSPECIFIED,
            tag: 0,
            last_used: now,
            work: Work::None,
            caller_end: None,
            endpoint_end: None,
            caller_acknowledged: segment.sequence,
            caller_closed: false,
            endpoint_closed: false,
            answered: false,
        });
        let before = held.weight();
        let mut outcome = None;
        held.last_used = now;
        held.phase = held.phase.max(if segment.syn {
            Phase::Accepted
        } else {
            Phase::Open
        });
        if segment.data_bytes > 0 || segment.rst || segment.fin {
            if let Work::Running { since } = held.work {
                if held.answered {
                    self.usage.note_request(now.since(since));
                }
                outcome = held.outcome(segment);
            }
            held.work = Work::None;
            held.answered |= segment.data_bytes > 0;
        }
        let end = segment.sequence.wrapping_add(segment.data_bytes.into());
        let is_new = |it: u32| end.wrapping_sub(it).cast_signed() > 0;
        if held.endpoint_end.is_none_or(is_new) {
            held.endpoint_end = Some(end);
        }
        held.endpoint_closed |= segment.fin || segment.rst;
        held.caller_closed |= segment.rst;
        let asked = (held.tag != 0).then_some(Asked {
            origin: held.origin,
            tag: held.tag,
        });
        held.tag = 0;
        let after = held.weight();
        self.recount(before, after);
        Told { asked, outcome }
    }

    /// Forgets a flow that the endpoint did not accept.
    pub(crate) fn remove_unanswered(&mut self, flow: Flow) {
        if self
            .flows
            .get(&flow)
            .is_some_and(|it| it.phase == Phase::Asked)
        {
            self.remove(flow);
        }
    }

    /// Forgets a flow and returns what was known of it.
    pub(crate) fn remove(&mut self, flow: Flow) -> Option<Held> {
        let held = self.flows.remove(&flow)?;
        self.recount(held.weight(), Weight::None);
        Some(held)
    }

    /// Forgets all flows; returns the open ones with the position where a reset has to begin.
    pub(crate) fn take_open(&mut self) -> Vec<(Flow, u32)> {
        let flows = std::mem::take(&mut self.flows);
        self.load = 0;
        self.idle = 0;
        self.expected.clear();
        let mut open: Vec<_> = flows
            .into_iter()
            .filter(|(_, held)| held.phase == Phase::Open && !held.is_closed())
            .map(|(flow, held)| (flow, held.caller_acknowledged))
            .collect();
        open.sort_unstable();
        open
    }

    /// Forgets what is no longer used.
    pub(crate) fn sweep(&mut self, now: Millis) {
        self.expire_expected(now);
        debug_assert_eq!(
            (self.load, self.idle),
            self.counted(),
            "the load must be the number of flows that work, and idle that of idle ones"
        );
        if let Some(last) = self.last_sweep.replace(now) {
            self.usage.note_idle(self.idle, now.since(last));
        }
        let idle_timeout = self.idle_timeout;
        self.flows.retain(|_, held| {
            if let Work::Running { since } = held.work
                && now.since(since) > RUNNING_MAX_MS
            {
                held.work = Work::None;
            }
            let kept = if held.is_closed() {
                CLOSED_KEPT_MS
            } else {
                idle_timeout
            };
            now.since(held.last_used) <= kept
        });
        (self.load, self.idle) = self.counted();
    }

    /// Counts the flows that work and those that are idle.
    fn counted(&self) -> (u32, u32) {
        let weights = self.flows.values().map(Held::weight);
        weights.fold((0, 0), |(load, idle), it| match it {
            Weight::Working => (load + 1, idle),
            Weight::Idle => (load, idle + 1),
            Weight::None => (load, idle),
        })
    }

    /// Stops counting requests that were about to come and did not.
    pub(crate) fn expire_expected(&mut self, now: Millis) {
        while let Some((since, flow)) = self.expected.front().copied() {
            if now.since(since) < EXPECTED_MS {
                return;
            }
            self.expected.pop_front();
            let Some(held) = self.flows.get_mut(&flow) else {
                continue;
            };
            if held.work != Work::Expected {
                continue;
            }
            let before = held.weight();
            held.work = Work::None;
            let after = held.weight();
            self.recount(before, after);
        }
    }

    const fn recount(&mut self, before: Weight, after: Weight) {
        match before {
            Weight::None => {}
            Weight::Idle => self.idle = self.idle.saturating_sub(1),
            Weight::Working => self.load = self.load.saturating_sub(1),
        }
        match after {
            Weight::None => {}
            Weight::Idle => self.idle += 1,
            Weight::Working => self.load += 1,
        }
    }
}
