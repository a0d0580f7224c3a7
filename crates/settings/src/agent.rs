//! Settings of an agent.

use std::net::SocketAddr;

use bundle::PublicKey;
use serde::{Deserialize, Serialize};
use units::{EndpointId, InstanceId, Millis, ServiceId, Zone};

use crate::{CallerTls, ProcessTls, SettingsError, SharedKey, Validate, check};

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of this process, unique in the fleet.
    pub instance: InstanceId,
    /// Availability zone of this process.
    pub zone: Zone,
    /// The one service this agent works for.
    pub service: ServiceId,
    /// The endpoint this agent stands beside.
    pub endpoint: EndpointId,
    /// Where balancers and peers send tunnel datagrams.
    pub tunnel_address: SocketAddr,
    /// Where other processes call this one.
    pub control_address: SocketAddr,
    /// Where the upstream listens for HTTP.
    pub upstream_address: SocketAddr,
    /// Control addresses of some balancers, asked for the bundle at start.
    pub balancers: Vec<SocketAddr>,
    /// Tunnel addresses of some balancers, used until datagrams arrive from others.
    pub balancer_tunnels: Vec<SocketAddr>,
    /// Keys of the service, the current one first.
    pub service_keys: Vec<SharedKey>,
    /// Keys that bundles are signed with.
    pub operator_keys: Vec<PublicKey>,
    /// Keys that published key sets are signed with.
    #[serde(default)]
    pub root_keys: Vec<PublicKey>,
    /// Certificates for calls between processes.
    pub tls: ProcessTls,
    /// Certificate shown to callers.
    pub caller_tls: CallerTls,
    /// Longest time between the stop signal and the end, in milliseconds.
    pub drain_timeout_ms: Millis,
    /// Where counters are sent in the statsd format; `None` keeps them in the process.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
}

impl Validate for AgentSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        check::address("tunnel_address", self.tunnel_address)?;
        check::address("control_address", self.control_address)?;
        check::address("upstream_address", self.upstream_address)?;
        check::addresses("balancers", &self.balancers)?;
        check::addresses("balancer_tunnels", &self.balancer_tunnels)?;
        check::shared_keys("service_keys", &self.service_keys)?;
        check::operator_keys(&self.operator_keys)?;
        check::process_tls(&self.tls)?;
        check::caller_tls(&self.caller_tls)?;
        check::drain_timeout("drain_timeout_ms", self.drain_timeout_ms)
    }
}
