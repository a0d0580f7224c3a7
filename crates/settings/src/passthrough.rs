//! Settings of the processes for passthrough flows.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use units::{BasisPoints, InstanceId, Millis, Zone};

use crate::{SettingsError, Validate, check};

/// Settings of a balancer for passthrough flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PassthroughBalancerSettings {
    /// Name of this process, unique in the fleet.
    pub instance: InstanceId,
    /// Availability zone of this process.
    pub availability_zone: Zone,
    /// IP address of this instance, by which other instances identify this process.
    pub address: Ipv4Addr,
    /// Address on which the balancer receives packets of callers; callers listen on the same port.
    pub caller_address: SocketAddr,
    /// Port on which balancers and agents exchange messages, which is the same on all instances.
    pub peer_port: u16,
    /// Speed of this instance's network link, in Mbit/s; a fraction of a speed above 1 is dropped.
    #[serde(deserialize_with = "whole_mbps")]
    pub link_mbps: u32,
    /// Addresses at which other balancers may run; only the hosts are used, not the ports.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Address of the platform's store, from which endpoints and routes are read.
    pub store_address: SocketAddr,
    /// Address on which the process answers readiness probes.
    pub readiness_address: SocketAddr,
    /// Address on which the process serves its metrics; `None` serves no metrics.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Largest number of openings that are offered to a second endpoint, as a share of all openings of
    /// this balancer; percent in the file, with a fraction or without. Zero, the default, offers none.
    #[serde(
        default,
        rename = "extra_openings_percent",
        deserialize_with = "share_from_percent",
        serialize_with = "share_to_percent"
    )]
    pub extra_openings_bp: BasisPoints,
    /// Maximum time between SIGTERM and the process's exit; seconds in the file, with a fraction or
    /// without.
    #[serde(
        rename = "stop_grace_s",
        deserialize_with = "millis_from_seconds",
        serialize_with = "millis_to_seconds"
    )]
    pub stop_grace_ms: Millis,
}

impl PassthroughBalancerSettings {
    /// Returns the address on which the process receives messages of other instances.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.address), self.peer_port)
    }

    /// Returns the IP addresses of instances on which other balancers may run.
    #[must_use]
    pub fn seed_instances(&self) -> Vec<Ipv4Addr> {
        self.seeds.iter().map(|it| *it.ip()).collect()
    }
}

impl Validate for PassthroughBalancerSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        check::check_address("caller_address", self.caller_address)?;
        check::check_address("peer_port", self.peer_address())?;
        check::check_address("store_address", self.store_address)?;
        check::check_address("readiness_address", self.readiness_address)?;
        check::check_distinct_ports(self.peer_port, self.caller_address.port())?;
        check::check_link_mbps("link_mbps", self.link_mbps)?;
        check::check_drain_timeout("stop_grace_s", self.stop_grace_ms)
    }
}

/// Settings of an agent for passthrough flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PassthroughAgentSettings {
    /// Name of this process, unique in the fleet.
    pub instance: InstanceId,
    /// Availability zone of this process.
    pub availability_zone: Zone,
    /// IP address of this instance, by which other instances identify this process.
    pub address: Ipv4Addr,
    /// Name of the endpoint's service; the agent doesn't deliver packets of other services.
    pub service: String,
    /// Address on which the endpoint beside the agent listens.
    pub endpoint_address: SocketAddrV4,
    /// Address on which the agent receives the packets that the endpoint sends.
    pub outbound_address: SocketAddr,
    /// Address on which a balancer on this instance would receive packets of callers. Only the port
    /// is used, which is the port that callers listen on.
    pub caller_address: SocketAddr,
    /// Port on which balancers and agents exchange messages, which is the same on all instances.
    pub peer_port: u16,
    /// Address on which the process answers readiness probes.
    pub readiness_address: SocketAddr,
    /// Address on which the process serves its metrics; `None` serves no metrics.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
}

impl PassthroughAgentSettings {
    /// Returns the address on which the process receives messages of other instances.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.address), self.peer_port)
    }
}

impl Validate for PassthroughAgentSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        check::check_service_name("service", &self.service)?;
        check::check_address("endpoint_address", SocketAddr::V4(self.endpoint_address))?;
        check::check_address("outbound_address", self.outbound_address)?;
        check::check_address("caller_address", self.caller_address)?;
        check::check_address("peer_port", self.peer_address())?;
        check::check_address("readiness_address", self.readiness_address)?;
        check::check_distinct_ports(self.peer_port, self.outbound_address.port())
    }
}

/// Deserializes a speed in Mbit/s and drops its fraction; a speed below 1 counts as 1.
fn whole_mbps<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let speed = f64::deserialize(deserializer)?;
    if !(0.0..=f64::from(u32::MAX)).contains(&speed) {
        return Err(de::Error::custom(format!(
            "`link_mbps`: `{speed}` is not a valid speed; give Mbit/s from 1 to {}",
            u32::MAX
        )));
    }
    Ok(if speed > 0.0 && speed < 1.0 {
        1
    } else {
        truncate(speed)
    })
}

/// Deserializes a time in seconds, with a fraction or without.
fn millis_from_seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Millis, D::Error> {
    const SECONDS_MAX: u32 = 24 * 3_600;
    let seconds = f64::deserialize(deserializer)?;
    if !(0.0..=f64::from(SECONDS_MAX)).contains(&seconds) {
        return Err(de::Error::custom(format!(
            "`stop_grace_s`: `{seconds}` is out of range; give more than 0 and at most {SECONDS_MAX} \
             seconds"
        )));
    }
    Ok(Millis::new(truncate(seconds * 1_000.0).into()))
}

/// Deserializes a share in percent, with a fraction or without; a fraction of a hundredth is dropped.
fn share_from_percent<'de, D: Deserializer<'de>>(deserializer: D) -> Result<BasisPoints, D::Error> {
    const PERCENT_MAX: u32 = 20;
    let percent = f64::deserialize(deserializer)?;
    if !(0.0..=f64::from(PERCENT_MAX)).contains(&percent) {
        return Err(de::Error::custom(format!(
            "`extra_openings_percent`: `{percent}` is out of range; give 0 to {PERCENT_MAX} percent, \
             where 0 turns extra openings off"
        )));
    }
    // The product of a percentage with two decimals may lie just below a whole number.
    let basis_points = truncate(percent * 100.0 + 1e-6);
    u16::try_from(basis_points)
        .map(BasisPoints::new)
        .map_err(de::Error::custom)
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn share_to_percent<S: Serializer>(share: &BasisPoints, serializer: S) -> Result<S::Ok, S::Error> {
    (f64::from(share.get()) / 100.0).serialize(serializer)
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn millis_to_seconds<S: Serializer>(time: &Millis, serializer: S) -> Result<S::Ok, S::Error> {
    time.to_duration().as_secs_f64().serialize(serializer)
}

/// Drops the fraction of a number from 0 to `u32::MAX`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the callers check the range, and the fraction is dropped on purpose"
)]
const fn truncate(number: f64) -> u32 {
    number as u32
}
