//! A simulated agent: its protocol state, its requests and its event handlers.

use admission::{
    Admission, Config, Decision, Event as AdmissionEvent, LoadSignal, RequestId,
    at_most_once::{
        Agent, AtMostOnceState, Attempt, BundleEndpoints, FenceReply, GrantRequest, RequestKey,
        Settlement, Step, Verdict,
    },
    handoff::{OfferId, SeenOffers},
};
use bundle::RequestClass;
use rand::{Rng as _, rngs::StdRng};
use units::{EndpointId, Incarnation, Millis, Slots};

use super::{
    CLOCK_SKEW_MAX_MS, Faults, START_MS, Simulation,
    caller::Outcome,
    event::{Event, Message, Request, Timer, TimerKind},
};

/// Number of concurrency slots of an endpoint.
const SLOTS: Slots = Slots::new(2);

/// Time that an agent waits for an owner's verdict. The wait for the answer to a hand-off offer is
/// four times as long.
const REPLY_TIMEOUT_MS: u64 = 900;

/// Time that a key's owner waits for replies to its fences.
const FENCE_TIMEOUT_MS: u64 = 300;

/// Time from a request's arrival at admission control to its deadline.
const DEADLINE_MS: u64 = 2_000;

/// Share of requests that are offered to another agent for hand-off, in percent.
const OFFER_PERCENT: f64 = 15.0;

/// A simulated agent.
#[derive(Debug)]
pub(super) struct Node {
    at_most_once: AtMostOnceState,
    admission: Admission,
    seen_offers: SeenOffers,
    /// The bundle that the agent adopted last; its next incarnation starts with this bundle.
    bundle: BundleEndpoints,
    /// Requests that the agent is handling, sorted by request id.
    requests: Vec<(RequestId, PendingRequest)>,
    settlements: Vec<PendingSettlement>,
    next_id: u64,
    next_offer: OfferId,
    /// Offset of the agent's clock from the true time, plus the maximum skew to stay positive.
    clock_offset_ms: u64,
    /// End of the agent's latest pause.
    pub(super) paused_until_ms: u64,
}

/// A request that an agent is handling.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    request: Request,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    AwaitingVerdict,
    Offered(OfferId),
    Queued,
    Running,
}

/// An owner's settlement of earlier attempts in progress, with the fence replies received so far.
#[derive(Debug)]
struct PendingSettlement {
    settlement: Settlement,
    replies: Vec<FenceReply>,
}

impl Node {
    pub(super) fn new(
        endpoint: EndpointId,
        rng: &mut StdRng,
        bundle: BundleEndpoints,
        faults: Faults,
    ) -> Self {
        let me = Agent {
            endpoint,
            incarnation: Incarnation::new(1),
        };
        let clock_offset_ms = rng.random_range(0..2 * CLOCK_SKEW_MAX_MS);
        Self::with_incarnation(me, START_MS, clock_offset_ms, bundle, faults)
    }

    /// Starts the agent's next incarnation, which has no records of the previous one.
    pub(super) fn restart(&mut self, true_ms: u64, faults: Faults) {
        let previous = self.at_most_once.local_agent();
        let incarnation = Incarnation::new(previous.incarnation.get() + 1);
        let me = Agent {
            incarnation,
            ..previous
        };
        *self = Self::with_incarnation(
            me,
            true_ms,
            self.clock_offset_ms,
            self.bundle.clone(),
            faults,
        );
    }

    fn with_incarnation(
        me: Agent,
        true_ms: u64,
        clock_offset_ms: u64,
        bundle: BundleEndpoints,
        faults: Faults,
    ) -> Self {
        let wall_ms = Millis::new(true_ms + clock_offset_ms - CLOCK_SKEW_MAX_MS);
        let at_most_once =
            AtMostOnceState::new(me, wall_ms, bundle.clone()).with_records_max(faults.records_max);
        Self {
            at_most_once,
            admission: Admission::new(Millis::new(true_ms), Config::new(SLOTS)),
            seen_offers: SeenOffers::default(),
            bundle,
            requests: Vec::new(),
            settlements: Vec::new(),
            next_id: 1,
            next_offer: OfferId::new(1),
            clock_offset_ms,
            paused_until_ms: 0,
        }
    }

