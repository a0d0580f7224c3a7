//! State of the bundle propagation model and its transitions.

use bundle::Source;

use super::{
    Mutation,
    decisions::{Decisions, DocumentIdx, Holding},
};

/// Bounds of the search of the bundle propagation model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Bounds {
    /// Number of processes in the model.
    pub processes: u8,
    /// Maximum number of restarts of all processes together.
    pub restarts: u8,
    /// Maximum number of times that a process moves to the other side of the partition.
    pub partition_moves: u8,
}

/// An invariant of bundle propagation that a state violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Violation {
    /// A process put a document in force although the document it held supersedes that one.
    Reverted,
    /// A process began to serve with documents older than those of every serving process on its
    /// side of the partition.
    ServedStale,
    /// Processes still hold different documents after every process has exchanged with every other
    /// one.
    Diverged,
}

/// State of the processes and the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct State {
    /// The processes, which are interchangeable; sorting them merges symmetric states.
    processes: Vec<Process>,
    /// Number of documents that the platform has published.
    published: DocumentIdx,
    restarts_left: u8,
    partition_moves_left: u8,
    /// The invariant that the last transition violated.
    violation: Option<Violation>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Process {
    held: Holding,
    /// Whether the process serves; otherwise it is starting.
    is_serving: bool,
    /// Whether the process is on the second side of the partition.
    is_on_second_side: bool,
    /// The document that a peer has sent to this process and that is still in flight.
    incoming: Option<DocumentIdx>,
}

impl State {
    pub(super) fn new(bounds: Bounds) -> Self {
        let process = Process {
            held: Holding::default(),
            is_serving: true,
            is_on_second_side: false,
            incoming: None,
        };
        Self {
            processes: vec![process; usize::from(bounds.processes)],
            published: 0,
            restarts_left: bounds.restarts,
            partition_moves_left: bounds.partition_moves,
            violation: None,
        }
    }

    /// Returns the invariant that this state violates, if any.
    pub(super) fn violation(&self, decisions: &Decisions) -> Option<Violation> {
        self.violation.or_else(|| {
            let has_converged = self.converges(decisions);
            (!has_converged).then_some(Violation::Diverged)
        })
    }

    /// Returns every state that one transition of the model leads to.
    pub(super) fn successors(&self, mutation: Mutation, decisions: &Decisions) -> Vec<Self> {
        let mut next = Vec::new();
        if self.published < decisions.documents {
            next.push(Self {
                published: self.published + 1,
                ..self.clone()
            });
        }
        for idx in 0..self.processes.len() {
            if self.processes[idx].is_serving {
                self.add_read_steps(idx, decisions, &mut next);
                self.add_send_steps(idx, decisions, &mut next);
                self.add_restart_steps(idx, &mut next);
            } else {
                self.add_start_steps(idx, mutation, decisions, &mut next);
            }
            self.add_receive_steps(idx, decisions, &mut next);
            self.add_partition_steps(idx, &mut next);
        }
        next
    }

    /// Adds the states in which a process reads any published document from the platform, however
    /// old.
    fn add_read_steps(&self, idx: usize, decisions: &Decisions, next: &mut Vec<Self>) {
        for offered in 0..self.published {
            let held =
                decisions.holding_after_offer(self.processes[idx].held, Source::Platform, offered);
            next.push(self.with_holding(idx, held, decisions));
        }
    }

    /// Adds the states in which a process sends a newer document to another process on its side of
    /// the partition.
    fn add_send_steps(&self, from: usize, decisions: &Decisions, next: &mut Vec<Self>) {
        let sender = self.processes[from];
        for (to, receiver) in self.processes.iter().enumerate() {
            let is_reachable = to != from && receiver.is_on_second_side == sender.is_on_second_side;
            if !is_reachable || receiver.incoming.is_some() {
                continue;
            }
            for &document in decisions.documents_to_send(receiver.held, sender.held) {
                next.push(self.with_changed_process(to, |it| it.incoming = Some(document)));
            }
        }
    }

