//! Settings of a balancer's datagram path.

use std::net::{IpAddr, SocketAddr};

use timeline::Recorder;
use units::{ByteSize, Millis};

/// Settings of the datagram path.
#[derive(Debug, Clone)]
pub struct Config {
    /// The address where agents and other balancers reach this balancer.
    pub tunnel_address: SocketAddr,
    /// The addresses where callers' datagrams arrive.
    pub listen_at: ListenAt,
    /// Number of sockets that share the tunnel address, at least 1; each has its own task.
    pub tunnel_sockets: usize,
    /// Maximum size of a tunnel datagram that is not fragmented, without IP and UDP headers.
    pub datagram_max_bytes: ByteSize,
    /// Size of the kernel's receive buffer and of its send buffer for the socket of each service
    /// address. The buffers absorb bursts, and in a flood every address may fill its own buffers.
    pub service_buffer_bytes: ByteSize,
    /// Size of the kernel's receive buffer and of its send buffer for each tunnel socket.
    pub tunnel_buffer_bytes: ByteSize,
    /// Drain timeout: how long datagrams are still forwarded after shutdown is requested.
    pub drain_timeout_ms: Millis,
    /// Time without datagrams from callers and agents after which the drain is complete.
    pub drain_quiet_ms: Millis,
    /// Maximum number of queued datagrams from peers (balancers and agents).
    pub peer_queue_max: usize,
    /// Recorder of timeline events.
    pub recorder: Recorder,
}

/// The addresses where callers' datagrams arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenAt {
    /// Callers' datagrams arrive at the service addresses themselves.
    ServiceAddresses,
    /// Callers' datagrams arrive at this instance's own address, to which the network fabric
    /// rewrites service addresses; the ports stay the same.
    Ip(IpAddr),
}

impl Config {
    /// Creates datagram path settings with the default limits.
    #[must_use]
    pub fn new(tunnel_address: SocketAddr, listen_at: ListenAt) -> Self {
        Self {
            tunnel_address,
            listen_at,
            tunnel_sockets: 1,
            datagram_max_bytes: ByteSize::new(1_452),
            service_buffer_bytes: ByteSize::new(1 << 20),
            tunnel_buffer_bytes: ByteSize::new(4 << 20),
            drain_timeout_ms: Millis::new(10_000),
            drain_quiet_ms: Millis::new(1_000),
            peer_queue_max: 1_024,
            recorder: Recorder::new(),
        }
    }

    /// Sets the recorder of timeline events.
    #[must_use]
    pub fn with_recorder(mut self, recorder: Recorder) -> Self {
        self.recorder = recorder;
        self
    }

    /// Sets the number of sockets that share the tunnel address.
    #[must_use]
    pub fn with_tunnel_sockets(mut self, count: usize) -> Self {
        self.tunnel_sockets = count;
        self
    }

    /// Sets the drain timeout and the time without datagrams that ends the drain.
    #[must_use]
    pub fn with_drain(mut self, timeout_ms: Millis, drain_quiet_ms: Millis) -> Self {
        self.drain_timeout_ms = timeout_ms;
        self.drain_quiet_ms = drain_quiet_ms;
        self
    }

    /// Returns the local address to which the socket of a service address is bound.
    #[must_use]
    pub const fn bind_address(&self, service_address: SocketAddr) -> SocketAddr {
        match self.listen_at {
            ListenAt::ServiceAddresses => service_address,
            ListenAt::Ip(ip) => SocketAddr::new(ip, service_address.port()),
        }
    }
}
