//! A randomised run of the request decisions: several agents, many keys, faults of every kind.
//!
//! Agents are the real cores of `admission`: at most once, slots and hand-off. Messages between
//! them are lost, duplicated, late and out of order; agents restart, pause and forget; the fleet is
//! parted; bundles are rolled while agents adopt them unevenly; clocks differ. One seed gives one
//! run.

mod caller;
mod event;
mod node;

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use units::{BundleVersion, EndpointId, Millis};

use admission::at_most_once::{Attempt, BundleEndpoints};

use caller::{Callers, Heard};
use event::{Event, Message, Queue};
use node::Node;

/// Endpoints that any bundle names.
const ENDPOINTS: u32 = 6;

/// When the run begins, well after the epoch.
const BEGIN_MS: u64 = 1_000_000;

/// Largest deviation of a clock from the true time, half of what the protocol allows.
const SKEW_MAX_MS: u64 = 900;

/// Longest time an agent takes to adopt a bundle, less than the time between bundles.
const ADOPT_MAX_MS: u64 = 4_000;

/// How often things go wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Faults {
    /// Share of messages lost, in percent.
    pub lost_percent: f64,
    /// Share of messages duplicated, in percent.
    pub duplicated_percent: f64,
    /// Share of messages that take seconds, in percent.
    pub delayed_percent: f64,
    /// Mean time between restarts, pauses, partitions and bundles, each; `None` for never.
    pub disruption_interval_ms: Option<Millis>,
    /// Keys that each table of an agent remembers.
    pub records_max: usize,
}

/// What happened in a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Keys that callers made.
    pub keys: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts that reached an upstream.
    pub runs: u64,
    /// Attempts answered by the upstream or told that an earlier one ran.
    pub answered: u64,
    /// Attempts told "not run".
    pub not_run: u64,
    /// Attempts told "outcome unknown".
    pub unknown: u64,
    /// Hand-offs offered.
    pub offered: u64,
    /// Messages sent.
    pub messages: u64,
    /// Restarts, pauses, partitions and bundles.
    pub disruptions: u64,
}

/// What must never be, and when it was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// What was violation.
    pub invariant: Invariant,
    /// Index of the key.
    pub key: usize,
    /// Time since the start of the run.
    pub at_ms: Millis,
}

/// What must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// A key runs at most once.
    AtMostOnce,
    /// What was told "not run" didn't run and never will.
    NotRunIsFinal,
    /// A run that is reported happened.
    ReportedRunHappened,
    /// Without faults no outcome is unknown.
    KnownWithoutFaults,
}

impl Faults {
    /// Nothing goes wrong.
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

    /// Everything goes wrong.
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

    /// Returns whether nothing can go wrong.
    fn is_none(&self) -> bool {
        *self == Self::none()
    }
}

