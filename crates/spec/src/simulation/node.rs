//! One agent: its cores, its requests, and what it does on each event.

use admission::{
    Admission, Config, Decision, Event as SlotEvent, LoadSignal, RequestId,
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
    BEGIN_MS, Faults, SKEW_MAX_MS, Simulation,
    caller::Heard,
    event::{Due, Event, Message, Request, Timer},
};

/// Slots of an endpoint.
const SLOTS: Slots = Slots::new(2);

/// Time an agent gives an owner or a callee.
const GIVE_UP_MS: u64 = 900;

/// Time an owner gives the agents it fences.
const FENCE_MS: u64 = 300;

/// Time from arrival at the slots to the deadline.
const DEADLINE_MS: u64 = 2_000;

/// Share of requests that are offered to another agent, in percent.
const OFFER_PERCENT: f64 = 15.0;

/// One agent.
#[derive(Debug)]
pub(super) struct Node {
    once: AtMostOnceState,
    admission: Admission,
    decided: SeenOffers,
    /// The bundle adopted last, taken over by the next run.
    view: BundleEndpoints,
    /// Sorted by id.
    requests: Vec<(RequestId, Held)>,
    settles: Vec<Pending>,
    next_id: u64,
    next_offer: OfferId,
    /// What its clock shows beyond the true time, shifted to be positive.
    clock_ahead_ms: u64,
    /// Until when it is paused.
    pub(super) awake_ms: u64,
}

/// A request that an agent has.
#[derive(Debug, Clone, Copy)]
struct Held {
    request: Request,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Asking,
    Offered(OfferId),
    Queued,
    Running,
}

/// A settlement that waits for replies.
#[derive(Debug)]
struct Pending {
    settle: Settlement,
    replies: Vec<FenceReply>,
}

impl Node {
    pub(super) fn new(
        endpoint: EndpointId,
        rng: &mut StdRng,
        view: BundleEndpoints,
        faults: Faults,
    ) -> Self {
        let me = Agent {
            endpoint,
            incarnation: Incarnation::new(1),
        };
        let clock_ahead_ms = rng.random_range(0..2 * SKEW_MAX_MS);
        Self::of(me, BEGIN_MS, clock_ahead_ms, view, faults)
    }

    /// Ends the present run and starts the next with empty memory.
    pub(super) fn restart(&mut self, true_ms: u64, faults: Faults) {
        let before = self.once.local_agent();
        let incarnation = Incarnation::new(before.incarnation.get() + 1);
        let me = Agent {
            incarnation,
            ..before
        };
        *self = Self::of(me, true_ms, self.clock_ahead_ms, self.view.clone(), faults);
    }

    fn of(
        me: Agent,
        true_ms: u64,
        clock_ahead_ms: u64,
        view: BundleEndpoints,
        faults: Faults,
    ) -> Self {
        let wall_ms = Millis::new(true_ms + clock_ahead_ms - SKEW_MAX_MS);
        let once =
            AtMostOnceState::new(me, wall_ms, view.clone()).with_records_max(faults.records_max);
        Self {
            once,
            admission: Admission::new(Millis::new(true_ms), Config::new(SLOTS)),
            decided: SeenOffers::default(),
            view,
            requests: Vec::new(),
            settles: Vec::new(),
            next_id: 1,
            next_offer: OfferId::new(1),
            clock_ahead_ms,
            awake_ms: 0,
        }
    }

    fn position(&self, id: RequestId) -> Option<usize> {
        self.requests.binary_search_by_key(&id, |it| it.0).ok()
    }

    fn find(&self, key: RequestKey, attempt: Attempt) -> Option<usize> {
        self.requests.iter().position(|(_, it)| {
            let is_it = it.request.request_key() == key && it.request.attempt == attempt;
            is_it && it.phase == Phase::Asking
        })
    }
}

impl Simulation {
    pub(super) fn node_event(&mut self, idx: usize, event: Event) {
        match event {
            Event::Deliver { message, .. } => self.node_message(idx, &message),
            Event::Timer { timer, .. } => self.node_timer(idx, timer),
            Event::Adopt { view, .. } => {
                let wall_ms = self.wall_ms(idx);
                let node = &mut self.nodes[idx];
                if view.version > node.view.version {
                    node.view = view.clone();
                    node.once.adopt_bundle(wall_ms, view);
                }
            }
            _ => unreachable!("only events of agents come here"),
        }
    }

