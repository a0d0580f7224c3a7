//! Flows of callers that may use their ports again.

use std::net::{Ipv4Addr, SocketAddrV4};

use passthrough::{EndpointState, Event};

use super::{Flags, SERVICE_ADDRESS, SimNetwork, agent_ip, encode_packet};

/// An open flow of a caller.
#[derive(Clone, Copy)]
pub(crate) struct OpenFlow {
    pub(crate) caller: SocketAddrV4,
    /// Sequence number of the caller's next byte.
    pub(crate) next: u32,
    /// Sequence number of the endpoint's next byte.
    pub(crate) expected: u32,
    pub(crate) holder: u8,
}

impl OpenFlow {
    pub(crate) fn send(
        &mut self,
        network: &mut SimNetwork,
        balancer: u8,
        flags: Flags,
        data_bytes: u16,
    ) {
        let (caller, to) = (self.caller, SERVICE_ADDRESS);
        let packet = encode_packet(caller, to, flags, self.next, self.expected, data_bytes);
        network.send_caller_packet(balancer, &packet);
    }

    /// Sends a request, and returns whether it was answered within `limit_ms`.
    pub(crate) fn request(
        &mut self,
        network: &mut SimNetwork,
        balancer: u8,
        limit_ms: u64,
    ) -> bool {
        let before = network.answer_count(self.caller);
        self.send(network, balancer, Flags::ACK, 10);
        network.advance_ms(limit_ms);
        self.next += 10;
        network.answer_count(self.caller) > before
    }

    /// Closes the flow after its endpoint has closed it with the latest answer.
    pub(crate) fn close(mut self, network: &mut SimNetwork, balancer: u8) {
        self.expected += 40;
        self.send(network, balancer, Flags::FIN, 0);
        network.advance_ms(10);
    }
}

/// Creates a network whose endpoints close each flow with its first answer and know of ended flows.
pub(crate) fn closing_network(balancers: u8, endpoints: u8) -> SimNetwork {
    let mut network = SimNetwork::new(balancers, endpoints);
    for endpoint in network.endpoints.values_mut() {
        endpoint.closes_after_answer = true;
    }
    network
}

pub(crate) fn try_open(
    network: &mut SimNetwork,
    balancer: u8,
    caller: SocketAddrV4,
    opening: u32,
) -> Option<OpenFlow> {
    let seen = network.received.len();
    let syn = encode_packet(caller, SERVICE_ADDRESS, Flags::SYN, opening, 0, 0);
    network.send_caller_packet(balancer, &syn);
    network.advance_ms(20);
    let mut received = network.received[seen..].iter();
    let (_, accepted) = received.find(|it| it.1.syn && it.1.destination == caller)?;
    let accepts = |it: &&(Ipv4Addr, Event)| matches!(it.1, Event::OpeningAccepted { .. });
    let agent = network.events.iter().rev().find(accepts)?.0;
    Some(OpenFlow {
        caller,
        next: opening + 1,
        expected: accepted.sequence.wrapping_add(1),
        holder: agent.octets()[3],
    })
}

pub(crate) fn open(
    network: &mut SimNetwork,
    balancer: u8,
    caller: SocketAddrV4,
    opening: u32,
) -> OpenFlow {
    try_open(network, balancer, caller, opening).expect("an endpoint accepts")
}

pub(crate) fn set_state(
    network: &mut SimNetwork,
    readers: &[u8],
    number: u8,
    state: EndpointState,
) {
    network.update_catalog(readers, |catalog| {
        for endpoint in &mut catalog.endpoints {
            if endpoint.agent_address() == agent_ip(number) {
                endpoint.state = state;
            }
        }
    });
    network.advance_ms(50);
}
