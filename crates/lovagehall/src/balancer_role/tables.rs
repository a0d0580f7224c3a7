//! Builds the datapath's routing table from the bundles in force and publishes it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use balancer::RoutingTableUpdater;
use bundle::InForce;
use control::{
    ControlHandle,
    members::{MembersHandle, MonitoredAgent},
};
use flow::table::RoutingTable;
use membership::AgentSpec;
use units::Millis;

/// Interval at which the routing table is updated for slow starts, expiries and agent liveness.
///
/// A change of the bundles in force updates the routing table at once.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Builds routing tables with a [`RoutingTableUpdater`] and publishes them to the datapath.
#[derive(Debug)]
pub(crate) struct TablePublisher {
    updater: RoutingTableUpdater,
    table: Arc<ArcSwap<RoutingTable>>,
    started: Instant,
}

impl TablePublisher {
    /// Creates a publisher with a routing table that has no services.
    ///
    /// The first table already holds the fleet keys, with which balancers exchange peer datagrams.
    pub(crate) fn new(mut updater: RoutingTableUpdater) -> Self {
        let first = updater.update(Millis::new(0), &[]).unwrap_or_default();
        let table = Arc::new(ArcSwap::from_pointee(first));
        Self {
            updater,
            table,
            started: Instant::now(),
        }
    }

    /// Returns the shared pointer to the published routing table.
    pub(crate) fn shared_table(&self) -> Arc<ArcSwap<RoutingTable>> {
        Arc::clone(&self.table)
    }

    /// Publishes a new routing table whenever its content changes; never returns.
    pub(crate) async fn publish_changes(mut self, control: ControlHandle, members: MembersHandle) {
        let mut changes = control.watch_changes();
        loop {
            self.update_table(&control.bundles_in_force(), &members);
            // `control` keeps the sender alive, so the only error is the elapsed interval.
            drop(tokio::time::timeout(UPDATE_INTERVAL, changes.changed()).await);
        }
    }

    /// Publishes a new routing table if the bundles in force or their state changed.
    fn update_table(&mut self, snapshot: &[InForce], members: &MembersHandle) {
        let now = Millis::from_duration(self.started.elapsed());
        let Some(table) = self.updater.update(now, snapshot) else {
            return;
        };
        self.table.store(Arc::new(table));
        members.set_agents(self.monitored_agents(snapshot));
    }

    /// Returns the agents to monitor: each endpoint in force that the updater has a status for.
    fn monitored_agents(&self, snapshot: &[InForce]) -> Vec<MonitoredAgent> {
        let mut agents = Vec::new();
        for in_force in snapshot {
            let bundle = &in_force.current.bundle;
            for endpoint in &bundle.endpoints {
                let Some(status) = self.updater.registry().find(endpoint.id) else {
                    continue;
                };
                let spec = AgentSpec {
                    endpoint: endpoint.id,
                    service: bundle.service,
                    address: endpoint.tunnel_address,
                };
                agents.push(MonitoredAgent {
                    spec,
                    cell: Arc::clone(status),
                });
            }
        }
        agents
    }
}
