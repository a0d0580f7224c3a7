//! Tracks the attempts that this agent started and the attempts that it must never start.

use units::{BundleVersion, Millis};

use super::{Agent, Attempt, RequestKey, records::Records};

/// Tells an agent never to start an attempt of a key below a given number, and asks for what it has
/// recorded about the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceRequest {
    /// Idempotency key to fence.
    pub key: RequestKey,
    /// Attempts with a lower number must never start at the receiving agent.
    pub below: Attempt,
    /// When the caller sent the first attempt, by the caller's clock.
    pub first_sent_ms: Millis,
    /// Version of the bundle in force at the requesting owner.
    pub version: BundleVersion,
}

/// Reply to a fence request: what the agent knew of the key when it fenced it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceReply {
    /// The agent that fenced the key.
    pub agent: Agent,
    /// Version of the bundle in force at the agent.
    pub version: BundleVersion,
    /// Whether the agent had started an attempt of the key when it was fenced.
    pub past: PastRun,
    /// The agent's earlier fence of the key: attempts below it were already forbidden to start.
    pub prior_fence: Attempt,
    /// The attempt that the agent knows to have run, or otherwise last granted, as an owner of the
    /// key.
    pub granted: Option<(Agent, Attempt)>,
    /// Whether the agent, as an owner of the key, decides on the same or a later attempt itself.
    pub is_superseded: bool,
}

/// What an agent knows of its own earlier runs of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PastRun {
    /// The agent started no attempt of the key.
    NotRun,
    /// The agent started the given attempt of the key.
    Ran(Attempt, RunState),
    /// The agent's records don't reach back to the key's first attempt, so an attempt may have run.
    HistoryIncomplete,
}

/// Progress of a started attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunState {
    /// The attempt was started and hasn't ended.
    Started,
    /// The attempt ended, whatever the upstream answered.
    Ended,
}

/// Why an attempt must never start at this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotStarted {
    /// An owner fenced the attempt.
    Fenced,
    /// The agent abandoned the attempt.
    Abandoned,
    /// The agent already started an attempt of the key.
    AlreadyStarted,
    /// The agent's records don't reach back to the first attempt of the key.
    HistoryIncomplete,
}

/// Record of one key in the runner table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Record {
    /// Attempts below this number must never start because an owner fenced them. Never decreases.
    fence: Attempt,
    /// Attempts below this number must never start because this agent abandoned them. Never
    /// decreases.
    abandoned_below: Attempt,
    /// The only attempt of the key that this agent started; never replaced by another.
    run: Option<(Attempt, RunState)>,
    /// Whether the table reached back to the key's first attempt when this record was created.
    is_complete: bool,
}

/// Bounded table of the non-idempotent requests that this agent started, abandoned or fenced.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct RunnerTable {
    records: Records<Record>,
}

impl RunnerTable {
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

    pub(super) fn fence_key(&mut self, request: &FenceRequest) -> (PastRun, Attempt) {
        let record = self.record_mut(request.key, request.first_sent_ms);
        let prior_fence = record.fence;
        record.fence = record.fence.max(request.below);
        let past = match record.run {
            Some((attempt, state)) => PastRun::Ran(attempt, state),
            None if !record.is_complete => PastRun::HistoryIncomplete,
            None => PastRun::NotRun,
        };
        (past, prior_fence)
    }

    pub(super) fn start_attempt(
        &mut self,
        key: RequestKey,
        attempt: Attempt,
        first_sent_ms: Millis,
    ) -> Result<(), NotStarted> {
        let record = self.record_mut(key, first_sent_ms);
        if record.run.is_some() {
            return Err(NotStarted::AlreadyStarted);
        }
        if attempt < record.fence {
            return Err(NotStarted::Fenced);
        }
        if attempt < record.abandoned_below {
            return Err(NotStarted::Abandoned);
        }
        if !record.is_complete {
            return Err(NotStarted::HistoryIncomplete);
        }
        record.run = Some((attempt, RunState::Started));
        Ok(())
    }

    pub(super) fn finish_attempt(&mut self, key: RequestKey) {
        // The record may have been evicted.
        let Some(entry) = self.records.get_mut(key) else {
            return;
        };
        if let Some((_, state)) = &mut entry.value.run {
            *state = RunState::Ended;
        }
    }

    pub(super) fn abandon_attempt(
        &mut self,
        key: RequestKey,
        attempt: Attempt,
        first_sent_ms: Millis,
    ) -> bool {
        let record = self.record_mut(key, first_sent_ms);
        record.abandoned_below = record.abandoned_below.max(attempt.next());
        record.run.is_none_or(|(started, _)| started != attempt)
    }

    /// Returns the record of a key; creates it if there is none.
    fn record_mut(&mut self, key: RequestKey, first_sent_ms: Millis) -> &mut Record {
        if self.records.get_mut(key).is_none() {
            let new_record = Record {
                fence: Attempt::default(),
                abandoned_below: Attempt::default(),
                run: None,
                is_complete: self.records.covers_first_sent(first_sent_ms),
            };
            self.records.insert(key, first_sent_ms, new_record);
        }
        let entry = self
            .records
            .get_mut(key)
            .expect("the record was just created");
        &mut entry.value
    }
}
