//! A balancer's part of the membership protocol: it probes members and keeps the member table.

mod anti_entropy;
mod digest;
mod receive;
mod tick;

use std::net::SocketAddr;

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use units::{EndpointId, Incarnation, InstanceId, Millis, ServiceId};

use crate::{
    BalancerInfo, Condition, Config, KeyScope, Member, MemberId, MemberUpdate, MemberVersion,
    Message, MessageKind,
    gossip_queue::GossipQueue,
    member::{FailureCheck, Suspicion},
    table::MemberTable,
    token_bucket::TokenBucket,
    watch,
};

/// Maximum age of a probe whose ack is still accepted.
const ACK_AGE_MAX_MS: u32 = 5_000;

/// Minimum time between two selections of the members that this process watches.
const WATCH_SELECTION_INTERVAL_MS: Millis = Millis::new(1_000);

/// Time without any received datagram after which this process reports itself as isolated.
const ISOLATION_REPORT_MS: Millis = Millis::new(2_000);

/// The due time of a member's step that never runs.
const NEVER: Millis = Millis::new(u64::MAX);

/// A balancer's failure detector: the member table and the state of the membership protocol.
#[derive(Debug)]
pub struct Members {
    config: Config,
    local_id: MemberId,
    balancer_info: BalancerInfo,
    /// This balancer's own member version; it never decreases.
    version: MemberVersion,
    is_leaving: bool,
    /// Addresses of balancers to contact while joining the fleet, and occasionally later.
    seeds: Vec<SocketAddr>,
    table: MemberTable,
    gossip_queue: GossipQueue,
    gossip_budget: TokenBucket,
    probe_budget: TokenBucket,
    weak_evidence_budget: TokenBucket,
    pending_indirect_probes: Vec<PendingIndirectProbe>,
    rng: StdRng,
    /// A random number that hides the send time in probe nonces, so that acks can't be forged.
    nonce_salt: u32,
    last_tick_ms: Millis,
    /// Recent delay of ticks; failure checks are extended by `tick_lag_factor` times this delay.
    tick_lag_ms: Millis,
    /// The end of the grace period after a pause of this process, before which no member is
    /// suspected.
    grace_until_ms: Millis,
    /// When a datagram was last received from any member.
    last_received_ms: Millis,
    is_isolated: bool,
    /// Whether the members that this process watches must be selected again.
    is_watched_set_stale: bool,
    watch_selected_ms: Millis,
    next_sync_ms: Millis,
    counters: Counters,
}

/// An agent listed in the bundles in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentSpec {
    /// The agent's endpoint.
    pub endpoint: EndpointId,
    /// The service whose key the agent holds.
    pub service: ServiceId,
    /// The address at which the agent receives datagrams.
    pub address: SocketAddr,
}

/// An action that the caller must carry out, or an event that it may report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The destination address of the datagram.
        to: SocketAddr,
        /// The key with which to authenticate the datagram.
        scope: KeyScope,
        /// The message to encode in the datagram.
        message: Message,
    },
    /// A member was added, or its condition or leaving flag changed.
    MemberChanged {
        /// The member's id.
        id: MemberId,
        /// The member's name, if it is a balancer.
        name: Option<InstanceId>,
        /// The member's current version.
        version: MemberVersion,
        /// The member's current condition.
        condition: Condition,
        /// Whether the member accepts no new requests.
        is_leaving: bool,
        /// Time since this process last had direct evidence that the member ran.
        silent_ms: Millis,
    },
    /// This process did not run for at least the pause threshold.
    Paused {
        /// The length of the pause.
        for_ms: Millis,
    },
    /// No datagram is received from any member: the fault may be local to this process, so it
    /// suspects no member.
    Isolated {
        /// Number of known members.
        known: u32,
    },
}

/// Counts of the failure detector's events since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes sent, including repeated probes.
    pub probes_sent: u64,
    /// Probe acks received in time.
    pub acks: u64,
    /// Failure checks started because a probe was not acknowledged.
    pub checks: u64,
    /// Members suspected after a failure check of this process.
    pub suspected: u64,
    /// Suspicions reported by other balancers that this process did not accept without a failure
    /// check of its own.
    pub reports_checked: u64,
    /// State changes after which the member is alive: it recovered, was added or began to leave.
    pub recovered: u64,
    /// Suspicions that others held of this process and that it refuted.
    pub refuted: u64,
    /// Pauses of this process, detected by the gap between two ticks.
    pub pauses: u64,
    /// Number of times that failure checks were postponed because this process had been isolated or
    /// paused.
    pub checks_postponed: u64,
    /// Number of times that gossip was deferred because the gossip token bucket was empty.
    pub gossip_deferred: u64,
}

/// A probe sent on behalf of another balancer, with the data needed to forward the ack to it.
#[derive(Debug, Clone, Copy)]
struct PendingIndirectProbe {
    target: MemberId,
    requester: SocketAddr,
    nonce: u32,
    expires_ms: Millis,
}

