//! Routes callers' packets: opening packets to endpoints with free slots, all other packets to the
//! agent whose endpoint holds the flow.

use std::net::Ipv4Addr;

use placement::{CandidatePlan, PlanKind};
use units::Millis;

use super::{Balancer, HOLD_STEP_MS, openings::PendingOpening, zones::Placeable};
use crate::{
    DropReason, Endpoint, EndpointState, Event, Flow, Outbox, PacketFormat, RequestProfile,
    ResetReason, Segment, ServiceKey,
    catalog_view::LOOKUP_SUBSET_MAX,
    flow_identity::{FlowPositions, OpeningId},
    message::{
        AcceptLimits, CANDIDATES_MAX, Candidate, Candidates, FlowHeld, FlowNotHeld, Forward,
        Instances, LookupRequest, PacketClass, Returned, lookup_agents_per_request,
        write_forwarded_packet, write_lookup_request,
    },
    rendezvous::agent_score,
};

/// Maximum age of the store's latest confirmation at which a failed lookup may lead to a reset.
const RESET_CONFIRMATION_MS: Millis = Millis::new(3_000);

/// Maximum number of agents in one chain of a lookup, by the number of attempts in a row that did not
/// finish; the last limit applies to all further ones.
///
/// The limit bounds a chain's duration and the number of agents that stay unasked if the chain is
/// lost, which it is at the first agent that is gone but not yet suspected.
const CHAIN_MAX: [usize; 3] = [6, 3, 1];

/// The service and the candidates of an opening, as the balancer chooses them at one moment.
#[derive(Debug)]
pub(super) struct OpeningChoice {
    pub(super) service: ServiceKey,
    pub(super) requests: RequestProfile,
    pub(super) plan: PlanKind,
    pub(super) candidates: Candidates,
    pub(super) limits: AcceptLimits,
}

/// Why an opening can't be offered to any endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotPlaceable {
    /// No route leads to a service.
    NoRoute,
    /// All endpoints of the service that would accept the flow are in zones out of use.
    OnlyOutOfUse(ServiceKey),
    /// No endpoint of the service would accept the flow.
    Nowhere(ServiceKey),
}

impl<F: PacketFormat> Balancer<F> {
    /// Offers an opening packet to the endpoints that may accept the flow, in order of preference.
    pub(super) fn offer_opening(
        &mut self,
        now: Millis,
        mut opening: PendingOpening,
        out: &mut impl Outbox,
    ) {
        if opening.is_opening_expired(now) {
            self.counters.openings_expired += 1;
            return;
        }
        if self.is_awaiting_news(now) {
            opening.hold_until(now.plus(HOLD_STEP_MS));
            self.openings.insert_opening(opening);
            return;
        }
        let flow = opening.flow;
        let mut subset = std::mem::take(&mut self.subset);
        let choice = self.choose_candidates(now, &opening, &mut subset);
        self.subset = subset;
        let choice = match choice {
            Ok(it) => it,
            Err(NotPlaceable::NoRoute) => return self.drop_packet(DropReason::NoRoute, out),
            Err(NotPlaceable::OnlyOutOfUse(_)) if self.may_turn_away(now) => {
                return self.send_reset(flow, 0, ResetReason::ZonesOutOfUse, out);
            }
            Err(NotPlaceable::OnlyOutOfUse(_) | NotPlaceable::Nowhere(_)) => {
                return self.drop_packet(DropReason::NoEndpoint, out);
            }
        };
        match choice.plan {
            PlanKind::OwnZone => {}
            PlanKind::Shared => self.counters.openings_shared += 1,
            PlanKind::Spilled => self.counters.openings_spilled += 1,
        }
        let OpeningChoice {
            service,
            requests,
            candidates,
            limits,
            ..
        } = choice;
        let Some(first) = candidates.as_slice().first().copied() else {
            return self.drop_packet(DropReason::NoEndpoint, out);
        };
        let forward = Forward::new(
            service,
            self.config.address,
            PacketClass::Opening,
            candidates,
        )
        .with_limits(limits)
        .with_requests(requests, opening.age_ms(now));
        write_forwarded_packet(&forward, &opening.packet, &mut self.scratch);
        out.send_to_peer(first.agent_address(), &self.scratch);
        out.report_event(Event::OpeningPlaced {
            flow,
            agent: first.agent_address(),
            candidates: candidates.len(),
            attempt: opening.offer_count(),
            catalog_revision: self.view.catalog().revision.number(),
        });
        self.counters.openings += 1;
        let is_first = opening.offer_count() == 0;
        if is_first {
            self.extra_offers
                .on_opening_placed(now, flow, opening.id, requests);
        }
        self.counters.openings_out_of_zone +=
            u64::from(is_first && self.view.catalog().is_evacuated(self.config.zone));
        opening.record_offer(now, first.agent_address(), service);
        self.openings.insert_opening(opening);
    }

