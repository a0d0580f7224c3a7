//! Configuration of a process's controllers.

use std::net::SocketAddr;

use bundle::KeySet;
use timeline::Recorder;
use tokio::sync::watch;
use units::{InstanceId, Millis, ServiceId};

use crate::Counters;

/// Configuration of a process's controllers.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Name of this process.
    pub instance: InstanceId,
    /// Whether this process is a balancer or an agent.
    pub role: Role,
    /// Operator and root keys from the settings, trusted from the start.
    pub keys: KeySet,
    /// Certificates for gRPC calls between processes.
    pub tls: PeerTls,
    /// Control addresses of the balancers; may contain this process's own.
    pub peers: watch::Receiver<Vec<SocketAddr>>,
    /// Address where other processes call this one, which is left out of this process's peers.
    pub control_address: SocketAddr,
    /// Recorder of timeline events.
    pub recorder: Recorder,
    /// Counters that the controllers increment.
    pub counters: Counters,
    /// Intervals and timeouts of the controllers.
    pub timing: Timing,
    /// Seed of the random choices, such as jitter and peers.
    pub seed: u64,
}

/// DNS name in the certificate of every process, unless [`PeerTls::server_name`] gives another.
pub const PROCESS_DNS_NAME: &str = "process.lovagehall";

/// Kind of process, which decides what it reads and which services it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Holds the bundles of all services; reads them from the platform and from peers.
    Balancer {
        /// Address of the platform's configuration service.
        platform: SocketAddr,
    },
    /// Holds the bundle of one service; reads it from balancers only.
    Agent {
        /// The service whose upstream the agent serves.
        service: ServiceId,
    },
}

/// Certificates for mutual TLS between processes, as PEM text.
#[derive(Clone)]
pub struct PeerTls {
    /// Certificate of the authority that signs every process's certificate.
    pub ca_pem: String,
    /// This process's certificate.
    pub certificate_pem: String,
    /// Private key of this process's certificate.
    pub key_pem: String,
    /// DNS name that the certificates of other processes must have.
    pub server_name: String,
}

/// Intervals, timeouts and numbers of peers that the controllers use.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Mean interval of anti-entropy exchanges.
    pub exchange_interval_ms: Millis,
    /// Number of peers that a process stays connected to.
    pub partner_count: usize,
    /// Number of connected peers to which a newly accepted bundle is pushed.
    pub push_count: usize,
    /// Interval at which one connected peer is replaced by another.
    pub partner_rotation_ms: Millis,
    /// Longest time that startup waits for peers.
    pub startup_peers_timeout_ms: Millis,
    /// Longest time that startup waits for the platform, after it has waited for peers.
    pub startup_platform_timeout_ms: Millis,
    /// Timeout of one gRPC call between processes.
    pub call_timeout_ms: Millis,
    /// Timeout of one read from the platform; a long poll of the index adds its own wait.
    pub read_timeout_ms: Millis,
    /// Time without a tick after which the process counts as having been paused.
    pub pause_threshold_ms: Millis,
}

impl ControlConfig {
    /// Creates a configuration with the default timing of the role and a random seed.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        role: Role,
        keys: KeySet,
        tls: PeerTls,
        control_address: SocketAddr,
        peers: watch::Receiver<Vec<SocketAddr>>,
    ) -> Self {
        Self {
            instance,
            role,
            keys,
            tls,
            peers,
            control_address,
            recorder: Recorder::new(),
            counters: Counters::new(),
            timing: Timing::new(role),
            seed: rand::random(),
        }
    }

    /// Sets the recorder of timeline events.
    #[must_use]
    pub fn with_recorder(mut self, recorder: Recorder) -> Self {
        self.recorder = recorder;
        self
    }

    /// Sets the counters that the controllers increment.
    #[must_use]
    pub fn with_counters(mut self, counters: Counters) -> Self {
        self.counters = counters;
        self
    }

    /// Sets the intervals and timeouts of the controllers.
    #[must_use]
    pub const fn with_timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the seed of the random choices.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

impl PeerTls {
    /// Creates the certificates of a process that expects [`PROCESS_DNS_NAME`] in the certificates
    /// of other processes.
    #[must_use]
    pub fn new(ca_pem: String, certificate_pem: String, key_pem: String) -> Self {
        Self {
            ca_pem,
            certificate_pem,
            key_pem,
            server_name: PROCESS_DNS_NAME.to_owned(),
        }
    }
}

impl Role {
    /// Returns the service of an agent, `None` for a balancer, which holds all services.
    #[must_use]
    pub const fn only_service(self) -> Option<ServiceId> {
        match self {
            Self::Balancer { .. } => None,
            Self::Agent { service } => Some(service),
        }
    }
}

impl Timing {
    /// Returns the default intervals and timeouts of a role.
    ///
    /// Agents learn of newer bundle versions from tunnel headers, so their anti-entropy exchanges
    /// are less frequent.
    #[must_use]
    pub const fn new(role: Role) -> Self {
        let exchange_interval_ms = match role {
            Role::Balancer { .. } => Millis::new(1_000),
            Role::Agent { .. } => Millis::new(10_000),
        };
        Self {
            exchange_interval_ms,
            partner_count: 6,
            push_count: 6,
            partner_rotation_ms: Millis::new(30_000),
            startup_peers_timeout_ms: Millis::new(3_000),
            startup_platform_timeout_ms: Millis::new(2_000),
            call_timeout_ms: Millis::new(1_000),
            read_timeout_ms: Millis::new(2_000),
            pause_threshold_ms: Millis::new(1_000),
        }
    }
}

impl std::fmt::Debug for PeerTls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The output leaves out the private key, so that the key never appears in logs.
        f.debug_struct("PeerTls")
            .field("server_name", &self.server_name)
            .finish_non_exhaustive()
    }
}
