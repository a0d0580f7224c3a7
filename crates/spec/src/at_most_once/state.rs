//! State of the at-most-once model and its transitions.

use admission::at_most_once::{
    Agent, AtMostOnceState, Attempt, BundleEndpoints, FenceReply, FenceRequest, GrantRequest,
    PastRun, RequestKey, Settlement, Step, Verdict,
};
use admission::handoff::{OfferId, SeenOffers};
use units::{BundleVersion, EndpointId, Incarnation, Millis};

use super::Bounds;

/// The idempotency key of the modelled request.
const KEY: RequestKey = RequestKey::new([7; 16]);

/// A second idempotency key. An agent's tables hold one record, so this key's record evicts the
/// modelled one.
const OTHER_KEY: RequestKey = RequestKey::new([9; 16]);

/// Wall-clock times of the agents' start, of the request's first attempt and of every transition.
const START_MS: Millis = Millis::new(0);
const FIRST_SENT_MS: Millis = Millis::new(100_000);
const NOW_MS: Millis = Millis::new(200_000);

/// A deliberate defect in the protocol, for which the search must find a counterexample.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// No defect: the protocol as implemented.
    None,
    /// A key's owner treats an agent that doesn't reply to a fence as one that didn't run the
    /// request.
    TimeoutCountsAsNotRun,
    /// An agent confirms a fence without storing it, so an earlier attempt can still start.
    FenceNotStored,
    /// An agent answers "not run" but doesn't abandon the attempt, so a late grant can still start
    /// the attempt.
    NotRunWithoutAbandon,
    /// A restarted agent claims that its run records reach back to the request's first attempt.
    RestartClaimsFullHistory,
    /// An agent accepts a duplicate of a hand-off that it already accepted or refused.
    DuplicateOfferAccepted,
    /// An agent answers "outcome unknown" although the key's owner reported a past run.
    PastRunAnsweredUnknown,
}

/// An invariant of at-most-once execution that a state violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Violation {
    /// The request ran more than once.
    RanTwice,
    /// An attempt was answered with "not run", but it or an earlier one ran.
    NotRunButRan,
    /// An attempt was answered with "outcome unknown" although no fault occurred.
    UnknownWithoutFault,
    /// An agent started an attempt after confirming a fence against that attempt.
    RanAfterFence,
    /// A key's owner reported a run that didn't happen.
    ReportedRunMissing,
}

/// One agent's copy of an attempt. A duplicated hand-off creates a second copy, whose answer
/// doesn't reach the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct AttemptCopy {
    attempt: Attempt,
    phase: Phase,
    has_caller: bool,
}

/// Progress of one agent's copy of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase {
    /// This agent has asked the key's owner for permission to run the attempt.
    GrantRequested(Agent),
    /// This agent has offered the attempt to another agent for hand-off.
    Offered(Agent),
    /// The key's owner has allowed this agent to start the attempt.
    Granted(Agent),
    /// This agent has started the attempt at its upstream.
    Started(Agent),
    /// The attempt was answered, or its agent restarted.
    Done,
}

/// A message in flight between agents. Replies are addressed to one incarnation of an agent,
/// requests to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    GrantRequest {
        request: GrantRequest,
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
    FenceReply {
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

/// An owner's settlement of earlier attempts in progress, with the fence replies received so far.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PendingSettlement {
    owner: Agent,
    settlement: Settlement,
    replies: Vec<FenceReply>,
}

/// State of the modelled callers, network and agents.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    bounds: Bounds,
    mutation: Mutation,
    agents: Vec<AtMostOnceState>,
    /// Hand-offs that each agent has accepted or refused, in the order of `agents`.
    seen_offers: Vec<SeenOffers>,
    /// Copies of the attempts, in the order of their creation.
    copies: Vec<AttemptCopy>,
    /// Number of attempts that the caller has sent.
    attempts_sent: u8,
    /// Messages in flight, sorted because they may arrive in any order.
    network: Vec<Message>,
    /// Settlements of earlier attempts in progress, sorted because their order has no effect.
    pending: Vec<PendingSettlement>,
    faults: u8,
    hand_offs: u8,
    adoptions: u8,
    /// Attempts that an agent started at its upstream.
    run_attempts: Vec<Attempt>,
    /// The highest attempt that was answered with "not run".
    highest_not_run: Attempt,
    /// Each fence confirmed with [`PastRun::NotRun`], as the agent and the lowest attempt it may
    /// still start, sorted.
    fences: Vec<(Agent, Attempt)>,
    violation: Option<Violation>,
}

