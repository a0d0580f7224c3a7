//! Bundles, routing tables, keys and addresses that stay constant during one search of flow
//! ownership.

use std::{net::SocketAddr, sync::Arc};

use bundle::{AcceptedBundle, Bundle, Endpoint, InForce, Leaving, Sharing};
use flow::{
    key::{FleetKey, Secret, ServiceKeys},
    table::{BundleRollout, Decision, EndpointRegistry, RoutingTable, ServiceInput},
    tunnel::{Load, Opening},
};
use units::{
    BundleDigest, BundleVersion, ByteSize, EndpointId, KeyIndex, Millis, ServiceId, Slots, Weight,
};

use super::Mutation;

pub(super) const SERVICE: ServiceId = ServiceId::new(1);
pub(super) const OTHER_SERVICE: ServiceId = ServiceId::new(2);

/// Ids of endpoints A, B and C of service 1, and of D of service 2, which takes over A's address.
pub(super) const ENDPOINTS: [EndpointId; 4] = [
    EndpointId::new(1),
    EndpointId::new(2),
    EndpointId::new(3),
    EndpointId::new(4),
];

const OLD_ENDPOINTS: [usize; 2] = [0, 1];
const NEW_ENDPOINTS: [usize; 2] = [1, 2];

/// The bundle that a balancer has in force, and the stage of its rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum View {
    Old,
    /// The new bundle is in force, but other balancers may still lack it.
    Propagating,
    /// The new bundle is in force on every balancer; the old bundle's agents still decide first on
    /// opening packets.
    Overlapping,
    New,
}

/// Endpoints whose agents decide on a flow's opening packets by the old and the new bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeciderPair {
    /// Index of the deciding endpoint by the old bundle: A or B.
    pub old: usize,
    /// Index of the deciding endpoint by the new bundle: B or C.
    pub new: usize,
}

/// Returns every pair of endpoints whose agents can be the deciders of a flow under the old and the
/// new bundle.
#[must_use]
pub fn decider_pairs() -> Vec<DeciderPair> {
    let pairs = OLD_ENDPOINTS.iter().flat_map(|&old| {
        NEW_ENDPOINTS
            .iter()
            .map(move |&new| DeciderPair { old, new })
    });
    pairs.collect()
}

/// The parts of the fleet that stay constant during one search.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) mutation: Mutation,
    pub(super) caller: SocketAddr,
    pub(super) local: SocketAddr,
    pub(super) keys: Arc<ServiceKeys>,
    pub(super) other_keys: Arc<ServiceKeys>,
    /// The caller's datagram that opens the flow.
    pub(super) initial: Vec<u8>,
    /// Routing table of a balancer, by its view.
    tables: [RoutingTable; 4],
    /// Every distinct opening header that a balancer can create, by its view.
    openings: [Vec<Opening>; 4],
}

impl Fleet {
    pub(super) fn new(mutation: Mutation, deciders: DeciderPair) -> Self {
        let keys = service_keys(SERVICE);
        let local = socket_address(100);
        let caller = socket_address(200);
        let views = [View::Old, View::Propagating, View::Overlapping, View::New];
        let tables =
            views.map(|it| routing_table(mutation, it, &keys, &mut EndpointRegistry::new()));
        let initial = (0..u16::MAX)
            .map(build_initial_datagram)
            .find(|it| find_decider_pair(&tables, caller, local, it) == deciders)
            .expect("some datagram has each pair of deciders");
        let openings = views.map(|it| {
            let mut list: Vec<_> = TargetBias::ALL
                .iter()
                .filter(|bias| bias.is_possible(it))
                .filter_map(|&bias| {
                    let mut registry = EndpointRegistry::new();
                    let table = routing_table(mutation, it, &keys, &mut registry);
                    bias.apply_to_registry(&registry);
                    create_opening(&table, caller, local, &initial)
                })
                .collect();
            list.sort_unstable();
            list.dedup();
            list
        });
        Self {
            mutation,
            caller,
            local,
            keys,
            other_keys: self::service_keys(OTHER_SERVICE),
            initial,
            tables,
            openings,
        }
    }

    pub(super) fn routing_table(&self, view: View) -> &RoutingTable {
        &self.tables[view as usize]
    }

    pub(super) fn openings_by_view(&self, view: View) -> &[Opening] {
        &self.openings[view as usize]
    }
}

/// Returns the tunnel address of the agent at the endpoint with the given index.
pub(super) fn agent_address(idx: usize) -> SocketAddr {
    match idx {
        3 => agent_address(0),
        _ => socket_address(u8::try_from(idx).expect("an index below four fits")),
    }
}

/// An endpoint condition that affects which endpoint a balancer chooses for a new flow.
#[derive(Debug, Clone, Copy)]
enum TargetBias {
    /// Only the endpoint with this index is idle.
    Idle(usize),
    /// Only the endpoint with this index is listed as leaving.
    Leaving(usize),
    /// Only the endpoint with this index is in its cold-start ramp.
    Cold(usize),
}

