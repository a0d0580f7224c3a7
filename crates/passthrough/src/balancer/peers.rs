//! Tracks the other balancers by their status digests.

use std::net::Ipv4Addr;

use units::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Event, Outbox, ZoneKey, message::INSTANCES_MAX};

/// Time without a status digest after which a balancer counts as lost: three digest intervals.
const PEER_TIMEOUT_MS: Millis = Millis::new(1_600);

/// Time without a status digest after which a balancer is removed from the known balancers.
const PEER_RETENTION_MS: Millis = Millis::new(20_000);

/// Minimum ratio of link capacities at which a balancer stands by for a balancer with a faster
/// link.
///
/// With half as many instances in rotation, each instance carries twice the traffic; another factor
/// of two leaves headroom for load peaks.
const NARROW_LINK_RATIO: u32 = 4;

/// Minimum interval between two catalogs sent to the same balancer in reply to its status digests.
const CATALOG_INTERVAL_MS: Millis = Millis::new(200);

#[derive(Debug, Clone, Copy)]
struct Peer {
    address: Ipv4Addr,
    /// Time of the balancer's latest status digest, or `None` if none was received.
    last_digest_at: Option<Millis>,
    added_at: Millis,
    is_lost: bool,
    stopping: bool,
    status: PeerStatus,
    catalog_sent_at: Option<Millis>,
}

/// What a balancer announces about itself in its status digests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PeerStatus {
    pub(crate) zone: ZoneKey,
    /// Capacity of the balancer's network link, in Mbit/s.
    pub(crate) link_mbps: u32,
    /// Whether the balancer has the operator's settings and so can serve callers.
    pub(crate) has_settings: bool,
}

/// The other balancers that this balancer knows of.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// Known balancers, sorted by address; at most `INSTANCES_MAX`.
    peers: Vec<Peer>,
}

impl Peers {
    /// Adds a balancer that may be running, unless it is known already.
    pub(crate) fn add_peer(&mut self, address: Ipv4Addr, now: Millis) {
        let Err(idx) = self.find_peer(address) else {
            return;
        };
        if self.peers.len() >= INSTANCES_MAX {
            return;
        }
        let peer = Peer {
            address,
            last_digest_at: None,
            added_at: now,
            is_lost: true,
            stopping: false,
            status: PeerStatus::default(),
            catalog_sent_at: None,
        };
        self.peers.insert(idx, peer);
    }

    /// Records a status digest from another balancer.
    pub(crate) fn record_digest(
        &mut self,
        now: Millis,
        address: Ipv4Addr,
        stopping: bool,
        status: PeerStatus,
        out: &mut impl Outbox,
    ) {
        self.add_peer(address, now);
        let Ok(idx) = self.find_peer(address) else {
            return;
        };
        let peer = &mut self.peers[idx];
        peer.last_digest_at = Some(now);
        peer.stopping = stopping;
        peer.status = status;
        if std::mem::replace(&mut peer.is_lost, false) {
            out.report_event(Event::PeerFound { balancer: address });
        }
    }

    /// Marks balancers without recent status digests as lost, and removes those that have been
    /// silent for `PEER_RETENTION_MS`.
    pub(crate) fn remove_silent_peers(&mut self, now: Millis, out: &mut impl Outbox) {
        for peer in &mut self.peers {
            let silent = now.since(peer.last_digest_at.unwrap_or(peer.added_at));
            if !peer.is_lost && silent > PEER_TIMEOUT_MS {
                peer.is_lost = true;
                out.report_event(Event::PeerLost {
                    balancer: peer.address,
                    silent_ms: silent.get(),
                });
            }
        }
        self.peers
            .retain(|it| now.since(it.last_digest_at.unwrap_or(it.added_at)) <= PEER_RETENTION_MS);
    }

    /// Returns the addresses of all known balancers.
    pub(crate) fn peer_addresses(&self) -> Vec<Ipv4Addr> {
        self.peers.iter().map(|it| it.address).collect()
    }

    /// Returns the rank of this balancer, whose address is `own`, among the live balancers as a
    /// reader of the store. All balancers compute the same order.
    pub(crate) fn store_reader_rank(&self, now: Millis, own: Ipv4Addr) -> usize {
        let own_order = (store_reader_order(own), own);
        let live = |it: &&Peer| {
            !it.stopping
                && it
                    .last_digest_at
                    .is_some_and(|at| now.since(at) <= PEER_TIMEOUT_MS)
        };
        self.peers
            .iter()
            .filter(live)
            .filter(|it| (store_reader_order(it.address), it.address) < own_order)
            .count()
    }

    /// Returns whether balancers with much faster links make up at least half of the zone's
    /// balancers, so that this balancer can stand by.
    ///
    /// Routers distribute packets evenly over the instances in rotation as long as these are at
    /// least half of the zone, so a narrow link would receive more than it can carry.
    pub(crate) fn should_stand_by(&self, now: Millis, own: Ipv4Addr, status: PeerStatus) -> bool {
        let in_zone = |it: &&Peer| it.status.zone == status.zone;
        let known = 1 + self.peers.iter().filter(in_zone).count();
        let is_available = |it: &&Peer| {
            it.status.has_settings
                && !it.stopping
                && it
                    .last_digest_at
                    .is_some_and(|at| now.since(at) <= PEER_TIMEOUT_MS)
        };
        let available = self.peers.iter().filter(in_zone).filter(is_available);
        let mut links: Vec<_> = available
            .map(|it| (it.status.link_mbps, it.address))
            .collect();
        links.push((status.link_mbps, own));
        links.sort_unstable_by(|a, b| b.cmp(a));
        let half = known.div_ceil(2);
        let Some(slowest_needed) = links.get(half - 1) else {
            return false;
        };
        status.link_mbps.saturating_mul(NARROW_LINK_RATIO) <= slowest_needed.0
    }

    /// Returns whether a catalog may be sent to the balancer at `address` now, and if so records
    /// the catalog as sent.
    pub(crate) fn claim_catalog_send(&mut self, now: Millis, address: Ipv4Addr) -> bool {
        let Ok(idx) = self.find_peer(address) else {
            return false;
        };
        let sent_at = self.peers[idx].catalog_sent_at;
        if sent_at.is_some_and(|it| now.since(it) < CATALOG_INTERVAL_MS) {
            return false;
        }
        self.peers[idx].catalog_sent_at = Some(now);
        true
    }

    pub(crate) fn record_catalog_sent(&mut self, now: Millis, address: Ipv4Addr) {
        if let Ok(idx) = self.find_peer(address) {
            self.peers[idx].catalog_sent_at = Some(now);
        }
    }

    fn find_peer(&self, address: Ipv4Addr) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&address, |it| it.address)
    }
}

/// Returns the sort key that ranks balancers as readers of the store.
fn store_reader_order(address: Ipv4Addr) -> u64 {
    xxh3_64(&address.octets())
}