    fn node_message(&mut self, idx: usize, message: &Message) {
        let me = self.nodes[idx].once.local_agent();
        match *message {
            Message::Request(request) => self.node_request(idx, request),
            Message::Ask(ask) => {
                let wall_ms = self.wall_ms(idx);
                let step = self.nodes[idx].once.handle_grant_request(wall_ms, ask);
                self.follow(idx, ask, step);
            }
            Message::Verdict {
                key,
                attempt,
                verdict,
                to,
            } if to == me => {
                self.node_verdict(idx, key, attempt, verdict);
            }
            Message::Fence { request, owner } => {
                let wall_ms = self.wall_ms(idx);
                let reply = self.nodes[idx].once.handle_fence_request(wall_ms, &request);
                let (key, below) = (request.key, request.below);
                let fenced = Message::Fenced {
                    key,
                    below,
                    reply,
                    to: owner,
                };
                self.send(Some(me.endpoint), owner.endpoint, fenced);
            }
            Message::Fenced {
                key,
                below,
                reply,
                to,
            } if to == me => {
                self.node_fenced(idx, key, below, reply);
            }
            Message::Offer {
                request,
                offer,
                from,
                to,
            } if to == me => {
                self.node_offer(idx, request, offer, from);
            }
            Message::OfferRefused { offer, to } if to == me => self.take_back(idx, offer),
            // Meant for an earlier run of this agent.
            Message::Verdict { .. }
            | Message::Fenced { .. }
            | Message::Offer { .. }
            | Message::OfferRefused { .. } => {}
        }
    }

    fn node_timer(&mut self, idx: usize, timer: Timer) {
        if timer.incarnation != self.nodes[idx].once.local_agent().incarnation {
            return;
        }
        match timer.due {
            Due::GiveUp(id) => self.give_up(idx, id),
            Due::Conclude { key, attempt } => self.conclude(idx, key, attempt),
            Due::RunEnds(id) => self.run_ends(idx, id),
            Due::Tick => self.slot_event(idx, SlotEvent::Tick),
        }
    }

    fn node_request(&mut self, idx: usize, request: Request) {
        let me = self.nodes[idx].once.local_agent();
        if !self.chance(OFFER_PERCENT) {
            let id = self.hold(idx, request, Phase::Asking);
            self.ask_owner(idx, id);
            return;
        }
        let others = self
            .nodes
            .iter()
            .map(|it| it.once.local_agent())
            .filter(|it| *it != me);
        let others: Vec<_> = others.collect();
        let to = others[self.rng.random_range(0..others.len())];
        let offer = self.nodes[idx].next_offer;
        self.nodes[idx].next_offer = OfferId::new(offer.get() + 1);
        let id = self.hold(idx, request, Phase::Offered(offer));
        self.report.offered += 1;
        let message = Message::Offer {
            request,
            offer,
            from: me,
            to,
        };
        self.send(Some(me.endpoint), to.endpoint, message);
        self.set_timer(idx, GIVE_UP_MS * 4, Due::GiveUp(id));
    }

    /// Takes an offer or refuses it, once.
    fn node_offer(&mut self, idx: usize, request: Request, offer: OfferId, from: Agent) {
        if !self.nodes[idx].decided.insert(from, offer) {
            return;
        }
        if self.rng.random_bool(0.4) {
            let me = self.nodes[idx].once.local_agent();
            let refused = Message::OfferRefused { offer, to: from };
            self.send(Some(me.endpoint), from.endpoint, refused);
            return;
        }
        // The origin passes on what this agent answers, so the caller hears it.
        let id = self.hold(idx, request, Phase::Asking);
        self.ask_owner(idx, id);
    }

    fn take_back(&mut self, idx: usize, offer: OfferId) {
        let requests = &mut self.nodes[idx].requests;
        let offered = requests
            .iter_mut()
            .find(|(_, it)| it.phase == Phase::Offered(offer));
        let Some((id, held)) = offered else { return };
        held.phase = Phase::Asking;
        let id = *id;
        self.ask_owner(idx, id);
    }

