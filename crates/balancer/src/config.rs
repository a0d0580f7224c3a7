//! What a balancer's datagram path needs to be told.

use std::net::{IpAddr, SocketAddr};

use timeline::Recorder;
use units::{ByteSize, Millis};

/// Settings of the datagram path.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where agents and other balancers reach this one.
    pub tunnel_address: SocketAddr,
    /// Where callers' datagrams arrive.
    pub listen_at: ListenAt,
    /// Sockets that share the tunnel address, at least 1; each is served by its own task.
    pub tunnel_sockets: usize,
    /// Largest tunnel datagram that the network carries whole, without IP and UDP headers.
    pub datagram_max_bytes: ByteSize,
    /// Kernel buffer of each service address's socket, each way: bursts wait there, and under a
    /// flood every address may fill its own.
    pub service_buffer_bytes: ByteSize,
    /// Kernel buffer of each tunnel socket, each way.
    pub tunnel_buffer_bytes: ByteSize,
    /// Longest time that datagrams are still forwarded after a stop was asked for.
    pub drain_timeout_ms: Millis,
    /// Time without datagrams from callers and agents after which a stop is complete.
    pub drain_quiet_ms: Millis,
    /// Most datagrams from peers that wait to be read.
    pub peer_queue_max: usize,
    /// Where events go.
    pub recorder: Recorder,
}

/// Where callers' datagrams arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenAt {
    /// At the service addresses themselves.
    ServiceAddresses,
    /// At this instance's own address, to which the fabric rewrites; ports are the services'.
    Ip(IpAddr),
}

impl Config {
    /// Makes settings with the usual bounds.
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

    /// Records events with this recorder.
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

    /// Sets how long a stop may take and how long a pause ends it.
    #[must_use]
    pub fn with_drain(mut self, timeout_ms: Millis, drain_quiet_ms: Millis) -> Self {
        self.drain_timeout_ms = timeout_ms;
        self.drain_quiet_ms = drain_quiet_ms;
        self
    }

    /// Returns where the socket of a service address is bound.
    #[must_use]
    pub const fn bind_address(&self, service_address: SocketAddr) -> SocketAddr {
        match self.listen_at {
            ListenAt::ServiceAddresses => service_address,
            ListenAt::Ip(ip) => SocketAddr::new(ip, service_address.port()),
        }
    }
}
