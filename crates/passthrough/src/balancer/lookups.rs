//! Searches for the agent that holds a flow.

use std::collections::{HashMap, VecDeque};

use units::Millis;

use crate::Flow;

/// Time after which the chains of a lookup that have not ended count as lost.
const LOST_MS: Millis = Millis::new(150);

/// Time between two failed lookups of a flow that together prove that nobody holds it.
///
/// A list of endpoints may be some hundred milliseconds behind, so one failure proves nothing.
const PROOF_MS: Millis = Millis::new(150);

/// Time after which a flow's failures are forgotten.
const FORGOTTEN_MS: Millis = Millis::new(5_000);

/// Packets kept at once for a second lookup; 256 of 1,232 bytes are a third of a megabyte.
const KEPT_MAX: usize = 256;

#[derive(Debug)]
struct Lookup {
    ticket: u16,
    /// Lookups of this flow before, since one succeeded.
    round: usize,
    /// Chains that have not ended.
    open_chains: usize,
    started: Millis,
    /// Generation of the list whose endpoints are asked.
    generation: u64,
    failures: u8,
    first_failure: Option<Millis>,
    /// What the caller acknowledged last, where a reset has to begin.
    acknowledged: u32,
    /// The packet, for a second lookup without the caller's help; empty if too many are kept.
    packet: Vec<u8>,
}

impl Lookup {
    const fn is_failed(&self) -> bool {
        self.failures > 0 && self.open_chains == 0
    }
}

/// A lookup in which no agent holds the flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Failed {
    pub(crate) rounds: u8,
    /// Failures far enough apart prove that nobody holds the flow.
    pub(crate) is_certain: bool,
    pub(crate) acknowledged: u32,
}

/// The searches under way.
#[derive(Debug, Default)]
pub(crate) struct Lookups {
    by_flow: HashMap<Flow, Lookup>,
    /// When failed lookups are repeated, oldest first.
    repeats: VecDeque<(Millis, Flow)>,
    last_ticket: u16,
}

impl Lookups {
    /// Starts a lookup of `chains`; returns its ticket, zero if one of this flow is under way, and
    /// how many came before.
    pub(crate) fn start(
        &mut self,
        now: Millis,
        flow: Flow,
        chains: usize,
        generation: u64,
        acknowledged: u32,
        packet: &[u8],
    ) -> (u16, usize) {
        let keeps = self.by_flow.len() < KEPT_MAX;
        let lookup = self.by_flow.entry(flow).or_insert_with(|| Lookup {
            ticket: 0,
            round: 0,
            open_chains: 0,
            started: now,
            generation,
            failures: 0,
            first_failure: None,
            acknowledged,
            packet: if keeps { packet.to_vec() } else { Vec::new() },
        });
        if lookup.open_chains > 0 && now.since(lookup.started) < LOST_MS {
            return (0, lookup.round + 1);
        }
        self.last_ticket = self.last_ticket.wrapping_add(1).max(1);
        let round = lookup.round;
        lookup.round += 1;
        lookup.ticket = self.last_ticket;
        lookup.open_chains = chains;
        lookup.started = now;
        lookup.generation = generation;
        lookup.acknowledged = acknowledged;
        (self.last_ticket, round)
    }

    /// Takes the packet of a failed lookup that is due to be repeated.
    pub(crate) fn take_repeat(&mut self, now: Millis) -> Option<(Flow, Vec<u8>)> {
        while let Some((due, flow)) = self.repeats.front().copied() {
            if due > now {
                return None;
            }
            self.repeats.pop_front();
            let Some(lookup) = self.by_flow.get(&flow) else {
                continue;
            };
            if !lookup.packet.is_empty() {
                return Some((flow, lookup.packet.clone()));
            }
        }
        None
    }

    /// Returns when the next failed lookup is repeated.
    pub(crate) fn next_repeat(&self) -> Option<Millis> {
        self.repeats.front().map(|it| it.0)
    }

    /// The holder was found, or the search is over; returns whether one was under way.
    pub(crate) fn finish(&mut self, flow: Flow) -> bool {
        self.by_flow.remove(&flow).is_some()
    }

    /// A chain ended without a holder; returns the failure if it was the last.
    ///
    /// If endpoints came in since the lookup began, they are asked next.
    pub(crate) fn chain_ended(
        &mut self,
        now: Millis,
        flow: Flow,
        ticket: u16,
        generation: u64,
    ) -> Option<Failed> {
        let lookup = self.by_flow.get_mut(&flow)?;
        if lookup.ticket != ticket || lookup.open_chains == 0 {
            return None;
        }
        lookup.open_chains -= 1;
        if lookup.open_chains > 0 {
            return None;
        }
        if lookup.generation != generation {
            self.repeats.push_front((now, flow));
            return None;
        }
        lookup.failures = lookup.failures.saturating_add(1);
        if lookup.first_failure.is_none() && !lookup.packet.is_empty() {
            self.repeats.push_back((now.plus(PROOF_MS), flow));
        }
        let first = *lookup.first_failure.get_or_insert(now);
        Some(Failed {
            rounds: lookup.failures,
            is_certain: now.since(first) >= PROOF_MS,
            acknowledged: lookup.acknowledged,
        })
    }

    /// Returns whether a lookup failed that no confirmation of the list has followed.
    pub(crate) fn awaits_confirmation(&self) -> bool {
        self.by_flow.values().any(Lookup::is_failed)
    }

    /// Takes the flows whose lookups among the endpoints of `generation` began before `since` and failed,
    /// with the position where a reset has to begin.
    pub(crate) fn take_failed(&mut self, since: Millis, generation: u64) -> Vec<(Flow, u32)> {
        let is_proved =
            |it: &Lookup| it.is_failed() && it.started <= since && it.generation == generation;
        let proved = self.by_flow.iter().filter(|it| is_proved(it.1));
        let mut failed: Vec<_> = proved.map(|it| (*it.0, it.1.acknowledged)).collect();
        failed.sort_unstable();
        for (flow, _) in &failed {
            self.by_flow.remove(flow);
        }
        failed
    }

    /// Repeats failed lookups in which endpoints were not asked that have come in since.
    pub(crate) fn repeat_outdated(&mut self, now: Millis, generation: u64) {
        let is_outdated = |it: &Lookup| it.is_failed() && it.generation != generation;
        let outdated = self.by_flow.iter().filter(|it| is_outdated(it.1));
        let mut flows: Vec<Flow> = outdated.map(|it| *it.0).collect();
        flows.sort_unstable();
        for flow in flows {
            self.repeats.push_front((now, flow));
        }
    }

    pub(crate) fn sweep(&mut self, now: Millis) {
        self.by_flow
            .retain(|_, it| now.since(it.started) <= FORGOTTEN_MS);
    }
}
