//! At most once: a non-idempotent request runs on one agent at most.
//!
//! Each key has an owner among the service's agents. A first attempt runs after the owner granted
//! it. A repeat runs after the owner *settled* all earlier attempts: every agent that may have
//! started one said that it did not, and fenced the key, so that it never will. Where that can't
//! be had, the outcome is unknown and nothing runs.
//!
//! Safety rests on the fences in the runners' memory, never on time. Memory is bounded: each table
//! has a horizon, and of keys first sent before it the table claims to know nothing.

mod owner;
mod ownership;
mod records;
mod runner;

use std::fmt;

use units::{BundleVersion, EndpointId, Incarnation, Millis};

pub use owner::{GrantRequest, Settlement, Step, Verdict};
pub use ownership::BundleEndpoints;
pub use runner::{FenceReply, FenceRequest, NotStarted, PastRun, RunState};

use owner::OwnerTable;
use ownership::Ownership;
use runner::RunnerTable;

/// Most keys that each table remembers.
const RECORDS_MAX: usize = 100_000;

/// Time for which a key is remembered, from its first attempt.
pub const KEY_AGE_MAX_MS: Millis = Millis::new(600_000);

/// Largest difference allowed between the clocks of callers and agents.
pub const CLOCK_SKEW_MAX_MS: Millis = Millis::new(2000);

/// Longest time that an agent may go on with a bundle after a newer one is in force elsewhere.
pub const BUNDLE_LAG_MAX_MS: Millis = Millis::new(10_000);

/// The key of a non-idempotent request, a digest of service and `Idempotency-Key`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey([u8; 16]);

impl RequestKey {
    /// Wraps the digest.
    #[must_use]
    pub const fn new(raw: [u8; 16]) -> Self {
        Self(raw)
    }

    /// Returns the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestKey({self})")
    }
}

/// The number of an attempt: 1 for the first, higher for each later one of the same key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(u32);

impl Attempt {
    /// The first attempt.
    pub const FIRST: Self = Self(1);

    /// Wraps a raw number.
    #[must_use]
    pub const fn new(raw: u32) -> Self {
        Self(raw)
    }

    /// Returns the raw number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the next attempt.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One run of the agent beside an endpoint. A later run knows nothing of this one's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Agent {
    /// The endpoint it stands beside.
    pub endpoint: EndpointId,
    /// Higher for each later run.
    pub incarnation: Incarnation,
}

/// The at-most-once state of one agent, as runner of requests and as owner of keys.
///
/// Moments are in milliseconds since the Unix epoch, as callers' first-sent times are.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AtMostOnceState {
    me: Agent,
    ownership: Ownership,
    runner: RunnerTable,
    owner: OwnerTable,
}

impl AtMostOnceState {
    /// Starts with empty memory at `now_ms`.
    ///
    /// Of keys first sent before now, or after it by a clock that is ahead, nothing is known.
    #[must_use]
    pub fn new(me: Agent, now_ms: Millis, view: BundleEndpoints) -> Self {
        let horizon_ms = now_ms.plus(CLOCK_SKEW_MAX_MS);
        Self {
            me,
            ownership: Ownership::new(view, horizon_ms),
            runner: RunnerTable::new(horizon_ms, RECORDS_MAX),
            owner: OwnerTable::new(horizon_ms, RECORDS_MAX),
        }
    }

    /// Bounds each table to `records_max` keys, at least 1.
    #[must_use]
    pub fn with_records_max(mut self, records_max: usize) -> Self {
        self.runner.set_records_max(records_max);
        self.owner.set_records_max(records_max);
        self
    }

    /// Returns this agent.
    #[must_use]
    pub const fn me(&self) -> Agent {
        self.me
    }

    /// Returns the version of the bundle in force here.
    #[must_use]
    pub const fn version(&self) -> BundleVersion {
        self.ownership.version()
    }

    /// Takes over a newer bundle's endpoints; an older one is ignored.
    pub fn adopt_bundle(&mut self, now_ms: Millis, view: BundleEndpoints) {
        self.ownership.adopt(view, now_ms.plus(CLOCK_SKEW_MAX_MS));
    }

    /// Returns the endpoint whose agent owns a key.
    ///
    /// The agent that received an attempt asks one owner only for it, whatever is adopted later.
    #[must_use]
    pub fn owner_of(&self, key: RequestKey) -> EndpointId {
        self.ownership.owner_of(key)
    }

