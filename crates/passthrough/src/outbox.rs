//! Where decisions send what they decided.

use std::net::Ipv4Addr;

use crate::Event;

/// Takes what a decision sends and reports.
///
/// Sending never blocks; what can't be sent at once is lost, as on any network.
pub trait Outbox {
    /// Sends a message to another instance of ours.
    fn send_peer(&mut self, instance: Ipv4Addr, message: &[u8]);

    /// Sends a packet to a caller; the port that callers listen on is known to the outbox.
    fn send_caller(&mut self, caller: Ipv4Addr, packet: &[u8]);

    /// Hands a packet to the endpoint beside the agent.
    fn send_endpoint(&mut self, packet: &[u8]);

    /// Asks whether the endpoint beside the agent still listens; the answer comes back later.
    fn probe_endpoint(&mut self);

    /// Reports a decision or a change of belief.
    fn event(&mut self, event: Event);
}