    /// Chooses the service and the candidates to which an opening would be offered now.
    ///
    /// An opening packet and an operator's question are answered alike, so nothing may change here.
    /// `subset` is a buffer for the endpoints at which the flow may be placed.
    pub(super) fn choose_candidates(
        &self,
        now: Millis,
        opening: &PendingOpening,
        subset: &mut Vec<Endpoint>,
    ) -> Result<OpeningChoice, NotPlaceable> {
        let flow = opening.flow;
        // The route may have changed since the opening packet was last offered.
        let route = self.view.catalog().find_route(flow.service_address);
        let requests = route.map(|it| it.requests).unwrap_or_default();
        let service = route
            .and_then(|it| it.service_for_new_flow(flow.hash()))
            .ok_or(NotPlaceable::NoRoute)?;
        match self.collect_placeable_endpoints(service, flow.hash(), subset) {
            Placeable::Endpoints => {}
            Placeable::OnlyOutOfUse => return Err(NotPlaceable::OnlyOutOfUse(service)),
            Placeable::Nowhere => return Err(NotPlaceable::Nowhere(service)),
        }
        let (zone, agents) = (self.config.zone, &self.agents);
        let is_late = opening.offer_count() > 0;
        let loads = agents.zone_loads(now, subset);
        let draw = u16::try_from(flow.hash() % 1_000).unwrap_or(0);
        let plan = CandidatePlan::new(&loads, zone.get(), CANDIDATES_MAX, draw);
        plan.sort_endpoints(
            subset,
            |it| it.zone.get(),
            |it| {
                (
                    opening.was_offered_to(it.agent_address()),
                    agents.is_last_resort(now, it.agent_address()),
                    // An agent that received the opening packet and lost it has not replied since.
                    is_late && !agents.replied_since(it.agent_address(), opening.received_at),
                )
            },
        );
        // An endpoint that restarted under a new id shares its agent with the endpoint's old entry.
        let mut candidates = Candidates::default();
        for endpoint in subset.iter() {
            if candidates
                .as_slice()
                .iter()
                .any(|it| it.agent_address() == endpoint.agent_address())
            {
                continue;
            }
            let slots = u8::try_from(endpoint.slots.get()).unwrap_or(u8::MAX);
            if !candidates.push_candidate(Candidate::new(endpoint.agent_address(), slots)) {
                break;
            }
        }
        // The flow's opening is late already at a retry, so the first endpoint with a free slot
        // accepts it.
        let limits = if is_late {
            AcceptLimits::FREE_SLOT
        } else {
            agents.accept_limits(now, subset)
        };
        Ok(OpeningChoice {
            service,
            requests,
            plan: plan.kind(),
            candidates,
            limits,
        })
    }

    /// Starts a lookup of a flow: asks the agents of all endpoints that may hold the flow, except
    /// the agent `except`, which just returned a packet of the flow.
    pub(super) fn start_lookup(
        &mut self,
        now: Millis,
        flow: Flow,
        segment: &Segment,
        packet: &[u8],
        except: Option<Ipv4Addr>,
        out: &mut impl Outbox,
    ) {
        let services = self.view.services_of_flow(flow);
        if services.is_empty() {
            return self.drop_packet(DropReason::NoRoute, out);
        }
        let lost_attempts = self.lookups.begin_attempt(segment);
        let mut is_complete = true;
        let mut groups = Vec::with_capacity(services.len());
        for service in services {
            let (group, is_whole_service) =
                self.collect_lookup_group(now, flow, service, except, lost_attempts);
            is_complete &= is_whole_service;
            if !group.agents.is_empty() {
                groups.push(group);
            }
        }
        if groups.is_empty() {
            return self.drop_packet(DropReason::NoEndpoint, out);
        }
        let per_request = lookup_agents_per_request(packet.len());
        // A caller that has reset its flow needs no verdict on it.
        let lookup_id = if segment.rst {
            0
        } else {
            self.lookups.start_lookup(
                now,
                segment,
                groups.iter().map(|it| it.chain_count(per_request)).sum(),
                self.view.endpoint_generation(),
                packet,
            )
        };
        // If not every endpoint can be asked, the lookup proves nothing and its result is not
        // tracked.
        let lookup_id = if is_complete { lookup_id } else { 0 };
        let mut asked = 0;
        for group in &groups {
            asked += group.agents.len();
            for (responsive, suspect) in group.requests(per_request) {
                let request = LookupRequest {
                    service: group.service,
                    origin: self.config.address,
                    lookup_id,
                    chain_len: u8::try_from(group.chain_len(responsive.len())).unwrap_or(u8::MAX),
                    responsive: Instances::new(responsive),
                    suspect: Instances::new(suspect),
                };
                let Some(first) = responsive.iter().chain(suspect).next() else {
                    continue;
                };
                write_lookup_request(&request, packet, &mut self.scratch);
                out.send_to_peer((*first).into(), &self.scratch);
            }
        }
        self.counters.lookups += 1;
        if lookup_id != 0 {
            out.report_event(Event::LookupStarted {
                flow,
                asked: u8::try_from(asked).unwrap_or(u8::MAX),
                services: u8::try_from(groups.len()).unwrap_or(u8::MAX),
                catalog_revision: self.view.catalog().revision.number(),
            });
        }
    }

