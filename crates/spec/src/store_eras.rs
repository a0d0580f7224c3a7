//! Model of a store that comes back from older copies of its data, with readers and peers.
//!
//! The store holds two items: the version of the operator's settings and whether an endpoint drains.
//! Readers watch the store from their own revision, or read it whole. Balancers send each other the
//! lists that they hold; every list that was ever sent may arrive at any later time, any number of
//! times or never. The rules are those of `passthrough::Catalog` lists in `store_era`.
//!
//! The transitions encode these assumptions:
//! - What the operator and the endpoint wrote before a return is written again, and the time in which
//!   entries are held back is longer than that takes while the store answers.
//! - A list is confirmed only by a store that answers in the list's era.

use std::{cell::Cell, collections::BTreeSet};

use pathfinding::directed::bfs::bfs;

/// A deliberate defect in the protocol, for which the search must find a counterexample.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// No defect: the protocol as implemented.
    None,
    /// Lists are ordered by the revision's number alone.
    OrderByNumber,
    /// A reader goes on with its watch in a later era.
    WatchAcrossEras,
    /// Settings are taken with each newer list, whatever their version.
    TakeOlderSettings,
    /// A list of a later era brings a draining endpoint back into use.
    BelieveOldEntry,
    /// Held entries are released after some time, also while the store is away.
    ReleaseUnconfirmed,
}

/// An invariant that doesn't hold in a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A balancer's list is of no revision that the store ever had.
    MixedHistories,
    /// The settings of a balancer went back to an older version.
    SettingsReverted,
    /// A balancer that saw an endpoint drain offers it openings.
    Reopened,
    /// A balancer that read the store keeps another list, or one that knows all has something else
    /// in force.
    NotConverged,
}

/// Bounds of the search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Number of returns of the store from a copy.
    pub returns: u8,
    /// Number of restarts of balancers.
    pub restarts: u8,
    /// Number of versions that the operator writes.
    pub versions: u8,
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Number of states that the search visited.
    pub states: u64,
    /// The first violated invariant.
    pub violation: Option<Violation>,
    /// The states on the path to the violation, one line each.
    pub trace: Vec<String>,
}

const BALANCERS: usize = 2;

/// Both items, each with the number of its latest change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Items {
    version: u8,
    version_changed: u8,
    drains: bool,
    drain_changed: u8,
}

/// A list of one revision, ordered by era, then number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct List {
    era: u8,
    number: u8,
    items: Items,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Balancer {
    /// The list as the store has it; number zero means none.
    listed: List,
    /// Version of the settings in force.
    version: u8,
    /// Whether the endpoint is kept draining against the list.
    holds_drain: bool,
    has_seen_drain: bool,
    /// A step that violated an invariant.
    fault: Option<Violation>,
}

impl Balancer {
    const fn drains(&self) -> bool {
        self.listed.items.drains || self.holds_drain
    }

    fn take_list(&mut self, list: List, mutation: Mutation) {
        let order = |it: &List| match mutation {
            Mutation::OrderByNumber => (0, it.number),
            _ => (it.era, it.number),
        };
        let version = self.version;
        let is_newer = order(&list) > order(&self.listed);
        if is_newer {
            let rises = list.era > self.listed.era && self.listed.number > 0;
            let is_written = list.items.drain_changed != self.listed.items.drain_changed;
            if rises && mutation != Mutation::BelieveOldEntry {
                self.holds_drain = self.drains() && !list.items.drains;
            } else if !rises && is_written || list.items.drains {
                self.holds_drain = false;
            }
            self.listed = list;
        }
        self.version = match mutation {
            Mutation::TakeOlderSettings if is_newer => list.items.version,
            _ => version.max(list.items.version),
        };
        if self.version < version {
            self.fault = Some(Violation::SettingsReverted);
        }
        self.has_seen_drain |= self.drains();
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    store: List,
    /// What the operator and the endpoint wrote last.
    written: (u8, bool),
    copy: List,
    balancers: [Balancer; BALANCERS],
    /// Every list that a balancer sent, with the settings that it had in force.
    sent: BTreeSet<List>,
    /// Every list that the store had.
    history: BTreeSet<List>,
    left: Bounds,
}

impl State {
    fn new(bounds: Bounds) -> Self {
        let store = List {
            number: 1,
            ..List::default()
        };
        let balancer = Balancer {
            listed: store,
            ..Balancer::default()
        };
        Self {
            store,
            written: (0, false),
            copy: store,
            balancers: [balancer; BALANCERS],
            sent: BTreeSet::new(),
            history: BTreeSet::from([store]),
            left: bounds,
        }
    }

    /// Returns whether the store has all that was written, and so can't bring back older items.
    fn is_rewritten(&self) -> bool {
        (self.store.items.version, self.store.items.drains) == self.written
    }

