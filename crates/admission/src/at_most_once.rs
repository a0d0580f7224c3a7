//! At-most-once execution: a non-idempotent request runs at most once, on a single agent.
//!
//! Each idempotency key has an owner among the service's agents. A first attempt runs after the
//! owner has granted it. A repeated attempt runs after the owner has *settled* all earlier
//! attempts: every agent that may have started one replied that it did not, and fenced the key so
//! that it never will. If such replies can't be obtained, the outcome is unknown and no attempt
//! runs.
//!
//! Safety relies on the fences that the running agents keep in memory, never on time. Memory is
//! bounded: each table has a horizon, the time back to which its records are complete, and makes no
//! statement about keys first sent before that.

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

/// Largest number of idempotency keys in the runner table and in the owner table of an agent.
const RECORDS_MAX: usize = 100_000;

/// Time for which an agent remembers an idempotency key, counted from the key's first attempt.
pub const KEY_AGE_MAX_MS: Millis = Millis::new(600_000);

/// Largest tolerated difference between the clocks of callers and agents.
pub const CLOCK_SKEW_MAX_MS: Millis = Millis::new(2000);

/// Longest time for which an agent may still use a bundle after a newer bundle is in force at
/// another agent.
pub const BUNDLE_LAG_MAX_MS: Millis = Millis::new(10_000);

/// Key of a non-idempotent request: a digest of the service and the `Idempotency-Key` header.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey([u8; 16]);

impl RequestKey {
    /// Creates a request key from its digest.
    #[must_use]
    pub const fn new(raw: [u8; 16]) -> Self {
        Self(raw)
    }

    /// Returns the digest that makes up the request key.
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

/// Number of an attempt: 1 for the first attempt of a key, higher for each later attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(u32);

impl Attempt {
    /// Number of the first attempt of a key.
    pub const FIRST: Self = Self(1);

    /// Creates an attempt number from a raw number.
    #[must_use]
    pub const fn new(raw: u32) -> Self {
        Self(raw)
    }

    /// Returns the raw number of the attempt.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the number of the next attempt.
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

/// One incarnation (run of the process) of the agent at an endpoint.
///
/// A later incarnation has no record of the requests of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Agent {
    /// The endpoint that the agent serves.
    pub endpoint: EndpointId,
    /// Incarnation number of the agent, which increases with each restart.
    pub incarnation: Incarnation,
}

/// The at-most-once state of one agent, which runs requests and owns keys.
///
/// Times are in milliseconds since the Unix epoch, like the first-sent times of callers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AtMostOnceState {
    me: Agent,
    ownership: Ownership,
    runner: RunnerTable,
    owner: OwnerTable,
}

impl AtMostOnceState {
    /// Creates the at-most-once state of an agent that starts at `now_ms`, without records of keys.
    ///
    /// The horizon of the tables is `now_ms` plus the tolerated clock skew, since the agent may
    /// have lost records of keys first sent up to then.
    #[must_use]
    pub fn new(me: Agent, now_ms: Millis, endpoints: BundleEndpoints) -> Self {
        let horizon_ms = now_ms.plus(CLOCK_SKEW_MAX_MS);
        Self {
            me,
            ownership: Ownership::new(endpoints, horizon_ms),
            runner: RunnerTable::new(horizon_ms, RECORDS_MAX),
            owner: OwnerTable::new(horizon_ms, RECORDS_MAX),
        }
    }

    /// Limits the runner table and the owner table to `records_max` keys each, at least 1.
    #[must_use]
    pub fn with_records_max(mut self, records_max: usize) -> Self {
        self.runner.set_records_max(records_max);
        self.owner.set_records_max(records_max);
        self
    }

    /// Returns the endpoint and the incarnation of this agent.
    #[must_use]
    pub const fn local_agent(&self) -> Agent {
        self.me
    }

    /// Returns the version of the bundle in force at this agent.
    #[must_use]
    pub const fn version(&self) -> BundleVersion {
        self.ownership.version()
    }

    /// Switches to the endpoints of a newer bundle; ignores an older bundle.
    pub fn adopt_bundle(&mut self, now_ms: Millis, endpoints: BundleEndpoints) {
        self.ownership
            .adopt_endpoints(endpoints, now_ms.plus(CLOCK_SKEW_MAX_MS));
    }

    /// Returns the endpoint whose agent owns a key and so grants its attempts.
    ///
    /// The agent that received an attempt must request a grant from one owner only, even if it
    /// adopts another bundle later.
    #[must_use]
    pub fn owner_of(&self, key: RequestKey) -> EndpointId {
        self.ownership.owner_of(key)
    }

