//! Settings of the processes that forward flows whole.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::{Deserialize, Deserializer, Serialize, de};
use units::{InstanceId, Millis, Zone};

use crate::{SettingsError, Validate, check};

/// Settings of a balancer that forwards flows whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PassthroughBalancerSettings {
    /// Name of this process, unique in the fleet.
    pub instance: InstanceId,
    /// Availability zone of this process.
    pub availability_zone: Zone,
    /// Address of this instance; other instances know it by that alone.
    pub address: Ipv4Addr,
    /// Where packets of callers arrive; callers listen on the same port.
    pub caller_address: SocketAddr,
    /// Port on which all our processes talk to each other.
    pub peer_port: u16,
    /// What this instance's link carries, in Mbit/s; a fraction is dropped.
    #[serde(deserialize_with = "whole_mbps")]
    pub link_mbps: u32,
    /// Addresses at which other balancers may run; only the host counts.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Where the list of endpoints and routes is read.
    pub store_address: SocketAddr,
    /// Where questions about readiness are answered.
    pub readiness_address: SocketAddr,
    /// Where counters are served; `None` serves none.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Longest time between the stop signal and the end, in seconds.
    pub stop_grace_s: u64,
}

impl PassthroughBalancerSettings {
    /// Returns where messages of other instances arrive.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.address), self.peer_port)
    }

    /// Returns the longest time between the stop signal and the end.
    #[must_use]
    pub const fn stop_grace_ms(&self) -> Millis {
        Millis::new(self.stop_grace_s.saturating_mul(1_000))
    }

    /// Returns the instances at which other balancers may run.
    #[must_use]
    pub fn seed_instances(&self) -> Vec<Ipv4Addr> {
        self.seeds.iter().map(|it| *it.ip()).collect()
    }
}

impl Validate for PassthroughBalancerSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        check::address("caller_address", self.caller_address)?;
        check::address("peer_port", self.peer_address())?;
        check::address("store_address", self.store_address)?;
        check::address("readiness_address", self.readiness_address)?;
        check::distinct_ports(self.peer_port, self.caller_address.port())?;
        check::link("link_mbps", self.link_mbps)?;
        check::drain_timeout("stop_grace_s", self.stop_grace_ms())
    }
}

/// Settings of an agent that forwards flows whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PassthroughAgentSettings {
    /// Name of this process, unique in the fleet.
    pub instance: InstanceId,
    /// Availability zone of this process.
    pub availability_zone: Zone,
    /// Address of this instance; other instances know it by that alone.
    pub address: Ipv4Addr,
    /// Name of the endpoint's service; packets of other services are not delivered.
    pub service: String,
    /// Where the endpoint listens.
    pub endpoint_address: SocketAddrV4,
    /// Where the endpoint sends its packets.
    pub outbound_address: SocketAddr,
    /// Where a balancer on this instance would get packets of callers; callers listen on the same
    /// port.
    pub caller_address: SocketAddr,
    /// Port on which all our processes talk to each other.
    pub peer_port: u16,
    /// Where questions about readiness are answered.
    pub readiness_address: SocketAddr,
    /// Where counters are served; `None` serves none.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
}

impl PassthroughAgentSettings {
    /// Returns where messages of other instances arrive.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.address), self.peer_port)
    }
}

impl Validate for PassthroughAgentSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        check::name("service", &self.service)?;
        check::address("endpoint_address", SocketAddr::V4(self.endpoint_address))?;
        check::address("outbound_address", self.outbound_address)?;
        check::address("caller_address", self.caller_address)?;
        check::address("peer_port", self.peer_address())?;
        check::address("readiness_address", self.readiness_address)?;
        check::distinct_ports(self.peer_port, self.outbound_address.port())
    }
}

/// Reads a speed that may be written with a fraction.
fn whole_mbps<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let speed = f64::deserialize(deserializer)?;
    if !(0.0..=f64::from(u32::MAX)).contains(&speed) {
        return Err(de::Error::custom(format!(
            "`{speed}` is no speed in Mbit/s"
        )));
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range was checked, and the fraction is dropped on purpose"
    )]
    let whole = speed as u32;
    Ok(whole)
}
