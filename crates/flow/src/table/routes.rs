//! The routes of one service: its addresses, its endpoints and where a datagram is sent.

use std::{net::SocketAddr, sync::Arc};

use bundle::Endpoint;
use units::{BundleVersion, EndpointId, Incarnation, ServiceId};

use super::{
    BundleRollout, Decision, DropReason, EndpointRegistry, EndpointStatus, ServiceInput,
    openers::{
        CandidateList, Opener, collect_openers, have_equal_weights, mark_unpropagated,
        rank_deciders, select_target,
    },
};
use crate::{
    cid,
    key::ServiceKeys,
    quic::{INITIAL_DATAGRAM_MIN_BYTES, LongKind, Packet},
    rendezvous::FlowKey,
    tunnel::{Candidate, Ecn, Header, Kind, Load, Opening},
};

/// The routes of one service: which agent receives a caller's datagram.
#[derive(Debug, Clone)]
pub struct ServiceRoutes {
    id: ServiceId,
    version: BundleVersion,
    keys: Arc<ServiceKeys>,
    addresses: Vec<SocketAddr>,
    /// Service addresses in the previous bundle, which established flows may still use.
    former_addresses: Vec<SocketAddr>,
    /// Endpoints whose agents may own flows; sorted by endpoint id, without duplicates.
    flow_owners: Vec<FlowOwner>,
    /// Endpoints of the bundle in force that may open flows.
    current: Vec<Opener>,
    /// Endpoints of the previous bundle that still decide which agent opens a flow; empty after the
    /// rollout or if the bundle in force has the same endpoints and weights.
    previous: Vec<Opener>,
}

#[derive(Debug, Clone)]
struct FlowOwner {
    endpoint: EndpointId,
    address: SocketAddr,
    status: Arc<EndpointStatus>,
}

impl ServiceRoutes {
    pub(super) fn new(input: &ServiceInput<'_>, registry: &mut EndpointRegistry) -> Self {
        let bundle = &input.in_force.current.bundle;
        let previous_bundle = input.in_force.previous.as_ref().map(|it| &it.bundle);
        let mut flow_owners = Vec::new();
        let previous_endpoints = previous_bundle.map_or(&[][..], |it| &it.endpoints);
        for endpoint in bundle
            .endpoints
            .iter()
            .chain(previous_endpoints)
            .chain(input.retired)
        {
            flow_owners.push(FlowOwner::new(endpoint, registry));
        }
        // The sort is stable, so deduplication keeps the newest bundle's entry of each endpoint.
        flow_owners.sort_by_key(|it| it.endpoint);
        flow_owners.dedup_by_key(|it| it.endpoint);
        let mut current = collect_openers(bundle, registry);
        let mut previous = Vec::new();
        if let (BundleRollout::Propagating | BundleRollout::Overlapping, Some(previous_bundle)) =
            (input.rollout, previous_bundle)
        {
            previous = collect_openers(previous_bundle, registry);
        }
        if let (BundleRollout::Propagating, Some(previous_bundle)) =
            (input.rollout, previous_bundle)
        {
            mark_unpropagated(&mut current, previous_bundle);
        }
        if have_equal_weights(&previous, &current) {
            previous.clear();
        }
        Self {
            id: bundle.service,
            version: bundle.version,
            keys: Arc::clone(&input.keys),
            addresses: bundle.addresses.clone(),
            former_addresses: previous_bundle.map_or_else(Vec::new, |it| it.addresses.clone()),
            flow_owners,
            current,
            previous,
        }
    }

    /// Returns the service's id.
    #[must_use]
    pub const fn id(&self) -> ServiceId {
        self.id
    }

    /// Returns the version of the service's bundle in force.
    #[must_use]
    pub const fn version(&self) -> BundleVersion {
        self.version
    }

    /// Returns the service's tunnel and connection id keys.
    #[must_use]
    pub fn keys(&self) -> &ServiceKeys {
        &self.keys
    }

    /// Returns the addresses that the bundle in force lists for the service.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the addresses that the previous bundle lists for the service.
    pub(super) fn former_addresses(&self) -> &[SocketAddr] {
        &self.former_addresses
    }

    /// Returns the status of an endpoint whose agent may own flows.
    #[must_use]
    pub fn endpoint_status(&self, endpoint: EndpointId) -> Option<&EndpointStatus> {
        self.find_flow_owner(endpoint).map(|it| &*it.status)
    }

