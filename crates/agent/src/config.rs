//! What an agent is started with.

use std::{net::SocketAddr, sync::Arc};

use control::PeerTls;
use flow::key::ServiceKeys;
use units::{EndpointId, Incarnation, InstanceId, ServiceId};

use crate::endpoint::TlsIdentity;

/// Handshakes under way from which on callers must prove their address, unless set otherwise.
const HANDSHAKE_RETRY_THRESHOLD: usize = 256;

/// What an agent is started with.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the process.
    pub instance: InstanceId,
    /// The service it serves.
    pub service: ServiceId,
    /// The endpoint it stands beside.
    pub endpoint: EndpointId,
    /// This run of the process; higher than any earlier run of the endpoint's agent.
    pub incarnation: Incarnation,
    /// Where it receives tunnel datagrams.
    pub tunnel_address: SocketAddr,
    /// The service's keys.
    pub keys: Arc<ServiceKeys>,
    /// What it presents to callers.
    pub tls: TlsIdentity,
    /// Balancers to answer through until one is heard.
    pub balancers: Vec<SocketAddr>,
    /// How it proves itself to other agents; without it none is called.
    pub peer_tls: Option<PeerTls>,
    /// Handshakes under way from which on callers must prove their address first (QUIC Retry).
    pub handshake_retry_threshold: usize,
}

impl Config {
    /// Creates a configuration without known balancers.
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
            handshake_retry_threshold: HANDSHAKE_RETRY_THRESHOLD,
        }
    }

    /// Sets the handshakes under way from which on callers must prove their address first.
    #[must_use]
    pub const fn with_handshake_retry_threshold(mut self, handshakes: usize) -> Self {
        self.handshake_retry_threshold = handshakes;
        self
    }

    /// Sets how it proves itself to other agents.
    #[must_use]
    pub fn with_peer_tls(mut self, peer_tls: PeerTls) -> Self {
        self.peer_tls = Some(peer_tls);
        self
    }

    /// Sets the balancers to answer through until one is heard.
    #[must_use]
    pub fn with_balancers(mut self, balancers: Vec<SocketAddr>) -> Self {
        self.balancers = balancers;
        self
    }
}
