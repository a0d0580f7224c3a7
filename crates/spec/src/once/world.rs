//! The state of callers, network and agents, and every step from it.

use admission::at_most_once::{
    Agent, AtMostOnceState, Attempt, BundleEndpoints, FenceReply, FenceRequest, GrantRequest,
    PastRun, RequestKey, Settlement, Step, Verdict,
};
use admission::handoff::{OfferId, SeenOffers};
use units::{BundleVersion, EndpointId, Incarnation, Millis};

use super::Limits;

/// The one key.
const KEY: RequestKey = RequestKey::new([7; 16]);

/// Another key, used to make an agent forget the one key.
const OTHER_KEY: RequestKey = RequestKey::new([9; 16]);

/// When the agents started, the key was first sent, and everything after it happens.
const START_MS: Millis = Millis::new(0);
const FIRST_SENT_MS: Millis = Millis::new(100_000);
const NOW_MS: Millis = Millis::new(200_000);

/// One rule broken on purpose, for which the search must find a counterexample.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// Nothing is broken.
    None,
    /// An owner takes an agent that gives no answer as one that didn't run the key.
    SilenceIsNotRun,
    /// An agent answers a fence but doesn't keep it.
    FenceNotKept,
    /// An agent answers "not run" without the promise never to start the attempt.
    NotRunWithoutPromise,
    /// A restarted agent claims a memory that reaches back to the first attempt.
    RestartClaimsMemory,
    /// An agent decides anew on a duplicate of a hand-off.
    OfferDecidedTwice,
    /// A run that is found is answered as unknown.
    RunIsUnknown,
}

/// What must never be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Violation {
    /// The request ran more than once.
    RanTwice,
    /// "Not run" was answered to an attempt, and it or an earlier one ran.
    NotRunButRan,
    /// "Outcome unknown" was answered though nothing went wrong.
    UnknownWithoutFault,
    /// An agent started an attempt after it had answered a fence against it.
    FencedRan,
    /// A run was reported that didn't happen.
    ReportedRunMissing,
}

/// An attempt as one agent has it. A hand-off that was duplicated makes another copy, of which
/// the caller hears nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Copied {
    attempt: Attempt,
    phase: Phase,
    has_caller: bool,
}

/// How far a copy of an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase {
    /// The owner was asked by this agent.
    Asked(Agent),
    /// This agent offered it to another one.
    Offered(Agent),
    /// This agent may start it.
    Granted(Agent),
    /// This agent started it.
    Started(Agent),
    /// The caller got its answer or lost its agent.
    Over,
}

/// A message on its way. Replies go to one run of an agent, calls to whichever is there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Ask {
        ask: GrantRequest,
        to: EndpointId,
    },
    Verdict {
        attempt: Attempt,
        verdict: Verdict,
        to: Agent,
    },
    Fence {
        request: FenceRequest,
        owner: Agent,
        to: EndpointId,
    },
    Fenced {
        reply: FenceReply,
        below: Attempt,
        to: Agent,
    },
    HandOff {
        attempt: Attempt,
        from: Agent,
        to: Agent,
    },
    HandOffRefused {
        attempt: Attempt,
        to: Agent,
    },
}

/// A settlement an owner waits for, with the replies so far.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Pending {
    owner: Agent,
    settle: Settlement,
    replies: Vec<FenceReply>,
}

/// The state of callers, network and agents.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    limits: Limits,
    mutation: Mutation,
    agents: Vec<AtMostOnceState>,
    /// By agent, the hand-offs it decided on.
    decided: Vec<SeenOffers>,
    /// In the order they came to be.
    copies: Vec<Copied>,
    /// Attempts sent so far.
    sent: u8,
    /// Sorted.
    network: Vec<Message>,
    /// Sorted.
    pending: Vec<Pending>,
    faults: u8,
    hand_offs: u8,
    adoptions: u8,
    /// Attempts that were sent to the upstream.
    ran: Vec<Attempt>,
    /// Highest attempt that was answered with "not run".
    not_run: Attempt,
    /// Fences answered with [`PastRun::NotRun`], sorted.
    fences: Vec<(Agent, Attempt)>,
    violation: Option<Violation>,
}

