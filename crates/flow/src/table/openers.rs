//! Endpoints that may open flows, and the selection of deciders and targets among them.

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
    /// The endpoint's weight in the bundle, above zero.
    weight: Weight,
    visibility: Visibility,
    status: Arc<EndpointStatus>,
}

/// Whether all balancers can route to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Visibility {
    /// All balancers can route to the endpoint.
    AllBalancers,
    /// Only balancers that already have the new bundle can route to the endpoint.
    SomeBalancers,
}

impl Opener {
    /// Returns the endpoint's weight as a decider: its bundle weight, so that balancers agree.
    fn decider_weight(&self) -> Weight {
        match self.status.liveness() {
            Liveness::Alive | Liveness::Suspect => self.weight,
            Liveness::Dead => Weight::new(0),
        }
    }

    /// Returns the endpoint's weight for new flows after liveness, slow start and leaving state.
    fn opening_weight(&self) -> Weight {
        let is_ready = self.visibility == Visibility::AllBalancers
            && self.status.liveness() == Liveness::Alive;
        if !is_ready || self.status.is_leaving() {
            return Weight::new(0);
        }
        let ramped = u32::from(self.weight.get()) * u32::from(self.status.ramp_percent());
        let ramped = ramped.div_ceil(100);
        Weight::new(u16::try_from(ramped).unwrap_or(u16::MAX))
    }
}

/// Collects the endpoints of a bundle that may open flows.
pub(super) fn collect_openers(bundle: &Bundle, registry: &mut EndpointRegistry) -> Vec<Opener> {
    let may_open = |it: &&Endpoint| !it.is_leaving && it.weight.get() > 0;
    let endpoints = bundle.endpoints.iter().filter(may_open);
    endpoints
        .map(|it| Opener {
            candidate: Candidate {
                endpoint: it.id,
                address: it.tunnel_address,
            },
            weight: it.weight,
            visibility: Visibility::AllBalancers,
            status: registry.get_or_insert(it.id),
        })
        .collect()
}

/// Keeps endpoints that only the new bundle lists from opening flows, unless all are new.
pub(super) fn mark_unpropagated(openers: &mut [Opener], previous: &Bundle) {
    let is_known = |it: &Opener| {
        let is_same = |old: &Endpoint| {
            (old.id, old.tunnel_address) == (it.candidate.endpoint, it.candidate.address)
        };
        previous.endpoints.iter().any(is_same)
    };
    if !openers.iter().any(is_known) {
        return;
    }
    for opener in openers {
        if !is_known(opener) {
            opener.visibility = Visibility::SomeBalancers;
        }
    }
}

/// Returns whether two endpoint lists have equal endpoints, addresses and weights.
pub(super) fn have_equal_weights(left: &[Opener], right: &[Opener]) -> bool {
    let candidate_and_weight = |it: &Opener| (it.candidate, it.weight);
    left.iter()
        .map(candidate_and_weight)
        .eq(right.iter().map(candidate_and_weight))
}

/// Ranks a bundle's endpoints as deciders of an opening; ignores liveness if all are dead.
pub(super) fn rank_deciders(openers: &[Opener], key: FlowKey) -> [Option<&Opener>; CANDIDATES_MAX] {
    let mut scores = TopScores::<CANDIDATES_MAX>::new();
    for (idx, opener) in openers.iter().enumerate() {
        scores.offer_endpoint(
            idx,
            opener.decider_weight(),
            unit_weight_score(key, opener.candidate.endpoint),
        );
    }
    if scores.winner_positions()[0].is_none() {
        for (idx, opener) in openers.iter().enumerate() {
            scores.offer_endpoint(
                idx,
                opener.weight,
                unit_weight_score(key, opener.candidate.endpoint),
            );
        }
    }
    scores
        .winner_positions()
        .map(|it| it.map(|idx| &openers[idx]))
}

/// Selects the endpoint to open a flow: the less loaded of the two with the highest scores.
pub(super) fn select_target(openers: &[Opener], key: FlowKey) -> Option<&Opener> {
    let mut scores = TopScores::<2>::new();
    for (idx, opener) in openers.iter().enumerate() {
        scores.offer_endpoint(
            idx,
            opener.opening_weight(),
            unit_weight_score(key, opener.candidate.endpoint),
        );
    }
    match scores
        .winner_positions()
        .map(|it| it.map(|idx| &openers[idx]))
    {
        [Some(best), Some(second)] => Some(less_loaded(best, second)),
        [best, _] => best,
    }
}

/// Returns the less loaded of two endpoints, or `first` if loads are equal or one is unknown.
fn less_loaded<'a>(first: &'a Opener, second: &'a Opener) -> &'a Opener {
    let (a, b) = (first.status.load(), second.status.load());
    if a.total.get() == 0 || b.total.get() == 0 {
        return first;
    }
    let first_load = u32::from(a.busy.get()) * u32::from(b.total.get());
    let second_load = u32::from(b.busy.get()) * u32::from(a.total.get());
    if second_load < first_load {
        second
    } else {
        first
    }
}

/// Bounded list of endpoints that may open a flow, without duplicates, in insertion order.
pub(super) struct CandidateList {
    /// Only the first `len` candidates are set.
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

    pub(super) fn as_slice(&self) -> &[Candidate] {
        &self.candidates[..self.len]
    }

    /// Adds an endpoint unless `opener` is `None`, the endpoint is listed or the list is full.
    ///
    /// Returns the endpoint's position, or the length of the list if the endpoint is not listed.
    pub(super) fn add_candidate(&mut self, opener: Option<&Opener>) -> usize {
        let Some(opener) = opener else {
            return self.len;
        };
        let is_same = |it: &Candidate| it.endpoint == opener.candidate.endpoint;
        if let Some(idx) = self.as_slice().iter().position(is_same) {
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
