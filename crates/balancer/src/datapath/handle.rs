//! Handle through which other parts of the process access the running datagram path.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use flow::tunnel::{self, KeyRing, PEER_OVERHEAD_BYTES};
use quinn_udp::Transmit;
use units::ServiceId;

use super::{path_prober::find_dedicated_socket, serve::SharedState};
use crate::counters::{Counter, Counters};

/// A handle through which other parts of the process access the running datagram path.
#[derive(Debug, Clone)]
pub struct DatapathHandle {
    shared: Arc<SharedState>,
}

impl DatapathHandle {
    pub(super) const fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }

    /// Returns the datagram path's counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Returns whether the network fabric should send datagrams to this balancer.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready.load(Ordering::Relaxed)
    }

    /// Returns the bound tunnel address; the kernel chose its port if the setting has port 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the tunnel socket's address cannot be read.
    pub fn tunnel_address(&self) -> io::Result<SocketAddr> {
        self.shared.tunnels[0].local_address()
    }

    /// Returns the service addresses whose sockets are bound, sorted.
    #[must_use]
    pub fn bound_addresses(&self) -> Vec<SocketAddr> {
        let services = self.shared.services.load();
        services.iter().map(|it| it.0).collect()
    }

    /// Sends a peer datagram to a balancer or an agent, signed with the key of service `scope`.
    ///
    /// # Errors
    ///
    /// Returns an error if `scope` has no key, the payload is too large or the send call fails.
    pub fn send_peer(
        &self,
        to: SocketAddr,
        scope: ServiceId,
        payload: &[u8],
    ) -> Result<(), PeerError> {
        let table = self.shared.table.load();
        let keys = table.keys(scope).ok_or(PeerError::NoKey(scope))?;
        let mut datagram = vec![0; PEER_OVERHEAD_BYTES + payload.len()];
        tunnel::encode_peer(scope, keys, payload, &mut datagram)
            .map_err(|_large| PeerError::TooLarge(payload.len()))?;
        let transmit = Transmit {
            destination: to,
            ecn: None,
            contents: &datagram,
            segment_size: None,
            src_ip: None,
        };
        let dedicated_sockets = self.shared.dedicated_sockets.load();
        let socket =
            find_dedicated_socket(&dedicated_sockets, to).unwrap_or(&self.shared.tunnels[0]);
        socket.send(&transmit).map_err(PeerError::Send)?;
        self.shared.counters.add(Counter::PeerSent, 1);
        Ok(())
    }
}

/// The reason why a peer datagram could not be sent to a balancer or an agent.
#[derive(Debug)]
pub enum PeerError {
    /// This balancer has no key of the service.
    NoKey(ServiceId),
    /// The payload of the peer datagram is too large; it has this many bytes.
    TooLarge(usize),
    /// The send call for the peer datagram failed.
    Send(io::Error),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoKey(scope) => {
                write!(
                    f,
                    "this balancer has no key of service {scope}; accept the service's bundle first"
                )
            }
            Self::TooLarge(bytes) => {
                write!(
                    f,
                    "a payload of {bytes} bytes is too large for a peer datagram; split it"
                )
            }
            Self::Send(cause) => {
                write!(f, "the peer datagram was not sent: {cause}; send it again")
            }
        }
    }
}

impl std::error::Error for PeerError {}