impl Members {
    /// Creates the failure detector of a balancer for one incarnation of its process, without
    /// members.
    #[must_use]
    pub fn new(
        config: Config,
        balancer_info: BalancerInfo,
        incarnation: Incarnation,
        seed: u64,
        now: Millis,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let nonce_salt = rng.random();
        let gossip_budget = TokenBucket::new(
            config.gossip_bytes_per_second,
            config.gossip_burst_bytes,
            now,
        );
        let probe_budget =
            TokenBucket::new(config.probes_per_second, config.probes_per_second, now);
        let weak_evidence_probes = config.weak_evidence_probes_per_second;
        let weak_evidence_budget =
            TokenBucket::new(weak_evidence_probes, weak_evidence_probes, now);
        Self {
            local_id: MemberId::balancer(&balancer_info.name),
            balancer_info,
            version: MemberVersion::new(incarnation, 0),
            is_leaving: false,
            seeds: Vec::new(),
            table: MemberTable::default(),
            gossip_queue: GossipQueue::default(),
            gossip_budget,
            probe_budget,
            weak_evidence_budget,
            pending_indirect_probes: Vec::new(),
            rng,
            nonce_salt,
            last_tick_ms: now,
            tick_lag_ms: Millis::new(0),
            grace_until_ms: now,
            last_received_ms: now,
            is_isolated: false,
            is_watched_set_stale: true,
            watch_selected_ms: Millis::new(0),
            next_sync_ms: now,
            counters: Counters::default(),
            config,
        }
    }

    /// Sets the addresses of balancers (seeds) to contact while joining the fleet.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Returns all known members except this process, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Returns the member table's record of a member.
    #[must_use]
    pub fn find(&self, id: MemberId) -> Option<&Member> {
        self.table.find(id)
    }

    /// Returns this process's member id.
    #[must_use]
    pub const fn local_id(&self) -> MemberId {
        self.local_id
    }

    /// Returns the counts of the failure detector's events since the start of the process.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Replaces the set of agents; keeps the records of agents that stay in the set.
    pub fn set_agents(&mut self, now: Millis, agents: &[AgentSpec]) {
        let mut wanted = agents.to_vec();
        wanted.sort_by_key(|it| it.endpoint);
        let is_wanted = |id: MemberId| match id {
            MemberId::Agent(id) => wanted.binary_search_by_key(&id, |it| it.endpoint).is_ok(),
            MemberId::Balancer(_) => true,
        };
        self.table.retain(|it| is_wanted(it.id));
        for it in &wanted {
            self.upsert_agent(now, it);
        }
        self.is_watched_set_stale = true;
    }

    fn upsert_agent(&mut self, now: Millis, agent: &AgentSpec) {
        let id = MemberId::Agent(agent.endpoint);
        let scope = KeyScope::Service(agent.service);
        let Some(member) = self.table.find_mut(id) else {
            let mut member = Member::new(id, agent.address, scope, now);
            member.next_step_ms = NEVER;
            self.table.insert(member);
            return;
        };
        if member.address != agent.address || member.scope != scope {
            *member = Member::new(id, agent.address, scope, now);
        }
    }

    /// Records a datagram outside the membership protocol as evidence that a member runs.
    pub fn record_traffic(&mut self, now: Millis, id: MemberId) {
        let Some(member) = self.table.find_mut(id) else {
            return;
        };
        member.last_alive_ms = Some(now);
        if member.condition == Condition::Alive {
            member.check = None;
        } else {
            self.start_failure_check(now, id, None);
        }
        self.record_message_arrival(now);
    }

    /// Starts a failure check of a member that the platform or a health endpoint hinted is gone.
    ///
    /// A hint alone never changes the member's condition.
    pub fn start_failure_check_after_hint(&mut self, now: Millis, id: MemberId) {
        self.start_failure_check(now, id, None);
    }

    /// Starts a failure check of a member that left traffic unanswered, within a rate limit.
    ///
    /// Replies may return through other balancers, so unanswered traffic is only weak evidence.
    pub fn start_failure_check_after_unanswered_traffic(&mut self, now: Millis, id: MemberId) {
        if self.weak_evidence_budget.try_take(now, 1) {
            self.start_failure_check(now, id, None);
        }
    }

    /// Marks this balancer as leaving and queues an update about it for gossip.
    pub fn announce_leaving(&mut self, now: Millis) {
        self.is_leaving = true;
        let update = self.own_member_update();
        self.gossip_queue.enqueue(now, update);
    }

    /// Records that a datagram arrived from some member.
    ///
    /// If no datagram had arrived for at least the isolation threshold, excludes the time without
    /// datagrams from all running failure checks, since the fault may be local to this process.
    fn record_message_arrival(&mut self, now: Millis) {
        let gap_ms = now.since(self.last_received_ms);
        self.last_received_ms = now;
        if gap_ms < self.config.isolation_threshold_ms {
            return;
        }
        self.counters.checks_postponed += 1;
        for check in self.table.iter_mut().filter_map(|it| it.check.as_mut()) {
            check.silent_since_ms = check.silent_since_ms.plus(gap_ms).min(now);
        }
    }

