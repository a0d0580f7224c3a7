//! Settings of an agent, which runs beside an upstream endpoint.

use std::net::SocketAddr;

use bundle::PublicKey;
use serde::{Deserialize, Serialize};
use units::{EndpointId, InstanceId, Millis, ServiceId, Zone};

use crate::{CallerTls, ProcessTls, SettingsError, SharedKey, Validate, check};

/// Settings of an agent, which runs beside an upstream endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of this process, unique in the fleet.
    pub instance: InstanceId,
    /// Availability zone of this process.
    pub zone: Zone,
    /// The service whose requests this agent handles.
    pub service: ServiceId,
    /// Id of the endpoint beside which this agent runs.
    pub endpoint: EndpointId,
    /// Address on which the agent receives tunnel datagrams of balancers and other agents.
    pub tunnel_address: SocketAddr,
    /// Address on which the agent accepts calls of other processes.
    pub control_address: SocketAddr,
    /// Address on which the upstream beside the agent listens for HTTP.
    pub upstream_address: SocketAddr,
    /// Control addresses of some balancers, from which the agent requests its service's bundle at
    /// startup.
    pub balancers: Vec<SocketAddr>,
    /// Tunnel addresses of some balancers, which the agent uses until datagrams of other balancers
    /// arrive.
    pub balancer_tunnels: Vec<SocketAddr>,
    /// Shared keys of the agent's service, the current key first.
    pub service_keys: Vec<SharedKey>,
    /// Public keys that bundles may be signed with.
    pub operator_keys: Vec<PublicKey>,
    /// Public keys that published key sets may be signed with.
    #[serde(default)]
    pub root_keys: Vec<PublicKey>,
    /// Certificates for calls between processes.
    pub tls: ProcessTls,
    /// Certificate presented to callers.
    pub caller_tls: CallerTls,
    /// Maximum time between SIGTERM and the process's exit, in milliseconds.
    pub drain_timeout_ms: Millis,
    /// Address to which counters are sent in the statsd format; `None` disables sending.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
}

impl Validate for AgentSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        check::check_address("tunnel_address", self.tunnel_address)?;
        check::check_address("control_address", self.control_address)?;
        check::check_address("upstream_address", self.upstream_address)?;
        check::check_addresses("balancers", &self.balancers)?;
        check::check_addresses("balancer_tunnels", &self.balancer_tunnels)?;
        check::check_shared_keys("service_keys", &self.service_keys)?;
        check::check_operator_keys(&self.operator_keys)?;
        check::check_process_tls(&self.tls)?;
        check::check_caller_tls(&self.caller_tls)?;
        check::check_drain_timeout("drain_timeout_ms", self.drain_timeout_ms)
    }
}
