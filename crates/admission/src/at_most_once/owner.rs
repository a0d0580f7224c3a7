//! Grants of attempts by the owner of a key, and the settlement of earlier ones.

use units::{BundleVersion, EndpointId, Millis};

use super::{
    Agent, Attempt, RequestKey,
    ownership::BundleEndpoints,
    records::Records,
    runner::{FenceReply, FenceRequest, PastRun},
};

/// Asks the owner of a key for leave to run an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantRequest {
    /// The key.
    pub key: RequestKey,
    /// The attempt.
    pub attempt: Attempt,
    /// When the first attempt was sent, by the caller.
    pub first_sent_ms: Millis,
    /// The agent that would run it.
    pub requester: Agent,
    /// The requester's bundle.
    pub version: BundleVersion,
}

/// The owner's decision on an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// The requester may start it: no earlier attempt was started or ever will be.
    Granted,
    /// An attempt was started by this agent, which may hold the answer.
    Ran(Agent, Attempt),
    /// The same or a later attempt was asked for before.
    Superseded,
    /// Whether an earlier attempt was started can't be known.
    Unknown,
    /// The owner's memory doesn't reach back to this first attempt.
    HistoryIncomplete,
    /// The agent doesn't own the key, or its bundle is too far from the requester's.
    NotOwner {
        /// The agent's bundle.
        version: BundleVersion,
    },
    /// The first-sent time is in the future; the caller's clock is ahead.
    ClockAhead,
}

/// What the owner does next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// Answer the requester.
    Reply(Verdict),
    /// Send [`Settlement::fence_request`] to each of [`Settlement::targets`] and give the replies to
    /// [`AtMostOnceState::handle_fence_replies`](super::AtMostOnceState::handle_fence_replies).
    Fence(Settlement),
}

/// A settlement under way.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Settlement {
    ask: GrantRequest,
    scope: Scope,
    /// Endpoints whose replies are needed, sorted.
    needed: Vec<EndpointId>,
    /// At most one of each endpoint.
    replies: Vec<FenceReply>,
}

/// Who may have started an earlier attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Scope {
    /// Only the agent that was granted this attempt.
    Granted(Agent, Attempt),
    /// Any agent of the service.
    Everyone,
}

impl Settlement {
    /// Returns the endpoints whose agents still have to be fenced.
    #[must_use]
    pub fn targets(&self) -> Vec<EndpointId> {
        let is_open = |it: &EndpointId| !self.has_reply(*it);
        self.needed.iter().copied().filter(is_open).collect()
    }

    /// Returns the call to make to each target.
    #[must_use]
    pub const fn fence_request(&self, version: BundleVersion) -> FenceRequest {
        let GrantRequest {
            key,
            attempt,
            first_sent_ms,
            ..
        } = self.ask;
        FenceRequest {
            key,
            below: attempt,
            first_sent_ms,
            version,
        }
    }

    /// Returns the attempt that is being decided.
    #[must_use]
    pub const fn grant_request(&self) -> &GrantRequest {
        &self.ask
    }

    pub(super) fn add(&mut self, replies: &[FenceReply]) {
        for reply in replies {
            if self.includes(reply.agent.endpoint) && !self.has_reply(reply.agent.endpoint) {
                self.replies.push(*reply);
            }
        }
        self.replies.sort_unstable();
    }

    pub(super) fn includes(&self, endpoint: EndpointId) -> bool {
        self.needed.binary_search(&endpoint).is_ok()
    }

    /// Fills in who is needed; the deciding agent itself always is when everyone is.
    pub(super) fn choose_targets(&mut self, me: EndpointId, view: &BundleEndpoints) {
        self.needed = match self.scope {
            Scope::Granted(agent, _) => vec![agent.endpoint],
            Scope::Everyone => {
                let mut needed = view.everyone();
                needed.extend([me, self.ask.requester.endpoint]);
                needed
            }
        };
        self.needed.sort_unstable();
        self.needed.dedup();
    }

    fn widen(&mut self, me: EndpointId, view: &BundleEndpoints) {
        self.scope = Scope::Everyone;
        self.choose_targets(me, view);
    }

    fn has_reply(&self, endpoint: EndpointId) -> bool {
        self.replies.iter().any(|it| it.agent.endpoint == endpoint)
    }
}

/// The owner's first decision on an attempt.
#[derive(Debug)]
pub(super) enum Begin {
    Reply(Verdict),
    Settle(Settlement),
}