    fn hold(&mut self, idx: usize, request: Request, phase: Phase) -> RequestId {
        let node = &mut self.nodes[idx];
        let id = RequestId::new(node.next_id);
        node.next_id += 1;
        node.requests.push((id, Held { request, phase }));
        id
    }

    fn ask_owner(&mut self, idx: usize, id: RequestId) {
        let node = &self.nodes[idx];
        let position = node.position(id).expect("the request is held");
        let request = node.requests[position].1.request;
        let ask = GrantRequest {
            key: request.request_key(),
            attempt: request.attempt,
            first_sent_ms: request.first_sent_ms,
            requester: node.once.local_agent(),
            version: node.once.version(),
        };
        let owner = node.once.owner_of(ask.key);
        self.set_timer(idx, GIVE_UP_MS, Due::GiveUp(id));
        if owner == ask.requester.endpoint {
            let wall_ms = self.wall_ms(idx);
            let step = self.nodes[idx].once.handle_grant_request(wall_ms, ask);
            self.follow(idx, ask, step);
        } else {
            self.send(Some(ask.requester.endpoint), owner, Message::Ask(ask));
        }
    }

    /// Does what this agent decided as owner.
    fn follow(&mut self, idx: usize, ask: GrantRequest, step: Step) {
        let me = self.nodes[idx].once.local_agent();
        let GrantRequest {
            key,
            attempt,
            requester,
            ..
        } = ask;
        match step {
            Step::Reply(verdict) if requester == me => {
                self.node_verdict(idx, key, attempt, verdict);
            }
            Step::Reply(verdict) => {
                let message = Message::Verdict {
                    key,
                    attempt,
                    verdict,
                    to: requester,
                };
                self.send(Some(me.endpoint), requester.endpoint, message);
            }
            Step::Fence(settle) => {
                let request = settle.fence_request(self.nodes[idx].once.version());
                for target in settle.targets() {
                    let message = Message::Fence { request, owner: me };
                    self.send(Some(me.endpoint), target, message);
                }
                self.nodes[idx].settles.push(Pending {
                    settle,
                    replies: Vec::new(),
                });
                self.set_timer(idx, FENCE_MS, Due::Conclude { key, attempt });
            }
        }
    }

    fn node_fenced(&mut self, idx: usize, key: RequestKey, below: Attempt, reply: FenceReply) {
        let is_it = |it: &Pending| {
            let ask = it.settle.grant_request();
            ask.key == key && ask.attempt == below
        };
        let Some(pending) = self.nodes[idx].settles.iter_mut().find(|it| is_it(it)) else {
            return;
        };
        pending.replies.push(reply);
        let has = |it: &EndpointId| pending.replies.iter().any(|r| r.agent.endpoint == *it);
        if pending.settle.targets().iter().all(has) {
            self.conclude(idx, key, below);
        }
    }

    fn conclude(&mut self, idx: usize, key: RequestKey, attempt: Attempt) {
        let node = &mut self.nodes[idx];
        let is_it = |it: &Pending| {
            let ask = it.settle.grant_request();
            ask.key == key && ask.attempt == attempt
        };
        let Some(position) = node.settles.iter().position(is_it) else {
            return;
        };
        let Pending { settle, replies } = node.settles.remove(position);
        let ask = *settle.grant_request();
        let step = node.once.handle_fence_replies(settle, &replies);
        self.follow(idx, ask, step);
    }

    fn node_verdict(&mut self, idx: usize, key: RequestKey, attempt: Attempt, verdict: Verdict) {
        let Some(position) = self.nodes[idx].find(key, attempt) else {
            return;
        };
        let (id, held) = self.nodes[idx].requests[position];
        let is_first = attempt == Attempt::FIRST;
        match verdict {
            Verdict::Granted => {
                self.nodes[idx].requests[position].1.phase = Phase::Queued;
                let deadline_ms = Millis::new(self.now_ms + DEADLINE_MS);
                let class = RequestClass::Short;
                self.slot_event(
                    idx,
                    SlotEvent::Arrived {
                        id,
                        class,
                        route: 0,
                        deadline_ms,
                    },
                );
            }
            Verdict::Ran(..) => self.end(idx, id, held, Heard::Answer),
            Verdict::HistoryIncomplete | Verdict::NotOwner { .. } | Verdict::ClockAhead
                if is_first =>
            {
                self.end(idx, id, held, Heard::NotRun);
            }
            _ => self.end(idx, id, held, Heard::Unknown),
        }
    }

