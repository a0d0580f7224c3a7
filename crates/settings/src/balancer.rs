//! Settings of a balancer, which forwards callers' datagrams to agents.

use std::net::{IpAddr, SocketAddr};

use bundle::PublicKey;
use serde::{Deserialize, Serialize};
use units::{InstanceId, Millis, Zone};

use crate::{ProcessTls, SettingsError, SharedKey, Validate, check};

/// Settings of a balancer, which forwards callers' datagrams to agents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Name of this process, unique in the fleet.
    pub instance: InstanceId,
    /// Availability zone of this process.
    pub zone: Zone,
    /// Address on which the balancer receives tunnel datagrams of agents and other balancers.
    pub tunnel_address: SocketAddr,
    /// Address on which the balancer accepts calls of other processes.
    pub control_address: SocketAddr,
    /// IP address on which the balancer binds the services' ports, for networks that rewrite
    /// destinations to the instance's own address; `None` binds the service addresses themselves.
    #[serde(default)]
    pub listen_ip: Option<IpAddr>,
    /// Address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// Control addresses of some other balancers, from which this balancer learns of the rest.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Tunnel addresses of some other balancers, from which this balancer learns of the rest.
    #[serde(default)]
    pub peer_tunnels: Vec<SocketAddr>,
    /// Shared root keys of the fleet, the current key first.
    pub fleet_keys: Vec<SharedKey>,
    /// Public keys that bundles may be signed with.
    pub operator_keys: Vec<PublicKey>,
    /// Public keys that published key sets may be signed with.
    #[serde(default)]
    pub root_keys: Vec<PublicKey>,
    /// Certificates for calls between processes.
    pub tls: ProcessTls,
    /// Maximum time between SIGTERM and the process's exit, in milliseconds.
    pub drain_timeout_ms: Millis,
    /// Address to which counters are sent in the statsd format; `None` disables sending.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
}

impl Validate for BalancerSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        check::check_address("tunnel_address", self.tunnel_address)?;
        check::check_address("control_address", self.control_address)?;
        check::check_address("platform_address", self.platform_address)?;
        self.peers
            .iter()
            .try_for_each(|it| check::check_address("peers", *it))?;
        self.peer_tunnels
            .iter()
            .try_for_each(|it| check::check_address("peer_tunnels", *it))?;
        check::check_shared_keys("fleet_keys", &self.fleet_keys)?;
        check::check_operator_keys(&self.operator_keys)?;
        check::check_process_tls(&self.tls)?;
        check::check_drain_timeout("drain_timeout_ms", self.drain_timeout_ms)
    }
}
