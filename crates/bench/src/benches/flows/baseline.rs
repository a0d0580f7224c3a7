//! Baseline that routes each flow by the flow's hash modulo the number of endpoints that accept
//! flows. The baseline keeps no flow state.
//!
//! The baseline is computed for the same flows and the same bundle changes as in the measured
//! fleet. A flow breaks when its packets start to go to another endpoint while its own endpoint
//! still runs.

use bundle::Bundle;
use flow::rendezvous::FlowKey;
use units::EndpointId;

use super::flow::service_of;
use crate::fleet::Fleet;

/// Index of the service whose bundle changes.
const CHANGED_SERVICE_IDX: usize = 0;

/// The baseline's flows, which are routed by hash modulo the number of endpoints.
#[derive(Debug)]
pub(super) struct ModuloRouting {
    /// Hash of each flow to the service whose bundle changes.
    flows: Vec<u64>,
    /// Endpoint that receives each flow's packets, in the order of `flows`.
    owners: Vec<EndpointId>,
    broken: usize,
}

impl ModuloRouting {
    /// Routes those of `flows` flows that use the changed service by that service's current bundle.
    pub(super) fn new(fleet: &Fleet, flows: usize) -> Self {
        let caller = fleet.service_address(CHANGED_SERVICE_IDX);
        let flows: Vec<u64> = (0..flows)
            .filter(|&it| service_of(it) == CHANGED_SERVICE_IDX)
            .map(|it| FlowKey::new(caller, &it.to_be_bytes()).hash())
            .collect();
        let members = accepting_endpoints(fleet.bundle(CHANGED_SERVICE_IDX));
        let owners = flows.iter().map(|&it| modulo_owner(it, &members)).collect();
        Self {
            flows,
            owners,
            broken: 0,
        }
    }

    /// Reroutes the flows by a new bundle of the changed service and counts the flows that break.
    pub(super) fn apply_bundle(&mut self, bundle: &Bundle) {
        let members = accepting_endpoints(bundle);
        for (flow, old) in self.flows.iter().zip(&mut self.owners) {
            let new = modulo_owner(*flow, &members);
            self.broken += usize::from(new != *old);
            *old = new;
        }
    }

    /// Returns how often flows of the baseline broke in total.
    pub(super) const fn broken_count(&self) -> usize {
        self.broken
    }
}

fn accepting_endpoints(bundle: &Bundle) -> Vec<EndpointId> {
    let open = bundle.endpoints.iter().filter(|it| !it.is_leaving);
    open.map(|it| it.id).collect()
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a hash modulo a small count"
)]
fn modulo_owner(flow: u64, members: &[EndpointId]) -> EndpointId {
    members[(flow % members.len() as u64) as usize]
}