/// Runs `length_ms` of simulated time.
///
/// # Errors
///
/// Returns the first invariant that was violation.
pub fn run(seed: u64, length_ms: Millis, faults: Faults) -> Result<Report, Violation> {
    let mut simulation = Simulation::new(seed, faults);
    simulation.start();
    let end_ms = BEGIN_MS + length_ms.get();
    while let Some((at_ms, event)) = simulation.queue.pop() {
        if at_ms > end_ms {
            break;
        }
        simulation.now_ms = at_ms;
        simulation.handle(event);
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
    /// The bundle published last, which agents adopt later.
    view: BundleEndpoints,
    /// Endpoints cut off from the others; callers reach both sides.
    parted: Vec<EndpointId>,
    report: Report,
    violation: Option<Violation>,
}

impl Simulation {
    fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let all = (0..ENDPOINTS).map(EndpointId::new).collect();
        let view = BundleEndpoints::new(BundleVersion::new(1), all);
        let nodes = (0..ENDPOINTS)
            .map(|it| Node::new(EndpointId::new(it), &mut rng, view.clone(), faults))
            .collect();
        Self {
            rng,
            faults,
            now_ms: BEGIN_MS,
            queue: Queue::default(),
            nodes,
            callers: Callers::default(),
            view,
            parted: Vec::new(),
            report: Report::default(),
            violation: None,
        }
    }

    fn start(&mut self) {
        // Agents know nothing of keys sent before their horizon.
        self.queue.push(self.now_ms + 15_000, Event::NewKey);
        if self.faults.disruption_interval_ms.is_some() {
            for change in [Event::Restart, Event::Pause, Event::Part, Event::Roll] {
                self.schedule_change(change);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NewKey => self.new_key(),
            Event::Attempt { key } => self.send_attempt(key),
            Event::Heard {
                key,
                attempt,
                heard,
            } => self.caller_hears(key, attempt, heard),
            Event::Deliver { to, message } => self.at_node(to, Event::Deliver { to, message }),
            Event::Timer { to, timer } => self.at_node(to, Event::Timer { to, timer }),
            Event::Adopt { to, view } => self.at_node(to, Event::Adopt { to, view }),
            Event::Restart => self.restart(),
            Event::Pause => self.pause(),
            Event::Part => self.part(),
            Event::Roll => self.roll(),
        }
    }

    /// Hands an event to an agent, later if it is paused.
    fn at_node(&mut self, to: EndpointId, event: Event) {
        let idx = index(to);
        let awake_ms = self.nodes[idx].awake_ms;
        if awake_ms > self.now_ms {
            self.queue.push(awake_ms, event);
            return;
        }
        self.node_event(idx, event);
    }

    /// Sends a message, which may be lost, doubled or late.
    fn send(&mut self, from: Option<EndpointId>, to: EndpointId, message: Message) {
        self.report.messages += 1;
        let is_cut =
            from.is_some_and(|from| self.parted.contains(&from) != self.parted.contains(&to));
        if is_cut || self.chance(self.faults.lost_percent) {
            return;
        }
        if self.chance(self.faults.duplicated_percent) {
            let delay_ms = self.delay_ms();
            let message = message.clone();
            self.queue
                .push(self.now_ms + delay_ms, Event::Deliver { to, message });
        }
        let delay_ms = self.delay_ms();
        self.queue
            .push(self.now_ms + delay_ms, Event::Deliver { to, message });
    }

    fn delay_ms(&mut self) -> u64 {
        if self.chance(self.faults.delayed_percent) {
            return self.rng.random_range(500..8_000);
        }
        self.rng.random_range(1..5)
    }

    fn chance(&mut self, percent: f64) -> bool {
        percent > 0.0 && self.rng.random_bool(percent / 100.0)
    }

    fn schedule_change(&mut self, change: Event) {
        let Some(mean_ms) = self.faults.disruption_interval_ms else {
            return;
        };
        let wait_ms = self.rng.random_range(1..mean_ms.get() * 2);
        self.queue.push(self.now_ms + wait_ms, change);
    }

    fn restart(&mut self) {
        self.report.disruptions += 1;
        let idx = self.rng.random_range(0..self.nodes.len());
        let true_ms = self.now_ms;
        self.nodes[idx].restart(true_ms, self.faults);
        self.schedule_change(Event::Restart);
    }

    fn pause(&mut self) {
        self.report.disruptions += 1;
        let idx = self.rng.random_range(0..self.nodes.len());
        self.nodes[idx].awake_ms = self.now_ms + self.rng.random_range(100..10_000);
        self.schedule_change(Event::Pause);
    }

    fn part(&mut self) {
        self.report.disruptions += 1;
        if self.parted.is_empty() {
            let cut = self.rng.random_range(1..ENDPOINTS);
            self.parted = (0..cut).map(EndpointId::new).collect();
        } else {
            self.parted.clear();
        }
        self.schedule_change(Event::Part);
    }

    /// Publishes a bundle that drops or brings back one endpoint.
    ///
    /// The next one comes only after every agent has had time to adopt this one.
    fn roll(&mut self) {
        self.report.disruptions += 1;
        let changed = EndpointId::new(self.rng.random_range(0..ENDPOINTS));
        let previous = self.view.current.clone();
        let mut current = previous.clone();
        match current.binary_search(&changed) {
            Ok(idx) if current.len() > 2 => drop(current.remove(idx)),
            Ok(_) => {}
            Err(idx) => current.insert(idx, changed),
        }
        let version = BundleVersion::new(self.view.version.get() + 1);
        self.view = BundleEndpoints::new(version, current).with_previous(previous);
        for it in 0..ENDPOINTS {
            let adopt_ms = self.now_ms + self.rng.random_range(1..ADOPT_MAX_MS);
            let view = self.view.clone();
            self.queue.push(
                adopt_ms,
                Event::Adopt {
                    to: EndpointId::new(it),
                    view,
                },
            );
        }
        let next_ms = self.now_ms + ADOPT_MAX_MS + self.rng.random_range(10_000..20_000);
        self.queue.push(next_ms, Event::Roll);
    }

    fn break_promise(&mut self, invariant: Invariant, key: usize) {
        let at_ms = Millis::new(self.now_ms - BEGIN_MS);
        self.violation.get_or_insert(Violation {
            invariant,
            key,
            at_ms,
        });
    }

    /// Notes that an attempt reached an upstream.
    fn note_run(&mut self, key: usize, attempt: Attempt) {
        self.report.runs += 1;
        let log = self.callers.log_mut(key);
        log.runs += 1;
        let is_denied = attempt <= log.not_run;
        log.first_ran.get_or_insert(attempt);
        if log.runs > 1 {
            self.break_promise(Invariant::AtMostOnce, key);
        }
        if is_denied {
            self.break_promise(Invariant::NotRunIsFinal, key);
        }
    }

    /// Notes what an agent tells a caller, before the network has its way with it.
    fn note_told(&mut self, key: usize, attempt: Attempt, heard: Heard) {
        let log = self.callers.log_mut(key);
        match heard {
            Heard::Answer if log.runs == 0 => {
                self.break_promise(Invariant::ReportedRunHappened, key)
            }
            Heard::Answer => self.report.answered += 1,
            Heard::NotRun => {
                log.not_run = log.not_run.max(attempt);
                let has_run = log.first_ran.is_some_and(|it| it <= attempt);
                self.report.not_run += 1;
                if has_run {
                    self.break_promise(Invariant::NotRunIsFinal, key);
                }
            }
            Heard::Unknown => {
                self.report.unknown += 1;
                if self.faults.is_none() {
                    self.break_promise(Invariant::KnownWithoutFaults, key);
                }
            }
        }
    }
}

fn index(endpoint: EndpointId) -> usize {
    usize::try_from(endpoint.get()).expect("few endpoints")
}