    fn request_position(&self, id: RequestId) -> Option<usize> {
        self.requests.binary_search_by_key(&id, |it| it.0).ok()
    }

    fn find_awaiting_verdict(&self, key: RequestKey, attempt: Attempt) -> Option<usize> {
        self.requests.iter().position(|(_, it)| {
            let is_it = it.request.request_key() == key && it.request.attempt == attempt;
            is_it && it.phase == Phase::AwaitingVerdict
        })
    }
}

impl Simulation {
    pub(super) fn handle_node_event(&mut self, idx: usize, event: Event) {
        match event {
            Event::Deliver { message, .. } => self.handle_message(idx, &message),
            Event::Timer { timer, .. } => self.handle_timer(idx, timer),
            Event::AdoptBundle { bundle, .. } => {
                let wall_ms = self.wall_ms(idx);
                let node = &mut self.nodes[idx];
                if bundle.version > node.bundle.version {
                    node.bundle = bundle.clone();
                    node.at_most_once.adopt_bundle(wall_ms, bundle);
                }
            }
            _ => unreachable!("only events addressed to an agent are dispatched to it"),
        }
    }

    fn handle_message(&mut self, idx: usize, message: &Message) {
        let me = self.nodes[idx].at_most_once.local_agent();
        match *message {
            Message::Request(request) => self.handle_request(idx, request),
            Message::GrantRequest(grant_request) => {
                let wall_ms = self.wall_ms(idx);
                let step = self.nodes[idx]
                    .at_most_once
                    .handle_grant_request(wall_ms, grant_request);
                self.apply_owner_step(idx, grant_request, step);
            }
            Message::Verdict {
                key,
                attempt,
                verdict,
                to,
            } if to == me => {
                self.handle_verdict(idx, key, attempt, verdict);
            }
            Message::Fence { request, owner } => {
                let wall_ms = self.wall_ms(idx);
                let reply = self.nodes[idx]
                    .at_most_once
                    .handle_fence_request(wall_ms, &request);
                let (key, below) = (request.key, request.below);
                let fence_reply = Message::FenceReply {
                    key,
                    below,
                    reply,
                    to: owner,
                };
                self.send_message(Some(me.endpoint), owner.endpoint, fence_reply);
            }
            Message::FenceReply {
                key,
                below,
                reply,
                to,
            } if to == me => {
                self.handle_fence_reply(idx, key, below, reply);
            }
            Message::Offer {
                request,
                offer,
                from,
                to,
            } if to == me => {
                self.handle_offer(idx, request, offer, from);
            }
            Message::OfferRefused { offer, to } if to == me => self.handle_refusal(idx, offer),
            // Messages to an earlier incarnation of this agent are ignored.
            Message::Verdict { .. }
            | Message::FenceReply { .. }
            | Message::Offer { .. }
            | Message::OfferRefused { .. } => {}
        }
    }

    fn handle_timer(&mut self, idx: usize, timer: Timer) {
        if timer.incarnation != self.nodes[idx].at_most_once.local_agent().incarnation {
            return;
        }
        match timer.kind {
            TimerKind::ReplyTimeout(id) => self.handle_reply_timeout(idx, id),
            TimerKind::FenceTimeout { key, attempt } => self.finish_settlement(idx, key, attempt),
            TimerKind::RunFinished(id) => self.finish_request(idx, id),
            TimerKind::AdmissionTick => self.handle_admission_event(idx, AdmissionEvent::Tick),
        }
    }