    /// Adds the states in which a process receives the document in flight, or in which that
    /// document is lost. A received document stays in flight as a duplicate.
    fn add_receive_steps(&self, idx: usize, decisions: &Decisions, next: &mut Vec<Self>) {
        let process = self.processes[idx];
        let Some(offered) = process.incoming else {
            return;
        };
        let held = decisions.holding_after_offer(process.held, Source::Peer, offered);
        next.push(self.with_holding(idx, held, decisions));
        next.push(self.with_changed_process(idx, |it| it.incoming = None));
    }

    fn add_restart_steps(&self, idx: usize, next: &mut Vec<Self>) {
        if self.restarts_left == 0 {
            return;
        }
        let mut state = self.with_changed_process(idx, |it| {
            it.held = Holding::default();
            it.is_serving = false;
        });
        state.restarts_left -= 1;
        next.push(state);
    }

    /// Adds the states in which a starting process exchanges documents with a serving process on
    /// its side of the partition, reads at most one document from the platform and begins to serve.
    fn add_start_steps(
        &self,
        idx: usize,
        mutation: Mutation,
        decisions: &Decisions,
        next: &mut Vec<Self>,
    ) {
        let process = self.processes[idx];
        let serving: Vec<Holding> = self.serving_holdings_on_side_of(process).collect();
        let mut held_choices: Vec<Holding> = serving
            .iter()
            .map(|theirs| decisions.holding_after_exchange(process.held, *theirs))
            .collect();
        if held_choices.is_empty() || mutation == Mutation::StartWithoutPeers {
            held_choices = vec![process.held];
        }
        for held in held_choices {
            next.push(self.with_serving_process(idx, held, &serving, decisions));
            for offered in 0..self.published {
                let held = decisions.holding_after_offer(held, Source::Platform, offered);
                next.push(self.with_serving_process(idx, held, &serving, decisions));
            }
        }
    }

    fn add_partition_steps(&self, idx: usize, next: &mut Vec<Self>) {
        if self.partition_moves_left == 0 {
            return;
        }
        let mut state =
            self.with_changed_process(idx, |it| it.is_on_second_side = !it.is_on_second_side);
        state.partition_moves_left -= 1;
        next.push(state);
    }

    /// Returns the state in which a process begins to serve with the given documents.
    fn with_serving_process(
        &self,
        idx: usize,
        held: Holding,
        others: &[Holding],
        decisions: &Decisions,
    ) -> Self {
        let is_stale =
            !others.is_empty() && !others.iter().any(|it| decisions.is_at_least(held, *it));
        let mut state = self.with_changed_process(idx, |it| {
            it.held = held;
            it.is_serving = true;
        });
        state.violation = is_stale.then_some(Violation::ServedStale);
        state
    }

    /// Returns the state in which a process holds the given documents.
    fn with_holding(&self, idx: usize, held: Holding, decisions: &Decisions) -> Self {
        let is_reverted = !decisions.is_at_least(held, self.processes[idx].held);
        let mut state = self.with_changed_process(idx, |it| it.held = held);
        state.violation = is_reverted.then_some(Violation::Reverted);
        state
    }

    fn with_changed_process(&self, idx: usize, change: impl FnOnce(&mut Process)) -> Self {
        let mut state = self.clone();
        change(&mut state.processes[idx]);
        state.processes.sort_unstable();
        state
    }

    fn serving_holdings_on_side_of(&self, process: Process) -> impl Iterator<Item = Holding> {
        self.processes
            .iter()
            .filter(move |it| it.is_serving && it.is_on_second_side == process.is_on_second_side)
            .map(|it| it.held)
    }

    /// Returns whether exchanges alone bring every process to the same documents.
    fn converges(&self, decisions: &Decisions) -> bool {
        let mut held: Vec<Holding> = self.processes.iter().map(|it| it.held).collect();
        for _ in 0..held.len() {
            for to in 0..held.len() {
                for from in 0..held.len() {
                    held[to] = decisions.holding_after_exchange(held[to], held[from]);
                }
            }
        }
        held.windows(2).all(|it| it[0] == it[1])
    }
}
