//! Datagrams that balancers and agents exchange through the tunnel sockets.

use std::net::SocketAddr;

use bytes::Bytes;
use units::ServiceId;

/// A verified peer datagram: control traffic from another balancer or an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDatagram {
    /// Source address of the peer datagram.
    pub from: SocketAddr,
    /// The service whose key signed the datagram; `flow::key::FLEET_SCOPE` between balancers.
    pub scope: ServiceId,
    /// Payload of the peer datagram, without the tunnel header.
    pub payload: Bytes,
}