    fn handle_request(&mut self, idx: usize, request: Request) {
        let me = self.nodes[idx].at_most_once.local_agent();
        if !self.random_bool_percent(OFFER_PERCENT) {
            let id = self.add_request(idx, request, Phase::AwaitingVerdict);
            self.request_grant(idx, id);
            return;
        }
        let others = self
            .nodes
            .iter()
            .map(|it| it.at_most_once.local_agent())
            .filter(|it| *it != me);
        let others: Vec<_> = others.collect();
        let to = others[self.rng.random_range(0..others.len())];
        let offer = self.nodes[idx].next_offer;
        self.nodes[idx].next_offer = OfferId::new(offer.get() + 1);
        let id = self.add_request(idx, request, Phase::Offered(offer));
        self.report.offered += 1;
        let message = Message::Offer {
            request,
            offer,
            from: me,
            to,
        };
        self.send_message(Some(me.endpoint), to.endpoint, message);
        self.set_timer(idx, REPLY_TIMEOUT_MS * 4, TimerKind::ReplyTimeout(id));
    }

    /// Accepts or refuses a hand-off offer at random, and ignores duplicates of the offer.
    fn handle_offer(&mut self, idx: usize, request: Request, offer: OfferId, from: Agent) {
        if !self.nodes[idx].seen_offers.insert(from, offer) {
            return;
        }
        if self.rng.random_bool(0.4) {
            let me = self.nodes[idx].at_most_once.local_agent();
            let refused = Message::OfferRefused { offer, to: from };
            self.send_message(Some(me.endpoint), from.endpoint, refused);
            return;
        }
        // The agent that made the offer relays this agent's answer to the caller.
        let id = self.add_request(idx, request, Phase::AwaitingVerdict);
        self.request_grant(idx, id);
    }

    fn handle_refusal(&mut self, idx: usize, offer: OfferId) {
        let requests = &mut self.nodes[idx].requests;
        let offered = requests
            .iter_mut()
            .find(|(_, it)| it.phase == Phase::Offered(offer));
        let Some((id, pending)) = offered else {
            return;
        };
        pending.phase = Phase::AwaitingVerdict;
        let id = *id;
        self.request_grant(idx, id);
    }

    fn add_request(&mut self, idx: usize, request: Request, phase: Phase) -> RequestId {
        let node = &mut self.nodes[idx];
        let id = RequestId::new(node.next_id);
        node.next_id += 1;
        node.requests.push((id, PendingRequest { request, phase }));
        id
    }

    fn request_grant(&mut self, idx: usize, id: RequestId) {
        let node = &self.nodes[idx];
        let position = node.request_position(id).expect("the request is held");
        let request = node.requests[position].1.request;
        let grant_request = GrantRequest {
            key: request.request_key(),
            attempt: request.attempt,
            first_sent_ms: request.first_sent_ms,
            requester: node.at_most_once.local_agent(),
            version: node.at_most_once.version(),
        };
        let owner = node.at_most_once.owner_of(grant_request.key);
        self.set_timer(idx, REPLY_TIMEOUT_MS, TimerKind::ReplyTimeout(id));
        if owner == grant_request.requester.endpoint {
            let wall_ms = self.wall_ms(idx);
            let step = self.nodes[idx]
                .at_most_once
                .handle_grant_request(wall_ms, grant_request);
            self.apply_owner_step(idx, grant_request, step);
        } else {
            self.send_message(
                Some(grant_request.requester.endpoint),
                owner,
                Message::GrantRequest(grant_request),
            );
        }
    }

