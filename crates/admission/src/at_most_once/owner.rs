//! Grants attempts as owner of an idempotency key, and settles earlier attempts.

use units::{BundleVersion, EndpointId, Millis};

use super::{
    Agent, Attempt, RequestKey,
    ownership::BundleEndpoints,
    records::Records,
    runner::{FenceReply, FenceRequest, PastRun},
};

/// Request to the owner of a key for the grant (permission) to run an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantRequest {
    /// Idempotency key of the request to run.
    pub key: RequestKey,
    /// Number of the attempt to run.
    pub attempt: Attempt,
    /// When the caller sent the first attempt, by the caller's clock.
    pub first_sent_ms: Millis,
    /// The agent that would run the attempt.
    pub requester: Agent,
    /// Version of the bundle in force at the requester.
    pub version: BundleVersion,
}

/// Decision of a key's owner on an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// The requester may start the attempt: no earlier attempt was started or ever will be.
    Granted,
    /// The given agent started the given attempt of the key and may hold its answer.
    Ran(Agent, Attempt),
    /// The grant of the same or a later attempt was requested before.
    Superseded,
    /// The owner can't determine whether an earlier attempt was started.
    Unknown,
    /// The owner's records don't reach back to the time when this first attempt was sent.
    HistoryIncomplete,
    /// The agent doesn't own the key, its bundle version differs by more than one from the
    /// requester's, or the requester isn't in the agent's bundle.
    NotOwner {
        /// Version of the bundle in force at the agent.
        version: BundleVersion,
    },
    /// The first-sent time is in the future, so the caller's clock is ahead.
    ClockAhead,
}

/// Next action of a key's owner on a grant request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// Reply to the requester with the verdict.
    Reply(Verdict),
    /// Send [`Settlement::fence_request`] to each of [`Settlement::targets`] and give the replies
    /// to [`AtMostOnceState::handle_fence_replies`](super::AtMostOnceState::handle_fence_replies).
    Fence(Settlement),
}

/// A settlement in progress: fences the agents that may have started an earlier attempt of a key,
/// to determine whether one of them did.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Settlement {
    request: GrantRequest,
    scope: Scope,
    /// Endpoints whose agents must reply to a fence request, sorted.
    required: Vec<EndpointId>,
    /// Fence replies received so far, at most one from each endpoint.
    replies: Vec<FenceReply>,
}

/// Which agents may have started an earlier attempt of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Scope {
    /// Only the given agent, which was granted the given attempt.
    Granted(Agent, Attempt),
    /// Any agent of the service.
    AllAgents,
}

impl Settlement {
    /// Returns the endpoints whose agents have not replied to a fence request yet.
    #[must_use]
    pub fn targets(&self) -> Vec<EndpointId> {
        let is_missing = |it: &EndpointId| !self.has_reply_from(*it);
        self.required.iter().copied().filter(is_missing).collect()
    }

    /// Returns the fence request to send to each of [`Self::targets`].
    #[must_use]
    pub const fn fence_request(&self, version: BundleVersion) -> FenceRequest {
        let GrantRequest {
            key,
            attempt,
            first_sent_ms,
            ..
        } = self.request;
        FenceRequest {
            key,
            below: attempt,
            first_sent_ms,
            version,
        }
    }

    /// Returns the grant request that the settlement decides.
    #[must_use]
    pub const fn grant_request(&self) -> &GrantRequest {
        &self.request
    }

    /// Adds fence replies; ignores duplicates and replies that aren't required.
    pub(super) fn add_replies(&mut self, replies: &[FenceReply]) {
        for reply in replies {
            if self.requires_reply_from(reply.agent.endpoint)
                && !self.has_reply_from(reply.agent.endpoint)
            {
                self.replies.push(*reply);
            }
        }
        self.replies.sort_unstable();
    }

    pub(super) fn requires_reply_from(&self, endpoint: EndpointId) -> bool {
        self.required.binary_search(&endpoint).is_ok()
    }

    /// Sets the endpoints whose agents must be fenced. If all agents must be, these include the
    /// owner itself and the requester.
    pub(super) fn choose_targets(
        &mut self,
        own_endpoint: EndpointId,
        bundle_endpoints: &BundleEndpoints,
    ) {
        self.required = match self.scope {
            Scope::Granted(agent, _) => vec![agent.endpoint],
            Scope::AllAgents => {
                let mut required = bundle_endpoints.current_and_previous_endpoints();
                required.extend([own_endpoint, self.request.requester.endpoint]);
                required
            }
        };
        self.required.sort_unstable();
        self.required.dedup();
    }

    /// Extends the settlement to all agents of the service.
    fn widen_to_all_agents(
        &mut self,
        own_endpoint: EndpointId,
        bundle_endpoints: &BundleEndpoints,
    ) {
        self.scope = Scope::AllAgents;
        self.choose_targets(own_endpoint, bundle_endpoints);
    }

