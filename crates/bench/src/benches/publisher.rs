//! Publisher of chained bundle versions at the platform's test double.

use std::net::SocketAddr;

use bundle::{
    Bundle, Endpoint, Leaving, RequestClass, RetrySafety, RouteRule, SecretKey, Sharing, digest,
    sign,
};
use stand_ins::platform::Platform;
use units::{BundleDigest, BundleVersion, ByteSize, EndpointId, Millis, ServiceId, Slots, Weight};

use crate::error::{BenchError, Result};

/// Number of endpoints of each service, as many as the users' larger services have.
const ENDPOINTS: u8 = 7;

/// Second byte of the first endpoints' loopback addresses.
const FIRST_BLOCK: u8 = 240;

/// Number of services whose endpoint addresses share a second byte.
const SERVICES_PER_BLOCK: u16 = 200;

/// Publisher that signs and publishes chained bundle versions of a few services.
#[derive(Debug)]
pub(super) struct Publisher {
    operator: SecretKey,
    /// Current bundle of each service, and its digest once it is published.
    current: Vec<(Bundle, Option<BundleDigest>)>,
}

/// A bundle version that was published.
#[derive(Debug, Clone, Copy)]
pub(super) struct Publication {
    pub(super) service: u32,
    pub(super) version: u64,
}

impl Publisher {
    pub(super) fn new(services: u16) -> Self {
        Self {
            operator: SecretKey::new([7; 32]),
            current: (1..=services).map(|it| (first_bundle(it), None)).collect(),
        }
    }

    pub(super) fn operator_key(&self) -> &SecretKey {
        &self.operator
    }

    /// Publishes the next bundle version of the service with index `turn` modulo the number of
    /// services.
    pub(super) fn publish_next_version(
        &mut self,
        turn: usize,
        platform: &Platform,
    ) -> Result<Publication> {
        let idx = turn % self.current.len();
        let (bundle, previous_digest) = &mut self.current[idx];
        if let Some(previous_digest) = *previous_digest {
            bundle.version = BundleVersion::new(bundle.version.get() + 1);
            bundle.previous = Some(previous_digest);
        }
        let document = serde_json::to_string(bundle)
            .map_err(|err| BenchError::setup("serializing a bundle", &err))?;
        *previous_digest = Some(digest(&document));
        platform
            .publish_bundle(&sign(&document, &self.operator))
            .map_err(|err| BenchError::setup("publishing a bundle", &err))?;
        Ok(Publication {
            service: bundle.service.get(),
            version: bundle.version.get(),
        })
    }
}

fn first_bundle(service: u16) -> Bundle {
    Bundle {
        service: ServiceId::new(u32::from(service)),
        name: format!("service-{service}"),
        version: BundleVersion::new(1),
        previous: None,
        addresses: vec![endpoint_address(service, 0, 4_430 + service)],
        endpoints: (1..=ENDPOINTS)
            .map(|it| create_endpoint(service, it))
            .collect(),
        routes: vec![RouteRule {
            method: None,
            path_prefix: "/".to_owned(),
            class: RequestClass::Short,
            retry: RetrySafety::Idempotent,
            timeout_ms: Millis::new(2_000),
        }],
        sharing: Sharing {
            short_reserve_percent: 20,
            retry_budget_percent: 10,
            cold_start_ramp_ms: Millis::new(2_000),
            body_max_bytes: ByteSize::new(1 << 20),
        },
        leaving: Leaving {
            drain_timeout_ms: Millis::new(30_000),
        },
    }
}

/// Creates an endpoint without a process behind it, because the benches that publish bundles this
/// way have no agents.
fn create_endpoint(service: u16, idx: u8) -> Endpoint {
    Endpoint {
        id: EndpointId::new(u32::from(service) * 100 + u32::from(idx)),
        zone: "a".parse().unwrap_or_default(),
        tunnel_address: endpoint_address(service, idx, 7_000),
        control_address: endpoint_address(service, idx, 7_001),
        upstream_address: endpoint_address(service, idx, 8_080),
        slots: Slots::new(2),
        weight: Weight::new(100),
        is_leaving: false,
    }
}

fn endpoint_address(service: u16, idx: u8, port: u16) -> SocketAddr {
    let (block, place) = (service / SERVICES_PER_BLOCK, service % SERVICES_PER_BLOCK);
    let narrow = |it: u16| u8::try_from(it).unwrap_or(u8::MAX);
    SocketAddr::from(([127, FIRST_BLOCK + narrow(block), narrow(place), idx], port))
}
