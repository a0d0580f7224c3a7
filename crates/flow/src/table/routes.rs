//! The routes of one service.

use std::{net::SocketAddr, sync::Arc};

use bundle::Endpoint;
use units::{BundleVersion, EndpointId, Incarnation, ServiceId};

use super::{
    BundleRollout, Decision, DropReason, EndpointRegistry, EndpointStatus, ServiceInput,
    openers::{CandidateList, Opener, homes, mark_unspread, openers, same_shares, target},
};
use crate::{
    cid,
    key::ServiceKeys,
    quic::{INITIAL_DATAGRAM_MIN_BYTES, LongKind, Packet},
    rendezvous::FlowKey,
    tunnel::{Candidate, Ecn, Header, Kind, Load, Opening},
};

/// The routes of one service.
#[derive(Debug, Clone)]
pub struct ServiceRoutes {
    id: ServiceId,
    version: BundleVersion,
    keys: Arc<ServiceKeys>,
    addresses: Vec<SocketAddr>,
    /// Addresses of the previous bundle, on which flows may still live.
    former_addresses: Vec<SocketAddr>,
    /// Endpoints whose agents may hold flows: sorted by id, without duplicates.
    holders: Vec<Holder>,
    /// Endpoints that may open flows, by the bundle in force.
    current: Vec<Opener>,
    /// Endpoints that decided by the previous bundle; empty if all processes have the current one
    /// or it has the same.
    previous: Vec<Opener>,
}

#[derive(Debug, Clone)]
struct Holder {
    endpoint: EndpointId,
    address: SocketAddr,
    cell: Arc<EndpointStatus>,
}

impl ServiceRoutes {
    pub(super) fn new(input: &ServiceInput<'_>, registry: &mut EndpointRegistry) -> Self {
        let bundle = &input.in_force.current.bundle;
        let before = input.in_force.previous.as_ref().map(|it| &it.bundle);
        let mut holders = Vec::new();
        let former = before.map_or(&[][..], |it| &it.endpoints);
        for endpoint in bundle.endpoints.iter().chain(former).chain(input.retired) {
            holders.push(Holder::new(endpoint, registry));
        }
        // The sort is stable, so the newest entry of each endpoint stays.
        holders.sort_by_key(|it| it.endpoint);
        holders.dedup_by_key(|it| it.endpoint);
        let mut current = openers(bundle, registry);
        let mut previous = Vec::new();
        if let (BundleRollout::Propagating | BundleRollout::Overlapping, Some(before)) =
            (input.rollout, before)
        {
            previous = openers(before, registry);
        }
        if let (BundleRollout::Propagating, Some(before)) = (input.rollout, before) {
            mark_unspread(&mut current, before);
        }
        if same_shares(&previous, &current) {
            previous.clear();
        }
        Self {
            id: bundle.service,
            version: bundle.version,
            keys: Arc::clone(&input.keys),
            addresses: bundle.addresses.clone(),
            former_addresses: before.map_or_else(Vec::new, |it| it.addresses.clone()),
            holders,
            current,
            previous,
        }
    }

    /// Returns the service's id.
    #[must_use]
    pub const fn id(&self) -> ServiceId {
        self.id
    }

    /// Returns the version of the bundle in force.
    #[must_use]
    pub const fn version(&self) -> BundleVersion {
        self.version
    }

    /// Returns the service's keys.
    #[must_use]
    pub fn keys(&self) -> &ServiceKeys {
        &self.keys
    }

    /// Returns the addresses that callers use.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the addresses that callers used by the previous bundle.
    pub(super) fn former_addresses(&self) -> &[SocketAddr] {
        &self.former_addresses
    }

    /// Finds the cell of an endpoint whose agent may hold flows.
    #[must_use]
    pub fn endpoint_status(&self, endpoint: EndpointId) -> Option<&EndpointStatus> {
        self.holder(endpoint).map(|it| &*it.cell)
    }

    /// Returns every endpoint whose agent may hold flows and where it receives tunnel datagrams.
    pub fn holders(&self) -> impl Iterator<Item = Candidate> + '_ {
        self.holders.iter().map(|it| Candidate {
            endpoint: it.endpoint,
            address: it.address,
        })
    }

    /// Decides where a caller's datagram goes.
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
            Packet::Long { kind, .. } => self.route_long(kind, caller, dcid, datagram.len()),
        }
    }

    /// Makes the tunnel header that carries a decision out, and says where it goes.
    ///
    /// `None` for dropped datagrams.
    #[must_use]
    pub fn header(
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
                let any = Incarnation::new(0);
                (Kind::Opening, endpoint, any, address, Some(opening))
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
        match self.holder(endpoint) {
            Some(holder) => Decision::Established {
                endpoint,
                incarnation,
                address: holder.address,
            },
            None => Decision::Drop(DropReason::UnknownEndpoint),
        }
    }

    fn route_long(
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

    /// Lists who decides on the opening, who should open the flow and who else may have.
    fn route_opening(&self, key: FlowKey) -> Decision {
        let before = homes(&self.previous, key);
        let now = homes(&self.current, key);
        let mut list = CandidateList::new();
        list.add(before[0]);
        list.add(now[0]);
        let deciders = list.get().len();
        let Some(target) = target(&self.current, key).or(now[0]) else {
            return Decision::Drop(DropReason::NoEndpoint);
        };
        let target = list.add(Some(target));
        for other in now.iter().chain(&before) {
            list.add(*other);
        }
        match Opening::new(list.get(), deciders, target) {
            Ok(opening) => Decision::Opening(opening),
            Err(err) => unreachable!("the list holds its target: {err}"),
        }
    }

    fn holder(&self, endpoint: EndpointId) -> Option<&Holder> {
        let idx = self
            .holders
            .binary_search_by_key(&endpoint, |it| it.endpoint)
            .ok()?;
        Some(&self.holders[idx])
    }
}

impl Holder {
    fn new(endpoint: &Endpoint, registry: &mut EndpointRegistry) -> Self {
        Self {
            endpoint: endpoint.id,
            address: endpoint.tunnel_address,
            cell: registry.get_or_insert(endpoint.id),
        }
    }
}