    fn has_reply_from(&self, endpoint: EndpointId) -> bool {
        self.replies.iter().any(|it| it.agent.endpoint == endpoint)
    }
}

/// Decision of a key's owner on a grant request before any agent is fenced.
#[derive(Debug)]
pub(super) enum FirstStep {
    Reply(Verdict),
    Settle(Settlement),
}

/// What an agent knows of a fenced key as a possible owner of it.
#[derive(Debug)]
pub(super) struct OwnerFenceReply {
    /// The attempt of the key that is known to have run, or otherwise the last granted one.
    pub(super) granted: Option<(Agent, Attempt)>,
    /// Whether the agent itself decides on the same or a later attempt.
    pub(super) is_superseded: bool,
    /// Whether the owner table still has a record of every grant that it made for the key.
    pub(super) is_complete: bool,
}

/// Record of one key in the owner table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Record {
    /// The highest attempt that was requested from this owner or fenced by another. Never
    /// decreases.
    highest_attempt: Attempt,
    /// The last granted attempt and the agent that may run it; at most `highest_attempt`.
    granted: Option<(Agent, Attempt)>,
    /// An attempt known to have been started, and the agent that started it.
    ran: Option<(Agent, Attempt)>,
    /// Whether a settlement that decides on `highest_attempt` is in progress at this agent.
    is_settling: bool,
    /// Whether the table reached back to the key's first attempt when this record was created.
    is_complete: bool,
}

