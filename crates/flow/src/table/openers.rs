//! Endpoints that may open flows, and who of them decides and who should open one.

use std::sync::Arc;

use bundle::{Bundle, Endpoint};
use units::Weight;

use super::{EndpointRegistry, EndpointStatus, Liveness};
use crate::{
    rendezvous::{FlowKey, TopScores, unit_weight_score},
    tunnel::{CANDIDATES_MAX, Candidate},
};

/// An endpoint that may open flows.
#[derive(Debug, Clone)]
pub(super) struct Opener {
    candidate: Candidate,
    /// Share of new flows by the bundle alone, above zero.
    weight: Weight,
    reach: Reach,
    cell: Arc<EndpointStatus>,
}

/// Who can route to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// Every balancer.
    All,
    /// Only balancers that have the new bundle.
    Some,
}

impl Opener {
    /// Returns the weight for deciding: the bundle's, so that all balancers agree.
    fn home_weight(&self) -> Weight {
        match self.cell.liveness() {
            Liveness::Alive | Liveness::Suspect => self.weight,
            Liveness::Dead => Weight::new(0),
        }
    }

    /// Returns the weight for opening flows now.
    fn weight_now(&self) -> Weight {
        let is_ready = self.reach == Reach::All && self.cell.liveness() == Liveness::Alive;
        if !is_ready || self.cell.is_leaving() {
            return Weight::new(0);
        }
        let ramped = u32::from(self.weight.get()) * u32::from(self.cell.ramp_percent());
        let ramped = ramped.div_ceil(100);
        Weight::new(u16::try_from(ramped).unwrap_or(u16::MAX))
    }
}

pub(super) fn openers(bundle: &Bundle, registry: &mut EndpointRegistry) -> Vec<Opener> {
    let open = |it: &&Endpoint| !it.is_leaving && it.weight.get() > 0;
    let endpoints = bundle.endpoints.iter().filter(open);
    endpoints
        .map(|it| Opener {
            candidate: Candidate {
                endpoint: it.id,
                address: it.tunnel_address,
            },
            weight: it.weight,
            reach: Reach::All,
            cell: registry.get_or_insert(it.id),
        })
        .collect()
}

/// Keeps endpoints that only the new bundle names from opening flows, unless all are new.
pub(super) fn mark_unspread(openers: &mut [Opener], before: &Bundle) {
    let is_known = |it: &Opener| {
        let known = |old: &Endpoint| {
            (old.id, old.tunnel_address) == (it.candidate.endpoint, it.candidate.address)
        };
        before.endpoints.iter().any(known)
    };
    if !openers.iter().any(is_known) {
        return;
    }
    for opener in openers {
        if !is_known(opener) {
            opener.reach = Reach::Some;
        }
    }
}

pub(super) fn same_shares(left: &[Opener], right: &[Opener]) -> bool {
    let share = |it: &Opener| (it.candidate, it.weight);
    left.iter().map(share).eq(right.iter().map(share))
}

/// Ranks who decides by one bundle; if all are thought dead, as though none were.
pub(super) fn homes(openers: &[Opener], key: FlowKey) -> [Option<&Opener>; CANDIDATES_MAX] {
    let mut alive = TopScores::<CANDIDATES_MAX>::new();
    for (idx, opener) in openers.iter().enumerate() {
        alive.offer(
            idx,
            opener.home_weight(),
            unit_weight_score(key, opener.candidate.endpoint),
        );
    }
    if alive.winners()[0].is_none() {
        for (idx, opener) in openers.iter().enumerate() {
            alive.offer(
                idx,
                opener.weight,
                unit_weight_score(key, opener.candidate.endpoint),
            );
        }
    }
    alive.winners().map(|it| it.map(|idx| &openers[idx]))
}

/// Picks who should open the flow: the less loaded of the two that win it now.
pub(super) fn target(openers: &[Opener], key: FlowKey) -> Option<&Opener> {
    let mut ready = TopScores::<2>::new();
    for (idx, opener) in openers.iter().enumerate() {
        ready.offer(
            idx,
            opener.weight_now(),
            unit_weight_score(key, opener.candidate.endpoint),
        );
    }
    match ready.winners().map(|it| it.map(|idx| &openers[idx])) {
        [Some(best), Some(second)] => Some(less_loaded(best, second)),
        [best, _] => best,
    }
}

/// Picks the less loaded of two; the first if they are equal or one has not said its load.
fn less_loaded<'a>(first: &'a Opener, second: &'a Opener) -> &'a Opener {
    let (a, b) = (first.cell.load(), second.cell.load());
    if a.total.get() == 0 || b.total.get() == 0 {
        return first;
    }
    let left = u32::from(a.busy.get()) * u32::from(b.total.get());
    let right = u32::from(b.busy.get()) * u32::from(a.total.get());
    if right < left { second } else { first }
}

/// Candidates without duplicates; the first come in, as many as there is room for.
pub(super) struct CandidateList {
    /// Only the first `len` are meaningful.
    candidates: [Candidate; CANDIDATES_MAX],
    len: usize,
}

impl CandidateList {
    pub(super) fn new() -> Self {
        Self {
            candidates: [Candidate::NONE; CANDIDATES_MAX],
            len: 0,
        }
    }

    pub(super) fn get(&self) -> &[Candidate] {
        &self.candidates[..self.len]
    }

    /// Adds an endpoint if one is given, it is not there and there is room; returns its position.
    pub(super) fn add(&mut self, opener: Option<&Opener>) -> usize {
        let Some(opener) = opener else {
            return self.len;
        };
        let same = |it: &Candidate| it.endpoint == opener.candidate.endpoint;
        if let Some(idx) = self.get().iter().position(same) {
            return idx;
        }
        if self.len == CANDIDATES_MAX {
            return self.len;
        }
        self.candidates[self.len] = opener.candidate;
        self.len += 1;
        self.len - 1
    }
}
