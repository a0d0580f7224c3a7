//! States of the specification and the steps between them.

use bundle::Source;

use super::{
    Mutation,
    decisions::{Decisions, DocumentIdx, Holding},
};

/// Bounds of the search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Bounds {
    /// Number of processes.
    pub processes: u8,
    /// Restarts over all processes.
    pub restarts: u8,
    /// Times a process partition_moves to the other side of a partition.
    pub partition_moves: u8,
}

/// A promise broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Violation {
    /// A process put something in force that comes before what it had.
    Reverted,
    /// A process began to serve with less than every serving process of its side holds.
    ServedStale,
    /// After every exchange, processes hold different documents.
    Diverged,
}

/// What is true at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct State {
    /// Sorted, as processes differ in nothing else.
    processes: Vec<Process>,
    /// Documents published so far.
    published: DocumentIdx,
    restarts_left: u8,
    partition_moves_left: u8,
    /// What the last step broke.
    broken: Option<Violation>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Process {
    held: Holding,
    /// Whether it serves; else it starts.
    serves: bool,
    /// Side of a partition.
    is_apart: bool,
    /// A message on its way here.
    incoming: Option<DocumentIdx>,
}

impl State {
    pub(super) fn new(bounds: Bounds) -> Self {
        let process = Process {
            held: Holding::default(),
            serves: true,
            is_apart: false,
            incoming: None,
        };
        Self {
            processes: vec![process; usize::from(bounds.processes)],
            published: 0,
            restarts_left: bounds.restarts,
            partition_moves_left: bounds.partition_moves,
            broken: None,
        }
    }

    /// Returns what is broken here.
    pub(super) fn violation(&self, decisions: &Decisions) -> Option<Violation> {
        self.broken.or_else(|| {
            let is_same = self.converges(decisions);
            (!is_same).then_some(Violation::Diverged)
        })
    }

    /// Returns every state one step away.
    pub(super) fn successors(&self, mutation: Mutation, decisions: &Decisions) -> Vec<Self> {
        let mut next = Vec::new();
        if self.published < decisions.documents {
            next.push(Self {
                published: self.published + 1,
                ..self.clone()
            });
        }
        for idx in 0..self.processes.len() {
            if self.processes[idx].serves {
                self.reads(idx, decisions, &mut next);
                self.sends(idx, decisions, &mut next);
                self.restarts(idx, &mut next);
            } else {
                self.starts(idx, mutation, decisions, &mut next);
            }
            self.receives(idx, decisions, &mut next);
            self.partition_moves(idx, &mut next);
        }
        next
    }

    /// Reads any published document, however old.
    fn reads(&self, idx: usize, decisions: &Decisions, next: &mut Vec<Self>) {
        for offered in 0..self.published {
            let held = decisions.offer(self.processes[idx].held, Source::Platform, offered);
            next.push(self.holding(idx, held, decisions));
        }
    }

    /// Sends something newer to another process of its side.
    fn sends(&self, from: usize, decisions: &Decisions, next: &mut Vec<Self>) {
        let sender = self.processes[from];
        for (to, receiver) in self.processes.iter().enumerate() {
            let is_reached = to != from && receiver.is_apart == sender.is_apart;
            if !is_reached || receiver.incoming.is_some() {
                continue;
            }
            for &document in decisions.newer(receiver.held, sender.held) {
                next.push(self.with(to, |it| it.incoming = Some(document)));
            }
        }
    }

    /// Receives what is on its way, and may receive it again; or loses it.
    fn receives(&self, idx: usize, decisions: &Decisions, next: &mut Vec<Self>) {
        let process = self.processes[idx];
        let Some(offered) = process.incoming else {
            return;
        };
        let held = decisions.offer(process.held, Source::Peer, offered);
        next.push(self.holding(idx, held, decisions));
        next.push(self.with(idx, |it| it.incoming = None));
    }

    fn restarts(&self, idx: usize, next: &mut Vec<Self>) {
        if self.restarts_left == 0 {
            return;
        }
        let mut state = self.with(idx, |it| {
            it.held = Holding::default();
            it.serves = false;
        });
        state.restarts_left -= 1;
        next.push(state);
    }

    /// Asks a serving process of its side, then maybe reads, then serves.
    fn starts(&self, idx: usize, mutation: Mutation, decisions: &Decisions, next: &mut Vec<Self>) {
        let process = self.processes[idx];
        let serving: Vec<Holding> = self.serving_beside(process).collect();
        let mut asked: Vec<Holding> = serving
            .iter()
            .map(|theirs| decisions.exchange(process.held, *theirs))
            .collect();
        if asked.is_empty() || mutation == Mutation::StartWithoutPeers {
            asked = vec![process.held];
        }
        for held in asked {
            next.push(self.serving(idx, held, &serving, decisions));
            for offered in 0..self.published {
                let held = decisions.offer(held, Source::Platform, offered);
                next.push(self.serving(idx, held, &serving, decisions));
            }
        }
    }

    fn partition_moves(&self, idx: usize, next: &mut Vec<Self>) {
        if self.partition_moves_left == 0 {
            return;
        }
        let mut state = self.with(idx, |it| it.is_apart = !it.is_apart);
        state.partition_moves_left -= 1;
        next.push(state);
    }

    /// Returns the state in which a process begins to serve.
    fn serving(
        &self,
        idx: usize,
        held: Holding,
        others: &[Holding],
        decisions: &Decisions,
    ) -> Self {
        let is_old =
            !others.is_empty() && !others.iter().any(|it| decisions.is_at_least(held, *it));
        let mut state = self.with(idx, |it| {
            it.held = held;
            it.serves = true;
        });
        state.broken = is_old.then_some(Violation::ServedStale);
        state
    }

    /// Returns the state in which a process holds something else.
    fn holding(&self, idx: usize, held: Holding, decisions: &Decisions) -> Self {
        let is_back = !decisions.is_at_least(held, self.processes[idx].held);
        let mut state = self.with(idx, |it| it.held = held);
        state.broken = is_back.then_some(Violation::Reverted);
        state
    }

    fn with(&self, idx: usize, change: impl FnOnce(&mut Process)) -> Self {
        let mut state = self.clone();
        change(&mut state.processes[idx]);
        state.processes.sort_unstable();
        state
    }

    fn serving_beside(&self, process: Process) -> impl Iterator<Item = Holding> {
        self.processes
            .iter()
            .filter(move |it| it.serves && it.is_apart == process.is_apart)
            .map(|it| it.held)
    }

    /// Returns whether exchanges alone bring every process to the same documents.
    fn converges(&self, decisions: &Decisions) -> bool {
        let mut held: Vec<Holding> = self.processes.iter().map(|it| it.held).collect();
        for _ in 0..held.len() {
            for to in 0..held.len() {
                for from in 0..held.len() {
                    held[to] = decisions.exchange(held[to], held[from]);
                }
            }
        }
        held.windows(2).all(|it| it[0] == it[1])
    }
}