    /// Sends the verdict or the fences that this agent decided on as the key's owner.
    fn apply_owner_step(&mut self, idx: usize, grant_request: GrantRequest, step: Step) {
        let me = self.nodes[idx].at_most_once.local_agent();
        let GrantRequest {
            key,
            attempt,
            requester,
            ..
        } = grant_request;
        match step {
            Step::Reply(verdict) if requester == me => {
                self.handle_verdict(idx, key, attempt, verdict);
            }
            Step::Reply(verdict) => {
                let message = Message::Verdict {
                    key,
                    attempt,
                    verdict,
                    to: requester,
                };
                self.send_message(Some(me.endpoint), requester.endpoint, message);
            }
            Step::Fence(settlement) => {
                let request = settlement.fence_request(self.nodes[idx].at_most_once.version());
                for target in settlement.targets() {
                    let message = Message::Fence { request, owner: me };
                    self.send_message(Some(me.endpoint), target, message);
                }
                self.nodes[idx].settlements.push(PendingSettlement {
                    settlement,
                    replies: Vec::new(),
                });
                self.set_timer(
                    idx,
                    FENCE_TIMEOUT_MS,
                    TimerKind::FenceTimeout { key, attempt },
                );
            }
        }
    }

    fn handle_fence_reply(
        &mut self,
        idx: usize,
        key: RequestKey,
        below: Attempt,
        reply: FenceReply,
    ) {
        let is_it = |it: &PendingSettlement| {
            let grant_request = it.settlement.grant_request();
            grant_request.key == key && grant_request.attempt == below
        };
        let Some(pending) = self.nodes[idx].settlements.iter_mut().find(|it| is_it(it)) else {
            return;
        };
        pending.replies.push(reply);
        let has_replied = |it: &EndpointId| pending.replies.iter().any(|r| r.agent.endpoint == *it);
        if pending.settlement.targets().iter().all(has_replied) {
            self.finish_settlement(idx, key, below);
        }
    }

    fn finish_settlement(&mut self, idx: usize, key: RequestKey, attempt: Attempt) {
        let node = &mut self.nodes[idx];
        let is_it = |it: &PendingSettlement| {
            let grant_request = it.settlement.grant_request();
            grant_request.key == key && grant_request.attempt == attempt
        };
        let Some(position) = node.settlements.iter().position(is_it) else {
            return;
        };
        let PendingSettlement {
            settlement,
            replies,
        } = node.settlements.remove(position);
        let grant_request = *settlement.grant_request();
        let step = node.at_most_once.handle_fence_replies(settlement, &replies);
        self.apply_owner_step(idx, grant_request, step);
    }

    fn handle_verdict(&mut self, idx: usize, key: RequestKey, attempt: Attempt, verdict: Verdict) {
        let Some(position) = self.nodes[idx].find_awaiting_verdict(key, attempt) else {
            return;
        };
        let (id, pending) = self.nodes[idx].requests[position];
        let is_first = attempt == Attempt::FIRST;
        match verdict {
            Verdict::Granted => {
                self.nodes[idx].requests[position].1.phase = Phase::Queued;
                let deadline_ms = Millis::new(self.now_ms + DEADLINE_MS);
                let class = RequestClass::Short;
                self.handle_admission_event(
                    idx,
                    AdmissionEvent::Arrived {
                        id,
                        class,
                        route: 0,
                        deadline_ms,
                    },
                );
            }
            Verdict::Ran(..) => self.end_request(idx, id, pending, Outcome::Answered),
            Verdict::HistoryIncomplete | Verdict::NotOwner { .. } | Verdict::ClockAhead
                if is_first =>
            {
                self.end_request(idx, id, pending, Outcome::NotRun);
            }
            _ => self.end_request(idx, id, pending, Outcome::Unknown),
        }
    }

    fn handle_reply_timeout(&mut self, idx: usize, id: RequestId) {
        let Some(position) = self.nodes[idx].request_position(id) else {
            return;
        };
        let pending = self.nodes[idx].requests[position].1;
        let is_first = pending.request.attempt == Attempt::FIRST;
        match pending.phase {
            Phase::AwaitingVerdict if is_first => {
                self.end_request(idx, id, pending, Outcome::NotRun);
            }
            Phase::AwaitingVerdict => self.end_request(idx, id, pending, Outcome::Unknown),
            // If the other agent accepted the hand-off, that agent answers the caller; otherwise no
            // agent does.
            Phase::Offered(_) => drop(self.nodes[idx].requests.remove(position)),
            Phase::Queued | Phase::Running => {}
        }
    }

