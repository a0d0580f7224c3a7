//! The other balancers, as far as they are known.

use std::net::Ipv4Addr;

use units::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Event, Outbox, ZoneKey, message::INSTANCES_MAX};

/// Time without a digest after which a balancer counts as lost: three digests.
const LOST_MS: Millis = Millis::new(1_600);

/// Time without a digest after which a balancer is forgotten.
const FORGOTTEN_MS: Millis = Millis::new(20_000);

/// A link is narrow beside others that are this many times as fast.
///
/// With half as many instances, each carries twice as much; twice that leaves room for a crest.
const NARROW: u32 = 4;

/// Time between two catalogs sent to the same balancer.
const CATALOG_INTERVAL_MS: Millis = Millis::new(200);

#[derive(Debug, Clone, Copy)]
struct Peer {
    address: Ipv4Addr,
    /// When it was last heard, none if never.
    heard: Option<Millis>,
    added: Millis,
    is_lost: bool,
    stopping: bool,
    standing: Standing,
    catalog_sent: Option<Millis>,
}

/// What a balancer says of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Standing {
    pub(crate) zone: ZoneKey,
    /// What its link carries.
    pub(crate) link_mbps: u32,
    /// It has settings and may be sent callers.
    pub(crate) is_able: bool,
}

/// The other balancers.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// Sorted by address; at most `INSTANCES_MAX`.
    peers: Vec<Peer>,
}

impl Peers {
    /// Remembers that a balancer may be running.
    pub(crate) fn add(&mut self, address: Ipv4Addr, now: Millis) {
        let Err(idx) = self.find(address) else {
            return;
        };
        if self.peers.len() >= INSTANCES_MAX {
            return;
        }
        let peer = Peer {
            address,
            heard: None,
            added: now,
            is_lost: true,
            stopping: false,
            standing: Standing::default(),
            catalog_sent: None,
        };
        self.peers.insert(idx, peer);
    }

    /// A balancer was heard.
    pub(crate) fn heard(
        &mut self,
        now: Millis,
        address: Ipv4Addr,
        stopping: bool,
        standing: Standing,
        out: &mut impl Outbox,
    ) {
        self.add(address, now);
        let Ok(idx) = self.find(address) else {
            return;
        };
        let peer = &mut self.peers[idx];
        peer.heard = Some(now);
        peer.stopping = stopping;
        peer.standing = standing;
        if std::mem::replace(&mut peer.is_lost, false) {
            out.event(Event::PeerFound { balancer: address });
        }
    }

    /// Marks and forgets balancers that are no longer heard.
    pub(crate) fn sweep(&mut self, now: Millis, out: &mut impl Outbox) {
        for peer in &mut self.peers {
            let silent = now.since(peer.heard.unwrap_or(peer.added));
            if !peer.is_lost && silent > LOST_MS {
                peer.is_lost = true;
                out.event(Event::PeerLost {
                    balancer: peer.address,
                    silent_ms: silent.get(),
                });
            }
        }
        self.peers
            .retain(|it| now.since(it.heard.unwrap_or(it.added)) <= FORGOTTEN_MS);
    }

    /// Returns all addresses.
    pub(crate) fn addresses(&self) -> Vec<Ipv4Addr> {
        self.peers.iter().map(|it| it.address).collect()
    }

    /// Returns how many live balancers come before `own` in an order that all agree on.
    pub(crate) fn rank_of(&self, now: Millis, own: Ipv4Addr) -> usize {
        let own_place = (place(own), own);
        let live =
            |it: &&Peer| !it.stopping && it.heard.is_some_and(|heard| now.since(heard) <= LOST_MS);
        self.peers
            .iter()
            .filter(live)
            .filter(|it| (place(it.address), it.address) < own_place)
            .count()
    }

    /// Returns whether balancers with much faster links make up half of the zone without this one.
    ///
    /// Routers spread packets evenly over the instances in rotation, as long as these are half of a
    /// zone or more; a narrow link then gets what it can't carry.
    pub(crate) fn stands_by(&self, now: Millis, own: Ipv4Addr, standing: Standing) -> bool {
        let in_zone = |it: &&Peer| it.standing.zone == standing.zone;
        let known = 1 + self.peers.iter().filter(in_zone).count();
        let is_able = |it: &&Peer| {
            it.standing.is_able
                && !it.stopping
                && it.heard.is_some_and(|heard| now.since(heard) <= LOST_MS)
        };
        let able = self.peers.iter().filter(in_zone).filter(is_able);
        let mut links: Vec<_> = able.map(|it| (it.standing.link_mbps, it.address)).collect();
        links.push((standing.link_mbps, own));
        links.sort_unstable_by(|a, b| b.cmp(a));
        let half = known.div_ceil(2);
        let Some(slowest_needed) = links.get(half - 1) else {
            return false;
        };
        standing.link_mbps.saturating_mul(NARROW) <= slowest_needed.0
    }

    /// Returns whether a catalog may be sent to the peer now, and counts it as sent.
    pub(crate) fn may_send_catalog(&mut self, now: Millis, address: Ipv4Addr) -> bool {
        let Ok(idx) = self.find(address) else {
            return false;
        };
        let sent = self.peers[idx].catalog_sent;
        if sent.is_some_and(|it| now.since(it) < CATALOG_INTERVAL_MS) {
            return false;
        }
        self.peers[idx].catalog_sent = Some(now);
        true
    }

    pub(crate) fn note_catalog_sent(&mut self, now: Millis, address: Ipv4Addr) {
        if let Ok(idx) = self.find(address) {
            self.peers[idx].catalog_sent = Some(now);
        }
    }

    fn find(&self, address: Ipv4Addr) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&address, |it| it.address)
    }
}

/// Returns a balancer's place among those that read the store.
fn place(address: Ipv4Addr) -> u64 {
    xxh3_64(&address.octets())
}
