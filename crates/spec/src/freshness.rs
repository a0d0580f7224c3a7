//! Randomised search of how the store's confirmations spread among balancers whose clocks differ.
//!
//! Balancers run the production code of `passthrough::clock_echo`. Messages are lost, repeated, delayed
//! and reordered; processes stand still between reading the clock and sending, and between the arrival
//! of a message and its handling; processes restart, also at another host's clock; the readers lose
//! the store for a while. A seed determines the whole run.

mod balancer;

use std::{cmp::Reverse, collections::BinaryHeap};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

use balancer::{Balancer, Letter};

/// Number of balancers; the first two read the store while they reach it.
const BALANCERS: usize = 6;

/// Interval between two messages of a balancer to all others.
const DIGEST_INTERVAL_US: u64 = 500_000;

/// Interval between two reads of the store.
const READ_INTERVAL_US: u64 = 1_000_000;

/// A deliberate defect, for which the search must find a counterexample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// No defect: the protocol as implemented.
    None,
    /// An age counts back from the time of receipt.
    DateByReceipt,
    /// A stamp counts as received when the process last read its clock, before it took the message.
    RecordStampEarly,
    /// The rates of clocks count as equal.
    TrustClockRates,
    /// A process at the address of an earlier one issues the stamps of its plain clock.
    ReuseStamps,
}

/// Result of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Number of confirmations that balancers adopted from others.
    pub adopted: u64,
    /// Greatest time by which a confirmation counted as younger than the store's last answer to any
    /// reader, in microseconds; zero if the invariant held.
    pub too_young_us: u64,
    /// Greatest age of a confirmation on an undisturbed network, in microseconds.
    pub oldest_us: u64,
}

/// What disturbs a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Messages take up to 20 ms.
    None,
    /// Every kind of fault.
    All,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver(Letter),
    Digest(usize),
    Read(usize),
    Restart,
    /// The store is lost to all readers, or reached again.
    Outage(bool),
}

/// Runs the model for `length_ms` of true time.
#[must_use]
pub fn run(seed: u64, length_ms: u64, trouble: Trouble, mutation: Mutation) -> Report {
    let mut model = Model::new(seed, trouble, mutation);
    while let Some(Reverse((at, _, event))) = model.queue.pop() {
        if at > length_ms * 1_000 {
            break;
        }
        model.now_us = at;
        model.handle(event);
        model.check_invariant();
    }
    model.report
}

struct Model {
    random: StdRng,
    trouble: Trouble,
    mutation: Mutation,
    /// True time.
    now_us: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    balancers: Vec<Balancer>,
    store_is_lost: bool,
    /// True time of the store's last answer to any reader.
    answered_us: u64,
    report: Report,
}

impl Model {
    fn new(seed: u64, trouble: Trouble, mutation: Mutation) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let balancers = (0..BALANCERS)
            .map(|idx| Balancer::start(idx, 0, &mut random, mutation))
            .collect();
        let mut model = Self {
            random,
            trouble,
            mutation,
            now_us: 0,
            queue: BinaryHeap::new(),
            scheduled: 0,
            balancers,
            store_is_lost: false,
            answered_us: 0,
            report: Report {
                adopted: 0,
                too_young_us: 0,
                oldest_us: 0,
            },
        };
        for idx in 0..BALANCERS {
            let phase = model.random.random_range(0..DIGEST_INTERVAL_US);
            model.schedule(phase, Event::Digest(idx));
        }
        for idx in 0..2 {
            let phase = model.random.random_range(0..READ_INTERVAL_US);
            model.schedule(phase, Event::Read(idx));
        }
        if trouble == Trouble::All {
            model.schedule(10_000_000, Event::Restart);
            model.schedule(5_000_000, Event::Outage(true));
        }
        model
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.scheduled += 1;
        self.queue
            .push(Reverse((self.now_us + delay_us, self.scheduled, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(letter) => self.deliver(letter),
            Event::Digest(idx) => {
                self.schedule(DIGEST_INTERVAL_US, Event::Digest(idx));
                self.send_digests(idx);
            }
            Event::Read(idx) => {
                self.schedule(READ_INTERVAL_US, Event::Read(idx));
                if !self.store_is_lost {
                    self.answered_us = self.now_us;
                    self.balancers[idx].on_store_answer(self.now_us);
                }
            }
            Event::Restart => {
                let delay = self.random.random_range(1_000_000..20_000_000);
                self.schedule(delay, Event::Restart);
                let idx = self.random.random_range(0..BALANCERS);
                self.balancers[idx] =
                    Balancer::start(idx, self.now_us, &mut self.random, self.mutation);
            }
            Event::Outage(is_lost) => {
                self.store_is_lost = is_lost;
                let delay = self.random.random_range(2_000_000..8_000_000);
                self.schedule(delay, Event::Outage(!is_lost));
            }
        }
    }

    fn send_digests(&mut self, from: usize) {
        // The process may stand still between reading its clock and sending.
        let pause_us = self.draw_pause_us();
        for to in (0..BALANCERS).filter(|it| *it != from) {
            let letter = self.balancers[from].compose(self.now_us, to);
            let copies = match self.random.random_range(0..10) {
                0 if self.trouble == Trouble::All => 0,
                1 if self.trouble == Trouble::All => 2,
                _ => 1,
            };
            for _ in 0..copies {
                let way_us = self.draw_way_us();
                self.schedule(pause_us + way_us, Event::Deliver(letter));
            }
        }
    }

    fn deliver(&mut self, letter: Letter) {
        // The process may have read its clock, and then stood still, before it takes the message.
        let clock_read_us = self.now_us.saturating_sub(self.draw_pause_us());
        let is_adopted =
            self.balancers[letter.to].on_letter(self.now_us, clock_read_us, letter, self.mutation);
        self.report.adopted += u64::from(is_adopted);
    }

    fn draw_way_us(&mut self) -> u64 {
        let is_slow = self.trouble == Trouble::All && self.random.random_bool(0.2);
        let max_us = if is_slow { 3_000_000 } else { 20_000 };
        self.random.random_range(100..max_us)
    }

    fn draw_pause_us(&mut self) -> u64 {
        if self.trouble == Trouble::All && self.random.random_bool(0.05) {
            return self.random.random_range(0..1_000_000);
        }
        0
    }

    /// At no time does a balancer hold a confirmation younger than the store's last answer to any
    /// reader.
    fn check_invariant(&mut self) {
        for balancer in &self.balancers {
            let Some(confirmed_us) = balancer.confirmed_true_us() else {
                continue;
            };
            let too_young_us = confirmed_us.saturating_sub(self.answered_us);
            self.report.too_young_us = self.report.too_young_us.max(too_young_us);
            let age_us = self.now_us.saturating_sub(confirmed_us);
            if self.now_us > 5_000_000 {
                self.report.oldest_us = self.report.oldest_us.max(age_us);
            }
        }
    }
}