    fn handle_admission_event(&mut self, idx: usize, event: AdmissionEvent) {
        let mut decisions = Vec::new();
        let node = &mut self.nodes[idx];
        node.admission
            .handle_event(Millis::new(self.now_ms), event, &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Start(id) => self.start_request(idx, id),
                Decision::Refuse { id, .. } => self.refuse_request(idx, id),
                Decision::Wait(_) | Decision::Forget(_) => {}
            }
        }
        if let Some(at_ms) = self.nodes[idx].admission.next_tick_ms() {
            let wait_ms = at_ms.get().saturating_sub(self.now_ms).max(1);
            self.set_timer(idx, wait_ms, TimerKind::AdmissionTick);
        }
    }

    fn start_request(&mut self, idx: usize, id: RequestId) {
        let node = &mut self.nodes[idx];
        let position = node
            .request_position(id)
            .expect("a started request is held");
        let pending = node.requests[position].1;
        let Request {
            attempt,
            first_sent_ms,
            key,
        } = pending.request;
        let started =
            node.at_most_once
                .start_attempt(pending.request.request_key(), attempt, first_sent_ms);
        if started.is_err() {
            self.end_request(idx, id, pending, Outcome::Unknown);
            // A request that didn't start doesn't use its slot, which is released after 1 ms.
            self.set_timer(idx, 1, TimerKind::RunFinished(id));
            return;
        }
        self.nodes[idx].requests[position].1.phase = Phase::Running;
        self.record_run(key, attempt);
        let run_ms = self.rng.random_range(5..60);
        self.set_timer(idx, run_ms, TimerKind::RunFinished(id));
    }

    fn finish_request(&mut self, idx: usize, id: RequestId) {
        let node = &mut self.nodes[idx];
        if let Some(position) = node.request_position(id) {
            let pending = node.requests.remove(position).1;
            node.at_most_once
                .finish_attempt(pending.request.request_key());
            self.send_outcome(
                pending.request.key,
                pending.request.attempt,
                Outcome::Answered,
            );
        }
        self.handle_admission_event(
            idx,
            AdmissionEvent::Finished {
                id,
                signal: LoadSignal::Answered,
            },
        );
    }

    fn refuse_request(&mut self, idx: usize, id: RequestId) {
        let position = self.nodes[idx]
            .request_position(id)
            .expect("a refused request is held");
        let pending = self.nodes[idx].requests[position].1;
        self.end_request(idx, id, pending, Outcome::NotRun);
    }

    /// Abandons a request on this agent and sends its caller the outcome.
    fn end_request(
        &mut self,
        idx: usize,
        id: RequestId,
        pending: PendingRequest,
        outcome: Outcome,
    ) {
        let node = &mut self.nodes[idx];
        let position = node.request_position(id).expect("the request is held");
        node.requests.remove(position);
        let Request {
            key,
            attempt,
            first_sent_ms,
        } = pending.request;
        let request_key = pending.request.request_key();
        let is_abandoned = node
            .at_most_once
            .abandon_attempt(request_key, attempt, first_sent_ms);
        assert!(
            is_abandoned || outcome != Outcome::NotRun,
            "an attempt answered with not run was not started by this agent"
        );
        self.send_outcome(key, attempt, outcome);
    }

    fn set_timer(&mut self, idx: usize, wait_ms: u64, kind: TimerKind) {
        let me = self.nodes[idx].at_most_once.local_agent();
        let timer = Timer {
            incarnation: me.incarnation,
            kind,
        };
        let event = Event::Timer {
            to: me.endpoint,
            timer,
        };
        self.queue.push(self.now_ms + wait_ms, event);
    }

    /// Returns the current time by an agent's clock, which deviates from the true time.
    fn wall_ms(&self, idx: usize) -> Millis {
        Millis::new(self.now_ms + self.nodes[idx].clock_offset_ms - CLOCK_SKEW_MAX_MS)
    }
}