    /// Collects the agents of one service that a lookup asks, except the agent `except`. Returns
    /// also whether they are those of all endpoints of the service.
    ///
    /// A request is lost with the first agent of its list, so each attempt after one that did not
    /// finish begins at another agent. The first two ask zone by zone, to save bytes between zones.
    fn collect_lookup_group(
        &mut self,
        now: Millis,
        flow: Flow,
        service: ServiceKey,
        except: Option<Ipv4Addr>,
        lost_attempts: usize,
    ) -> (LookupGroup, bool) {
        let is_complete = self.view.collect_endpoint_subset(
            service,
            flow.hash(),
            LOOKUP_SUBSET_MAX,
            &mut self.subset,
        );
        let (zone, agents) = (self.config.zone, &self.agents);
        self.subset.retain(|it| {
            Some(it.agent_address()) != except
                && !(it.state == EndpointState::Retired && agents.is_lost(now, it.agent_address()))
        });
        let is_suspect = |it: &Endpoint| {
            it.state == EndpointState::Retired || agents.is_suspect(now, it.agent_address())
        };
        // Two catalog entries share an agent if an endpoint restarted or its address was reused.
        self.subset
            .sort_unstable_by_key(|it| (it.agent_address(), it.state == EndpointState::Retired));
        self.subset.dedup_by_key(|it| it.agent_address());
        let score = |it: &Endpoint| agent_score(flow.hash(), it.agent_address());
        match lost_attempts {
            0 => self
                .subset
                .sort_by_key(|it| (is_suspect(it), it.zone != zone)),
            1 => self
                .subset
                .sort_by_key(|it| (is_suspect(it), it.zone != zone, it.zone, score(it))),
            _ => self.subset.sort_by_key(|it| (is_suspect(it), score(it))),
        }
        let responsive = self.subset.partition_point(|it| !is_suspect(it));
        if lost_attempts > 1 {
            self.subset[..responsive].rotate_left(lost_attempts % responsive.max(1));
        }
        let group = LookupGroup {
            service,
            responsive,
            chain_max: CHAIN_MAX[lost_attempts.min(CHAIN_MAX.len() - 1)],
            agents: self
                .subset
                .iter()
                .map(|it| it.agent_address().octets())
                .collect(),
        };
        (group, is_complete)
    }

    /// Repeats a failed lookup with the packet that the balancer retained.
    pub(super) fn retry_lookup(
        &mut self,
        now: Millis,
        flow: Flow,
        packet: &[u8],
        out: &mut impl Outbox,
    ) {
        if let Ok(segment) = F::decode_segment(packet) {
            self.start_lookup(now, flow, &segment, packet, None, out);
        }
    }

    /// Handles an agent's message that its endpoint holds a flow.
    pub(super) fn on_flow_held(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        flow_held: FlowHeld,
        out: &mut impl Outbox,
    ) {
        let flow = flow_held.flow;
        self.agents
            .record_reply(now, agent, flow_held.utilization, out);
        // An agent of an earlier release names neither the opening nor the endpoint's position.
        let is_unnamed = flow_held.opening.is_none() && flow_held.endpoint_position.is_none();
        let id = if is_unnamed {
            self.openings.pending_id(flow)
        } else {
            flow_held.opening
        };
        let mut positions = FlowPositions {
            caller: None,
            endpoint: flow_held.endpoint_position,
        };
        if let Some(found) = self.lookups.take_found(flow, &positions) {
            out.report_event(Event::HolderFound { flow, agent });
            positions.caller = found.caller;
        } else {
            let pending = self.openings.pending_id(flow);
            let is_outdated = if pending.is_some() {
                pending != id
            } else {
                self.flows.has_other_opening(flow, id)
            };
            if is_outdated || self.is_accepted_elsewhere(agent, flow, id, out) {
                return;
            }
            positions.caller = id.map(OpeningId::get);
        }
        if self.openings.pending_id(flow) == id
            && let Some(opening) = self.openings.take_opening(flow)
        {
            self.counters
                .record_opening_wait(now.since(opening.received_at));
            self.settle_extra_opening(now, agent, &opening, out);
        }
        self.flows
            .insert_flow(now, flow, agent, flow_held.service, id, positions);
        self.record_served_route(now, flow.service_address, flow_held.service, out);
    }

