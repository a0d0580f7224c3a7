//! Searches for the agent that holds a flow.

use std::collections::HashMap;

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

#[derive(Debug, Clone, Copy)]
struct Lookup {
    ticket: u16,
    /// Lookups of this flow before, since one succeeded.
    round: usize,
    /// Chains that have not ended.
    open_chains: usize,
    started: Millis,
    failures: u8,
    first_failure: Option<Millis>,
    /// What the caller acknowledged last, where a reset has to begin.
    acknowledged: u32,
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
    lookups: HashMap<Flow, Lookup>,
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
        acknowledged: u32,
    ) -> (u16, usize) {
        let known = self.lookups.get(&flow).copied();
        let round = known.map_or(0, |it| it.round + 1);
        if known.is_some_and(|it| it.open_chains > 0 && now.since(it.started) < LOST_MS) {
            return (0, round);
        }
        self.last_ticket = self.last_ticket.wrapping_add(1).max(1);
        let lookup = Lookup {
            ticket: self.last_ticket,
            round,
            open_chains: chains,
            started: now,
            failures: known.map_or(0, |it| it.failures),
            first_failure: known.and_then(|it| it.first_failure),
            acknowledged,
        };
        self.lookups.insert(flow, lookup);
        (self.last_ticket, round)
    }

    /// The holder was found, or the search is over; returns whether one was under way.
    pub(crate) fn finish(&mut self, flow: Flow) -> bool {
        self.lookups.remove(&flow).is_some()
    }

    /// A chain ended without a holder; returns the failure if it was the last.
    pub(crate) fn chain_ended(&mut self, now: Millis, flow: Flow, ticket: u16) -> Option<Failed> {
        let lookup = self.lookups.get_mut(&flow)?;
        if lookup.ticket != ticket || lookup.open_chains == 0 {
            return None;
        }
        lookup.open_chains -= 1;
        if lookup.open_chains > 0 {
            return None;
        }
        lookup.failures = lookup.failures.saturating_add(1);
        let first = *lookup.first_failure.get_or_insert(now);
        Some(Failed {
            rounds: lookup.failures,
            is_certain: now.since(first) >= PROOF_MS,
            acknowledged: lookup.acknowledged,
        })
    }

    pub(crate) fn sweep(&mut self, now: Millis) {
        self.lookups
            .retain(|_, it| now.since(it.started) <= FORGOTTEN_MS);
    }
}
