//! The bundle documents that the propagation model publishes.

use std::net::SocketAddr;

use bundle::{
    Bundle, Endpoint, KeySet, Leaving, RequestClass, RetrySafety, RouteRule, SecretKey, Sharing,
    digest, sign,
};
use units::{BundleDigest, BundleVersion, ByteSize, EndpointId, Millis, ServiceId, Slots, Weight};

/// A signed bundle document, as the platform publishes it.
#[derive(Debug, Clone)]
pub(super) struct Document {
    pub(super) service: ServiceId,
    pub(super) version: BundleVersion,
    pub(super) digest: BundleDigest,
    pub(super) envelope: Vec<u8>,
}

/// Returns all documents of the model in the order of publication.
///
/// The documents are version 1 of service 1; two documents of its version 2, the superseded one
/// first; version 1 of service 2, which claims an endpoint of the superseded document; and version
/// 3 of service 1, whose previous document is the superseded one.
pub(super) fn all_documents() -> Vec<Document> {
    let first = create_bundle(1, 1, None, &[1]);
    let first_signed = sign_bundle(&first);
    let mut forks = [
        create_bundle(1, 2, Some(first_signed.digest), &[1, 2]),
        create_bundle(1, 2, Some(first_signed.digest), &[1, 3]),
    ];
    forks.sort_by_key(|it| sign_bundle(it).digest);
    let (kept, superseded) = (sign_bundle(&forks[0]), sign_bundle(&forks[1]));
    let shared = forks[1].endpoints[1].id.get();
    let claimant = create_bundle(2, 1, None, &[9, shared]);
    let third = create_bundle(1, 3, Some(superseded.digest), &[1]);
    vec![
        first_signed,
        superseded,
        kept,
        sign_bundle(&claimant),
        sign_bundle(&third),
    ]
}

/// Returns the public keys that verify the documents' signatures.
pub(super) fn key_set() -> KeySet {
    KeySet::new(vec![operator_key().public()])
}

fn operator_key() -> SecretKey {
    SecretKey::new([1; 32])
}

fn sign_bundle(bundle: &Bundle) -> Document {
    let text = serde_json::to_string(bundle).expect("a bundle serializes to JSON");
    Document {
        service: bundle.service,
        version: bundle.version,
        digest: digest(&text),
        envelope: sign(&text, &operator_key()),
    }
}

fn create_bundle(
    service: u32,
    version: u64,
    previous: Option<BundleDigest>,
    endpoints: &[u32],
) -> Bundle {
    let mut endpoints: Vec<Endpoint> = endpoints.iter().map(|it| create_endpoint(*it)).collect();
    endpoints.sort_by_key(|it| it.id);
    Bundle {
        service: ServiceId::new(service),
        name: format!("service-{service}"),
        version: BundleVersion::new(version),
        previous,
        addresses: vec![socket_address(service, 443)],
        endpoints,
        routes: vec![RouteRule {
            method: None,
            path_prefix: "/".to_owned(),
            class: RequestClass::Short,
            retry: RetrySafety::Idempotent,
            timeout_ms: Millis::new(1_000),
        }],
        sharing: Sharing {
            short_reserve_percent: 50,
            retry_budget_percent: 10,
            cold_start_ramp_ms: Millis::new(1_000),
            body_max_bytes: ByteSize::new(1_000),
        },
        leaving: Leaving {
            drain_timeout_ms: Millis::new(1_000),
        },
    }
}

fn create_endpoint(id: u32) -> Endpoint {
    Endpoint {
        id: EndpointId::new(id),
        zone: "a".parse().expect("a valid zone name"),
        tunnel_address: socket_address(id, 1),
        control_address: socket_address(id, 2),
        upstream_address: socket_address(id, 3),
        slots: Slots::new(1),
        weight: Weight::new(100),
        is_leaving: false,
    }
}

fn socket_address(host: u32, port: u16) -> SocketAddr {
    let [.., last] = host.to_be_bytes();
    SocketAddr::from(([10, 0, 0, last], port))
}
