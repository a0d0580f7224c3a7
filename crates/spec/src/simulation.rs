//! Randomised simulation of the agents' request decisions, with many keys and faults of every kind.
//!
//! Agents run the production code of `admission`: at-most-once state, admission control and
//! hand-offs. Messages between them are lost, duplicated, delayed and reordered; agents restart,
//! pause and evict keys; network partitions occur; agents adopt bundles at different times; clocks
//! differ. A seed determines the whole run.

mod caller;
mod event;
mod node;

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use units::{BundleVersion, EndpointId, Millis};

use admission::at_most_once::{Attempt, BundleEndpoints};

use caller::{Callers, Outcome};
use event::{Event, Message, Queue};
use node::Node;

/// Number of endpoints that the simulated bundles can list.
const ENDPOINTS: u32 = 6;

/// True time at the start of the run, well after the epoch.
const START_MS: u64 = 1_000_000;

/// Largest deviation of a simulated clock from the true time: less than half of the difference
/// between two clocks that the protocol tolerates.
const CLOCK_SKEW_MAX_MS: u64 = 900;

/// Longest time that an agent takes to adopt a bundle; it is shorter than the time between bundles.
const ADOPTION_MAX_MS: u64 = 4_000;

/// Rates of the faults that a simulation injects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Faults {
    /// Share of messages that are lost, in percent.
    pub lost_percent: f64,
    /// Share of messages that are duplicated, in percent.
    pub duplicated_percent: f64,
    /// Share of messages that are delayed by up to several seconds, in percent.
    pub delayed_percent: f64,
    /// Mean time between two disruptions of one kind: restarts, pauses, partition changes and new
    /// bundles. `None` disables all disruptions.
    pub disruption_interval_ms: Option<Millis>,
    /// Maximum number of idempotency keys in each table of an agent.
    pub records_max: usize,
}

/// Counts of events in one simulation run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Idempotency keys that callers created, one for each request.
    pub keys: u64,
    /// Attempts that callers sent.
    pub attempts: u64,
    /// Attempts that an agent started at its upstream.
    pub runs: u64,
    /// Attempts that the upstream answered or that got the result of an earlier attempt.
    pub answered: u64,
    /// Attempts that were answered with "not run".
    pub not_run: u64,
    /// Attempts that were answered with "outcome unknown".
    pub unknown: u64,
    /// Number of attempts that agents offered to other agents for a hand-off.
    pub offered: u64,
    /// Messages sent between agents.
    pub messages: u64,
    /// Disruptions: agent restarts, agent pauses, partition changes and new bundles.
    pub disruptions: u64,
}

/// A violated invariant, with the request's key and the time at which the violation was detected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// Index of the violating request's key, in the order of creation.
    pub key: usize,
    /// Simulated time of the violation since the start of the run.
    pub at_ms: Millis,
}

/// An invariant of the request protocol that the simulation checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// A request runs at most once under its idempotency key.
    AtMostOnce,
    /// An attempt answered with "not run" didn't run and never will.
    NotRunIsFinal,
    /// A run that an agent reports to a caller has happened.
    ReportedRunHappened,
    /// Without faults, no attempt is answered with "outcome unknown".
    KnownWithoutFaults,
}

impl Faults {
    /// Returns fault rates that disable every fault.
    #[must_use]
    pub const fn none() -> Self {
        Self {
            lost_percent: 0.0,
            duplicated_percent: 0.0,
            delayed_percent: 0.0,
            disruption_interval_ms: None,
            records_max: 100_000,
        }
    }

    /// Returns fault rates that enable every kind of fault.
    #[must_use]
    pub const fn all() -> Self {
        Self {
            lost_percent: 3.0,
            duplicated_percent: 3.0,
            delayed_percent: 2.0,
            disruption_interval_ms: Some(Millis::new(6_000)),
            records_max: 200,
        }
    }

    /// Returns whether every fault is disabled.
    fn is_none(&self) -> bool {
        *self == Self::none()
    }
}

/// Runs the simulation for `length_ms` of simulated time.
///
/// # Errors
///
/// Returns the first violation of an invariant that the simulation detects.
pub fn run_simulation(seed: u64, length_ms: Millis, faults: Faults) -> Result<Report, Violation> {
    let mut simulation = Simulation::new(seed, faults);
    simulation.schedule_first_events();
    let end_ms = START_MS + length_ms.get();
    while let Some((at_ms, event)) = simulation.queue.pop() {
        if at_ms > end_ms {
            break;
        }
        simulation.now_ms = at_ms;
        simulation.handle_event(event);
        if let Some(violation) = simulation.violation.take() {
            return Err(violation);
        }
    }
    Ok(simulation.report)
}

