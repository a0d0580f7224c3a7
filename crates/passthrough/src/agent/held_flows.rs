//! Tracks the flows that the endpoint beside the agent holds and the requests that it runs.

use std::{
    collections::{HashMap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
};

use placement::MeanWork;
use units::{Millis, Slots};

use super::{
    held_flow::{HeldFlow, LoadClass, Phase, RequestState},
    outlier::RequestOutcome,
    usage::IdleFlowUsage,
};
use crate::{
    Flow, Segment,
    flow_identity::{FlowPositions, OpeningId},
};

/// Time for which a newly opened flow counts as an expected request.
///
/// A caller's first request follows the handshake after one round trip, or 200 ms later if the
/// request's packet is lost or queued in a busy balancer.
const EXPECTED_REQUEST_TTL_MS: Millis = Millis::new(250);

/// Time from an opening's delivery until its caller's request arrives, if neither is delayed.
const ROUND_TRIP_MS: Millis = Millis::new(20);

/// Time after which an unanswered request no longer counts towards the endpoint's load, and a flow that
/// the endpoint has not confirmed is forgotten.
const RUNNING_REQUEST_TTL_MS: Millis = Millis::new(6_000);

/// Time for which a flow that both ends have closed is kept, to recognize late packets.
const CLOSED_RETENTION_MS: Millis = Millis::new(2_000);

/// Idle time after which a flow is removed, until a balancer's state notice gives the configured
/// timeout.
const DEFAULT_IDLE_TIMEOUT_MS: Millis = Millis::new(60_000);

/// How a caller's packet relates to the flow of its addresses and ports that the endpoint accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeldMatch {
    /// The agent knows no such flow.
    Unknown,
    /// The packet is of the flow that the endpoint accepted.
    Held,
    /// The packet is of an earlier or a later flow, which the endpoint doesn't hold.
    OtherFlow,
}

/// What a packet from the endpoint reveals about the packet's flow.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EndpointUpdate {
    /// The balancer to notify and the delivery that the packet answered, if a delivery was pending.
    pub(crate) holder_query: Option<HolderQuery>,
    /// The outcome of the request that the packet ended, if it ended one.
    pub(crate) outcome: Option<RequestOutcome>,
    /// The request that the packet answered, if it answered one.
    pub(crate) answered: Option<AnsweredRequest>,
}

/// A request that the endpoint answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnsweredRequest {
    /// Time from the request until its answer.
    pub(crate) duration: Millis,
    /// Number of working flows when the request arrived, including the request's own.
    pub(crate) working: u32,
}

/// A balancer to notify that the endpoint holds a flow, and the tag of the delivery of the
/// balancer's packet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HolderQuery {
    pub(crate) origin: Ipv4Addr,
    pub(crate) tag: u32,
}

/// The flows that one endpoint holds.
///
/// The flows are kept in a hash map, not a sorted vector, because they open and close hundreds of
/// times a second.
#[derive(Debug)]
pub(crate) struct HeldFlows {
    flows: HashMap<Flow, HeldFlow>,
    /// Number of flows with a running or expected request.
    ///
    /// Invariant: `load` equals the number of flows whose load class is `LoadClass::Working`.
    load: u32,
    /// Number of open flows that have been answered and have no request.
    ///
    /// Invariant: `idle_flows` equals the number of flows whose load class is `LoadClass::Idle`.
    idle_flows: u32,
    usage: IdleFlowUsage,
    slots: Slots,
    /// Running times of the requests that did not wait for a slot.
    work: MeanWork,
    /// Time since which every flow that the endpoint uses is in `flows`, or `None` before the first
    /// sweep.
    ///
    /// The endpoint may hold older flows if only the agent restarted.
    tracked_since: Option<Millis>,
    /// Whether the endpoint is known to have held no flow at some time since `tracked_since`.
    was_empty: bool,
    last_sweep: Option<Millis>,
    /// Flows on which a request is expected, with the time since which it is expected, oldest
    /// first.
    expected_requests: VecDeque<(Millis, Flow)>,
    idle_timeout: Millis,
}

