//! What a process's controllers need to know at start.

use std::net::SocketAddr;

use bundle::KeySet;
use timeline::Recorder;
use tokio::sync::watch;
use units::{InstanceId, Millis, ServiceId};

use crate::Counters;

/// What a process's controllers need to know at start.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Name of this process.
    pub instance: InstanceId,
    /// What this process reads and holds.
    pub role: Role,
    /// Keys trusted from settings.
    pub keys: KeySet,
    /// Certificates for calls between processes.
    pub tls: PeerTls,
    /// Control addresses of the balancers, this process's own included or not.
    pub peers: watch::Receiver<Vec<SocketAddr>>,
    /// Where other processes call this one; never called by itself.
    pub control_address: SocketAddr,
    /// Where events go.
    pub recorder: Recorder,
    /// Where counters go.
    pub counters: Counters,
    /// Intervals and bounds.
    pub timing: Timing,
    /// Seed of jitter and of the choice of peers.
    pub seed: u64,
}

/// Name in every process's certificate, unless settings say otherwise.
pub const PROCESS_DNS_NAME: &str = "process.lovagehall";

/// What a process reads and holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Holds every service; reads the platform and peers.
    Balancer {
        /// Address of the platform's configuration service.
        platform: SocketAddr,
    },
    /// Holds one service; reads balancers alone.
    Agent {
        /// The service.
        service: ServiceId,
    },
}

/// Certificates for calls between processes, as PEM text.
#[derive(Clone)]
pub struct PeerTls {
    /// Authority that every process's certificate must come from.
    pub ca_pem: String,
    /// This process's certificate.
    pub certificate_pem: String,
    /// Its key.
    pub key_pem: String,
    /// Name in every process's certificate.
    pub server_name: String,
}

/// Intervals and bounds of the controllers.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Mean time between comparisons with one peer.
    pub exchange_interval_ms: Millis,
    /// Peers kept connected.
    pub partner_count: usize,
    /// Peers told at once of a bundle put in force.
    pub push_count: usize,
    /// Time after which one partner is changed for another.
    pub partner_rotation_ms: Millis,
    /// Longest time a start waits for peers.
    pub startup_peers_timeout_ms: Millis,
    /// Longest time a start waits for the platform after the peers.
    pub startup_platform_timeout_ms: Millis,
    /// Bound on one call between processes.
    pub call_timeout_ms: Millis,
    /// Bound on one read of the platform, beyond the wait of a watch.
    pub read_timeout_ms: Millis,
    /// A silence of this process longer than this is a pause.
    pub pause_threshold_ms: Millis,
}

impl ControlConfig {
    /// Takes what has no default.
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

    /// Records events with this recorder.
    #[must_use]
    pub fn with_recorder(mut self, recorder: Recorder) -> Self {
        self.recorder = recorder;
        self
    }

    /// Counts with these counters.
    #[must_use]
    pub fn with_counters(mut self, counters: Counters) -> Self {
        self.counters = counters;
        self
    }

    /// Uses other intervals and bounds.
    #[must_use]
    pub const fn with_timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Draws jitter and peers from this seed.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

impl PeerTls {
    /// Takes the PEM texts.
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
    /// Returns the one service held, if the role holds one.
    #[must_use]
    pub const fn only_service(self) -> Option<ServiceId> {
        match self {
            Self::Balancer { .. } => None,
            Self::Agent { service } => Some(service),
        }
    }
}

impl Timing {
    /// Returns the usual intervals of a role.
    ///
    /// Agents learn of newer versions from tunnel headers, so they compare rarely.
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
        // Never the key.
        f.debug_struct("PeerTls")
            .field("server_name", &self.server_name)
            .finish_non_exhaustive()
    }
}
