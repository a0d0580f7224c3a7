//! Output interface of the balancer and agent state machines.

use std::net::Ipv4Addr;

use crate::Event;

/// Receives the packets, messages and events that a state machine produces.
///
/// Sending never blocks; what can't be sent immediately is lost, as on any network.
pub trait Outbox {
    /// Sends a message to the balancer or agent on an instance.
    fn send_to_peer(&mut self, instance: Ipv4Addr, message: &[u8]);

    /// Sends a packet to a caller, on the port that all callers listen on.
    fn send_to_caller(&mut self, caller: Ipv4Addr, packet: &[u8]);

    /// Delivers a packet to the endpoint beside the agent.
    fn send_endpoint(&mut self, packet: &[u8]);

    /// Starts a probe of whether the endpoint beside the agent accepts connections; the result is
    /// passed to [`Agent::on_endpoint_probed`](crate::Agent::on_endpoint_probed).
    fn probe_endpoint(&mut self);

    /// Reports a decision or a state change to the event log.
    fn report_event(&mut self, event: Event);
}
