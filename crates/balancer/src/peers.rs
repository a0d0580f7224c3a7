//! Datagrams that balancers and agents exchange through the tunnel sockets.

use std::net::SocketAddr;

use bytes::Bytes;
use units::ServiceId;

/// A verified datagram from another balancer or an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDatagram {
    /// Source address of the datagram.
    pub from: SocketAddr,
    /// The service whose key signed it; `flow::key::FLEET_SCOPE` between balancers.
    pub scope: ServiceId,
    /// Payload of the datagram.
    pub payload: Bytes,
}