    fn own_member_update(&self) -> MemberUpdate {
        MemberUpdate {
            id: self.local_id,
            version: self.version,
            is_suspect: false,
            is_leaving: self.is_leaving,
            age_ms: Millis::new(0),
            balancer_info: Some(self.balancer_info.clone()),
        }
    }

    fn build_message(&self, kind: MessageKind, updates: Vec<MemberUpdate>) -> Message {
        Message {
            kind,
            sender: self.local_id,
            updates,
        }
    }

    /// Returns the nonce of a probe sent at `now`; the nonce contains the send time.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the low 32 bits are enough to compute ages of up to 5 s"
    )]
    const fn probe_nonce(&self, now: Millis) -> u32 {
        now.get() as u32 ^ self.nonce_salt
    }

    /// Returns when the probe with the given nonce was sent; `None` if the probe is too old.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the low 32 bits are enough to compute ages of up to 5 s"
    )]
    const fn probe_sent_ms(&self, now: Millis, nonce: u32) -> Option<Millis> {
        let age_ms = (now.get() as u32).wrapping_sub(nonce ^ self.nonce_salt);
        if age_ms > ACK_AGE_MAX_MS {
            return None;
        }
        Some(Millis::new(now.get().saturating_sub(age_ms as u64)))
    }

    /// Starts a failure check of a member, unless the member has one or the maximum number of
    /// checks is running.
    fn start_failure_check(&mut self, now: Millis, id: MemberId, suspicion: Option<Suspicion>) {
        let running = self.table.iter().filter(|it| it.check.is_some()).count();
        if running >= self.config.concurrent_checks_max {
            return;
        }
        let Some(member) = self.table.find_mut(id) else {
            return;
        };
        if member.check.is_some() {
            return;
        }
        let is_suspected = member.condition != Condition::Alive;
        let held_suspicion = is_suspected.then_some(Suspicion {
            version: member.version,
            suspected_ms: member.condition_since_ms,
        });
        let silent_since_ms = match member.silent_ms(now) {
            Some(silent) if silent < self.config.check_window_ms => {
                now.min(member.last_alive_ms.unwrap_or(now))
            }
            _ => now,
        };
        member.check = Some(FailureCheck {
            silent_since_ms,
            probes_sent: 0,
            suspicion: suspicion.or(held_suspicion),
        });
        member.next_step_ms = now;
    }

    /// Returns the addresses of up to `count` random alive balancers other than `except`.
    fn random_alive_balancers(
        &mut self,
        count: usize,
        except: Option<MemberId>,
    ) -> Vec<SocketAddr> {
        let alive = self.table.iter().filter(|it| it.id.is_balancer());
        let alive = alive.filter(|it| it.condition == Condition::Alive && Some(it.id) != except);
        let mut addresses: Vec<_> = alive.map(|it| it.address).collect();
        let count = count.min(addresses.len());
        for idx in 0..count {
            let other = self.rng.random_range(idx..addresses.len());
            addresses.swap(idx, other);
        }
        addresses.truncate(count);
        addresses
    }

    /// Selects the members that this process watches, that is, probes periodically.
    fn select_watched_members(&mut self, now: Millis) {
        self.is_watched_set_stale = false;
        self.watch_selected_ms = now;
        let balancers = self.table.iter().filter(|it| it.id.is_balancer());
        let balancers = balancers.filter(|it| it.condition == Condition::Alive);
        let balancers: Vec<_> = balancers.map(|it| it.id).collect();
        let spread_ms = self.config.probe_interval_ms.get();
        for member in self.table.iter_mut() {
            let is_watched = watch::is_watcher(
                self.local_id,
                member.id,
                &balancers,
                self.config.watchers_per_member,
            );
            if is_watched && !member.is_watched {
                let jitter_ms = Millis::new(self.rng.random_range(0..spread_ms));
                member.next_step_ms = now.plus(jitter_ms);
            }
            member.is_watched = is_watched;
        }
    }
}

/// Returns the output that reports a member's changed state.
fn member_changed_output(member: &Member, now: Millis) -> Output {
    Output::MemberChanged {
        id: member.id,
        name: member.balancer_info.as_ref().map(|it| it.name.clone()),
        version: member.version,
        condition: member.condition,
        is_leaving: member.is_leaving,
        silent_ms: member.silent_ms(now).unwrap_or_default(),
    }
}

/// Returns a membership update that describes a member's record.
fn update_about(member: &Member, now: Millis) -> MemberUpdate {
    let is_suspect = member.condition != Condition::Alive;
    // A receiver that doesn't know the balancer has no use for a suspicion of it.
    let balancer_info = member.balancer_info.clone().filter(|_it| !is_suspect);
    MemberUpdate {
        id: member.id,
        version: member.version,
        is_suspect,
        is_leaving: member.is_leaving,
        age_ms: now.since(member.condition_since_ms),
        balancer_info,
    }
}