/// Bounded table of the keys whose attempts this agent grants as owner.
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

    pub(super) fn evict_keys_older_than(&mut self, oldest_ms: Millis) {
        self.records.evict_keys_older_than(oldest_ms);
    }

    /// Records a grant request; returns the verdict, or the settlement of earlier attempts that is
    /// needed before a verdict.
    pub(super) fn handle_grant_request(
        &mut self,
        request: GrantRequest,
        owned_since_ms: Millis,
    ) -> FirstStep {
        let is_covered = self.records.covers_first_sent(request.first_sent_ms)
            && request.first_sent_ms > owned_since_ms;
        let Some(entry) = self.records.get_mut(request.key) else {
            return self.handle_grant_request_of_new_key(request, is_covered);
        };
        let record = &mut entry.value;
        if let Some((agent, attempt)) = record.ran {
            return FirstStep::Reply(Verdict::Ran(agent, attempt));
        }
        if record.granted == Some((request.requester, request.attempt))
            && record.highest_attempt == request.attempt
        {
            return FirstStep::Reply(Verdict::Granted);
        }
        if request.attempt <= record.highest_attempt {
            return FirstStep::Reply(Verdict::Superseded);
        }
        if entry.first_sent_ms != request.first_sent_ms {
            return FirstStep::Reply(Verdict::Unknown);
        }
        // The granted agent is the only one that may have run the key if no other agent owned the
        // key and no other attempt was requested since the grant.
        let is_unbroken = request.first_sent_ms > owned_since_ms;
        let scope = match record.granted {
            Some((agent, attempt)) if attempt == record.highest_attempt && is_unbroken => {
                Scope::Granted(agent, attempt)
            }
            _ => Scope::AllAgents,
        };
        record.highest_attempt = request.attempt;
        record.is_settling = true;
        FirstStep::Settle(Settlement {
            request,
            scope,
            required: Vec::new(),
            replies: Vec::new(),
        })
    }

    /// Handles a grant request for a key that has no record yet.
    fn handle_grant_request_of_new_key(
        &mut self,
        request: GrantRequest,
        is_covered: bool,
    ) -> FirstStep {
        let is_first = request.attempt == Attempt::FIRST;
        if is_first && !is_covered {
            return FirstStep::Reply(Verdict::HistoryIncomplete);
        }
        let record = Record {
            highest_attempt: request.attempt,
            granted: is_first.then_some((request.requester, request.attempt)),
            ran: None,
            is_settling: !is_first,
            is_complete: self.records.covers_first_sent(request.first_sent_ms),
        };
        self.records
            .insert(request.key, request.first_sent_ms, record);
        if is_first {
            return FirstStep::Reply(Verdict::Granted);
        }
        let scope = Scope::AllAgents;
        FirstStep::Settle(Settlement {
            request,
            scope,
            required: Vec::new(),
            replies: Vec::new(),
        })
    }

    /// Returns the attempt of a key that is known to have run, or otherwise the last granted one.
    pub(super) fn known_run_or_last_grant(&mut self, key: RequestKey) -> Option<(Agent, Attempt)> {
        let record = &self.records.get_mut(key)?.value;
        record.ran.or(record.granted)
    }

    /// Handles a fence request of another owner that settles attempts of the key.
    pub(super) fn fence_key(&mut self, request: &FenceRequest) -> OwnerFenceReply {
        let is_complete = self.records.covers_first_sent(request.first_sent_ms);
        let Some(entry) = self.records.get_mut(request.key) else {
            let record = Record {
                highest_attempt: request.below,
                granted: None,
                ran: None,
                is_settling: false,
                is_complete,
            };
            self.records
                .insert(request.key, request.first_sent_ms, record);
            return OwnerFenceReply {
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
        let is_settling = record.highest_attempt == request.below && record.is_settling;
        if record.highest_attempt > request.below || is_granted || is_settling {
            return OwnerFenceReply {
                granted,
                is_superseded: true,
                is_complete: record.is_complete,
            };
        }
        record.highest_attempt = request.below;
        record.is_settling = false;
        OwnerFenceReply {
            granted,
            is_superseded: false,
            is_complete: record.is_complete,
        }
    }

    /// Decides on the settlement's attempt from the fence replies received.
    pub(super) fn conclude_settlement(
        &mut self,
        mut settlement: Settlement,
        own_endpoint: EndpointId,
        bundle_endpoints: &BundleEndpoints,
        complete_since_ms: Millis,
    ) -> Step {
        let request = settlement.request;
        // If the key's record was evicted in the meantime, the settlement can't be concluded.
        let Some(entry) = self.records.get_mut(request.key) else {
            return Step::Reply(Verdict::Unknown);
        };
        let record = &mut entry.value;
        if record.highest_attempt != request.attempt || !record.is_settling {
            return Step::Reply(Verdict::Superseded);
        }
        let is_complete = record.is_complete && request.first_sent_ms > complete_since_ms;
        let outcome = match outcome_of_replies(&settlement, bundle_endpoints) {
            // An agent of an older bundle may have run the key, or this agent may have granted it
            // and evicted the record.
            Outcome::NoneRan if settlement.scope == Scope::AllAgents && !is_complete => {
                Outcome::Unknown
            }
            outcome => outcome,
        };
        match outcome {
            Outcome::Ran(agent, attempt) => {
                record.ran = Some((agent, attempt));
                record.is_settling = false;
                Step::Reply(Verdict::Ran(agent, attempt))
            }
            Outcome::NoneRan => {
                record.granted = Some((request.requester, request.attempt));
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
            Outcome::FenceMore(agents) => {
                settlement.required.extend(agents);
                settlement.required.sort_unstable();
                settlement.required.dedup();
                Step::Fence(settlement)
            }
            Outcome::FenceAll => {
                settlement.widen_to_all_agents(own_endpoint, bundle_endpoints);
                Step::Fence(settlement)
            }
        }
    }
}

/// Result of evaluating the fence replies of a settlement.
enum Outcome {
    /// The given agent started the given attempt of the key.
    Ran(Agent, Attempt),
    /// No earlier attempt was started or ever will be.
    NoneRan,
    /// Another owner decides on the same or a later attempt of the key.
    Superseded,
    /// The replies don't tell whether an earlier attempt was started.
    Unknown,
    /// Another owner granted an attempt to the given endpoints, which weren't fenced yet.
    FenceMore(Vec<EndpointId>),
    /// Another owner fenced or granted the key after this owner's grant, so all agents must be
    /// fenced.
    FenceAll,
}

fn outcome_of_replies(settlement: &Settlement, bundle_endpoints: &BundleEndpoints) -> Outcome {
    let ran = settlement.replies.iter().find_map(|it| match it.past {
        PastRun::Ran(attempt, _) => Some((it.agent, attempt)),
        PastRun::NotRun | PastRun::HistoryIncomplete => None,
    });
    if let Some((agent, attempt)) = ran {
        return Outcome::Ran(agent, attempt);
    }
    if settlement.replies.iter().any(|it| it.is_superseded) {
        return Outcome::Superseded;
    }
    let is_known = |it: &FenceReply| {
        it.past == PastRun::NotRun && it.version.get().abs_diff(bundle_endpoints.version.get()) <= 1
    };
    if !settlement.targets().is_empty() || !settlement.replies.iter().all(is_known) {
        return Outcome::Unknown;
    }
    match settlement.scope {
        Scope::Granted(agent, attempt) => outcome_of_grant(settlement, agent, attempt),
        Scope::AllAgents => outcome_of_all_agents(settlement),
    }
}

fn outcome_of_grant(settlement: &Settlement, agent: Agent, attempt: Attempt) -> Outcome {
    let Some(reply) = settlement
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
        return Outcome::FenceAll;
    }
    Outcome::NoneRan
}

fn outcome_of_all_agents(settlement: &Settlement) -> Outcome {
    let granted = settlement.replies.iter().filter_map(|it| it.granted);
    let unfenced: Vec<_> = granted
        .map(|(agent, _)| agent.endpoint)
        .filter(|it| !settlement.requires_reply_from(*it))
        .collect();
    if unfenced.is_empty() {
        Outcome::NoneRan
    } else {
        Outcome::FenceMore(unfenced)
    }
}
