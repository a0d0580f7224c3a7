//! What other parts of the process may ask of the running datagram path.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use flow::tunnel::{self, KeyRing, PEER_OVERHEAD_BYTES};
use quinn_udp::Transmit;
use units::ServiceId;

use super::{paths::towards, serve::Shared};
use crate::counters::{Counter, Counters};

/// What other parts of the process may ask of the running datagram path.
#[derive(Debug, Clone)]
pub struct DatapathHandle {
    shared: Arc<Shared>,
}

impl DatapathHandle {
    pub(super) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Tells whether the fabric should send datagrams here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready.load(Ordering::Relaxed)
    }

    /// Returns the tunnel's address, with the port that the kernel chose if none was given.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel doesn't tell.
    pub fn tunnel_address(&self) -> io::Result<SocketAddr> {
        self.shared.tunnels[0].local_address()
    }

    /// Returns the service addresses that are bound, sorted.
    #[must_use]
    pub fn bound_addresses(&self) -> Vec<SocketAddr> {
        let services = self.shared.services.load();
        services.iter().map(|it| it.0).collect()
    }

    /// Sends a datagram to another process of the system, signed with the key of `scope`.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is not held, the payload is too large or sending fails.
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
        let detours = self.shared.detours.load();
        let socket = towards(&detours, to).unwrap_or(&self.shared.tunnels[0]);
        socket.send(&transmit).map_err(PeerError::Send)?;
        self.shared.counters.add(Counter::PeerSent, 1);
        Ok(())
    }
}

/// Why a datagram could not be sent to a peer.
#[derive(Debug)]
pub enum PeerError {
    /// No key of this service is held.
    NoKey(ServiceId),
    /// The payload has this many bytes.
    TooLarge(usize),
    /// The kernel refused it.
    Send(io::Error),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoKey(scope) => {
                write!(
                    f,
                    "no key of service {scope} is held; accept its bundle first"
                )
            }
            Self::TooLarge(bytes) => {
                write!(f, "a payload of {bytes} bytes is too large; split it")
            }
            Self::Send(cause) => write!(f, "the datagram was not sent: {cause}; send it again"),
        }
    }
}

impl std::error::Error for PeerError {}
