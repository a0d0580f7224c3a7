//! Offers openings without an answer to a second endpoint, within the operator's limit.
//!
//! Invariant: only one endpoint gets the caller's request. Each endpoint answers an opening packet
//! with its own sequence number, and takes the caller's data only if the caller acknowledged that
//! number. The balancer and the agents forward the caller's packets unchanged, so that whatever they
//! remember or forget, a packet that reaches the other endpoint is returned. `spec::extra_openings`
//! models this.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::Ipv4Addr,
};

use placement::{DELAY_QUANTILE_PERCENT, ExtraGrant, ExtraOpenings, ExtraRefusal};
use units::{BasisPoints, Millis};

use super::{Balancer, openings::PendingOpening};
use crate::{
    Endpoint, Event, Flow, Outbox, PacketFormat, RequestProfile, ServiceKey,
    flow_identity::OpeningId,
    message::{
        AcceptLimits, Candidate, Candidates, Forward, PacketClass, write_flow_given_up,
        write_forwarded_packet,
    },
};

/// Time for which the agent that first accepted a flow with an extra opening is remembered, so that
/// the other agent is told when it accepts, too.
const SETTLED_TTL_MS: Millis = Millis::new(1_400);

/// The extra openings of a balancer.
#[derive(Debug, Default)]
pub(super) struct ExtraOffers {
    decisions: ExtraOpenings,
    /// Times at which openings are offered again unless an agent answers, earliest first, each with
    /// the opening's flow, the opening and its delay.
    due: BinaryHeap<Reverse<(Millis, Flow, OpeningId, Millis)>>,
    /// Flows with an extra opening that an agent has accepted: the opening, the first agent, and the
    /// time.
    settled: HashMap<Flow, (OpeningId, Ipv4Addr, Millis)>,
}

impl ExtraOffers {
    pub(super) const fn set_share(&mut self, share: BasisPoints) {
        self.decisions.set_share(share);
    }

    /// Records that an opening was placed for the first time, and plans its extra opening if its
    /// route's requests may be repeated.
    pub(super) fn on_opening_placed(
        &mut self,
        now: Millis,
        flow: Flow,
        id: OpeningId,
        requests: RequestProfile,
    ) {
        self.decisions.record_opening(now);
        self.settled.remove(&flow);
        if requests.kind.is_repeatable()
            && let Some(delay) = self.decisions.delay()
        {
            self.due.push(Reverse((now.plus(delay), flow, id, delay)));
        }
    }

    pub(super) fn next_deadline(&self) -> Option<Millis> {
        self.due.peek().map(|it| it.0.0)
    }

    fn take_due(&mut self, now: Millis) -> Option<(Flow, OpeningId, Millis)> {
        if self.next_deadline()? > now {
            return None;
        }
        self.due.pop().map(|it| (it.0.1, it.0.2, it.0.3))
    }

    pub(super) fn remove_expired(&mut self, now: Millis) {
        self.settled
            .retain(|_, it| now.since(it.2) <= SETTLED_TTL_MS);
    }

    /// Forgets all openings that wait for an answer.
    pub(super) fn clear(&mut self) {
        self.due.clear();
        self.settled.clear();
    }
}

impl<F: PacketFormat> Balancer<F> {
    /// Changes the largest number of extra openings, as a share of all openings that this balancer
    /// places; zero turns them off.
    pub const fn set_extra_openings(&mut self, share: BasisPoints) {
        self.extra_offers.set_share(share);
    }

    /// Offers the openings whose answers are late to a second endpoint each.
    pub(super) fn offer_late_openings(&mut self, now: Millis, out: &mut impl Outbox) {
        while let Some((flow, id, delay)) = self.extra_offers.take_due(now) {
            if self.openings.pending_id(flow) != Some(id) {
                continue;
            }
            let Some(mut opening) = self.openings.take_opening(flow) else {
                continue;
            };
            // An opening that was offered again is late for another reason, such as a lost packet.
            if opening.offer_count() == 1 && opening.extra_agent.is_none() {
                opening.extra_agent = self.offer_to_second_endpoint(now, &opening, delay, out);
            }
            self.openings.insert_opening(opening);
        }
    }

