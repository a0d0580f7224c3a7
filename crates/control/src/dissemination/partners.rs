//! The small, slowly changing set of peers that a process stays connected to.

use std::net::SocketAddr;

use rand::{Rng, seq::IndexedRandom as _};
use tonic::transport::Channel;
use units::Millis;
use wire::bundles::bundles_client::BundlesClient;

use super::client::PeerClient;
use crate::Timing;

/// Peer that this process stays connected to.
#[derive(Debug, Clone)]
pub(super) struct Partner {
    pub(super) address: SocketAddr,
    pub(super) client: BundlesClient<Channel>,
}

/// Random subset of the peers that a process stays connected to.
///
/// Since each process chooses its partners at random, the graph of connections spans the fleet,
/// while memory and connections per process do not grow with the fleet.
#[derive(Debug)]
pub(super) struct Partners {
    timing: Timing,
    /// Connected peers without duplicates, at most [`Timing::partner_count`].
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

    /// Removes partners that are no longer peers, replaces one partner at each rotation, and adds
    /// missing partners.
    pub(super) fn refresh_partners(
        &mut self,
        peers: &[SocketAddr],
        now: Millis,
        client: &PeerClient,
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
        self.connected
            .extend(added.map(|it| client.connect_lazily(*it)));
    }

    /// Returns a random partner, `None` if the process has no partners.
    pub(super) fn choose_partner(&self, rng: &mut impl Rng) -> Option<Partner> {
        self.connected.choose(rng).cloned()
    }

    /// Returns the random partners that a newly accepted bundle is pushed to.
    pub(super) fn choose_for_push(&self, rng: &mut impl Rng) -> Vec<Partner> {
        self.connected
            .choose_multiple(rng, self.timing.push_count)
            .cloned()
            .collect()
    }

    /// Removes a partner, so that another peer takes its place at the next refresh.
    pub(super) fn remove_partner(&mut self, address: SocketAddr) {
        self.connected.retain(|it| it.address != address);
    }
}