    fn give_up(&mut self, idx: usize, id: RequestId) {
        let Some(position) = self.nodes[idx].position(id) else {
            return;
        };
        let held = self.nodes[idx].requests[position].1;
        let is_first = held.request.attempt == Attempt::FIRST;
        match held.phase {
            Phase::Asking if is_first => self.end(idx, id, held, Heard::NotRun),
            Phase::Asking => self.end(idx, id, held, Heard::Unknown),
            // Taken or unclear: the callee tells, or nobody can.
            Phase::Offered(_) => drop(self.nodes[idx].requests.remove(position)),
            Phase::Queued | Phase::Running => {}
        }
    }

    fn slot_event(&mut self, idx: usize, event: SlotEvent) {
        let mut decisions = Vec::new();
        let node = &mut self.nodes[idx];
        node.admission
            .handle_event(Millis::new(self.now_ms), event, &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Start(id) => self.start_run(idx, id),
                Decision::Refuse { id, .. } => self.refused(idx, id),
                Decision::Wait(_) | Decision::Forget(_) => {}
            }
        }
        if let Some(at_ms) = self.nodes[idx].admission.next_tick_ms() {
            let wait_ms = at_ms.get().saturating_sub(self.now_ms).max(1);
            self.set_timer(idx, wait_ms, Due::Tick);
        }
    }

    fn start_run(&mut self, idx: usize, id: RequestId) {
        let node = &mut self.nodes[idx];
        let position = node.position(id).expect("a started request is held");
        let held = node.requests[position].1;
        let Request {
            attempt,
            first_sent_ms,
            key,
        } = held.request;
        let started = node
            .once
            .start_attempt(held.request.request_key(), attempt, first_sent_ms);
        if started.is_err() {
            self.end(idx, id, held, Heard::Unknown);
            // The slot is free again a moment later.
            self.set_timer(idx, 1, Due::RunEnds(id));
            return;
        }
        self.nodes[idx].requests[position].1.phase = Phase::Running;
        self.note_run(key, attempt);
        let run_ms = self.rng.random_range(5..60);
        self.set_timer(idx, run_ms, Due::RunEnds(id));
    }

    fn run_ends(&mut self, idx: usize, id: RequestId) {
        let node = &mut self.nodes[idx];
        if let Some(position) = node.position(id) {
            let held = node.requests.remove(position).1;
            node.once.finish_attempt(held.request.request_key());
            self.tell(held.request.key, held.request.attempt, Heard::Answer);
        }
        self.slot_event(
            idx,
            SlotEvent::Finished {
                id,
                signal: LoadSignal::Answered,
            },
        );
    }

    fn refused(&mut self, idx: usize, id: RequestId) {
        let position = self.nodes[idx]
            .position(id)
            .expect("a refused request is held");
        let held = self.nodes[idx].requests[position].1;
        self.end(idx, id, held, Heard::NotRun);
    }

    /// Gives a request up for good and tells its caller.
    fn end(&mut self, idx: usize, id: RequestId, held: Held, heard: Heard) {
        let node = &mut self.nodes[idx];
        let position = node.position(id).expect("the request is held");
        node.requests.remove(position);
        let Request {
            key,
            attempt,
            first_sent_ms,
        } = held.request;
        let request_key = held.request.request_key();
        let is_kept = node
            .once
            .abandon_attempt(request_key, attempt, first_sent_ms);
        assert!(
            is_kept || heard != Heard::NotRun,
            "a refused attempt was not started here"
        );
        self.tell(key, attempt, heard);
    }

    fn set_timer(&mut self, idx: usize, wait_ms: u64, due: Due) {
        let me = self.nodes[idx].once.local_agent();
        let timer = Timer {
            incarnation: me.incarnation,
            due,
        };
        let event = Event::Timer {
            to: me.endpoint,
            timer,
        };
        self.queue.push(self.now_ms + wait_ms, event);
    }

    /// Returns what an agent's clock shows.
    fn wall_ms(&self, idx: usize) -> Millis {
        Millis::new(self.now_ms + self.nodes[idx].clock_ahead_ms - SKEW_MAX_MS)
    }
}