impl Default for HeldFlows {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            load: 0,
            idle_flows: 0,
            usage: IdleFlowUsage::default(),
            slots: Slots::new(0),
            work: MeanWork::default(),
            tracked_since: None,
            was_empty: false,
            last_sweep: None,
            expected_requests: VecDeque::new(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT_MS,
        }
    }
}

impl HeldFlows {
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns the number of flows with a request that the endpoint runs, has queued or is about to
    /// receive.
    pub(crate) const fn working_flow_count(&self) -> u32 {
        self.load
    }

    /// Returns the number of requests that the endpoint runs, has queued or receives within a round
    /// trip of the caller.
    ///
    /// A flow without a request after that time takes no slot, though it may soon.
    pub(crate) fn busy_count(&mut self, now: Millis) -> u32 {
        self.expire_expected_requests(now);
        let overdue = self
            .expected_requests
            .iter()
            .take_while(|it| now.since(it.0) >= ROUND_TRIP_MS)
            .filter(|it| {
                let held = self.flows.get(&it.1);
                held.is_some_and(|it| it.request == RequestState::Expected)
            });
        let overdue = u32::try_from(overdue.count()).unwrap_or(u32::MAX);
        self.load.saturating_sub(overdue)
    }

    /// Returns the load expected from the idle flows, in thousandths of a request.
    pub(crate) fn idle_load_thousandths(&self) -> u32 {
        self.idle_flows
            .saturating_mul(self.usage.requests_per_flow_thousandths())
    }

    /// Returns the mean time that the endpoint works on a request, without waits for a slot.
    pub(crate) const fn mean_work(&self) -> Millis {
        self.work.mean()
    }

    pub(crate) const fn set_slots(&mut self, slots: Slots) {
        self.slots = slots;
    }

    pub(crate) fn set_idle_timeout(&mut self, timeout: Millis) {
        self.idle_timeout = timeout.max(CLOSED_RETENTION_MS);
    }

    /// Returns whether the endpoint accepted the flow.
    pub(crate) fn is_accepted(&self, flow: Flow) -> bool {
        self.flows
            .get(&flow)
            .is_some_and(|it| it.phase > Phase::Unconfirmed)
    }

    /// Returns how a caller's packet that is no opening packet relates to the flow that the endpoint
    /// accepted.
    pub(crate) fn match_caller_packet(&self, flow: Flow, segment: &Segment) -> HeldMatch {
        let accepted = |it: &&HeldFlow| it.phase > Phase::Unconfirmed;
        let Some(held) = self.flows.get(&flow).filter(accepted) else {
            return HeldMatch::Unknown;
        };
        if held
            .positions
            .is_same_flow(&FlowPositions::of_caller_packet(segment))
        {
            HeldMatch::Held
        } else {
            HeldMatch::OtherFlow
        }
    }

    /// Returns whether the endpoint accepted the opening.
    pub(crate) fn has_accepted_opening(&self, flow: Flow, opening: OpeningId) -> bool {
        self.is_accepted(flow) && self.opening(flow) == Some(opening)
    }

    /// Returns whether an opening packet is a copy of that of a flow which the endpoint accepted and
    /// neither end has closed.
    pub(crate) fn is_copy(&self, flow: Flow, opening: OpeningId) -> bool {
        let is_open = |it: &HeldFlow| !it.caller_closed && !it.endpoint_closed;
        self.has_accepted_opening(flow, opening) && self.flows.get(&flow).is_some_and(is_open)
    }

    /// Returns the opening of a flow, if the agent saw it.
    pub(crate) fn opening(&self, flow: Flow) -> Option<OpeningId> {
        self.flows.get(&flow)?.opening
    }

    /// Returns the latest position of the endpoint in a flow, if it is known.
    pub(crate) fn endpoint_position(&self, flow: Flow) -> Option<u32> {
        self.flows.get(&flow)?.positions.endpoint
    }

