//! Where packets go: openings to endpoints that may take them, others to their holder.

use std::net::Ipv4Addr;

use units::Millis;

use super::{Balancer, openings::Opening};
use crate::{
    DropReason, Endpoint, EndpointState, Event, Flow, Outbox, PacketFormat, ResetReason, Segment,
    ServiceKey,
    message::{
        AcceptLimits, Bound, Candidate, Candidates, Carried, Carry, Instances, Returned,
        SEARCHED_MAX, Search, write_carry, write_search,
    },
};

/// Age of the store's last confirmation up to which a failed lookup may end in a reset.
const RESET_CONFIRMATION_MS: Millis = Millis::new(3_000);

/// Agents that one chain of a lookup visits; bounds how long a chain takes and what a lost one hides.
const CHAIN_MAX: usize = 6;

impl<F: PacketFormat> Balancer<F> {
    /// Offers an opening to the endpoints that may take it, in the order it prefers them.
    pub(super) fn place(&mut self, now: Millis, mut opening: Opening, out: &mut impl Outbox) {
        if opening.is_expired(now) {
            self.counters.openings_expired += 1;
            return;
        }
        let flow = opening.flow;
        self.view
            .window(opening.service, flow.hash(), &mut self.window);
        self.window.retain(|it| it.state == EndpointState::Ready);
        let (zone, agents) = (self.config.zone, &self.agents);
        let is_late = opening.attempts() > 0;
        self.window.sort_by_key(|it| {
            (
                opening.has_tried(it.agent()),
                agents.is_avoided(now, it.agent()),
                // The agent that swallowed it is not heard any more.
                is_late && !agents.was_heard_since(it.agent(), opening.first_at),
                it.zone != zone,
            )
        });
        // An endpoint that started anew under another id shares its agent with the old entry.
        let mut candidates = Candidates::default();
        for endpoint in &self.window {
            if candidates
                .as_slice()
                .iter()
                .any(|it| it.agent() == endpoint.agent())
            {
                continue;
            }
            let slots = u8::try_from(endpoint.slots.get()).unwrap_or(u8::MAX);
            if !candidates.push(Candidate::new(endpoint.agent(), slots)) {
                break;
            }
        }
        let Some(first) = candidates.as_slice().first().copied() else {
            return self.drop(DropReason::NoEndpoint, out);
        };
        // An opening that is late already takes the first free slot.
        let limits = if opening.attempts() == 0 {
            self.agents.accept_limits(now, &self.window)
        } else {
            AcceptLimits::FREE_SLOT
        };
        let carry = Carry::new(
            opening.service,
            self.config.address,
            Carried::Opening,
            candidates,
        )
        .with_limits(limits);
        write_carry(&carry, &opening.packet, &mut self.scratch);
        out.send_peer(first.agent(), &self.scratch);
        out.event(Event::OpeningPlaced {
            flow,
            agent: first.agent(),
            candidates: candidates.len(),
            attempt: opening.attempts(),
            catalog_revision: self.view.catalog().revision.get(),
        });
        self.counters.openings += 1;
        opening.offered_to(now, first.agent());
        self.openings.insert(opening);
    }