    /// Offers an opening to the least loaded endpoint that has not got it, and returns the endpoint's
    /// agent, or `None` if no extra opening is allowed.
    fn offer_to_second_endpoint(
        &mut self,
        now: Millis,
        opening: &PendingOpening,
        delay: Millis,
        out: &mut impl Outbox,
    ) -> Option<Ipv4Addr> {
        let flow = opening.flow;
        let route = self.view.catalog().find_route(flow.service_address)?;
        let requests = route.requests;
        let service = route.service_for_new_flow(flow.hash())?;
        // The route may have changed since the opening was placed.
        if !requests.kind.is_repeatable() {
            return None;
        }
        let second = self.second_endpoint(now, service, opening)?;
        let load = self.agents.zone_loads(now, &self.subset).mean();
        let grant = match self.extra_offers.decisions.request_extra(now, load) {
            Ok(grant) => grant,
            Err(ExtraRefusal::Busy) => {
                self.counters.extra_openings_refused_busy += 1;
                return None;
            }
            Err(ExtraRefusal::NoBudget) => {
                self.counters.extra_openings_refused_budget += 1;
                return None;
            }
        };
        let agent = second.agent_address();
        let slots = u8::try_from(second.slots.get()).unwrap_or(u8::MAX);
        let mut candidates = Candidates::default();
        candidates.push_candidate(Candidate::new(agent, slots));
        let forward = Forward::new(
            service,
            self.config.address,
            PacketClass::Opening,
            candidates,
        )
        .with_limits(AcceptLimits::FREE_SLOT)
        .with_requests(requests, opening.age_ms(now));
        write_forwarded_packet(&forward, &opening.packet, &mut self.scratch);
        out.send_to_peer(agent, &self.scratch);
        self.counters.extra_openings += 1;
        let ExtraGrant { budget_left } = grant;
        out.report_event(Event::ExtraOpening {
            flow,
            agent,
            delay_ms: delay.get(),
            quantile_percent: DELAY_QUANTILE_PERCENT,
            load: load.map_or(0, |it| it.working.saturating_add(it.idle)),
            budget_left,
        });
        Some(agent)
    }

    /// Returns the least loaded endpoint for an extra opening; those of the own zone come first among
    /// equally loaded ones.
    fn second_endpoint(
        &mut self,
        now: Millis,
        service: ServiceKey,
        opening: &PendingOpening,
    ) -> Option<Endpoint> {
        let mut subset = std::mem::take(&mut self.subset);
        self.collect_placeable_endpoints(service, opening.flow.hash(), &mut subset);
        self.subset = subset;
        let (zone, agents) = (self.config.zone, &self.agents);
        let is_usable = |it: &&Endpoint| {
            let agent = it.agent_address();
            !opening.was_offered_to(agent)
                && !agents.is_last_resort(now, agent)
                && !agents.is_suspect(now, agent)
        };
        let rank = |it: &&Endpoint| (agents.mean_utilization(it.agent_address()), it.zone != zone);
        let usable = self.subset.iter().filter(is_usable);
        usable.min_by_key(rank).copied()
    }

    /// Tells the other agents of an opening that was just accepted first by `agent` to give it up.
    pub(super) fn settle_extra_opening(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        opening: &PendingOpening,
        out: &mut impl Outbox,
    ) {
        let wait = now.since(opening.received_at);
        self.extra_offers.decisions.record_wait(wait);
        let Some(second) = opening.extra_agent else {
            return;
        };
        self.counters.extra_openings_won += u64::from(second == agent);
        for other in opening.offered_agents() {
            if other != agent {
                self.give_up_at(other, opening.flow, opening.id, out);
            }
        }
        if second != agent {
            self.give_up_at(second, opening.flow, opening.id, out);
        }
        let settled = (opening.id, agent, now);
        self.extra_offers.settled.insert(opening.flow, settled);
    }

    /// Returns whether another agent accepted the flow of an extra opening before `agent` did, and
    /// tells `agent` so.
    ///
    /// An opening may be passed on from one agent to the next, so the balancer learns only now who got
    /// it.
    pub(super) fn is_accepted_elsewhere(
        &mut self,
        agent: Ipv4Addr,
        flow: Flow,
        id: Option<OpeningId>,
        out: &mut impl Outbox,
    ) -> bool {
        let settled = self.extra_offers.settled.get(&flow);
        let Some((id, first, _)) = settled.copied().filter(|it| Some(it.0) == id) else {
            return false;
        };
        if first == agent {
            return false;
        }
        self.give_up_at(agent, flow, id, out);
        true
    }

    fn give_up_at(&mut self, agent: Ipv4Addr, flow: Flow, id: OpeningId, out: &mut impl Outbox) {
        write_flow_given_up(flow, id, &mut self.scratch);
        out.send_to_peer(agent, &self.scratch);
        self.counters.extra_openings_given_up += 1;
    }
}
