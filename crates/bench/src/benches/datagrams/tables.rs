//! Routing tables of a given size, and datagrams that these tables route.

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

/// IP address that the measured relay listens on.
pub(super) const LISTEN_IP: Ipv4Addr = Ipv4Addr::new(127, 77, 0, 1);

/// Address of the UDP sink that stands in for every agent.
pub(super) const SINK_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::new(127, 77, 0, 2)), 4_433);

const FIRST_SERVICE_PORT: u32 = 10_000;
const OPENING_BYTES: usize = 1_200;

/// Number of services and endpoints in a routing table.
#[derive(Debug, Clone, Copy)]
pub(super) struct TableSize {
    pub(super) services: u32,
    /// Number of endpoints in total, spread evenly over the services.
    pub(super) endpoints: u32,
}

impl fmt::Display for TableSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} endpoints, {} services",
            self.endpoints, self.services
        )
    }
}

/// A routing table of a given size, and the fleet key from which the table's service keys are
/// derived.
#[derive(Debug)]
pub(super) struct Fixture {
    pub(super) size: TableSize,
    pub(super) table: Arc<RoutingTable>,
    fleet: FleetKey,
}

impl Fixture {
    pub(super) fn new(size: TableSize) -> Self {
        let root = Secret::new([1; 32]);
        let fleet = FleetKey::new(KeyIndex::new(0), root).expect("index fits");
        let in_force: Vec<_> = (0..size.services)
            .map(|it| bundle_in_force(size, it))
            .collect();
        let mut inputs = Vec::with_capacity(in_force.len());
        for it in &in_force {
            inputs.push(ServiceInput {
                in_force: it,
                keys: Arc::new(derive_keys(&fleet, it.current.bundle.service)),
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

    /// Builds a datagram of a random established flow; returns it with the service address that it
    /// is sent to.
    pub(super) fn build_established_datagram(
        &self,
        rng: &mut StdRng,
        bytes: usize,
    ) -> (SocketAddr, Vec<u8>) {
        let endpoint = rng.random_range(0..self.size.endpoints);
        let service = endpoint % self.size.services;
        let cid = cid::encode(
            &derive_keys(&self.fleet, service_id(service)),
            endpoint_id(endpoint),
            Incarnation::new(1),
            rng.random(),
        );
        let mut datagram = vec![0x40];
        datagram.extend(cid);
        datagram.resize(bytes, 0);
        (service_address(service), datagram)
    }

    /// Builds a datagram that opens a flow; returns it with the service address that it is sent to.
    pub(super) fn build_opening_datagram(&self, rng: &mut StdRng) -> (SocketAddr, Vec<u8>) {
        let mut datagram = vec![0; OPENING_BYTES];
        datagram[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        rng.fill(&mut datagram[6..14]);
        (
            service_address(rng.random_range(0..self.size.services)),
            datagram,
        )
    }
}

fn bundle_in_force(size: TableSize, service: u32) -> InForce {
    let members = (0..size.endpoints).filter(|it| it % size.services == service);
    let bundle = Bundle {
        service: service_id(service),
        name: format!("service-{service}"),
        version: BundleVersion::new(1),
        previous: None,
        addresses: vec![service_address(service)],
        endpoints: members.map(create_endpoint).collect(),
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

fn create_endpoint(idx: u32) -> Endpoint {
    Endpoint {
        id: endpoint_id(idx),
        zone: "a".parse().expect("name"),
        tunnel_address: SINK_ADDRESS,
        control_address: SINK_ADDRESS,
        upstream_address: SINK_ADDRESS,
        slots: Slots::new(2),
        weight: Weight::new(100),
        is_leaving: false,
    }
}

fn derive_keys(fleet: &FleetKey, service: ServiceId) -> ServiceKeys {
    ServiceKeys::derive(fleet, &[], service).expect("one key")
}

fn service_id(idx: u32) -> ServiceId {
    ServiceId::new(idx + 1)
}

fn endpoint_id(idx: u32) -> EndpointId {
    EndpointId::new(idx + 1)
}

fn service_address(service: u32) -> SocketAddr {
    let port = u16::try_from(FIRST_SERVICE_PORT + service).expect("service ports fit into 16 bits");
    SocketAddr::from((LISTEN_IP, port))
}