    /// Asks every endpoint that may hold a flow, all but the one that just said no.
    #[expect(
        clippy::too_many_arguments,
        reason = "a packet with its decoded header"
    )]
    pub(super) fn look_up(
        &mut self,
        now: Millis,
        flow: Flow,
        service: ServiceKey,
        segment: &Segment,
        packet: &[u8],
        except: Option<Ipv4Addr>,
        out: &mut impl Outbox,
    ) {
        self.view.window(service, flow.hash(), &mut self.window);
        let agents = &self.agents;
        self.window.retain(|it| {
            Some(it.agent()) != except
                && !(it.state == EndpointState::Retired && agents.is_lost(now, it.agent()))
        });
        let (zone, agents) = (self.config.zone, &self.agents);
        // Who may be gone gets a chain alone: a chain ends at the first agent that is.
        let is_doubtful = |it: &Endpoint| {
            it.state == EndpointState::Retired || agents.is_doubtful(now, it.agent())
        };
        // Entries of an endpoint that started anew, or whose address was used again, share an agent.
        self.window
            .sort_unstable_by_key(|it| (it.agent(), it.state == EndpointState::Retired));
        self.window.dedup_by_key(|it| it.agent());
        self.window
            .sort_by_key(|it| (is_doubtful(it), it.zone != zone));
        if self.window.is_empty() {
            return self.drop(DropReason::NoEndpoint, out);
        }
        let sure = self.window.partition_point(|it| !is_doubtful(it));
        let is_complete = self.window.len() <= SEARCHED_MAX;
        self.window.truncate(SEARCHED_MAX);
        let sure = sure.min(self.window.len());
        let chains = sure.div_ceil(CHAIN_MAX);
        let chain_len = sure.div_ceil(chains.max(1)).max(1);
        let count = sure.div_ceil(chain_len) + self.window.len() - sure;
        let (ticket, round) = self.lookups.start(
            now,
            flow,
            count,
            self.view.generation(),
            segment.acknowledged,
            packet,
        );
        // Without every endpoint's word nothing is proved, and nobody needs to count.
        let ticket = if is_complete { ticket } else { 0 };
        // Each round begins at another agent, so that a gone one hides others only once.
        self.window[..sure].rotate_left(round % sure.max(1));
        let mut agents = [[0; 4]; SEARCHED_MAX];
        for (octets, endpoint) in agents.iter_mut().zip(&self.window) {
            *octets = endpoint.agent().octets();
        }
        let (sure, doubtful) = agents[..self.window.len()].split_at(sure);
        let search = Search {
            service,
            origin: self.config.address,
            ticket,
            chain_len: u8::try_from(chain_len).unwrap_or(u8::MAX),
            sure: Instances::new(sure),
            doubtful: Instances::new(doubtful),
        };
        write_search(&search, packet, &mut self.scratch);
        out.send_peer(self.window[0].agent(), &self.scratch);
        self.counters.lookups += 1;
        if ticket != 0 {
            out.event(Event::LookupStarted {
                flow,
                asked: u8::try_from(self.window.len()).unwrap_or(u8::MAX),
                catalog_revision: self.view.catalog().revision.get(),
            });
        }
    }

    /// Asks all endpoints once more with a packet that nobody wanted.
    pub(super) fn repeat_lookup(
        &mut self,
        now: Millis,
        flow: Flow,
        packet: &[u8],
        out: &mut impl Outbox,
    ) {
        let route = self.view.catalog().route(flow.service_address);
        let service = route.and_then(|it| it.target(flow.hash()));
        if let (Some(service), Ok(segment)) = (service, F::decode(packet)) {
            self.look_up(now, flow, service, &segment, packet, None, out);
        }
    }

    pub(super) fn on_bound(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        bound: Bound,
        out: &mut impl Outbox,
    ) {
        let flow = bound.flow;
        self.agents.note_answer(now, agent, bound.fullness, out);
        if self.lookups.finish(flow) {
            out.event(Event::HolderFound { flow, agent });
        }
        if let Some(opening) = self.openings.take(flow) {
            self.counters.note_opening(now.since(opening.first_at));
        }
        self.flows.insert(now, flow, agent);
    }

    pub(super) fn on_returned(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        returned: Returned,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let Ok(segment) = F::decode(packet) else {
            return self.drop(DropReason::Malformed, out);
        };
        F::set_tag(packet, 0);
        let flow = segment.caller_flow();
        let route = self.view.catalog().route(flow.service_address);
        let Some(service) = route.and_then(|it| it.target(flow.hash())) else {
            return self.drop(DropReason::NoRoute, out);
        };
        match returned.carried {
            Carried::Opening => self.flows.remove_if(flow, agent),
            Carried::Established => {
                self.flows.remove_if(flow, agent);
                self.look_up(now, flow, service, &segment, packet, Some(agent), out);
            }
            Carried::Lookup => {}
        }
    }

    /// One chain of a lookup ended without a holder.
    pub(super) fn on_chain_end(
        &mut self,
        now: Millis,
        flow: Flow,
        ticket: u16,
        out: &mut impl Outbox,
    ) {
        let generation = self.view.generation();
        let Some(failed) = self.lookups.chain_ended(now, flow, ticket, generation) else {
            return;
        };
        self.counters.lookups_failed += 1;
        let rounds = failed.rounds;
        out.event(Event::LookupFailed { flow, rounds });
        let is_fresh = self
            .confirmed_at
            .is_some_and(|it| now.since(it) <= RESET_CONFIRMATION_MS);
        if !failed.is_certain || !is_fresh || !self.is_informed(now) {
            return;
        }
        self.lookups.finish(flow);
        self.reset(flow, failed.acknowledged, ResetReason::HeldByNone, out);
    }
}