struct Simulation {
    rng: StdRng,
    faults: Faults,
    now_ms: u64,
    queue: Queue,
    nodes: Vec<Node>,
    callers: Callers,
    /// The bundle published last; each agent adopts this bundle after a random delay.
    bundle: BundleEndpoints,
    /// Endpoints on one side of the current network partition; empty without a partition. Callers
    /// reach both sides.
    partitioned: Vec<EndpointId>,
    report: Report,
    violation: Option<Violation>,
}

impl Simulation {
    fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let all_endpoints = (0..ENDPOINTS).map(EndpointId::new).collect();
        let bundle = BundleEndpoints::new(BundleVersion::new(1), all_endpoints);
        let nodes = (0..ENDPOINTS)
            .map(|it| Node::new(EndpointId::new(it), &mut rng, bundle.clone(), faults))
            .collect();
        Self {
            rng,
            faults,
            now_ms: START_MS,
            queue: Queue::default(),
            nodes,
            callers: Callers::default(),
            bundle,
            partitioned: Vec::new(),
            report: Report::default(),
            violation: None,
        }
    }

    fn schedule_first_events(&mut self) {
        // Agents make no statement about requests first sent before their records begin, so the
        // first request comes later.
        self.queue.push(self.now_ms + 15_000, Event::NewKey);
        if self.faults.disruption_interval_ms.is_some() {
            for disruption in [
                Event::Restart,
                Event::Pause,
                Event::Partition,
                Event::PublishBundle,
            ] {
                self.schedule_disruption(disruption);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::NewKey => self.create_key(),
            Event::Attempt { key } => self.send_attempt(key),
            Event::OutcomeReceived {
                key,
                attempt,
                outcome,
            } => self.handle_outcome(key, attempt, outcome),
            Event::Deliver { to, message } => self.dispatch(to, Event::Deliver { to, message }),
            Event::Timer { to, timer } => self.dispatch(to, Event::Timer { to, timer }),
            Event::AdoptBundle { to, bundle } => {
                self.dispatch(to, Event::AdoptBundle { to, bundle });
            }
            Event::Restart => self.restart_random_node(),
            Event::Pause => self.pause_random_node(),
            Event::Partition => self.toggle_partition(),
            Event::PublishBundle => self.publish_bundle(),
        }
    }

    /// Dispatches an event to an agent, or postpones the event to the end of the agent's pause.
    fn dispatch(&mut self, to: EndpointId, event: Event) {
        let idx = node_idx(to);
        let paused_until_ms = self.nodes[idx].paused_until_ms;
        if paused_until_ms > self.now_ms {
            self.queue.push(paused_until_ms, event);
            return;
        }
        self.handle_node_event(idx, event);
    }

    /// Sends a message to an agent; the message may be lost, duplicated or delayed.
    fn send_message(&mut self, from: Option<EndpointId>, to: EndpointId, message: Message) {
        self.report.messages += 1;
        let is_partitioned = from
            .is_some_and(|from| self.partitioned.contains(&from) != self.partitioned.contains(&to));
        if is_partitioned || self.random_bool_percent(self.faults.lost_percent) {
            return;
        }
        if self.random_bool_percent(self.faults.duplicated_percent) {
            let delay_ms = self.random_delay_ms();
            let message = message.clone();
            self.queue
                .push(self.now_ms + delay_ms, Event::Deliver { to, message });
        }
        let delay_ms = self.random_delay_ms();
        self.queue
            .push(self.now_ms + delay_ms, Event::Deliver { to, message });
    }

    fn random_delay_ms(&mut self) -> u64 {
        if self.random_bool_percent(self.faults.delayed_percent) {
            return self.rng.random_range(500..8_000);
        }
        self.rng.random_range(1..5)
    }

    fn random_bool_percent(&mut self, percent: f64) -> bool {
        percent > 0.0 && self.rng.random_bool(percent / 100.0)
    }

    fn schedule_disruption(&mut self, disruption: Event) {
        let Some(mean_ms) = self.faults.disruption_interval_ms else {
            return;
        };
        let wait_ms = self.rng.random_range(1..mean_ms.get() * 2);
        self.queue.push(self.now_ms + wait_ms, disruption);
    }

    fn restart_random_node(&mut self) {
        self.report.disruptions += 1;
        let idx = self.rng.random_range(0..self.nodes.len());
        let true_ms = self.now_ms;
        self.nodes[idx].restart(true_ms, self.faults);
        self.schedule_disruption(Event::Restart);
    }

    fn pause_random_node(&mut self) {
        self.report.disruptions += 1;
        let idx = self.rng.random_range(0..self.nodes.len());
        self.nodes[idx].paused_until_ms = self.now_ms + self.rng.random_range(100..10_000);
        self.schedule_disruption(Event::Pause);
    }

    fn toggle_partition(&mut self) {
        self.report.disruptions += 1;
        if self.partitioned.is_empty() {
            let cut = self.rng.random_range(1..ENDPOINTS);
            self.partitioned = (0..cut).map(EndpointId::new).collect();
        } else {
            self.partitioned.clear();
        }
        self.schedule_disruption(Event::Partition);
    }

    /// Publishes a bundle that removes one endpoint or adds it again.
    ///
    /// The next bundle is published only after every agent has had time to adopt the current one.
    fn publish_bundle(&mut self) {
        self.report.disruptions += 1;
        let changed = EndpointId::new(self.rng.random_range(0..ENDPOINTS));
        let previous = self.bundle.current.clone();
        let mut current = previous.clone();
        match current.binary_search(&changed) {
            Ok(idx) if current.len() > 2 => drop(current.remove(idx)),
            Ok(_) => {}
            Err(idx) => current.insert(idx, changed),
        }
        let version = BundleVersion::new(self.bundle.version.get() + 1);
        self.bundle = BundleEndpoints::new(version, current).with_previous(previous);
        for it in 0..ENDPOINTS {
            let adopt_ms = self.now_ms + self.rng.random_range(1..ADOPTION_MAX_MS);
            let bundle = self.bundle.clone();
            self.queue.push(
                adopt_ms,
                Event::AdoptBundle {
                    to: EndpointId::new(it),
                    bundle,
                },
            );
        }
        let next_ms = self.now_ms + ADOPTION_MAX_MS + self.rng.random_range(10_000..20_000);
        self.queue.push(next_ms, Event::PublishBundle);
    }

    fn record_violation(&mut self, invariant: Invariant, key: usize) {
        let at_ms = Millis::new(self.now_ms - START_MS);
        self.violation.get_or_insert(Violation {
            invariant,
            key,
            at_ms,
        });
    }

    /// Records that an attempt was started at an upstream, and checks the invariants of runs.
    fn record_run(&mut self, key: usize, attempt: Attempt) {
        self.report.runs += 1;
        let record = self.callers.key_mut(key);
        record.runs += 1;
        let was_answered_not_run = attempt <= record.highest_not_run;
        record.first_run_attempt.get_or_insert(attempt);
        if record.runs > 1 {
            self.record_violation(Invariant::AtMostOnce, key);
        }
        if was_answered_not_run {
            self.record_violation(Invariant::NotRunIsFinal, key);
        }
    }

    /// Records the outcome that an agent sends to a caller, whether or not the message arrives.
    fn record_outcome(&mut self, key: usize, attempt: Attempt, outcome: Outcome) {
        let record = self.callers.key_mut(key);
        match outcome {
            Outcome::Answered if record.runs == 0 => {
                self.record_violation(Invariant::ReportedRunHappened, key);
            }
            Outcome::Answered => self.report.answered += 1,
            Outcome::NotRun => {
                record.highest_not_run = record.highest_not_run.max(attempt);
                let has_run = record.first_run_attempt.is_some_and(|it| it <= attempt);
                self.report.not_run += 1;
                if has_run {
                    self.record_violation(Invariant::NotRunIsFinal, key);
                }
            }
            Outcome::Unknown => {
                self.report.unknown += 1;
                if self.faults.is_none() {
                    self.record_violation(Invariant::KnownWithoutFaults, key);
                }
            }
        }
    }
}

fn node_idx(endpoint: EndpointId) -> usize {
    usize::try_from(endpoint.get()).expect("an endpoint id fits into usize")
}
