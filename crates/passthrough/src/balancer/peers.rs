//! The other balancers, as far as they are known.

use std::net::Ipv4Addr;

use units::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Event, Outbox, message::INSTANCES_MAX};

/// Time without a digest after which a balancer counts as lost: three digests.
const LOST_MS: Millis = Millis::new(1_600);

/// Time without a digest after which a balancer is forgotten.
const FORGOTTEN_MS: Millis = Millis::new(20_000);

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
    catalog_sent: Option<Millis>,
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
        out: &mut impl Outbox,
    ) {
        self.add(address, now);
        let Ok(idx) = self.find(address) else {
            return;
        };
        let peer = &mut self.peers[idx];
        peer.heard = Some(now);
        peer.stopping = stopping;
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