impl State {
    pub(super) fn new(bounds: Bounds, mutation: Mutation) -> Self {
        let agent = |number: u8| {
            let me = Agent {
                endpoint: EndpointId::new(u32::from(number)),
                incarnation: Incarnation::new(1),
            };
            AtMostOnceState::new(me, START_MS, first_bundle(bounds)).with_records_max(1)
        };
        Self {
            bounds,
            mutation,
            agents: (0..bounds.agents).map(agent).collect(),
            seen_offers: vec![SeenOffers::default(); usize::from(bounds.agents)],
            copies: Vec::new(),
            attempts_sent: 0,
            network: Vec::new(),
            pending: Vec::new(),
            faults: 0,
            hand_offs: 0,
            adoptions: 0,
            run_attempts: Vec::new(),
            highest_not_run: Attempt::default(),
            fences: Vec::new(),
            violation: None,
        }
    }

    pub(super) fn violation(&self) -> Option<Violation> {
        if self.violation.is_some() {
            return self.violation;
        }
        if self.run_attempts.len() > 1 {
            return Some(Violation::RanTwice);
        }
        let has_run_after_denial = self
            .run_attempts
            .iter()
            .any(|it| *it <= self.highest_not_run);
        has_run_after_denial.then_some(Violation::NotRunButRan)
    }