impl World {
    pub(super) fn new(limits: Limits, mutation: Mutation) -> Self {
        let agent = |number: u8| {
            let me = Agent {
                endpoint: EndpointId::new(u32::from(number)),
                incarnation: Incarnation::new(1),
            };
            AtMostOnceState::new(me, START_MS, first_view(limits)).with_records_max(1)
        };
        Self {
            limits,
            mutation,
            agents: (0..limits.agents).map(agent).collect(),
            decided: vec![SeenOffers::default(); usize::from(limits.agents)],
            copies: Vec::new(),
            sent: 0,
            network: Vec::new(),
            pending: Vec::new(),
            faults: 0,
            hand_offs: 0,
            adoptions: 0,
            ran: Vec::new(),
            not_run: Attempt::default(),
            fences: Vec::new(),
            violation: None,
        }
    }

    pub(super) fn violation(&self) -> Option<Violation> {
        if self.violation.is_some() {
            return self.violation;
        }
        if self.ran.len() > 1 {
            return Some(Violation::RanTwice);
        }
        let is_denied = self.ran.iter().any(|it| *it <= self.not_run);
        is_denied.then_some(Violation::NotRunButRan)
    }

    pub(super) fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        self.caller_steps(&mut next);
        self.agent_steps(&mut next);
        self.network_steps(&mut next);
        if self.faults < self.limits.faults {
            self.fault_steps(&mut next);
        }
        for world in &mut next {
            world.network.sort_unstable();
            world.pending.sort_unstable();
            world.fences.sort_unstable();
        }
        next
    }

    /// The caller sends the next attempt to any agent, which asks or offers it to another.
    fn caller_steps(&self, next: &mut Vec<Self>) {
        if self.sent >= self.limits.attempts {
            return;
        }
        let has_answer = self.copies.iter().all(|it| it.phase == Phase::Over);
        if !has_answer && self.faults >= self.limits.faults {
            return;
        }
        let attempt = Attempt::new(u32::from(self.sent) + 1);
        for agent in &self.agents {
            let me = agent.local_agent();
            let mut world = self.clone();
            world.faults += u8::from(!has_answer);
            world.send(attempt, Phase::Asked(me));
            world.ask(attempt, me);
            if self.hand_offs < self.limits.hand_offs {
                self.offer_steps(attempt, me, !has_answer, next);
            }
            next.push(world);
        }
    }

    fn offer_steps(&self, attempt: Attempt, from: Agent, is_early: bool, next: &mut Vec<Self>) {
        for to in self
            .agents
            .iter()
            .map(AtMostOnceState::local_agent)
            .filter(|it| *it != from)
        {
            let mut world = self.clone();
            world.faults += u8::from(is_early);
            world.hand_offs += 1;
            world.send(attempt, Phase::Offered(from));
            world.network.push(Message::HandOff { attempt, from, to });
            next.push(world);
        }
    }

    /// An agent starts a granted attempt, refuses it, or its upstream answers.
    fn agent_steps(&self, next: &mut Vec<Self>) {
        for (idx, copy) in self.copies.iter().enumerate() {
            match copy.phase {
                Phase::Granted(agent) => {
                    let mut started = self.clone();
                    started.start(idx, agent);
                    next.push(started);
                    let mut refused = self.clone();
                    refused.refuse(idx, agent);
                    next.push(refused);
                }
                Phase::Started(agent) => {
                    let mut world = self.clone();
                    world.with_agent(agent, |it| it.finish_attempt(KEY));
                    world.copies[idx].phase = Phase::Over;
                    next.push(world);
                }
                Phase::Asked(_) | Phase::Offered(_) | Phase::Over => {}
            }
        }
    }

    fn network_steps(&self, next: &mut Vec<Self>) {
        for idx in 0..self.network.len() {
            let mut world = self.clone();
            let message = world.network.remove(idx);
            if let Message::HandOff { attempt, from, to } = message {
                if !world.is_new_offer(attempt, from, to) {
                    next.push(world);
                    continue;
                }
                // The callee may also refuse it.
                let mut refused = world.clone();
                refused
                    .network
                    .push(Message::HandOffRefused { attempt, to: from });
                next.push(refused);
                world.take_over(attempt, to);
            } else {
                world.deliver(&message);
            }
            next.push(world);
        }
        if self.adoptions < self.limits.adoptions {
            for idx in 0..self.agents.len() {
                let mut world = self.clone();
                world.adoptions += 1;
                world.agents[idx].adopt_bundle(NOW_MS, second_view(self.limits));
                next.push(world);
            }
        }
    }

    fn fault_steps(&self, next: &mut Vec<Self>) {
        let faulty = || {
            let mut world = self.clone();
            world.faults += 1;
            world
        };
        for (idx, message) in self.network.iter().enumerate() {
            let mut lost = faulty();
            lost.network.remove(idx);
            next.push(lost);
            let mut doubled = faulty();
            doubled.network.push(message.clone());
            next.push(doubled);
        }
        for (idx, copy) in self.copies.iter().enumerate() {
            if let Phase::Asked(agent) | Phase::Offered(agent) = copy.phase {
                let mut world = faulty();
                world.time_out(idx, agent);
                next.push(world);
            }
        }
        for idx in 0..self.pending.len() {
            let mut world = faulty();
            let Pending {
                owner,
                settle,
                mut replies,
            } = world.pending.remove(idx);
            if self.mutation == Mutation::SilenceIsNotRun {
                replies.extend(settle.targets().iter().map(|it| invented_reply(*it)));
            }
            let step = world.with_agent(owner, |it| {
                it.handle_fence_replies(settle.clone(), &replies)
            });
            world.follow(owner, *settle.grant_request(), step);
            next.push(world);
        }
        for idx in 0..self.agents.len() {
            let mut restarted = faulty();
            restarted.restart(idx);
            next.push(restarted);
            let mut forgetful = faulty();
            forgetful.forget(idx);
            next.push(forgetful);
        }
    }

    fn ask(&mut self, attempt: Attempt, requester: Agent) {
        let agent = self
            .agents
            .iter()
            .find(|it| it.local_agent() == requester)
            .expect("the requester runs");
        let version = agent.version();
        let ask = GrantRequest {
            key: KEY,
            attempt,
            first_sent_ms: FIRST_SENT_MS,
            requester,
            version,
        };
        let to = agent.owner_of(KEY);
        self.network.push(Message::Ask { ask, to });
    }

    fn deliver(&mut self, message: &Message) {
        match *message {
            Message::Ask { ask, to } => {
                let Some(owner) = self.at(to) else { return };
                let step = self.with_agent(owner, |it| it.handle_grant_request(NOW_MS, ask));
                self.follow(owner, ask, step);
            }
            Message::Verdict {
                attempt,
                verdict,
                to,
            } => self.take_verdict(attempt, verdict, to),
            Message::Fence {
                ref request,
                owner,
                to,
            } => self.fence(request, owner, to),
            Message::Fenced { reply, below, to } => self.take_reply(reply, below, to),
            Message::HandOffRefused { attempt, to } => {
                let Some(idx) = self.find(attempt, Phase::Offered(to)) else {
                    return;
                };
                self.copies[idx].phase = Phase::Asked(to);
                self.ask(attempt, to);
            }
            Message::HandOff { .. } => unreachable!("taken over or refused above"),
        }
    }

    /// Does what an owner decided.
    fn follow(&mut self, owner: Agent, ask: GrantRequest, step: Step) {
        match step {
            Step::Reply(verdict) => {
                let GrantRequest {
                    attempt, requester, ..
                } = ask;
                self.network.push(Message::Verdict {
                    attempt,
                    verdict,
                    to: requester,
                });
            }
            Step::Fence(settle) => {
                let version = self.with_agent(owner, |it| it.version());
                let request = settle.fence_request(version);
                let fence = |to| Message::Fence { request, owner, to };
                self.network.extend(settle.targets().into_iter().map(fence));
                self.pending.push(Pending {
                    owner,
                    settle,
                    replies: Vec::new(),
                });
            }
        }
    }

    fn fence(&mut self, request: &FenceRequest, owner: Agent, to: EndpointId) {
        let Some(agent) = self.at(to) else { return };
        let keeps = self.mutation != Mutation::FenceNotKept;
        let reply = if keeps {
            self.with_agent(agent, |it| it.handle_fence_request(NOW_MS, request))
        } else {
            self.with_agent(agent, |it| it.clone().handle_fence_request(NOW_MS, request))
        };
        if reply.past == PastRun::NotRun {
            self.fences.push((agent, request.below));
        }
        self.network.push(Message::Fenced {
            reply,
            below: request.below,
            to: owner,
        });
    }

    fn take_reply(&mut self, reply: FenceReply, below: Attempt, to: Agent) {
        let is_mine = |it: &Pending| it.owner == to && it.settle.grant_request().attempt == below;
        let Some(idx) = self.pending.iter().position(is_mine) else {
            return;
        };
        let mut pending = self.pending.remove(idx);
        pending.replies.push(reply);
        let has = |it: &EndpointId| pending.replies.iter().any(|r| r.agent.endpoint == *it);
        if !pending.settle.targets().iter().all(has) {
            self.pending.push(pending);
            return;
        }
        let ask = *pending.settle.grant_request();
        let step = self.with_agent(to, |it| {
            it.handle_fence_replies(pending.settle, &pending.replies)
        });
        self.follow(to, ask, step);
    }

    fn take_verdict(&mut self, attempt: Attempt, verdict: Verdict, to: Agent) {
        let Some(idx) = self.find(attempt, Phase::Asked(to)) else {
            return;
        };
        match verdict {
            Verdict::Granted => self.copies[idx].phase = Phase::Granted(to),
            Verdict::Ran(..) if self.mutation != Mutation::RunIsUnknown => {
                if self.ran.is_empty() {
                    self.violation = Some(Violation::ReportedRunMissing);
                }
                self.copies[idx].phase = Phase::Over;
            }
            Verdict::HistoryIncomplete | Verdict::NotOwner { .. } | Verdict::ClockAhead
                if attempt == Attempt::FIRST =>
            {
                self.refuse(idx, to);
            }
            _ => self.tell_unknown(idx, to),
        }
    }

    /// Returns whether the callee has this offer for the first time, in the run it was made to.
    fn is_new_offer(&mut self, attempt: Attempt, from: Agent, to: Agent) -> bool {
        let Some(idx) = self.agents.iter().position(|it| it.local_agent() == to) else {
            return false;
        };
        let offer = OfferId::new(u64::from(attempt.get()));
        let is_new = self.decided[idx].insert(from, offer);
        is_new || self.mutation == Mutation::OfferDecidedTwice
    }

    fn take_over(&mut self, attempt: Attempt, to: Agent) {
        let is_offered =
            |it: &Copied| it.attempt == attempt && matches!(it.phase, Phase::Offered(_));
        if let Some(idx) = self.copies.iter().position(is_offered) {
            self.copies[idx].phase = Phase::Asked(to);
        } else {
            let phase = Phase::Asked(to);
            self.copies.push(Copied {
                attempt,
                phase,
                has_caller: false,
            });
        }
        self.ask(attempt, to);
    }

    fn time_out(&mut self, idx: usize, agent: Agent) {
        let Copied { attempt, phase, .. } = self.copies[idx];
        if matches!(phase, Phase::Asked(_)) && attempt == Attempt::FIRST {
            self.refuse(idx, agent);
        } else {
            self.tell_unknown(idx, agent);
        }
    }

    fn start(&mut self, idx: usize, agent: Agent) {
        let attempt = self.copies[idx].attempt;
        let started = self.with_agent(agent, |it| it.start_attempt(KEY, attempt, FIRST_SENT_MS));
        if started.is_err() {
            self.tell_unknown(idx, agent);
            return;
        }
        if self
            .fences
            .iter()
            .any(|(at, below)| *at == agent && attempt < *below)
        {
            self.violation = Some(Violation::FencedRan);
        }
        self.ran.push(attempt);
        self.copies[idx].phase = Phase::Started(agent);
    }

    /// Answers "not run".
    fn refuse(&mut self, idx: usize, agent: Agent) {
        let Copied {
            attempt,
            has_caller,
            ..
        } = self.copies[idx];
        if has_caller {
            self.not_run = self.not_run.max(attempt);
        }
        if self.mutation == Mutation::NotRunWithoutPromise {
            // The attempt stays where a late grant still finds it.
            return;
        }
        let is_kept = self.with_agent(agent, |it| it.abandon_attempt(KEY, attempt, FIRST_SENT_MS));
        assert!(
            is_kept || !has_caller,
            "an attempt is refused only before it starts"
        );
        self.copies[idx].phase = Phase::Over;
    }

    fn tell_unknown(&mut self, idx: usize, agent: Agent) {
        let attempt = self.copies[idx].attempt;
        let _is_kept = self.with_agent(agent, |it| it.abandon_attempt(KEY, attempt, FIRST_SENT_MS));
        if self.faults == 0 && self.adoptions == 0 {
            self.violation = Some(Violation::UnknownWithoutFault);
        }
        self.copies[idx].phase = Phase::Over;
    }

    fn restart(&mut self, idx: usize) {
        let before = self.agents[idx].local_agent();
        let me = Agent {
            incarnation: Incarnation::new(before.incarnation.get() + 1),
            ..before
        };
        let has_adopted = self.agents[idx].version() > first_view(self.limits).version;
        let view = if has_adopted {
            second_view(self.limits)
        } else {
            first_view(self.limits)
        };
        let claims = self.mutation == Mutation::RestartClaimsMemory;
        let now_ms = if claims { START_MS } else { NOW_MS };
        self.agents[idx] = AtMostOnceState::new(me, now_ms, view).with_records_max(1);
        self.decided[idx] = SeenOffers::default();
        self.pending.retain(|it| it.owner != before);
        for copy in &mut self.copies {
            let is_lost = matches!(copy.phase, Phase::Asked(at) | Phase::Offered(at)
                | Phase::Granted(at) | Phase::Started(at) if at == before);
            if is_lost {
                copy.phase = Phase::Over;
            }
        }
    }

    /// Makes an agent forget the key by another one that takes its room.
    fn forget(&mut self, idx: usize) {
        let request = FenceRequest {
            key: OTHER_KEY,
            below: Attempt::FIRST,
            first_sent_ms: NOW_MS,
            version: self.agents[idx].version(),
        };
        let _reply = self.agents[idx].handle_fence_request(NOW_MS, &request);
    }

    fn send(&mut self, attempt: Attempt, phase: Phase) {
        self.sent += 1;
        self.copies.push(Copied {
            attempt,
            phase,
            has_caller: true,
        });
    }

    /// Finds a copy of an attempt in a phase.
    fn find(&self, attempt: Attempt, phase: Phase) -> Option<usize> {
        self.copies
            .iter()
            .position(|it| it.attempt == attempt && it.phase == phase)
    }

    /// Returns the agent that runs beside an endpoint.
    fn at(&self, endpoint: EndpointId) -> Option<Agent> {
        self.agents
            .iter()
            .map(AtMostOnceState::local_agent)
            .find(|it| it.endpoint == endpoint)
    }

    fn with_agent<T>(&mut self, agent: Agent, act: impl FnOnce(&mut AtMostOnceState) -> T) -> T {
        let once = self.agents.iter_mut().find(|it| it.local_agent() == agent);
        act(once.expect("messages to runs that are gone were dropped"))
    }
}

/// The first bundle: every endpoint.
fn first_view(limits: Limits) -> BundleEndpoints {
    let all = (0..u32::from(limits.agents)).map(EndpointId::new);
    BundleEndpoints::new(BundleVersion::new(1), all.collect())
}

/// The second bundle: without the first endpoint.
fn second_view(limits: Limits) -> BundleEndpoints {
    let kept = (1..u32::from(limits.agents)).map(EndpointId::new);
    BundleEndpoints::new(BundleVersion::new(2), kept.collect())
        .with_previous(first_view(limits).current)
}

/// The reply that a broken owner makes up for an agent that is silent.
fn invented_reply(endpoint: EndpointId) -> FenceReply {
    FenceReply {
        agent: Agent {
            endpoint,
            incarnation: Incarnation::new(1),
        },
        version: BundleVersion::new(1),
        past: PastRun::NotRun,
        prior_fence: Attempt::default(),
        granted: None,
        is_superseded: false,
    }
}
