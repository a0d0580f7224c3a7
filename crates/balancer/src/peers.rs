//! Datagrams between the system's own processes, on the tunnel sockets.

use std::net::SocketAddr;

use bytes::Bytes;
use units::ServiceId;

/// A checked datagram from another process of the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDatagram {
    /// Where it came from.
    pub from: SocketAddr,
    /// The service whose key signed it; `flow::key::FLEET_SCOPE` for balancers among themselves.
    pub scope: ServiceId,
    /// What it says.
    pub payload: Bytes,
}