    pub(super) fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        self.add_caller_steps(&mut next);
        self.add_agent_steps(&mut next);
        self.add_network_steps(&mut next);
        if self.faults < self.bounds.faults {
            self.add_fault_steps(&mut next);
        }
        for state in &mut next {
            state.network.sort_unstable();
            state.pending.sort_unstable();
            state.fences.sort_unstable();
        }
        next
    }

    /// Adds the states in which the caller sends the next attempt to some agent, which asks the
    /// key's owner for permission to run the attempt or offers the attempt to another agent.
    fn add_caller_steps(&self, next: &mut Vec<Self>) {
        if self.attempts_sent >= self.bounds.attempts {
            return;
        }
        let all_done = self.copies.iter().all(|it| it.phase == Phase::Done);
        if !all_done && self.faults >= self.bounds.faults {
            return;
        }
        let attempt = Attempt::new(u32::from(self.attempts_sent) + 1);
        for agent in &self.agents {
            let me = agent.local_agent();
            let mut state = self.clone();
            state.faults += u8::from(!all_done);
            state.add_attempt(attempt, Phase::GrantRequested(me));
            state.send_grant_request(attempt, me);
            if self.hand_offs < self.bounds.hand_offs {
                self.add_offer_steps(attempt, me, !all_done, next);
            }
            next.push(state);
        }
    }

    fn add_offer_steps(&self, attempt: Attempt, from: Agent, is_early: bool, next: &mut Vec<Self>) {
        for to in self
            .agents
            .iter()
            .map(AtMostOnceState::local_agent)
            .filter(|it| *it != from)
        {
            let mut state = self.clone();
            state.faults += u8::from(is_early);
            state.hand_offs += 1;
            state.add_attempt(attempt, Phase::Offered(from));
            state.network.push(Message::HandOff { attempt, from, to });
            next.push(state);
        }
    }

    /// Adds the states in which an agent starts or refuses a granted attempt, or its upstream
    /// answers.
    fn add_agent_steps(&self, next: &mut Vec<Self>) {
        for (idx, copy) in self.copies.iter().enumerate() {
            match copy.phase {
                Phase::Granted(agent) => {
                    let mut started = self.clone();
                    started.start_attempt(idx, agent);
                    next.push(started);
                    let mut refused = self.clone();
                    refused.answer_not_run(idx, agent);
                    next.push(refused);
                }
                Phase::Started(agent) => {
                    let mut state = self.clone();
                    state.with_agent(agent, |it| it.finish_attempt(KEY));
                    state.copies[idx].phase = Phase::Done;
                    next.push(state);
                }
                Phase::GrantRequested(_) | Phase::Offered(_) | Phase::Done => {}
            }
        }
    }

    fn add_network_steps(&self, next: &mut Vec<Self>) {
        for idx in 0..self.network.len() {
            let mut state = self.clone();
            let message = state.network.remove(idx);
            if let Message::HandOff { attempt, from, to } = message {
                if !state.is_new_offer(attempt, from, to) {
                    next.push(state);
                    continue;
                }
                // The agent that was offered the attempt may also refuse the hand-off.
                let mut refused = state.clone();
                refused
                    .network
                    .push(Message::HandOffRefused { attempt, to: from });
                next.push(refused);
                state.accept_hand_off(attempt, to);
            } else {
                state.deliver_message(&message);
            }
            next.push(state);
        }
        if self.adoptions < self.bounds.adoptions {
            for idx in 0..self.agents.len() {
                let mut state = self.clone();
                state.adoptions += 1;
                state.agents[idx].adopt_bundle(NOW_MS, second_bundle(self.bounds));
                next.push(state);
            }
        }
    }

    fn add_fault_steps(&self, next: &mut Vec<Self>) {
        let with_fault = || {
            let mut state = self.clone();
            state.faults += 1;
            state
        };
        for (idx, message) in self.network.iter().enumerate() {
            let mut lost = with_fault();
            lost.network.remove(idx);
            next.push(lost);
            let mut duplicated = with_fault();
            duplicated.network.push(message.clone());
            next.push(duplicated);
        }
        for (idx, copy) in self.copies.iter().enumerate() {
            if let Phase::GrantRequested(agent) | Phase::Offered(agent) = copy.phase {
                let mut state = with_fault();
                state.time_out_attempt(idx, agent);
                next.push(state);
            }
        }
        for idx in 0..self.pending.len() {
            let mut state = with_fault();
            let PendingSettlement {
                owner,
                settlement,
                mut replies,
            } = state.pending.remove(idx);
            if self.mutation == Mutation::TimeoutCountsAsNotRun {
                replies.extend(
                    settlement
                        .targets()
                        .iter()
                        .map(|it| fabricated_not_run_reply(*it)),
                );
            }
            let step = state.with_agent(owner, |it| {
                it.handle_fence_replies(settlement.clone(), &replies)
            });
            state.apply_owner_step(owner, *settlement.grant_request(), step);
            next.push(state);
        }
        for idx in 0..self.agents.len() {
            let mut restarted = with_fault();
            restarted.restart_agent(idx);
            next.push(restarted);
            let mut evicted = with_fault();
            evicted.evict_key(idx);
            next.push(evicted);
        }
    }

    fn send_grant_request(&mut self, attempt: Attempt, requester: Agent) {
        let agent = self
            .agents
            .iter()
            .find(|it| it.local_agent() == requester)
            .expect("the requester is a running incarnation");
        let version = agent.version();
        let request = GrantRequest {
            key: KEY,
            attempt,
            first_sent_ms: FIRST_SENT_MS,
            requester,
            version,
        };
        let to = agent.owner_of(KEY);
        self.network.push(Message::GrantRequest { request, to });
    }

    fn deliver_message(&mut self, message: &Message) {
        match *message {
            Message::GrantRequest { request, to } => {
                let Some(owner) = self.agent_at(to) else {
                    return;
                };
                let step = self.with_agent(owner, |it| it.handle_grant_request(NOW_MS, request));
                self.apply_owner_step(owner, request, step);
            }
            Message::Verdict {
                attempt,
                verdict,
                to,
            } => self.handle_verdict(attempt, verdict, to),
            Message::Fence {
                ref request,
                owner,
                to,
            } => self.deliver_fence_request(request, owner, to),
            Message::FenceReply { reply, below, to } => self.handle_fence_reply(reply, below, to),
            Message::HandOffRefused { attempt, to } => {
                let Some(idx) = self.find_attempt_copy(attempt, Phase::Offered(to)) else {
                    return;
                };
                self.copies[idx].phase = Phase::GrantRequested(to);
                self.send_grant_request(attempt, to);
            }
            Message::HandOff { .. } => {
                unreachable!("hand-offs are accepted or refused in add_network_steps")
            }
        }
    }

    /// Sends the verdict or the fences that a key's owner has decided on.
    fn apply_owner_step(&mut self, owner: Agent, grant_request: GrantRequest, step: Step) {
        match step {
            Step::Reply(verdict) => {
                let GrantRequest {
                    attempt, requester, ..
                } = grant_request;
                self.network.push(Message::Verdict {
                    attempt,
                    verdict,
                    to: requester,
                });
            }
            Step::Fence(settlement) => {
                let version = self.with_agent(owner, |it| it.version());
                let request = settlement.fence_request(version);
                let fence = |to| Message::Fence { request, owner, to };
                self.network
                    .extend(settlement.targets().into_iter().map(fence));
                self.pending.push(PendingSettlement {
                    owner,
                    settlement,
                    replies: Vec::new(),
                });
            }
        }
    }

    fn deliver_fence_request(&mut self, request: &FenceRequest, owner: Agent, to: EndpointId) {
        let Some(agent) = self.agent_at(to) else {
            return;
        };
        let stores_fence = self.mutation != Mutation::FenceNotStored;
        let reply = if stores_fence {
            self.with_agent(agent, |it| it.handle_fence_request(NOW_MS, request))
        } else {
            self.with_agent(agent, |it| it.clone().handle_fence_request(NOW_MS, request))
        };
        if reply.past == PastRun::NotRun {
            self.fences.push((agent, request.below));
        }
        self.network.push(Message::FenceReply {
            reply,
            below: request.below,
            to: owner,
        });
    }

    fn handle_fence_reply(&mut self, reply: FenceReply, below: Attempt, to: Agent) {
        let is_settlement = |it: &PendingSettlement| {
            it.owner == to && it.settlement.grant_request().attempt == below
        };
        let Some(idx) = self.pending.iter().position(is_settlement) else {
            return;
        };
        let mut pending = self.pending.remove(idx);
        pending.replies.push(reply);
        let has_replied = |it: &EndpointId| pending.replies.iter().any(|r| r.agent.endpoint == *it);
        if !pending.settlement.targets().iter().all(has_replied) {
            self.pending.push(pending);
            return;
        }
        let request = *pending.settlement.grant_request();
        let step = self.with_agent(to, |it| {
            it.handle_fence_replies(pending.settlement, &pending.replies)
        });
        self.apply_owner_step(to, request, step);
    }

    fn handle_verdict(&mut self, attempt: Attempt, verdict: Verdict, to: Agent) {
        let Some(idx) = self.find_attempt_copy(attempt, Phase::GrantRequested(to)) else {
            return;
        };
        match verdict {
            Verdict::Granted => self.copies[idx].phase = Phase::Granted(to),
            Verdict::Ran(..) if self.mutation != Mutation::PastRunAnsweredUnknown => {
                if self.run_attempts.is_empty() {
                    self.violation = Some(Violation::ReportedRunMissing);
                }
                self.copies[idx].phase = Phase::Done;
            }
            Verdict::HistoryIncomplete | Verdict::NotOwner { .. } | Verdict::ClockAhead
                if attempt == Attempt::FIRST =>
            {
                self.answer_not_run(idx, to);
            }
            _ => self.answer_unknown(idx, to),
        }
    }

    /// Returns whether a hand-off offer reached the agent incarnation that it is addressed to for
    /// the first time.
    fn is_new_offer(&mut self, attempt: Attempt, from: Agent, to: Agent) -> bool {
        let Some(idx) = self.agents.iter().position(|it| it.local_agent() == to) else {
            return false;
        };
        let offer = OfferId::new(u64::from(attempt.get()));
        let is_new = self.seen_offers[idx].insert(from, offer);
        is_new || self.mutation == Mutation::DuplicateOfferAccepted
    }

    fn accept_hand_off(&mut self, attempt: Attempt, to: Agent) {
        let is_offered =
            |it: &AttemptCopy| it.attempt == attempt && matches!(it.phase, Phase::Offered(_));
        if let Some(idx) = self.copies.iter().position(is_offered) {
            self.copies[idx].phase = Phase::GrantRequested(to);
        } else {
            let phase = Phase::GrantRequested(to);
            self.copies.push(AttemptCopy {
                attempt,
                phase,
                has_caller: false,
            });
        }
        self.send_grant_request(attempt, to);
    }

    fn time_out_attempt(&mut self, idx: usize, agent: Agent) {
        let AttemptCopy { attempt, phase, .. } = self.copies[idx];
        if matches!(phase, Phase::GrantRequested(_)) && attempt == Attempt::FIRST {
            self.answer_not_run(idx, agent);
        } else {
            self.answer_unknown(idx, agent);
        }
    }

    fn start_attempt(&mut self, idx: usize, agent: Agent) {
        let attempt = self.copies[idx].attempt;
        let started = self.with_agent(agent, |it| it.start_attempt(KEY, attempt, FIRST_SENT_MS));
        if started.is_err() {
            self.answer_unknown(idx, agent);
            return;
        }
        if self
            .fences
            .iter()
            .any(|(at, below)| *at == agent && attempt < *below)
        {
            self.violation = Some(Violation::RanAfterFence);
        }
        self.run_attempts.push(attempt);
        self.copies[idx].phase = Phase::Started(agent);
    }

    /// Answers an attempt with "not run" and abandons it.
    fn answer_not_run(&mut self, idx: usize, agent: Agent) {
        let AttemptCopy {
            attempt,
            has_caller,
            ..
        } = self.copies[idx];
        if has_caller {
            self.highest_not_run = self.highest_not_run.max(attempt);
        }
        if self.mutation == Mutation::NotRunWithoutAbandon {
            // The defective agent keeps the attempt, so a late grant can still start it.
            return;
        }
        let is_abandoned =
            self.with_agent(agent, |it| it.abandon_attempt(KEY, attempt, FIRST_SENT_MS));
        assert!(
            is_abandoned || !has_caller,
            "an attempt is answered with not run only before it starts"
        );
        self.copies[idx].phase = Phase::Done;
    }

    fn answer_unknown(&mut self, idx: usize, agent: Agent) {
        let attempt = self.copies[idx].attempt;
        let _is_abandoned =
            self.with_agent(agent, |it| it.abandon_attempt(KEY, attempt, FIRST_SENT_MS));
        if self.faults == 0 && self.adoptions == 0 {
            self.violation = Some(Violation::UnknownWithoutFault);
        }
        self.copies[idx].phase = Phase::Done;
    }

    fn restart_agent(&mut self, idx: usize) {
        let previous = self.agents[idx].local_agent();
        let me = Agent {
            incarnation: Incarnation::new(previous.incarnation.get() + 1),
            ..previous
        };
        let has_adopted = self.agents[idx].version() > first_bundle(self.bounds).version;
        let bundle = if has_adopted {
            second_bundle(self.bounds)
        } else {
            first_bundle(self.bounds)
        };
        let claims_full_history = self.mutation == Mutation::RestartClaimsFullHistory;
        let now_ms = if claims_full_history {
            START_MS
        } else {
            NOW_MS
        };
        self.agents[idx] = AtMostOnceState::new(me, now_ms, bundle).with_records_max(1);
        self.seen_offers[idx] = SeenOffers::default();
        self.pending.retain(|it| it.owner != previous);
        for copy in &mut self.copies {
            let is_lost = matches!(copy.phase, Phase::GrantRequested(at) | Phase::Offered(at)
                | Phase::Granted(at) | Phase::Started(at) if at == previous);
            if is_lost {
                copy.phase = Phase::Done;
            }
        }
    }

    /// Evicts the modelled key's record from an agent by making the agent record another key.
    fn evict_key(&mut self, idx: usize) {
        let request = FenceRequest {
            key: OTHER_KEY,
            below: Attempt::FIRST,
            first_sent_ms: NOW_MS,
            version: self.agents[idx].version(),
        };
        let _reply = self.agents[idx].handle_fence_request(NOW_MS, &request);
    }

    fn add_attempt(&mut self, attempt: Attempt, phase: Phase) {
        self.attempts_sent += 1;
        self.copies.push(AttemptCopy {
            attempt,
            phase,
            has_caller: true,
        });
    }

    /// Returns the index of an attempt's copy that is in the given phase.
    fn find_attempt_copy(&self, attempt: Attempt, phase: Phase) -> Option<usize> {
        self.copies
            .iter()
            .position(|it| it.attempt == attempt && it.phase == phase)
    }

    /// Returns the current incarnation of the agent at an endpoint.
    fn agent_at(&self, endpoint: EndpointId) -> Option<Agent> {
        self.agents
            .iter()
            .map(AtMostOnceState::local_agent)
            .find(|it| it.endpoint == endpoint)
    }

    fn with_agent<T>(&mut self, agent: Agent, act: impl FnOnce(&mut AtMostOnceState) -> T) -> T {
        let at_most_once = self.agents.iter_mut().find(|it| it.local_agent() == agent);
        act(at_most_once.expect("messages to earlier incarnations were dropped"))
    }
}

/// Returns the first bundle, which lists every endpoint.
fn first_bundle(bounds: Bounds) -> BundleEndpoints {
    let all = (0..u32::from(bounds.agents)).map(EndpointId::new);
    BundleEndpoints::new(BundleVersion::new(1), all.collect())
}

/// Returns the second bundle, which lists every endpoint but the first.
fn second_bundle(bounds: Bounds) -> BundleEndpoints {
    let kept = (1..u32::from(bounds.agents)).map(EndpointId::new);
    BundleEndpoints::new(BundleVersion::new(2), kept.collect())
        .with_previous(first_bundle(bounds).current)
}

/// Returns the "not run" reply that a defective owner assumes for an agent that sent no reply.
fn fabricated_not_run_reply(endpoint: EndpointId) -> FenceReply {
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
