//! A balancer's view of the fleet: who answers, who is suspected, who leaves.

mod digest;
mod exchange;
mod receive;
mod tick;

use std::net::SocketAddr;

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use units::{EndpointId, Incarnation, InstanceId, Millis, ServiceId};

use crate::{
    BalancerInfo, Condition, Config, KeyScope, Member, MemberId, MemberUpdate, Message,
    MessageKind, Version,
    budget::Budget,
    member::{Check, Reported},
    rumors::Rumors,
    table::Table,
    watch,
};

/// Oldest probe whose answer still counts.
const ANSWER_AGE_MAX_MS: u32 = 5_000;

/// Shortest time between two selections of the members to watch.
const WATCH_INTERVAL_MS: Millis = Millis::new(1_000);

/// Silence of the whole fleet after which this process reports itself as isolated.
const ISOLATED_AFTER_MS: Millis = Millis::new(2_000);

/// A wake-up that never comes.
const NEVER: Millis = Millis::new(u64::MAX);

/// A balancer's view of the fleet.
#[derive(Debug)]
pub struct Members {
    config: Config,
    local_id: MemberId,
    balancer_info: BalancerInfo,
    /// Only grows.
    version: Version,
    is_leaving: bool,
    /// Where other balancers may be found at start.
    seeds: Vec<SocketAddr>,
    table: Table,
    rumors: Rumors,
    gossip_budget: Budget,
    probe_budget: Budget,
    second_look_budget: Budget,
    relays: Vec<Relay>,
    rng: StdRng,
    /// Hides the sending time inside nonces, so that no answer can be made up.
    nonce_salt: u32,
    ticked_ms: Millis,
    /// Lateness of recent ticks; checks are extended by twice as much.
    lag_ms: Millis,
    /// Nobody is suspected before this moment.
    grace_until_ms: Millis,
    /// When anything was last received.
    received_ms: Millis,
    is_isolated: bool,
    /// Whether the members to watch must be selected anew.
    is_watch_stale: bool,
    watch_selected_ms: Millis,
    sync_due_ms: Millis,
    counters: Counters,
}

/// An agent to know of, as the bundles in force name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentSpec {
    /// Its endpoint.
    pub endpoint: EndpointId,
    /// The service whose key it holds.
    pub service: ServiceId,
    /// Where it receives datagrams.
    pub address: SocketAddr,
}

/// What the caller must do or may report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Destination.
        to: SocketAddr,
        /// Key to protect it with.
        scope: KeyScope,
        /// Content.
        message: Message,
    },
    /// A member's condition or leaving mark changed.
    MemberChanged {
        /// The member.
        id: MemberId,
        /// Its name, for balancers.
        name: Option<InstanceId>,
        /// Its version.
        version: Version,
        /// Its condition now.
        condition: Condition,
        /// Whether it takes no new work.
        is_leaving: bool,
        /// Time since this process itself had evidence of it.
        silent_ms: Millis,
    },
    /// This process did not run for a while.
    Paused {
        /// Length of the pause.
        for_ms: Millis,
    },
    /// Nothing is received from anyone: this process suspects itself and condemns nobody.
    Isolated {
        /// Members known.
        known: u32,
    },
}

/// What happened since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes sent, repetitions included.
    pub probes_sent: u64,
    /// Answers received in time.
    pub acks: u64,
    /// Checks begun because a probe went unanswered.
    pub checks: u64,
    /// Members suspected by checks of this process.
    pub suspected: u64,
    /// Suspicions of others not believed without a check.
    pub reports_checked: u64,
    /// Members back alive.
    pub recovered: u64,
    /// Suspicions of this process refuted by it.
    pub refuted: u64,
    /// Pauses of this process.
    pub pauses: u64,
    /// Checks put off because this process was isolated or just back from a pause.
    pub checks_postponed: u64,
    /// Gossip put off because its budget was used up.
    pub gossip_deferred: u64,
}

/// A probe sent on behalf of another balancer.
#[derive(Debug, Clone, Copy)]
struct Relay {
    target: MemberId,
    asker: SocketAddr,
    nonce: u32,
    until_ms: Millis,
}

