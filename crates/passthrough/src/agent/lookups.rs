//! Hands the packets of lookups on along their chains of agents.

use units::Millis;

use super::{Agent, deliveries::Delivery};
use crate::{
    Outbox, PacketFormat, Segment,
    flow_identity::may_be_of_ended_flow,
    message::{
        Candidate, Candidates, Forward, LookupRequest, PacketClass, UTILIZATION_CLOSED,
        write_forwarded_packet,
    },
};

impl<F: PacketFormat> Agent<F> {
    /// Sends a copy of the packet in a lookup request along each of the request's chains of agents.
    pub(super) fn on_lookup_request(
        &mut self,
        now: Millis,
        request: &LookupRequest<'_>,
        packet: &[u8],
        out: &mut impl Outbox,
    ) {
        self.counters.searches += 1;
        let responsive = request.responsive.split_into_chains(request.chain_len);
        for chain in responsive.chain(request.suspect.split_into_chains(1)) {
            let mut candidates = Candidates::default();
            for agent in chain.iter() {
                candidates.push_candidate(Candidate::new(agent, 0));
            }
            let Some(first) = candidates.as_slice().first().copied() else {
                continue;
            };
            let forward = Forward::new(
                request.service,
                request.origin,
                PacketClass::Lookup,
                candidates,
            )
            .with_lookup_id(request.lookup_id);
            if first.agent_address() == self.config.address {
                self.on_forwarded_packet(now, forward, &mut packet.to_vec(), out);
                continue;
            }
            write_forwarded_packet(&forward, packet, &mut self.scratch);
            out.send_to_peer(first.agent_address(), &self.scratch);
        }
    }

    /// Starts tracking a delivery and returns its tag.
    ///
    /// A lookup whose delivery it replaces goes on at once. A replaced opening is offered again by its
    /// balancer.
    pub(super) fn track_delivery(
        &mut self,
        now: Millis,
        delivery: Delivery,
        out: &mut impl Outbox,
    ) -> u32 {
        let (tag, replaced) = self.deliveries.track_delivery(delivery);
        if let Some(replaced) = replaced.filter(|it| !it.is_given_up) {
            self.counters.deliveries_untracked += 1;
            if replaced.forward.class == PacketClass::Lookup {
                self.pass_on_unanswered(now, replaced, out);
            }
        }
        tag
    }

    /// Passes on the packet of a delivery that the endpoint has left unanswered, unless the packet was
    /// not retained or no further agent needs it.
    ///
    /// The endpoints of the agents behind this one may hold the flow of a lookup while this endpoint
    /// is silent.
    pub(super) fn pass_on_unanswered(
        &mut self,
        now: Millis,
        delivery: Delivery,
        out: &mut impl Outbox,
    ) {
        if delivery.is_given_up || delivery.packet.is_empty() {
            return;
        }
        let mut forward = delivery.forward;
        if forward.class == PacketClass::Lookup {
            self.counters.lookups_unanswered += 1;
            forward.has_silent_endpoint = true;
        }
        let mut packet = delivery.packet;
        self.forward_to_next_candidate(now, forward, UTILIZATION_CLOSED, &mut packet, out);
    }

    /// Takes an endpoint's packet that may answer a lookup on behalf of an earlier flow of the same
    /// addresses and ports, and returns whether it is one.
    ///
    /// The packet says nothing about the flow that is looked up, and its caller must not get it. After
    /// a reset, the endpoint doesn't hold that flow; after an acknowledgement, it may. The lookup may
    /// have been given to the endpoint by the agent's process before this one.
    pub(super) fn take_answer_for_ended_flow(
        &mut self,
        now: Millis,
        segment: &Segment,
        out: &mut impl Outbox,
    ) -> bool {
        let flow = segment.endpoint_flow();
        if self.flows.is_accepted(flow) {
            return false;
        }
        let answered = self.deliveries.take_answered_for_ended_flow(flow, segment);
        let Some(delivery) = answered else {
            let is_unknown = may_be_of_ended_flow(segment) && !self.deliveries.has_delivery(flow);
            self.counters.ended_flow_answers += u64::from(is_unknown);
            return is_unknown;
        };
        self.counters.ended_flow_answers += 1;
        let _silent_ms = self.health.on_endpoint_packet(now);
        self.flows.remove_unconfirmed(flow, delivery.tag);
        if segment.rst && !delivery.is_given_up {
            let (forward, mut packet) = (delivery.forward, delivery.packet);
            self.forward_to_next_candidate(now, forward, UTILIZATION_CLOSED, &mut packet, out);
        } else {
            self.pass_on_unanswered(now, delivery, out);
        }
        true
    }
}
