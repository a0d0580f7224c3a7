//! Random runs of several bundle stores with reads, exchanges, message loss and restarts.

use bundle::{
    Bundle, Endpoint, KeySet, Leaving, RequestClass, RetrySafety, RouteRule, SecretKey, Sharing,
    Source, Store, digest, sign,
};
use units::{BundleDigest, BundleVersion, ByteSize, EndpointId, Millis, ServiceId, Slots, Weight};

const PROCESSES: usize = 4;
const SERVICES: u8 = 2;
const VERSIONS: u8 = 4;

/// One step of a random run. Indexes are taken modulo the number of processes, documents or
/// messages.
#[derive(Debug, Clone, Copy, bolero::TypeGenerator)]
enum Step {
    /// A process reads a document from the platform, possibly an old one.
    Read { process: u8, document: u8 },
    /// A process sends another one every document newer than that process's version vector. The
    /// documents arrive in later steps.
    Send { from: u8, to: u8 },
    /// A document in flight arrives at its process, possibly more than once.
    Arrive { message: u8 },
    /// A process restarts without its documents and takes over those of another process.
    Restart { process: u8, asked: u8 },
}

#[test]
fn random_exchanges_bring_all_stores_to_the_same_bundles() {
    let documents = forked_documents();
    bolero::check!()
        .with_iterations(400)
        .with_max_len(256)
        .with_type::<Vec<Step>>()
        .for_each(|steps| check_run(&documents, steps));
}

fn check_run(documents: &[Vec<u8>], steps: &[Step]) {
    let empty = || Store::new(KeySet::new(vec![operator_key().public()]));
    let mut stores: Vec<Store> = (0..PROCESSES).map(|_| empty()).collect();
    let mut messages: Vec<(usize, ServiceId, Vec<u8>)> = Vec::new();
    for step in steps {
        match *step {
            Step::Read { process, document } => {
                let envelope = &documents[usize::from(document) % documents.len()];
                // The store itself asserts that it never reverts to a superseded document.
                drop(stores[process_index(process)].offer_bundle(Source::Platform, envelope));
            }
            Step::Send { from, to } => {
                let vector = stores[process_index(to)].version_vector();
                let newer = stores[process_index(from)].entries_newer_than(&vector);
                messages.extend(
                    newer
                        .into_iter()
                        .map(|(held, bytes)| (process_index(to), held.service, bytes.to_vec())),
                );
            }
            Step::Arrive { message } if !messages.is_empty() => {
                let (to, service, bytes) = &messages[usize::from(message) % messages.len()];
                drop(stores[*to].offer_from_peer(*service, bytes));
            }
            Step::Arrive { .. } => {}
            Step::Restart { process, asked } => {
                let (process, asked) = (process_index(process), process_index(asked));
                if process != asked {
                    stores[process] = empty();
                    send_newer_documents(&mut stores, asked, process);
                    assert_eq!(
                        stores[process].version_vector_digest(None),
                        stores[asked].version_vector_digest(None),
                        "a restarted process takes over all documents of the process that it asked"
                    );
                }
            }
        }
    }
    check_convergence(&mut stores);
}

fn check_convergence(stores: &mut [Store]) {
    for _ in 0..PROCESSES {
        for to in 0..PROCESSES {
            for from in 0..PROCESSES {
                send_newer_documents(stores, from, to);
            }
        }
    }
    for store in &stores[1..] {
        assert_eq!(
            store.version_vector_digest(None),
            stores[0].version_vector_digest(None)
        );
        assert!(
            routed_bundles(store) == routed_bundles(&stores[0]),
            "stores that hold the same documents route by the same bundles"
        );
    }
}

/// Returns the bundles that a store routes by, without the previous bundles, which may differ
/// between processes.
fn routed_bundles(store: &Store) -> Vec<Bundle> {
    let (view, _) = store.resolve_disputes();
    view.iter().map(|it| it.current.bundle.clone()).collect()
}

fn send_newer_documents(stores: &mut [Store], from: usize, to: usize) {
    let newer = stores[from].entries_newer_than(&stores[to].version_vector());
    for (held, bytes) in newer {
        let res = stores[to].offer_from_peer(held.service, &bytes);
        assert!(
            from == to || res.is_ok(),
            "a newer bundle in force at one process is accepted by another"
        );
    }
}

fn process_index(raw: u8) -> usize {
    usize::from(raw) % PROCESSES
}

/// Returns two signed documents of every version of every service. Each document names one of the
/// two documents of the version before as its previous one.
fn forked_documents() -> Vec<Vec<u8>> {
    let mut envelopes = Vec::new();
    for service in 1..=SERVICES {
        let mut previous_digests: Vec<Option<BundleDigest>> = vec![None];
        for version in 1..=VERSIONS {
            let mut digests = Vec::new();
            for (fork, previous) in [0, 1].into_iter().zip(previous_digests.iter().cycle()) {
                let text = bundle_text(service, version, fork, *previous);
                digests.push(Some(digest(&text)));
                envelopes.push(sign(&text, &operator_key()));
            }
            previous_digests = digests;
        }
    }
    envelopes
}

/// Returns a bundle's JSON text. Both services use endpoint ids 1 to 4, so the services claim each
/// other's endpoints.
fn bundle_text(service: u8, version: u8, fork: u8, previous: Option<BundleDigest>) -> String {
    let mut ids = vec![service * 10, 1 + (version + fork + service) % 4];
    ids.sort_unstable();
    let bundle = Bundle {
        service: ServiceId::new(u32::from(service)),
        name: format!("service-{service}-{fork}"),
        version: BundleVersion::new(u64::from(version)),
        previous,
        addresses: vec![socket_address(service, 443)],
        endpoints: ids.into_iter().map(create_endpoint).collect(),
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
    };
    serde_json::to_string(&bundle).unwrap()
}

fn create_endpoint(id: u8) -> Endpoint {
    Endpoint {
        id: EndpointId::new(u32::from(id)),
        zone: "a".parse().unwrap(),
        tunnel_address: socket_address(id, 1),
        control_address: socket_address(id, 2),
        upstream_address: socket_address(id, 3),
        slots: Slots::new(1),
        weight: Weight::new(100),
        is_leaving: false,
    }
}

fn socket_address(host: u8, port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([10, 0, 0, host], port))
}

fn operator_key() -> SecretKey {
    SecretKey::new([1; 32])
}
