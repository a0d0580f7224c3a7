//! Builds valid sample bundles that tests modify.

use std::net::SocketAddr;

use bundle::{
    Bundle, Endpoint, Leaving, RequestClass, RetrySafety, RouteRule, SecretKey, Sharing, digest,
};
use units::{BundleVersion, ByteSize, EndpointId, Millis, ServiceId, Slots, Weight};

pub fn key(seed: u8) -> SecretKey {
    SecretKey::new([seed; 32])
}

pub fn address(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], port))
}

pub fn endpoint(id: u8) -> Endpoint {
    Endpoint {
        id: EndpointId::new(u32::from(id)),
        zone: "a".parse().unwrap(),
        tunnel_address: address(id, 1),
        control_address: address(id, 2),
        upstream_address: address(id, 3),
        slots: Slots::new(2),
        weight: Weight::new(100),
        is_leaving: false,
    }
}

/// Returns version 1 of a service's bundle, with three endpoints whose ids follow `10 * service`.
pub fn first(service: u8) -> Bundle {
    Bundle {
        service: ServiceId::new(u32::from(service)),
        name: format!("service-{service}"),
        version: BundleVersion::new(1),
        previous: None,
        addresses: vec![address(200, 4_000 + u16::from(service))],
        endpoints: (1..=3).map(|it| endpoint(10 * service + it)).collect(),
        routes: vec![RouteRule {
            method: Some("GET".to_owned()),
            path_prefix: "/".to_owned(),
            class: RequestClass::Short,
            retry: RetrySafety::Idempotent,
            timeout_ms: Millis::new(2_000),
        }],
        sharing: Sharing {
            short_reserve_percent: 50,
            retry_budget_percent: 10,
            cold_start_ramp_ms: Millis::new(10_000),
            body_max_bytes: ByteSize::new(1 << 20),
        },
        leaving: Leaving {
            drain_timeout_ms: Millis::new(30_000),
        },
    }
}

/// Returns the version of a bundle that follows `before`, with `before` as its predecessor and no
/// other change.
pub fn next(before: &Bundle) -> Bundle {
    let text = serde_json::to_string(before).unwrap();
    Bundle {
        version: BundleVersion::new(before.version.get() + 1),
        previous: Some(digest(&text)),
        ..before.clone()
    }
}
