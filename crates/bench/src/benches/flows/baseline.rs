//! The baseline: the flow's hash modulo the number of endpoints that take flows, kept nowhere.
//!
//! It is computed for the same flows and the same changes: a flow breaks when its packets begin to
//! go to another endpoint while its own still runs.

use bundle::Bundle;
use flow::rendezvous::FlowKey;
use units::EndpointId;

use super::flow::service_of;
use crate::fleet::Fleet;

/// Position of the service that the changes are made to.
const CHANGED: usize = 0;

/// Flows routed by modulo.
#[derive(Debug)]
pub(super) struct Modulo {
    /// Hash of each flow of the changed service.
    flows: Vec<u64>,
    /// Where each flow's packets go; as long as `flows`.
    owners: Vec<EndpointId>,
    broken: usize,
}

impl Modulo {
    /// Opens the flows by the bundle in force.
    pub(super) fn new(fleet: &Fleet, flows: usize) -> Self {
        let caller = fleet.service_address(CHANGED);
        let flows: Vec<u64> = (0..flows)
            .filter(|&it| service_of(it) == CHANGED)
            .map(|it| FlowKey::new(caller, &it.to_be_bytes()).hash())
            .collect();
        let members = members(fleet.bundle(CHANGED));
        let owners = flows.iter().map(|&it| owner(it, &members)).collect();
        Self {
            flows,
            owners,
            broken: 0,
        }
    }

    /// Routes the flows by a new bundle and counts those that break.
    pub(super) fn change(&mut self, bundle: &Bundle) {
        let members = members(bundle);
        for (flow, old) in self.flows.iter().zip(&mut self.owners) {
            let new = owner(*flow, &members);
            self.broken += usize::from(new != *old);
            *old = new;
        }
    }

    /// Returns how many times a flow broke.
    pub(super) const fn broken(&self) -> usize {
        self.broken
    }
}

fn members(bundle: &Bundle) -> Vec<EndpointId> {
    let open = bundle.endpoints.iter().filter(|it| !it.is_leaving);
    open.map(|it| it.id).collect()
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a hash modulo a small count"
)]
fn owner(flow: u64, members: &[EndpointId]) -> EndpointId {
    members[(flow % members.len() as u64) as usize]
}
