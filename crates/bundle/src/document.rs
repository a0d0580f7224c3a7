//! The bundle document: one version of the settings of one service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use units::{
    BundleDigest, BundleVersion, ByteSize, EndpointId, Millis, ServiceId, Slots, Weight, Zone,
};

/// A bundle: one version of the settings of one service.
///
/// The signature covers the exact bytes that were published, never a re-serialization, so field
/// order and formatting are part of what is signed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The service that the bundle configures.
    pub service: ServiceId,
    /// Short human-readable name of the service, unique in the fleet.
    pub name: String,
    /// Version of the bundle: 1 for the first of the service, one more for each later bundle.
    pub version: BundleVersion,
    /// Digest of the previous version's signed bytes; `None` only for version 1.
    pub previous: Option<BundleDigest>,
    /// Service addresses that callers connect to: sorted, at least one, owned by no other service.
    pub addresses: Vec<SocketAddr>,
    /// Upstream endpoints, sorted by id; at least one isn't draining.
    pub endpoints: Vec<Endpoint>,
    /// Route rules; the first rule whose method and path prefix match a request applies.
    pub routes: Vec<RouteRule>,
    /// How requests are distributed over the endpoints.
    pub sharing: Sharing,
    /// How endpoints and instances are drained.
    pub leaving: Leaving,
}

/// One upstream endpoint and the agent that serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Id of the endpoint, unique in the fleet.
    pub id: EndpointId,
    /// Availability zone in which the endpoint runs.
    pub zone: Zone,
    /// Address at which the agent receives tunnel datagrams.
    pub tunnel_address: SocketAddr,
    /// Address at which the agent serves control calls of other processes.
    pub control_address: SocketAddr,
    /// Address at which the upstream listens for HTTP.
    pub upstream_address: SocketAddr,
    /// Number of requests that the upstream runs concurrently, at least 1.
    pub slots: Slots,
    /// Relative share of new flows that the endpoint gets; 100 is the usual value.
    pub weight: Weight,
    /// Whether the endpoint is draining and gets no new work.
    #[serde(default)]
    pub is_leaving: bool,
}

/// Route rule: how requests with a certain method and path prefix are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// HTTP method that the rule matches, in upper case; `None` matches any method.
    pub method: Option<String>,
    /// Path prefix that the rule matches; starts with `/`.
    pub path_prefix: String,
    /// Class (short or long) of the route's requests.
    pub class: RequestClass,
    /// Whether the route's requests may run more than once.
    pub retry: RetrySafety,
    /// Longest time from the arrival of a request to the end of its answer.
    pub timeout_ms: Millis,
}

/// Class of a request, by how long it holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Short requests, whose callers wait for a quick answer.
    Short,
    /// Long requests: streams, uploads and downloads.
    Long,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetrySafety {
    /// Running the request twice has the same effect as running it once, so it may be retried.
    Idempotent,
    /// The request must run at most once and needs an `Idempotency-Key` header.
    AtMostOnce,
}

/// How requests are distributed over the endpoints of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sharing {
    /// Share of each endpoint's slots that long work leaves free for short work, in percent.
    pub short_reserve_percent: u8,
    /// Number of retries allowed per hundred requests that aren't retries.
    pub retry_budget_percent: u8,
    /// Time over which an endpoint that was added, or added again, ramps up to its full weight.
    pub cold_start_ramp_ms: Millis,
    /// Largest request body that is accepted.
    pub body_max_bytes: ByteSize,
}

/// How endpoints and instances are drained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaving {
    /// Longest time that a draining endpoint may take to finish the requests in flight.
    pub drain_timeout_ms: Millis,
}
