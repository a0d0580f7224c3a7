//! Routing tables of any size, and datagrams for them.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use bundle::{AcceptedBundle, Bundle, Endpoint, InForce, Leaving, Sharing};
use flow::{
    cid,
    key::{FleetKey, Secret, ServiceKeys},
    table::{BundleRollout, EndpointRegistry, RoutingTable, ServiceInput},
};
use rand::{Rng, rngs::StdRng};
use units::{
    BundleDigest, BundleVersion, ByteSize, EndpointId, Incarnation, KeyIndex, Millis, ServiceId,
    Slots, Weight,
};

/// Where the balancer of this bench listens.
pub(super) const LISTEN_IP: Ipv4Addr = Ipv4Addr::new(127, 77, 0, 1);

/// Where the stand-in for every agent listens.
pub(super) const SINK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::new(127, 77, 0, 2)), 4_433);

const FIRST_PORT: u32 = 10_000;
const OPENING_BYTES: usize = 1_200;

/// How much a table holds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Size {
    pub(super) services: u32,
    /// Endpoints in all, spread evenly.
    pub(super) endpoints: u32,
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} endpoints, {} services",
            self.endpoints, self.services
        )
    }
}

/// A routing table with the keys it was made from.
#[derive(Debug)]
pub(super) struct Fixture {
    pub(super) size: Size,
    pub(super) table: Arc<RoutingTable>,
    fleet: FleetKey,
}

impl Fixture {
    pub(super) fn new(size: Size) -> Self {
        let root = Secret::new([1; 32]);
        let fleet = FleetKey::new(KeyIndex::new(0), root).expect("index fits");
        let in_force: Vec<_> = (0..size.services).map(|it| in_force(size, it)).collect();
        let mut inputs = Vec::with_capacity(in_force.len());
        for it in &in_force {
            inputs.push(ServiceInput {
                in_force: it,
                keys: Arc::new(keys(&fleet, it.current.bundle.service)),
                rollout: BundleRollout::Complete,
                retired: &[],
            });
        }
        let table = RoutingTable::new(&inputs, &mut EndpointRegistry::new());
        Self {
            size,
            table: Arc::new(table),
            fleet,
        }
    }

    /// Makes a datagram of an established flow and the service address it is for.
    pub(super) fn established(&self, rng: &mut StdRng, bytes: usize) -> (SocketAddr, Vec<u8>) {
        let endpoint = rng.random_range(0..self.size.endpoints);
        let service = endpoint % self.size.services;
        let cid = cid::encode(
            &keys(&self.fleet, service_id(service)),
            endpoint_id(endpoint),
            Incarnation::new(1),
            rng.random(),
        );
        let mut datagram = vec![0x40];
        datagram.extend(cid);
        datagram.resize(bytes, 0);
        (local(service), datagram)
    }

    /// Makes a datagram that opens a flow and the service address it is for.
    pub(super) fn opening(&self, rng: &mut StdRng) -> (SocketAddr, Vec<u8>) {
        let mut datagram = vec![0; OPENING_BYTES];
        datagram[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        rng.fill(&mut datagram[6..14]);
        (local(rng.random_range(0..self.size.services)), datagram)
    }
}

fn in_force(size: Size, service: u32) -> InForce {
    let members = (0..size.endpoints).filter(|it| it % size.services == service);
    let bundle = Bundle {
        service: service_id(service),
        name: format!("service-{service}"),
        version: BundleVersion::new(1),
        previous: None,
        addresses: vec![local(service)],
        endpoints: members.map(endpoint).collect(),
        routes: Vec::new(),
        sharing: Sharing {
            short_reserve_percent: 0,
            retry_budget_percent: 0,
            cold_start_ramp_ms: Millis::new(0),
            body_max_bytes: ByteSize::new(0),
        },
        leaving: Leaving {
            drain_timeout_ms: Millis::new(0),
        },
    };
    let current = AcceptedBundle {
        bundle,
        digest: BundleDigest::default(),
        envelope: Arc::from([]),
    };
    InForce {
        current: Arc::new(current),
        previous: None,
    }
}

fn endpoint(idx: u32) -> Endpoint {
    Endpoint {
        id: endpoint_id(idx),
        zone: "a".parse().expect("name"),
        tunnel_address: SINK,
        control_address: SINK,
        upstream_address: SINK,
        slots: Slots::new(2),
        weight: Weight::new(100),
        is_leaving: false,
    }
}

fn keys(fleet: &FleetKey, service: ServiceId) -> ServiceKeys {
    ServiceKeys::derive(fleet, &[], service).expect("one key")
}

fn service_id(idx: u32) -> ServiceId {
    ServiceId::new(idx + 1)
}

fn endpoint_id(idx: u32) -> EndpointId {
    EndpointId::new(idx + 1)
}

fn local(service: u32) -> SocketAddr {
    let port = u16::try_from(FIRST_PORT + service).expect("few services");
    SocketAddr::from((LISTEN_IP, port))
}