    /// Decides as owner of a key whether an attempt may run, or which agents must first be fenced,
    /// that is, barred from starting an earlier attempt.
    pub fn handle_grant_request(&mut self, now_ms: Millis, request: GrantRequest) -> Step {
        self.evict_expired_keys(now_ms);
        let is_owner = self.ownership.owner_of(request.key) == self.me.endpoint;
        let is_version_near = request.version.get().abs_diff(self.version().get()) <= 1;
        // Settlements fence only the agents of the current and previous bundle, so other agents
        // must not get a grant.
        if !is_owner
            || !is_version_near
            || !self
                .ownership
                .endpoints()
                .is_in_current_bundle(request.requester.endpoint)
        {
            return Step::Reply(Verdict::NotOwner {
                version: self.version(),
            });
        }
        if request.first_sent_ms > now_ms.plus(CLOCK_SKEW_MAX_MS) {
            return Step::Reply(Verdict::ClockAhead);
        }
        let owned_since_ms = self.ownership.owned_since_ms(request.key);
        match self.owner.handle_grant_request(request, owned_since_ms) {
            owner::FirstStep::Reply(verdict) => Step::Reply(verdict),
            owner::FirstStep::Settle(mut settlement) => {
                settlement.choose_targets(self.me.endpoint, self.ownership.endpoints());
                self.advance_settlement(settlement)
            }
        }
    }

    /// Decides on an attempt from the replies to the fence requests; `replies` has none from agents
    /// that didn't answer.
    pub fn handle_fence_replies(
        &mut self,
        mut settlement: Settlement,
        replies: &[FenceReply],
    ) -> Step {
        settlement.add_replies(replies);
        let step = self.conclude_settlement(settlement);
        match step {
            Step::Fence(widened) => self.advance_settlement(widened),
            Step::Reply(_) => step,
        }
    }

    /// Fences a key for another owner: guarantees that no attempt below the requested one starts at
    /// this agent any more, and replies with what this agent knows of the key.
    pub fn handle_fence_request(&mut self, now_ms: Millis, request: &FenceRequest) -> FenceReply {
        self.evict_expired_keys(now_ms);
        let (past, prior_fence) = self.runner.fence_key(request);
        let owned = self.owner.fence_key(request);
        let is_history_incomplete = past == PastRun::NotRun && !owned.is_complete;
        FenceReply {
            agent: self.me,
            version: self.version(),
            past: if is_history_incomplete {
                PastRun::HistoryIncomplete
            } else {
                past
            },
            prior_fence,
            granted: owned.granted,
            is_superseded: owned.is_superseded,
        }
    }

    /// Marks a granted attempt as started.
    ///
    /// # Errors
    ///
    /// Returns the reason if the attempt must never start at this agent.
    pub fn start_attempt(
        &mut self,
        key: RequestKey,
        attempt: Attempt,
        first_sent_ms: Millis,
    ) -> Result<(), NotStarted> {
        self.runner.start_attempt(key, attempt, first_sent_ms)
    }

    /// Marks the started attempt of a key as ended, regardless of the upstream's answer.
    pub fn finish_attempt(&mut self, key: RequestKey) {
        self.runner.finish_attempt(key);
    }

    /// Ensures that an attempt never starts at this agent.
    ///
    /// Must be called before the caller is told that the attempt doesn't run.
    ///
    /// Returns `false` if the attempt was already started.
    #[must_use]
    pub fn abandon_attempt(
        &mut self,
        key: RequestKey,
        attempt: Attempt,
        first_sent_ms: Millis,
    ) -> bool {
        self.runner.abandon_attempt(key, attempt, first_sent_ms)
    }

    /// Returns the number of keys in the runner table and the number in the owner table.
    #[must_use]
    pub fn count_runner_and_owner_records(&self) -> (usize, usize) {
        (self.runner.len(), self.owner.len())
    }

    /// Fences this agent if the settlement requires its reply, and concludes the settlement if no
    /// reply of another agent is missing.
    fn advance_settlement(&mut self, mut settlement: Settlement) -> Step {
        if settlement.targets().contains(&self.me.endpoint) {
            let own = self.fence_self(&settlement);
            settlement.add_replies(&[own]);
        }
        if settlement.targets().is_empty() {
            return self.conclude_settlement(settlement);
        }
        Step::Fence(settlement)
    }

    /// Fences the settlement's key at this agent and returns the agent's own fence reply.
    fn fence_self(&mut self, settlement: &Settlement) -> FenceReply {
        let version = self.version();
        let request = settlement.fence_request(version);
        let (past, prior_fence) = self.runner.fence_key(&request);
        FenceReply {
            agent: self.me,
            version,
            past,
            prior_fence,
            granted: self.owner.known_run_or_last_grant(request.key),
            is_superseded: false,
        }
    }

    /// Decides on the settlement's attempt from the fence replies received so far.
    fn conclude_settlement(&mut self, settlement: Settlement) -> Step {
        let since_ms = self.ownership.endpoints_since_ms().plus(BUNDLE_LAG_MAX_MS);
        self.owner.conclude_settlement(
            settlement,
            self.me.endpoint,
            self.ownership.endpoints(),
            since_ms,
        )
    }

    fn evict_expired_keys(&mut self, now_ms: Millis) {
        let oldest_ms = Millis::new(now_ms.get().saturating_sub(KEY_AGE_MAX_MS.get()));
        self.runner.evict_keys_older_than(oldest_ms);
        self.owner.evict_keys_older_than(oldest_ms);
    }
}