    pub(crate) fn set_origin_balancer(&mut self, flow: Flow, origin: Ipv4Addr) {
        if let Some(held) = self.flows.get_mut(&flow) {
            held.origin = origin;
        }
    }

    /// Adds a flow that the endpoint may not hold, whose packet is being delivered to the endpoint.
    ///
    /// The flow replaces an earlier one of the same addresses and ports.
    pub(crate) fn insert_unconfirmed(
        &mut self,
        now: Millis,
        segment: &Segment,
        origin: Ipv4Addr,
        tag: u32,
    ) {
        let flow = segment.caller_flow();
        let opening = segment
            .is_opening_packet()
            .then(|| OpeningId::of_packet(segment));
        let positions = FlowPositions::of_caller_packet(segment);
        let is_same = |it: &HeldFlow| {
            it.phase == Phase::Unconfirmed
                && it.opening == opening
                && it.positions.is_same_flow(&positions)
        };
        if !self.flows.get(&flow).is_some_and(is_same) {
            self.remove_flow(flow);
        }
        let held = self
            .flows
            .entry(flow)
            .or_insert_with(|| HeldFlow::new(now, Phase::Unconfirmed, opening, positions));
        held.origin = origin;
        held.tag = tag;
        if held.request == RequestState::None {
            let before = held.load_class();
            held.request = RequestState::Expected;
            let after = held.load_class();
            self.expected_requests.push_back((now, flow));
            self.update_load_counts(before, after);
        }
        self.expire_expected_requests(now);
    }

    /// Updates a flow with a packet from the flow's caller.
    ///
    /// Returns the outcome of the running request if the caller aborted the request.
    pub(crate) fn on_caller_segment(
        &mut self,
        now: Millis,
        flow: Flow,
        origin: Ipv4Addr,
        segment: &Segment,
    ) -> Option<RequestOutcome> {
        self.expire_expected_requests(now);
        let held = self.flows.get_mut(&flow)?;
        let was_running = matches!(held.request, RequestState::Running { .. });
        held.origin = origin;
        held.last_used = now;
        held.caller_acknowledged = segment.acknowledged;
        held.positions
            .advance(&FlowPositions::of_caller_packet(segment));
        let before = held.load_class();
        let end = segment.sequence.wrapping_add(u32::from(segment.data_bytes));
        let is_new = held
            .caller_end
            .is_none_or(|it| end.wrapping_sub(it).cast_signed() > 0);
        if segment.data_bytes > 0 && is_new {
            held.caller_end = Some(end);
            // The flow itself counts already if the request was expected.
            let own = u32::from(before != LoadClass::Working);
            let working = self.load + own;
            held.request = RequestState::Running {
                since: now,
                working,
            };
        }
        if segment.rst || segment.fin {
            held.caller_closed = true;
            if held.request == RequestState::Expected {
                held.request = RequestState::None;
            }
        }
        if segment.rst {
            held.endpoint_closed = true;
            held.request = RequestState::None;
        }
        let after = held.load_class();
        self.update_load_counts(before, after);
        (was_running && segment.rst).then_some(RequestOutcome::Failed)
    }