/// What an agent says of a key as its possible owner.
#[derive(Debug)]
pub(super) struct Claim {
    pub(super) granted: Option<(Agent, Attempt)>,
    pub(super) is_superseded: bool,
    /// Whether the table knows of every grant it made for the key.
    pub(super) is_complete: bool,
}

/// What is remembered of one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Record {
    /// The highest attempt asked for or fenced for, here or by another owner. Never falls.
    high: Attempt,
    /// The last grant; its attempt is at most `high`.
    granted: Option<(Agent, Attempt)>,
    /// An attempt known to have been started.
    ran: Option<(Agent, Attempt)>,
    /// Whether attempt `high` is being settled here.
    is_settling: bool,
    /// Whether the table reached back to the first attempt when the record was made.
    is_complete: bool,
}

/// Grants of attempts by the owner of a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct OwnerTable {
    records: Records<Record>,
}

impl OwnerTable {
    pub(super) fn new(horizon_ms: Millis, records_max: usize) -> Self {
        Self {
            records: Records::new(horizon_ms, records_max),
        }
    }

    pub(super) fn set_records_max(&mut self, records_max: usize) {
        self.records.set_keys_max(records_max);
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn forget_before(&mut self, oldest_ms: Millis) {
        self.records.forget_before(oldest_ms);
    }

    pub(super) fn begin(&mut self, ask: GrantRequest, owned_since_ms: Millis) -> Begin {
        let covers = self.records.covers(ask.first_sent_ms) && ask.first_sent_ms > owned_since_ms;
        let Some(entry) = self.records.get_mut(ask.key) else {
            return self.begin_unrecorded(ask, covers);
        };
        let record = &mut entry.value;
        if let Some((agent, attempt)) = record.ran {
            return Begin::Reply(Verdict::Ran(agent, attempt));
        }
        if record.granted == Some((ask.requester, ask.attempt)) && record.high == ask.attempt {
            return Begin::Reply(Verdict::Granted);
        }
        if ask.attempt <= record.high {
            return Begin::Reply(Verdict::Superseded);
        }
        if entry.first_sent_ms != ask.first_sent_ms {
            return Begin::Reply(Verdict::Unknown);
        }
        // The grant says who alone may have run the key only while no other agent owned it and no
        // other attempt was asked for since.
        let is_unbroken = ask.first_sent_ms > owned_since_ms;
        let scope = match record.granted {
            Some((agent, attempt)) if attempt == record.high && is_unbroken => {
                Scope::Granted(agent, attempt)
            }
            _ => Scope::Everyone,
        };
        record.high = ask.attempt;
        record.is_settling = true;
        Begin::Settle(Settlement {
            ask,
            scope,
            needed: Vec::new(),
            replies: Vec::new(),
        })
    }

    fn begin_unrecorded(&mut self, ask: GrantRequest, covers: bool) -> Begin {
        let is_first = ask.attempt == Attempt::FIRST;
        if is_first && !covers {
            return Begin::Reply(Verdict::HistoryIncomplete);
        }
        let record = Record {
            high: ask.attempt,
            granted: is_first.then_some((ask.requester, ask.attempt)),
            ran: None,
            is_settling: !is_first,
            is_complete: self.records.covers(ask.first_sent_ms),
        };
        self.records.insert(ask.key, ask.first_sent_ms, record);
        if is_first {
            return Begin::Reply(Verdict::Granted);
        }
        let scope = Scope::Everyone;
        Begin::Settle(Settlement {
            ask,
            scope,
            needed: Vec::new(),
            replies: Vec::new(),
        })
    }

    /// Returns the last grant of a key, or its run if that is known.
    pub(super) fn granted(&mut self, key: RequestKey) -> Option<(Agent, Attempt)> {
        let record = &self.records.get_mut(key)?.value;
        record.ran.or(record.granted)
    }

    /// Takes in another owner's settlement of the key.
    pub(super) fn fence(&mut self, request: &FenceRequest) -> Claim {
        let is_complete = self.records.covers(request.first_sent_ms);
        let Some(entry) = self.records.get_mut(request.key) else {
            let record = Record {
                high: request.below,
                granted: None,
                ran: None,
                is_settling: false,
                is_complete,
            };
            self.records
                .insert(request.key, request.first_sent_ms, record);
            return Claim {
                granted: None,
                is_superseded: false,
                is_complete,
            };
        };
        let record = &mut entry.value;
        let granted = record.ran.or(record.granted);
        let is_granted = record
            .granted
            .is_some_and(|(_, attempt)| attempt >= request.below);
        let is_settling = record.high == request.below && record.is_settling;
        if record.high > request.below || is_granted || is_settling {
            return Claim {
                granted,
                is_superseded: true,
                is_complete: record.is_complete,
            };
        }
        record.high = request.below;
        record.is_settling = false;
        Claim {
            granted,
            is_superseded: false,
            is_complete: record.is_complete,
        }
    }

    /// Decides on an attempt by the replies that came.
    pub(super) fn conclude(
        &mut self,
        mut settle: Settlement,
        me: EndpointId,
        view: &BundleEndpoints,
        since_ms: Millis,
    ) -> Step {
        let ask = settle.ask;
        // A record that made room for newer ones took the settlement with it.
        let Some(entry) = self.records.get_mut(ask.key) else {
            return Step::Reply(Verdict::Unknown);
        };
        let record = &mut entry.value;
        if record.high != ask.attempt || !record.is_settling {
            return Step::Reply(Verdict::Superseded);
        }
        let is_complete = record.is_complete && ask.first_sent_ms > since_ms;
        let outcome = match outcome_of(&settle, view) {
            // Agents of older bundles may have run the key, or this one granted it and forgot.
            Outcome::NoneRan if settle.scope == Scope::Everyone && !is_complete => Outcome::Unknown,
            outcome => outcome,
        };
        match outcome {
            Outcome::Ran(agent, attempt) => {
                record.ran = Some((agent, attempt));
                record.is_settling = false;
                Step::Reply(Verdict::Ran(agent, attempt))
            }
            Outcome::NoneRan => {
                record.granted = Some((ask.requester, ask.attempt));
                record.is_settling = false;
                Step::Reply(Verdict::Granted)
            }
            Outcome::Superseded => {
                record.is_settling = false;
                Step::Reply(Verdict::Superseded)
            }
            Outcome::Unknown => {
                record.is_settling = false;
                Step::Reply(Verdict::Unknown)
            }
            Outcome::AskMore(agents) => {
                settle.needed.extend(agents);
                settle.needed.sort_unstable();
                settle.needed.dedup();
                Step::Fence(settle)
            }
            Outcome::AskEveryone => {
                settle.widen(me, view);
                Step::Fence(settle)
            }
        }
    }
}

/// What the replies of a settlement say.
enum Outcome {
    Ran(Agent, Attempt),
    NoneRan,
    Superseded,
    Unknown,
    /// Another owner made a grant to agents not asked yet.
    AskMore(Vec<EndpointId>),
    /// Another owner settled the key after this owner's grant.
    AskEveryone,
}

fn outcome_of(settle: &Settlement, view: &BundleEndpoints) -> Outcome {
    let ran = settle.replies.iter().find_map(|it| match it.past {
        PastRun::Ran(attempt, _) => Some((it.agent, attempt)),
        PastRun::NotRun | PastRun::HistoryIncomplete => None,
    });
    if let Some((agent, attempt)) = ran {
        return Outcome::Ran(agent, attempt);
    }
    if settle.replies.iter().any(|it| it.is_superseded) {
        return Outcome::Superseded;
    }
    let is_known = |it: &FenceReply| {
        it.past == PastRun::NotRun && it.version.get().abs_diff(view.version.get()) <= 1
    };
    if !settle.targets().is_empty() || !settle.replies.iter().all(is_known) {
        return Outcome::Unknown;
    }
    match settle.scope {
        Scope::Granted(agent, attempt) => outcome_of_grant(settle, agent, attempt),
        Scope::Everyone => outcome_of_everyone(settle),
    }
}

fn outcome_of_grant(settle: &Settlement, agent: Agent, attempt: Attempt) -> Outcome {
    let Some(reply) = settle
        .replies
        .iter()
        .find(|it| it.agent.endpoint == agent.endpoint)
    else {
        return Outcome::Unknown;
    };
    if reply.agent != agent {
        return Outcome::Unknown;
    }
    let is_granted_elsewhere = reply.granted.is_some_and(|(other, _)| other != agent);
    if reply.prior_fence > attempt || is_granted_elsewhere {
        return Outcome::AskEveryone;
    }
    Outcome::NoneRan
}

fn outcome_of_everyone(settle: &Settlement) -> Outcome {
    let granted = settle.replies.iter().filter_map(|it| it.granted);
    let unasked: Vec<_> = granted
        .map(|(agent, _)| agent.endpoint)
        .filter(|it| !settle.includes(*it))
        .collect();
    if unasked.is_empty() {
        Outcome::NoneRan
    } else {
        Outcome::AskMore(unasked)
    }
}
