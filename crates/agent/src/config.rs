//! Start parameters of an agent.

use std::{net::SocketAddr, sync::Arc};

use control::PeerTls;
use flow::key::ServiceKeys;
use units::{EndpointId, Incarnation, InstanceId, ServiceId};

use crate::endpoint::TlsIdentity;

/// Default of [`Config::handshake_retry_threshold`].
const HANDSHAKE_RETRY_THRESHOLD_DEFAULT: usize = 256;

/// Start parameters of an agent.
#[derive(Debug, Clone)]
pub struct Config {
    /// Instance name of the process.
    pub instance: InstanceId,
    /// Service that the agent serves.
    pub service: ServiceId,
    /// Endpoint whose upstream the agent fronts.
    pub endpoint: EndpointId,
    /// Incarnation number of this process, higher than that of any earlier process of the
    /// endpoint's agent.
    pub incarnation: Incarnation,
    /// Address on which the agent receives tunnel datagrams.
    pub tunnel_address: SocketAddr,
    /// Keys of the service for tunnel datagrams, connection ids and stateless resets.
    pub keys: Arc<ServiceKeys>,
    /// Certificate and private key for connections from callers.
    pub tls: TlsIdentity,
    /// Balancers through which datagrams are sent until the first datagram from a balancer arrives.
    pub balancers: Vec<SocketAddr>,
    /// Certificates for calls to other agents; an agent without them calls no other agent.
    pub peer_tls: Option<PeerTls>,
    /// Threshold of pending handshakes at which callers must validate their address by a QUIC
    /// Retry.
    pub handshake_retry_threshold: usize,
}

impl Config {
    /// Creates a configuration without balancers and client TLS.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        service: ServiceId,
        endpoint: EndpointId,
        incarnation: Incarnation,
        tunnel_address: SocketAddr,
        keys: Arc<ServiceKeys>,
        tls: TlsIdentity,
    ) -> Self {
        Self {
            instance,
            service,
            endpoint,
            incarnation,
            tunnel_address,
            keys,
            tls,
            balancers: Vec::new(),
            peer_tls: None,
            handshake_retry_threshold: HANDSHAKE_RETRY_THRESHOLD_DEFAULT,
        }
    }

    /// Sets the threshold of pending handshakes at which callers must validate their address by a
    /// QUIC Retry.
    #[must_use]
    pub const fn with_handshake_retry_threshold(mut self, handshakes: usize) -> Self {
        self.handshake_retry_threshold = handshakes;
        self
    }

    /// Sets the certificates for calls to other agents.
    #[must_use]
    pub fn with_peer_tls(mut self, peer_tls: PeerTls) -> Self {
        self.peer_tls = Some(peer_tls);
        self
    }

    /// Sets the balancers through which datagrams are sent until the first datagram from a balancer
    /// arrives.
    #[must_use]
    pub fn with_balancers(mut self, balancers: Vec<SocketAddr>) -> Self {
        self.balancers = balancers;
        self
    }
}