    /// Writes the items that the store lacks, one of them per step.
    fn write(&mut self, version: u8, drains: bool) {
        let items = &mut self.store.items;
        self.store.number += 1;
        if items.version != version {
            (items.version, items.version_changed) = (version, self.store.number);
        } else if items.drains != drains {
            (items.drains, items.drain_changed) = (drains, self.store.number);
        }
        self.history.insert(self.store);
    }

    fn successors(&self, mutation: Mutation) -> Vec<Self> {
        let mut next = Vec::new();
        let mut add = |change: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            change(&mut state);
            next.push(state);
        };
        if self.is_rewritten() {
            if self.left.versions > 0 {
                add(&|it| {
                    it.left.versions -= 1;
                    it.written.0 += 1;
                    it.write(it.written.0, it.written.1);
                });
            }
            if !self.written.1 {
                add(&|it| {
                    it.written.1 = true;
                    it.write(it.written.0, true);
                });
            }
            if self.copy != self.store {
                add(&|it| it.copy = it.store);
            }
        } else {
            add(&|it| it.write(it.written.0, it.written.1));
        }
        if self.left.returns > 0 && self.copy != self.store {
            add(&|it| {
                it.left.returns -= 1;
                it.store = List {
                    era: it.store.era + 1,
                    ..it.copy
                };
                it.copy = it.store;
                it.history.insert(it.store);
            });
        }
        for idx in 0..BALANCERS {
            add(&|it| it.read(idx, mutation));
            for list in &self.sent {
                add(&|it| it.balancers[idx].take_list(*list, mutation));
            }
            let balancer = self.balancers[idx];
            if balancer.listed.number > 0 {
                add(&|it| {
                    let mut list = balancer.listed;
                    list.items.version = balancer.version;
                    it.sent.insert(list);
                });
            }
            let is_confirmed = self.is_rewritten() && balancer.listed == self.store;
            if balancer.holds_drain && (is_confirmed || mutation == Mutation::ReleaseUnconfirmed) {
                add(&|it| it.balancers[idx].holds_drain = false);
            }
            if self.left.restarts > 0 {
                add(&|it| {
                    it.left.restarts -= 1;
                    it.balancers[idx] = Balancer::default();
                });
            }
        }
        next.retain(|it| it != self);
        next
    }

    /// Lets a balancer read the store: what changed since its revision if that is of the store's era,
    /// else everything.
    fn read(&mut self, idx: usize, mutation: Mutation) {
        let store = self.store;
        let balancer = &mut self.balancers[idx];
        let own = balancer.listed;
        let watches = own.era == store.era
            || mutation == Mutation::WatchAcrossEras && own.number <= store.number;
        let mut list = store;
        if watches && own.number > 0 {
            if store.items.version_changed <= own.number {
                list.items.version = own.items.version;
                list.items.version_changed = own.items.version_changed;
            }
            if store.items.drain_changed <= own.number {
                list.items.drains = own.items.drains;
                list.items.drain_changed = own.items.drain_changed;
            }
        }
        balancer.take_list(list, mutation);
        let held = balancer.listed;
        if (held.era, held.number) != (store.era, store.number) {
            balancer.fault = Some(Violation::NotConverged);
        }
    }

    fn violation(&self) -> Option<Violation> {
        let is_known = |it: &Balancer| {
            let list = it.listed;
            // A list from a peer carries the settings that the peer had in force.
            list.number == 0
                || self.history.iter().any(|known| {
                    let is_same = (known.era, known.number) == (list.era, list.number);
                    is_same && known.items.drains == list.items.drains
                })
        };
        for balancer in &self.balancers {
            if balancer.fault.is_some() {
                return balancer.fault;
            }
            if balancer.has_seen_drain && !balancer.drains() {
                return Some(Violation::Reopened);
            }
            if !is_known(balancer) {
                return Some(Violation::MixedHistories);
            }
            let knows_all = balancer.listed == self.store && self.is_rewritten();
            let in_force = (balancer.version, balancer.drains());
            if knows_all && in_force != self.written {
                return Some(Violation::NotConverged);
            }
        }
        None
    }
}

/// Searches all states of the model within the bounds until an invariant is violated.
#[must_use]
pub fn search(mutation: Mutation, bounds: Bounds) -> SearchOutcome {
    let states = Cell::new(0);
    let is_violated = |state: &State| {
        states.set(states.get() + 1);
        state.violation().is_some()
    };
    let start = State::new(bounds);
    let path = bfs(&start, |it| it.successors(mutation), is_violated).unwrap_or_default();
    SearchOutcome {
        states: states.get(),
        violation: path.last().and_then(State::violation),
        trace: path.iter().map(|it| format!("{it:?}")).collect(),
    }
}