    /// Updates a flow with a packet from the endpoint.
    ///
    /// A packet of another flow of the same addresses and ports changes nothing, unless the endpoint
    /// shows thereby that it holds that one.
    pub(crate) fn on_endpoint_segment(
        &mut self,
        now: Millis,
        flow: Flow,
        segment: &Segment,
    ) -> EndpointUpdate {
        self.expire_expected_requests(now);
        let positions = FlowPositions::of_endpoint_packet(segment);
        match self.flows.get(&flow) {
            // The endpoint has ended the flow.
            None if segment.rst => return EndpointUpdate::default(),
            None => {}
            Some(held) => {
                let is_same = segment.rst || held.positions.is_same_flow(&positions);
                let is_offered = held.phase == Phase::Unconfirmed && held.opening.is_some();
                if is_offered && !(is_same && segment.syn) {
                    return EndpointUpdate::default();
                }
                let is_accepted = held.phase > Phase::Unconfirmed;
                if !is_same && is_accepted && !segment.syn {
                    return EndpointUpdate::default();
                }
                if !is_same {
                    self.remove_flow(flow);
                }
            }
        }
        let held = self.flows.entry(flow).or_insert_with(|| HeldFlow {
            caller_acknowledged: segment.sequence,
            ..HeldFlow::new(now, Phase::Accepted, None, positions)
        });
        if !segment.rst {
            held.positions.advance(&positions);
        }
        let before = held.load_class();
        let mut outcome = None;
        let mut answered = None;
        held.last_used = now;
        held.phase = held.phase.max(if segment.syn {
            Phase::Accepted
        } else {
            Phase::Open
        });
        if segment.data_bytes > 0 || segment.rst || segment.fin {
            if let RequestState::Running { since, working } = held.request {
                let found_slot = working <= u32::from(self.slots.get());
                if found_slot && segment.data_bytes > 0 {
                    self.work.record(now.since(since));
                }
                if held.has_answered {
                    self.usage.record_request_duration(now.since(since));
                }
                outcome = held.request_outcome(segment);
                if outcome == Some(RequestOutcome::Answered) {
                    answered = Some(AnsweredRequest {
                        duration: now.since(since),
                        working,
                    });
                }
            }
            held.request = RequestState::None;
            held.has_answered |= segment.data_bytes > 0;
        }
        let end = segment.sequence.wrapping_add(segment.data_bytes.into());
        let is_new = |it: u32| end.wrapping_sub(it).cast_signed() > 0;
        if held.endpoint_end.is_none_or(is_new) {
            held.endpoint_end = Some(end);
        }
        held.endpoint_closed |= segment.fin || segment.rst;
        held.caller_closed |= segment.rst;
        let holder_query = (held.tag != 0).then_some(HolderQuery {
            origin: held.origin,
            tag: held.tag,
        });
        held.tag = 0;
        let after = held.load_class();
        self.update_load_counts(before, after);
        EndpointUpdate {
            holder_query,
            outcome,
            answered,
        }
    }

    /// Removes a flow that the endpoint has not accepted, if its latest delivery has the given tag.
    pub(crate) fn remove_unconfirmed(&mut self, flow: Flow, tag: u32) {
        let is_meant = |it: &HeldFlow| it.phase == Phase::Unconfirmed && it.tag == tag;
        if self.flows.get(&flow).is_some_and(is_meant) {
            self.remove_flow(flow);
        }
    }

    /// Removes a flow and returns the flow's state.
    pub(crate) fn remove_flow(&mut self, flow: Flow) -> Option<HeldFlow> {
        let held = self.flows.remove(&flow)?;
        self.update_load_counts(held.load_class(), LoadClass::None);
        Some(held)
    }

    /// Removes all flows, since the endpoint's process is gone, and returns the open flows, each with
    /// the sequence number for its reset.
    pub(crate) fn take_open_flows(&mut self) -> Vec<(Flow, u32)> {
        self.was_empty = true;
        let flows = std::mem::take(&mut self.flows);
        self.load = 0;
        self.idle_flows = 0;
        self.expected_requests.clear();
        let mut open: Vec<_> = flows
            .into_iter()
            .filter(|(_, held)| held.phase == Phase::Open && !held.is_closed_by_both_ends())
            .map(|(flow, held)| (flow, held.caller_acknowledged))
            .collect();
        open.sort_unstable();
        open
    }