    /// Returns every endpoint whose agent may own flows, with its tunnel address.
    pub fn flow_owners(&self) -> impl Iterator<Item = Candidate> + '_ {
        self.flow_owners.iter().map(|it| Candidate {
            endpoint: it.endpoint,
            address: it.address,
        })
    }

    /// Decides where to send a caller's datagram to this service.
    #[must_use]
    pub fn route(&self, caller: SocketAddr, datagram: &[u8]) -> Decision {
        let Some(packet) = Packet::parse(datagram) else {
            return Decision::Drop(DropReason::Malformed);
        };
        let dcid = packet.dcid();
        if let Some(owner) = cid::decode(&self.keys, dcid) {
            return self.route_established(owner.endpoint, owner.incarnation);
        }
        match packet {
            Packet::Short { .. } => Decision::Drop(DropReason::UnknownCid),
            Packet::Long { kind, .. } => self.route_long_header(kind, caller, dcid, datagram.len()),
        }
    }

    /// Returns the tunnel header and the agent's tunnel address for a routing decision.
    ///
    /// Returns `None` if the decision is to drop the datagram.
    #[must_use]
    pub fn tunnel_header(
        &self,
        decision: &Decision,
        caller: SocketAddr,
        local: SocketAddr,
        ecn: Ecn,
    ) -> Option<(Header, SocketAddr)> {
        let (kind, endpoint, incarnation, address, opening) = match *decision {
            Decision::Established {
                endpoint,
                incarnation,
                address,
            } => (Kind::ToAgent, endpoint, incarnation, address, None),
            Decision::Opening(opening) => {
                let Candidate { endpoint, address } = opening.first_decider();
                let any_incarnation = Incarnation::new(0);
                (
                    Kind::Opening,
                    endpoint,
                    any_incarnation,
                    address,
                    Some(opening),
                )
            }
            Decision::Drop(_) => return None,
        };
        let header = Header {
            kind,
            service: self.id,
            endpoint,
            incarnation,
            bundle_version: self.version,
            caller,
            local,
            ecn,
            load: Load::default(),
            opening,
        };
        Some((header, address))
    }

    fn route_established(&self, endpoint: EndpointId, incarnation: Incarnation) -> Decision {
        match self.find_flow_owner(endpoint) {
            Some(owner) => Decision::Established {
                endpoint,
                incarnation,
                address: owner.address,
            },
            None => Decision::Drop(DropReason::UnknownEndpoint),
        }
    }

    fn route_long_header(
        &self,
        kind: LongKind,
        caller: SocketAddr,
        dcid: &[u8],
        datagram_bytes: usize,
    ) -> Decision {
        match kind {
            LongKind::Initial | LongKind::Unknown
                if datagram_bytes < INITIAL_DATAGRAM_MIN_BYTES =>
            {
                Decision::Drop(DropReason::OpeningTooSmall)
            }
            LongKind::Initial | LongKind::ZeroRtt | LongKind::Unknown => {
                self.route_opening(FlowKey::new(caller, dcid))
            }
            LongKind::Handshake => Decision::Drop(DropReason::UnknownCid),
            LongKind::Retry | LongKind::VersionNegotiation => {
                Decision::Drop(DropReason::ServerKind)
            }
        }
    }

    /// Lists the candidates of an opening: deciders, target, and others that may have the flow.
    fn route_opening(&self, key: FlowKey) -> Decision {
        let previous_ranking = rank_deciders(&self.previous, key);
        let current_ranking = rank_deciders(&self.current, key);
        let mut list = CandidateList::new();
        list.add_candidate(previous_ranking[0]);
        list.add_candidate(current_ranking[0]);
        let deciders = list.as_slice().len();
        let Some(target) = select_target(&self.current, key).or(current_ranking[0]) else {
            return Decision::Drop(DropReason::NoEndpoint);
        };
        let target = list.add_candidate(Some(target));
        for other in current_ranking.iter().chain(&previous_ranking) {
            list.add_candidate(*other);
        }
        match Opening::new(list.as_slice(), deciders, target) {
            Ok(opening) => Decision::Opening(opening),
            Err(err) => unreachable!("the candidate list contains its target: {err}"),
        }
    }

    fn find_flow_owner(&self, endpoint: EndpointId) -> Option<&FlowOwner> {
        let idx = self
            .flow_owners
            .binary_search_by_key(&endpoint, |it| it.endpoint)
            .ok()?;
        Some(&self.flow_owners[idx])
    }
}

impl FlowOwner {
    fn new(endpoint: &Endpoint, registry: &mut EndpointRegistry) -> Self {
        Self {
            endpoint: endpoint.id,
            address: endpoint.tunnel_address,
            status: registry.get_or_insert(endpoint.id),
        }
    }
}