impl TargetBias {
    const ALL: [Self; 9] = [
        Self::Idle(0),
        Self::Idle(1),
        Self::Idle(2),
        Self::Leaving(0),
        Self::Leaving(1),
        Self::Leaving(2),
        Self::Cold(0),
        Self::Cold(1),
        Self::Cold(2),
    ];

    /// Returns whether the condition can occur in a view. While a bundle propagates, the only
    /// endpoint that both bundles list is not leaving.
    fn is_possible(self, view: View) -> bool {
        !(view == View::Propagating && matches!(self, Self::Leaving(1)))
    }

    fn apply_to_registry(self, registry: &EndpointRegistry) {
        for (idx, &endpoint) in ENDPOINTS.iter().enumerate() {
            let Some(cell) = registry.find(endpoint) else {
                continue;
            };
            match self {
                Self::Idle(idle) => cell.set_load(Load {
                    busy: Slots::new(if idx == idle { 0 } else { 2 }),
                    total: Slots::new(2),
                    is_leaving: false,
                }),
                Self::Leaving(leaving) => cell.set_leaving_listed(idx == leaving),
                Self::Cold(cold) if idx == cold => cell.set_ramp_percent(1),
                Self::Cold(_) => {}
            }
        }
    }
}

fn find_decider_pair(
    tables: &[RoutingTable; 4],
    caller: SocketAddr,
    local: SocketAddr,
    initial: &[u8],
) -> DeciderPair {
    let decider_idx = |view: View| {
        let opening = create_opening(&tables[view as usize], caller, local, initial);
        let endpoint = opening
            .expect("the service has endpoints")
            .first_decider()
            .endpoint;
        let idx = ENDPOINTS.iter().position(|&it| it == endpoint);
        idx.expect("the decider is an endpoint of the fleet")
    };
    DeciderPair {
        old: decider_idx(View::Old),
        new: decider_idx(View::New),
    }
}

fn create_opening(
    table: &RoutingTable,
    caller: SocketAddr,
    local: SocketAddr,
    initial: &[u8],
) -> Option<Opening> {
    match table.route(local, caller, initial) {
        Decision::Opening(opening) => Some(opening),
        Decision::Established { .. } | Decision::Drop(_) => None,
    }
}

fn build_initial_datagram(number: u16) -> Vec<u8> {
    let mut datagram = vec![0; 1_200];
    datagram[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
    datagram[6..8].copy_from_slice(&number.to_be_bytes());
    datagram
}

fn routing_table(
    mutation: Mutation,
    view: View,
    keys: &Arc<ServiceKeys>,
    registry: &mut EndpointRegistry,
) -> RoutingTable {
    let old = accepted_bundle(1, OLD_ENDPOINTS);
    let (current, previous, rollout) = match view {
        View::Old => (old, None, BundleRollout::Complete),
        View::Propagating => (
            accepted_bundle(2, NEW_ENDPOINTS),
            Some(old),
            BundleRollout::Propagating,
        ),
        View::Overlapping => (
            accepted_bundle(2, NEW_ENDPOINTS),
            Some(old),
            BundleRollout::Overlapping,
        ),
        View::New => (
            accepted_bundle(2, NEW_ENDPOINTS),
            Some(old),
            BundleRollout::Complete,
        ),
    };
    let rollout = match (mutation, rollout) {
        (Mutation::NoPropagationPhase, BundleRollout::Propagating) => BundleRollout::Overlapping,
        (Mutation::NoOverlapPhase, _) => BundleRollout::Complete,
        _ => rollout,
    };
    let in_force = InForce { current, previous };
    let input = ServiceInput {
        in_force: &in_force,
        keys: Arc::clone(keys),
        rollout,
        retired: &[],
    };
    RoutingTable::new(&[input], registry)
}

fn accepted_bundle(version: u64, members: [usize; 2]) -> Arc<AcceptedBundle> {
    let bundle = Bundle {
        service: SERVICE,
        name: "searched".to_owned(),
        version: BundleVersion::new(version),
        previous: None,
        addresses: vec![socket_address(100)],
        endpoints: members.map(bundle_endpoint).into(),
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
    Arc::new(AcceptedBundle {
        bundle,
        digest: BundleDigest::default(),
        envelope: Arc::from([]),
    })
}

fn bundle_endpoint(idx: usize) -> Endpoint {
    let address = agent_address(idx);
    Endpoint {
        id: ENDPOINTS[idx],
        zone: "a".parse().expect("a valid zone name"),
        tunnel_address: address,
        control_address: address,
        upstream_address: address,
        slots: Slots::new(2),
        weight: Weight::new(100),
        is_leaving: false,
    }
}

fn service_keys(service: ServiceId) -> Arc<ServiceKeys> {
    let fleet =
        FleetKey::new(KeyIndex::new(0), Secret::new([1; 32])).expect("key index 0 is valid");
    Arc::new(ServiceKeys::derive(&fleet, &[], service).expect("a service has at least one key"))
}

fn socket_address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 4_433))
}