impl Members {
    /// Makes the view of a balancer's run that knows nobody yet.
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
        let gossip_budget = Budget::new(
            config.gossip_bytes_per_second,
            config.gossip_burst_bytes,
            now,
        );
        let probe_budget = Budget::new(config.probes_per_second, config.probes_per_second, now);
        let second_looks = config.weak_evidence_probes_per_second;
        let second_look_budget = Budget::new(second_looks, second_looks, now);
        Self {
            local_id: MemberId::balancer(&balancer_info.name),
            balancer_info,
            version: Version::new(incarnation, 0),
            is_leaving: false,
            seeds: Vec::new(),
            table: Table::default(),
            rumors: Rumors::default(),
            gossip_budget,
            probe_budget,
            second_look_budget,
            relays: Vec::new(),
            rng,
            nonce_salt,
            ticked_ms: now,
            lag_ms: Millis::new(0),
            grace_until_ms: now,
            received_ms: now,
            is_isolated: false,
            is_watch_stale: true,
            watch_selected_ms: Millis::new(0),
            sync_due_ms: now,
            counters: Counters::default(),
            config,
        }
    }

    /// Names addresses where other balancers may be found at start.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Returns every known member but this process, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Returns what is held of a member.
    #[must_use]
    pub fn find(&self, id: MemberId) -> Option<&Member> {
        self.table.find(id)
    }

    /// Returns this process's id.
    #[must_use]
    pub const fn local_id(&self) -> MemberId {
        self.local_id
    }

    /// Returns what happened since the start.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Replaces the agents to know of; what is held of those that stay is kept.
    pub fn set_agents(&mut self, now: Millis, agents: &[AgentSpec]) {
        let mut wanted = agents.to_vec();
        wanted.sort_by_key(|it| it.endpoint);
        let is_wanted = |id: MemberId| match id {
            MemberId::Agent(id) => wanted.binary_search_by_key(&id, |it| it.endpoint).is_ok(),
            MemberId::Balancer(_) => true,
        };
        self.table.retain(|it| is_wanted(it.id));
        for it in &wanted {
            self.set_agent(now, it);
        }
        self.is_watch_stale = true;
    }

    fn set_agent(&mut self, now: Millis, agent: &AgentSpec) {
        let id = MemberId::Agent(agent.endpoint);
        let scope = KeyScope::Service(agent.service);
        let Some(member) = self.table.find_mut(id) else {
            let mut member = Member::new(id, agent.address, scope, now);
            member.wake_ms = NEVER;
            self.table.insert(member);
            return;
        };
        if member.address != agent.address || member.scope != scope {
            *member = Member::new(id, agent.address, scope, now);
        }
    }

    /// Takes a datagram of another kind as evidence that a member runs.
    pub fn record_traffic(&mut self, now: Millis, id: MemberId) {
        let Some(member) = self.table.find_mut(id) else {
            return;
        };
        member.last_alive_ms = Some(now);
        if member.condition == Condition::Alive {
            member.check = None;
        } else {
            self.verify(now, id, None);
        }
        self.note_received(now);
    }

    /// Takes a hint of the platform or of a health endpoint that a member may be gone.
    ///
    /// A hint never changes a condition; it only has the member checked at once.
    pub fn check_after_hint(&mut self, now: Millis, id: MemberId) {
        self.verify(now, id, None);
    }

    /// Takes datagrams that went unanswered for a while as a reason to check a member.
    ///
    /// Answers may come back through other balancers, so this is weak evidence and has a budget.
    pub fn check_after_unanswered_traffic(&mut self, now: Millis, id: MemberId) {
        if self.second_look_budget.take(now, 1) {
            self.verify(now, id, None);
        }
    }

    /// Takes no new work from now on and tells the fleet.
    pub fn leave(&mut self, now: Millis) {
        self.is_leaving = true;
        let update = self.own_claim();
        self.rumors.add(now, update);
    }

    /// Notes that something arrived.
    ///
    /// A time in which nothing at all arrived is taken out of every check: the fault may be here.
    fn note_received(&mut self, now: Millis) {
        let gap_ms = now.since(self.received_ms);
        self.received_ms = now;
        if gap_ms < self.config.isolation_threshold_ms {
            return;
        }
        self.counters.checks_postponed += 1;
        for check in self.table.iter_mut().filter_map(|it| it.check.as_mut()) {
            check.since_ms = check.since_ms.plus(gap_ms).min(now);
        }
    }

    fn own_claim(&self) -> MemberUpdate {
        MemberUpdate {
            id: self.local_id,
            version: self.version,
            is_suspect: false,
            is_leaving: self.is_leaving,
            age_ms: Millis::new(0),
            balancer_info: Some(self.balancer_info.clone()),
        }
    }

    fn message(&self, kind: MessageKind, updates: Vec<MemberUpdate>) -> Message {
        Message {
            kind,
            sender: self.local_id,
            updates,
        }
    }

    /// Returns a nonce that carries the sending time.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the low bits suffice for short ages"
    )]
    const fn nonce(&self, now: Millis) -> u32 {
        now.get() as u32 ^ self.nonce_salt
    }

    /// Returns when the probe with a nonce was sent, if that was lately.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the low bits suffice for short ages"
    )]
    const fn sent_at(&self, now: Millis, nonce: u32) -> Option<Millis> {
        let age_ms = (now.get() as u32).wrapping_sub(nonce ^ self.nonce_salt);
        if age_ms > ANSWER_AGE_MAX_MS {
            return None;
        }
        Some(Millis::new(now.get().saturating_sub(age_ms as u64)))
    }

    /// Starts a check of a member unless one runs.
    fn verify(&mut self, now: Millis, id: MemberId, reported: Option<Reported>) {
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
        let suspected = is_suspected.then_some(Reported {
            version: member.version,
            made_ms: member.condition_since_ms,
        });
        let since_ms = match member.silent_ms(now) {
            Some(silent) if silent < self.config.check_window_ms => {
                now.min(member.last_alive_ms.unwrap_or(now))
            }
            _ => now,
        };
        member.check = Some(Check {
            since_ms,
            sent: 0,
            reported: reported.or(suspected),
        });
        member.wake_ms = now;
    }

    /// Returns up to `count` random balancers that are alive.
    fn random_balancers(&mut self, count: usize, except: Option<MemberId>) -> Vec<SocketAddr> {
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

    /// Selects the members that this process watches.
    fn select_watched(&mut self, now: Millis) {
        self.is_watch_stale = false;
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
                member.wake_ms = now.plus(jitter_ms);
            }
            member.is_watched = is_watched;
        }
    }
}

/// Reports a member's state.
fn changed(member: &Member, now: Millis) -> Output {
    Output::MemberChanged {
        id: member.id,
        name: member.balancer_info.as_ref().map(|it| it.name.clone()),
        version: member.version,
        condition: member.condition,
        is_leaving: member.is_leaving,
        silent_ms: member.silent_ms(now).unwrap_or_default(),
    }
}

/// Makes the update that passes on what is held of a member.
fn claim_about(member: &Member, now: Millis) -> MemberUpdate {
    let is_suspect = member.condition != Condition::Alive;
    // Who does not know a balancer has no use for its suspicion.
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