    /// Returns the addresses of the routes of which the endpoint holds flows, in ascending order.
    pub(crate) fn route_addresses(&self) -> Vec<SocketAddrV4> {
        let held = self
            .flows
            .iter()
            .filter(|(_, held)| held.phase > Phase::Unconfirmed && !held.is_closed_by_both_ends());
        let mut addresses: Vec<SocketAddrV4> = held.map(|it| it.0.service_address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns whether every flow that the endpoint may hold is known.
    ///
    /// After a restart of the agent, an idle flow is unknown until its next packet, which comes
    /// within the idle timeout.
    pub(crate) fn includes_every_flow(&self, now: Millis) -> bool {
        let is_old = |it| now.since(it) > self.idle_timeout;
        self.was_empty || self.tracked_since.is_some_and(is_old)
    }

    /// Removes flows that are no longer used, and updates the usage estimate of idle flows.
    pub(crate) fn remove_unused_flows(&mut self, now: Millis) {
        self.tracked_since.get_or_insert(now);
        self.expire_expected_requests(now);
        debug_assert_eq!(
            (self.load, self.idle_flows),
            self.count_by_load_class(),
            "`load` must count the working flows, and `idle_flows` the idle ones"
        );
        if let Some(last) = self.last_sweep.replace(now) {
            self.usage
                .record_idle_time(self.idle_flows, now.since(last));
        }
        let idle_timeout = self.idle_timeout;
        self.flows.retain(|_, held| {
            if let RequestState::Running { since, .. } = held.request
                && now.since(since) > RUNNING_REQUEST_TTL_MS
            {
                held.request = RequestState::None;
            }
            let retention = if held.phase == Phase::Unconfirmed {
                RUNNING_REQUEST_TTL_MS
            } else if held.is_closed_by_both_ends() {
                CLOSED_RETENTION_MS
            } else {
                idle_timeout
            };
            now.since(held.last_used) <= retention
        });
        (self.load, self.idle_flows) = self.count_by_load_class();
    }

    /// Returns the number of working flows and the number of idle flows.
    fn count_by_load_class(&self) -> (u32, u32) {
        let classes = self.flows.values().map(HeldFlow::load_class);
        classes.fold((0, 0), |(load, idle), it| match it {
            LoadClass::Working => (load + 1, idle),
            LoadClass::Idle => (load, idle + 1),
            LoadClass::None => (load, idle),
        })
    }

    /// Stops counting a request as expected on a flow that another agent has accepted. A request that
    /// has arrived still counts.
    ///
    /// Returns the tag of the flow's pending delivery, zero if none is pending, or `None` if no request
    /// was expected.
    pub(crate) fn stop_expecting_request(&mut self, flow: Flow, opening: OpeningId) -> Option<u32> {
        let held = self.flows.get_mut(&flow)?;
        if held.request != RequestState::Expected || held.opening != Some(opening) {
            return None;
        }
        let before = held.load_class();
        held.request = RequestState::None;
        let (tag, after) = (held.tag, held.load_class());
        self.update_load_counts(before, after);
        Some(tag)
    }

    /// Stops counting expected requests that did not arrive within `EXPECTED_REQUEST_TTL_MS`.
    pub(crate) fn expire_expected_requests(&mut self, now: Millis) {
        while let Some((since, flow)) = self.expected_requests.front().copied() {
            if now.since(since) < EXPECTED_REQUEST_TTL_MS {
                return;
            }
            self.expected_requests.pop_front();
            let Some(held) = self.flows.get_mut(&flow) else {
                continue;
            };
            if held.request != RequestState::Expected {
                continue;
            }
            let before = held.load_class();
            held.request = RequestState::None;
            let after = held.load_class();
            self.update_load_counts(before, after);
        }
    }

    const fn update_load_counts(&mut self, before: LoadClass, after: LoadClass) {
        match before {
            LoadClass::None => {}
            LoadClass::Idle => self.idle_flows = self.idle_flows.saturating_sub(1),
            LoadClass::Working => self.load = self.load.saturating_sub(1),
        }
        match after {
            LoadClass::None => {}
            LoadClass::Idle => self.idle_flows += 1,
            LoadClass::Working => self.load += 1,
        }
    }
}
