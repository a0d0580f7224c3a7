//! Handles what the endpoint answers and what it returns.

use units::Millis;

use super::{Agent, held_flow::Phase, held_flows::HeldMatch, outlier::RequestOutcome};
use crate::{
    DropReason, Event, Outbox, PacketFormat, ResetReason, Segment,
    flow_identity::OpeningId,
    message::{Candidates, Forward, PacketClass, UTILIZATION_CLOSED},
};

impl<F: PacketFormat> Agent<F> {
    /// Updates the held flows and the request outcomes with a packet that the endpoint sent.
    pub(super) fn on_endpoint_answer(
        &mut self,
        now: Millis,
        segment: &Segment,
        out: &mut impl Outbox,
    ) {
        let flow = segment.endpoint_flow();
        if let Some(silent_ms) = self.health.on_endpoint_packet(now) {
            let silent_ms = silent_ms.get();
            out.report_event(Event::EndpointAnswers { silent_ms });
            self.record_crash(now, out);
        }
        let endpoint_update = self.flows.on_endpoint_segment(now, flow, segment);
        if let Some(answered) = endpoint_update.answered {
            self.cold_start.record_answer(answered, self.slots);
        }
        self.record_request_outcome(now, endpoint_update.outcome, out);
        let Some(query) = endpoint_update.holder_query else {
            return;
        };
        let wait = self
            .deliveries
            .take_delivery(query.tag, flow)
            .map(|it| now.since(it.sent_at));
        if segment.syn {
            out.report_event(Event::OpeningAccepted {
                flow,
                load: self.load_for_event(),
                slots: self.slots.get(),
                wait_ms: wait.unwrap_or_default().get(),
            });
        }
        self.send_flow_held(now, query.origin, flow, out);
    }

    pub(super) fn record_request_outcome(
        &mut self,
        now: Millis,
        outcome: Option<RequestOutcome>,
        out: &mut impl Outbox,
    ) {
        if outcome.is_some_and(|it| self.outliers.record_request_outcome(now, it)) {
            let failures = self.outliers.failure_count();
            out.report_event(Event::EndpointRecordChanged { failures });
        }
    }

    /// Records that the endpoint crashed and lost its flows.
    pub(super) fn record_crash(&mut self, now: Millis, out: &mut impl Outbox) {
        if let Some(hold_off) = self.outliers.record_crash(now) {
            self.cold_start.suspect_start(now);
            let hold_off_ms = hold_off.get();
            out.report_event(Event::EndpointCrashed { hold_off_ms });
        }
    }

    /// Handles a packet that the endpoint returned because it doesn't hold the flow.
    pub(super) fn on_returned_packet(
        &mut self,
        now: Millis,
        segment: &Segment,
        packet: &mut [u8],
        out: &mut impl Outbox,
    ) {
        let flow = segment.caller_flow();
        let _silent_ms = self.health.on_endpoint_packet(now);
        self.counters.returned += 1;
        F::set_tag(packet, 0);
        if segment.tag != 0 {
            let Some(delivery) = self.deliveries.take_delivery(segment.tag, flow) else {
                return self.drop_packet(DropReason::UnknownReturn, out);
            };
            self.flows.remove_unconfirmed(flow, delivery.tag);
            if delivery.is_given_up && delivery.forward.class == PacketClass::Lookup {
                // The packet was passed on while the endpoint was silent.
                return;
            }
            return self.forward_to_next_candidate(
                now,
                delivery.forward,
                UTILIZATION_CLOSED,
                packet,
                out,
            );
        }
        let is_of_held_flow = if segment.is_opening_packet() {
            let opening = OpeningId::of_packet(segment);
            self.flows.has_accepted_opening(flow, opening)
        } else {
            self.flows.match_caller_packet(flow, segment) == HeldMatch::Held
        };
        let removed = is_of_held_flow.then(|| self.flows.remove_flow(flow));
        let Some(held) = removed.flatten() else {
            return self.drop_packet(DropReason::UnknownReturn, out);
        };
        if held.is_closed_by_both_ends() || segment.rst {
            return;
        }
        if held.phase == Phase::Open && !segment.syn {
            // No other endpoint can hold the flow, since this endpoint accepted it before.
            out.report_event(Event::EndpointForgotFlow { flow });
            self.record_crash(now, out);
            return self.send_reset(flow, segment.acknowledged, ResetReason::EndpointForgot, out);
        }
        let class = PacketClass::for_known_agent(segment);
        let service = self.config.service;
        let forward = Forward::new(service, held.origin, class, Candidates::default());
        self.return_packet_to_balancer(&forward, packet, out);
    }
}
