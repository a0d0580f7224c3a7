//! The few peers a process keeps connected, changed slowly.

use std::net::SocketAddr;

use rand::{Rng, seq::IndexedRandom as _};
use tonic::transport::Channel;
use units::Millis;
use wire::bundles::bundles_client::BundlesClient;

use super::client::Caller;
use crate::Timing;

/// A connected peer.
#[derive(Debug, Clone)]
pub(super) struct Partner {
    pub(super) address: SocketAddr,
    pub(super) client: BundlesClient<Channel>,
}

/// The few peers a process keeps connected.
///
/// Each process picks at random, so that the graph over the fleet stays connected while memory and
/// connections don't grow with the fleet.
#[derive(Debug)]
pub(super) struct Partners {
    timing: Timing,
    /// At most the configured number, each once.
    connected: Vec<Partner>,
    rotated_at: Millis,
}

impl Partners {
    pub(super) const fn new(timing: Timing) -> Self {
        Self {
            timing,
            connected: Vec::new(),
            rotated_at: Millis::new(0),
        }
    }

    /// Drops partners no longer listed, changes one now and then, and fills up.
    pub(super) fn refresh(
        &mut self,
        peers: &[SocketAddr],
        now: Millis,
        caller: &Caller,
        rng: &mut impl Rng,
    ) {
        self.connected.retain(|it| peers.contains(&it.address));
        let is_due = now.since(self.rotated_at) >= self.timing.partner_rotation_ms;
        if is_due && peers.len() > self.connected.len() && !self.connected.is_empty() {
            self.connected
                .swap_remove(rng.random_range(0..self.connected.len()));
            self.rotated_at = now;
        }
        let others: Vec<SocketAddr> = peers
            .iter()
            .copied()
            .filter(|it| !self.connected.iter().any(|known| known.address == *it))
            .collect();
        let missing = self
            .timing
            .partner_count
            .saturating_sub(self.connected.len());
        let added = others.choose_multiple(rng, missing);
        self.connected.extend(added.map(|it| caller.connect(*it)));
    }

    /// Returns one partner.
    pub(super) fn any(&self, rng: &mut impl Rng) -> Option<Partner> {
        self.connected.choose(rng).cloned()
    }

    /// Returns as many partners as are told of an acceptance.
    pub(super) fn some(&self, rng: &mut impl Rng) -> Vec<Partner> {
        self.connected
            .choose_multiple(rng, self.timing.push_count)
            .cloned()
            .collect()
    }

    /// Makes room for another in place of one that failed.
    pub(super) fn drop_failed(&mut self, address: SocketAddr) {
        self.connected.retain(|it| it.address != address);
    }
}
