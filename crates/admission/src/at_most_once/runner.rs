//! What this agent did with non-idempotent requests, and what it must never do.

use units::{BundleVersion, Millis};

use super::{Agent, Attempt, RequestKey, records::Records};

/// Asks an agent to never start an attempt below, and what it knows of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceRequest {
    /// The key.
    pub key: RequestKey,
    /// Attempts below this one must not start.
    pub below: Attempt,
    /// When the first attempt was sent, by the caller.
    pub first_sent_ms: Millis,
    /// The asking owner's bundle.
    pub version: BundleVersion,
}

/// What an agent knows of a key at the moment it fenced it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceReply {
    /// The agent that fenced the key.
    pub agent: Agent,
    /// Its bundle.
    pub version: BundleVersion,
    /// What it did with the key as a runner.
    pub past: PastRun,
    /// Attempts that an earlier fence forbade, those below it.
    pub prior_fence: Attempt,
    /// The grant it made or knows of as an owner.
    pub granted: Option<(Agent, Attempt)>,
    /// Whether it decides on this or a later attempt as an owner.
    pub is_superseded: bool,
}

/// What an agent did with a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PastRun {
    /// It started no attempt.
    NotRun,
    /// It started an attempt.
    Ran(Attempt, RunState),
    /// Its memory doesn't reach back to the first attempt.
    HistoryIncomplete,
}

/// How far a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunState {
    /// The upstream has it.
    Started,
    /// It ended, with whatever answer.
    Ended,
}

/// Why an attempt never starts at this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotStarted {
    /// An owner settled that it must not.
    Fenced,
    /// The agent said before that it won't.
    Abandoned,
    /// An attempt of the key was started here before.
    AlreadyStarted,
    /// The memory doesn't reach back to the first attempt.
    HistoryIncomplete,
}

/// What is remembered of one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Record {
    /// Attempts below it never start, by an owner's settlement. Never falls.
    fence: Attempt,
    /// Attempts below it never start, by this agent's own promise. Never falls.
    abandoned_below: Attempt,
    /// At most one run, forever.
    run: Option<(Attempt, RunState)>,
    /// Whether the table reached back to the first attempt when the record was made.
    is_complete: bool,
}

/// What this agent did with non-idempotent requests.
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

    pub(super) fn forget_before(&mut self, oldest_ms: Millis) {
        self.records.forget_before(oldest_ms);
    }

    pub(super) fn fence(&mut self, request: &FenceRequest) -> (PastRun, Attempt) {
        let record = self.record(request.key, request.first_sent_ms);
        let prior_fence = record.fence;
        record.fence = record.fence.max(request.below);
        let past = match record.run {
            Some((attempt, state)) => PastRun::Ran(attempt, state),
            None if !record.is_complete => PastRun::HistoryIncomplete,
            None => PastRun::NotRun,
        };
        (past, prior_fence)
    }

    pub(super) fn start(
        &mut self,
        key: RequestKey,
        attempt: Attempt,
        first_sent_ms: Millis,
    ) -> Result<(), NotStarted> {
        let record = self.record(key, first_sent_ms);
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

    pub(super) fn finish(&mut self, key: RequestKey) {
        // The record may have made room for newer ones.
        let Some(entry) = self.records.get_mut(key) else {
            return;
        };
        if let Some((_, state)) = &mut entry.value.run {
            *state = RunState::Ended;
        }
    }

    pub(super) fn abandon(
        &mut self,
        key: RequestKey,
        attempt: Attempt,
        first_sent_ms: Millis,
    ) -> bool {
        let record = self.record(key, first_sent_ms);
        record.abandoned_below = record.abandoned_below.max(attempt.next());
        record.run.is_none_or(|(started, _)| started != attempt)
    }

    /// Returns the record of a key, a fresh one if there is none.
    fn record(&mut self, key: RequestKey, first_sent_ms: Millis) -> &mut Record {
        if self.records.get_mut(key).is_none() {
            let fresh = Record {
                fence: Attempt::default(),
                abandoned_below: Attempt::default(),
                run: None,
                is_complete: self.records.covers(first_sent_ms),
            };
            self.records.insert(key, first_sent_ms, fresh);
        }
        let entry = self.records.get_mut(key).expect("the record was just made");
        &mut entry.value
    }
}