    /// Decides, as owner, on an attempt.
    pub fn handle_grant_request(&mut self, now_ms: Millis, ask: GrantRequest) -> Step {
        self.forget_old(now_ms);
        let is_owner = self.ownership.owner_of(ask.key) == self.me.endpoint;
        let is_near = ask.version.get().abs_diff(self.version().get()) <= 1;
        // Only agents that later settlements ask may run a key.
        if !is_owner || !is_near || !self.ownership.view().names(ask.requester.endpoint) {
            return Step::Reply(Verdict::NotOwner {
                version: self.version(),
            });
        }
        if ask.first_sent_ms > now_ms.plus(CLOCK_SKEW_MAX_MS) {
            return Step::Reply(Verdict::ClockAhead);
        }
        let owned_since_ms = self.ownership.owned_since_ms(ask.key);
        match self.owner.begin(ask, owned_since_ms) {
            owner::Begin::Reply(verdict) => Step::Reply(verdict),
            owner::Begin::Settle(mut settle) => {
                settle.choose_targets(self.me.endpoint, self.ownership.view());
                self.advance(settle)
            }
        }
    }

    /// Decides on an attempt after its fences came back; agents that gave no answer are missing.
    pub fn handle_fence_replies(&mut self, mut settle: Settlement, replies: &[FenceReply]) -> Step {
        settle.add(replies);
        let step = self.conclude(settle);
        match step {
            Step::Fence(wider) => self.advance(wider),
            Step::Reply(_) => step,
        }
    }

    /// Answers another owner: what is known here of the key, and that no attempt below starts
    /// here any more.
    pub fn handle_fence_request(&mut self, now_ms: Millis, request: &FenceRequest) -> FenceReply {
        self.forget_old(now_ms);
        let (past, prior_fence) = self.runner.fence(request);
        let claim = self.owner.fence(request);
        let is_forgotten = past == PastRun::NotRun && !claim.is_complete;
        FenceReply {
            agent: self.me,
            version: self.version(),
            past: if is_forgotten {
                PastRun::HistoryIncomplete
            } else {
                past
            },
            prior_fence,
            granted: claim.granted,
            is_superseded: claim.is_superseded,
        }
    }

    /// Marks a granted attempt as started, or says why it must not start.
    ///
    /// # Errors
    ///
    /// Returns why the attempt never starts here.
    pub fn start(
        &mut self,
        key: RequestKey,
        attempt: Attempt,
        first_sent_ms: Millis,
    ) -> Result<(), NotStarted> {
        self.runner.start(key, attempt, first_sent_ms)
    }

    /// Marks a started attempt as ended, whatever the upstream answered.
    pub fn finish(&mut self, key: RequestKey) {
        self.runner.finish(key);
    }

    /// Promises that an attempt never starts here. Must come before the caller is told so.
    ///
    /// Returns whether the promise holds: `false` when the attempt was started.
    #[must_use]
    pub fn abandon(&mut self, key: RequestKey, attempt: Attempt, first_sent_ms: Millis) -> bool {
        self.runner.abandon(key, attempt, first_sent_ms)
    }

    /// Returns how many keys are remembered as runner and as owner.
    #[must_use]
    pub fn record_counts(&self) -> (usize, usize) {
        (self.runner.len(), self.owner.len())
    }

    /// Takes this agent's own part in a settlement, and concludes it if no other is needed.
    fn advance(&mut self, mut settle: Settlement) -> Step {
        if settle.targets().contains(&self.me.endpoint) {
            let own = self.fence_own(&settle);
            settle.add(&[own]);
        }
        if settle.targets().is_empty() {
            return self.conclude(settle);
        }
        Step::Fence(settle)
    }

    fn fence_own(&mut self, settle: &Settlement) -> FenceReply {
        let version = self.version();
        let request = settle.fence_request(version);
        let (past, prior_fence) = self.runner.fence(&request);
        FenceReply {
            agent: self.me,
            version,
            past,
            prior_fence,
            granted: self.owner.granted(request.key),
            is_superseded: false,
        }
    }

    fn conclude(&mut self, settle: Settlement) -> Step {
        let since_ms = self.ownership.view_since_ms().plus(BUNDLE_LAG_MAX_MS);
        self.owner
            .conclude(settle, self.me.endpoint, self.ownership.view(), since_ms)
    }

    fn forget_old(&mut self, now_ms: Millis) {
        let oldest_ms = Millis::new(now_ms.get().saturating_sub(KEY_AGE_MAX_MS.get()));
        self.runner.forget_before(oldest_ms);
        self.owner.forget_before(oldest_ms);
    }
}