    /// Handles a packet that an agent returned because no candidate's endpoint accepted or holds
    /// the packet's flow.
    pub(super) fn on_returned_packet(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        returned: Returned,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let Ok(segment) = F::decode_segment(packet) else {
            return self.drop_packet(DropReason::Malformed, out);
        };
        F::set_tag(packet, 0);
        let flow = segment.caller_flow();
        match returned.class {
            PacketClass::Opening => {
                let id = OpeningId::of_packet(&segment);
                let was_cached = self.flows.remove_returned(flow, agent, &segment);
                if let Some(opening) = self.openings.take_opening_held_by(flow, id, agent) {
                    self.counters.openings_handed_back += 1;
                    self.offer_opening(now, opening, out);
                } else if was_cached && self.openings.pending_id(flow).is_none() {
                    // To the agent, which saw the flow end, the packet is a new opening.
                    let opening = PendingOpening::new(now, flow, id, packet);
                    self.offer_opening(now, opening, out);
                }
            }
            PacketClass::Established => {
                self.flows.remove_returned(flow, agent, &segment);
                self.start_lookup(now, flow, &segment, packet, Some(agent), out);
            }
            PacketClass::Lookup => {}
        }
    }

    /// Handles the end of a lookup chain whose agents' endpoints all don't hold the flow; `agent` is
    /// the last of them.
    pub(super) fn on_chain_exhausted(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        flow_not_held: FlowNotHeld,
        out: &mut impl Outbox,
    ) {
        let flow = flow_not_held.flow;
        let generation = self.view.endpoint_generation();
        let Some(failed) = self
            .lookups
            .record_chain_end(now, agent, flow_not_held, generation)
        else {
            return;
        };
        self.counters.lookups_failed += 1;
        let rounds = failed.rounds;
        out.report_event(Event::LookupFailed { flow, rounds });
        let is_fresh = self
            .confirmed_at
            .is_some_and(|it| now.since(it) <= RESET_CONFIRMATION_MS);
        if !failed.is_conclusive || !is_fresh || !self.knows_all_holders(now, flow) {
            return;
        }
        self.reset_unheld_flow(flow, failed.acknowledged, out);
    }

    /// Ends the lookup of a flow that no endpoint holds, and resets the flow.
    ///
    /// A caller that is opening a new flow of the same addresses and ports would take the reset for an
    /// answer to its opening.
    pub(super) fn reset_unheld_flow(&mut self, flow: Flow, sequence: u32, out: &mut impl Outbox) {
        self.lookups.finish_lookup(flow);
        if self.openings.pending_id(flow).is_none() {
            self.send_reset(flow, sequence, ResetReason::HeldByNone, out);
        }
    }
}

/// The agents of one service that a lookup asks.
#[derive(Debug)]
struct LookupGroup {
    service: ServiceKey,
    agents: Vec<[u8; 4]>,
    /// Number of responsive agents, which are the first in `agents`.
    responsive: usize,
    /// Maximum number of responsive agents in one chain.
    chain_max: usize,
}

impl LookupGroup {
    /// Splits the agents into requests of at most `per_request` agents: the responsive agents of
    /// each request and the suspect ones.
    ///
    /// Suspect agents each get a chain of their own, because a chain is lost at the first dead
    /// agent.
    fn requests(&self, per_request: usize) -> impl Iterator<Item = (&[[u8; 4]], &[[u8; 4]])> {
        self.agents
            .chunks(per_request)
            .enumerate()
            .map(move |(idx, part)| {
                let responsive = self.responsive.saturating_sub(idx * per_request);
                part.split_at(responsive.min(part.len()))
            })
    }

    /// Returns the number of chains in which the agents are asked.
    fn chain_count(&self, per_request: usize) -> usize {
        self.requests(per_request)
            .map(|(responsive, suspect)| {
                responsive.len().div_ceil(self.chain_len(responsive.len())) + suspect.len()
            })
            .sum()
    }

    /// Returns the length of the chains into which a request divides its responsive agents.
    const fn chain_len(&self, responsive: usize) -> usize {
        let chains = responsive.div_ceil(self.chain_max);
        if chains == 0 {
            return 1;
        }
        responsive.div_ceil(chains)
    }
}
