//! Publishes the datapath's routing table from the bundles in force.

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

/// Interval at which the table follows weight ramps, expiries and the liveness of agents.
///
/// A change of the bundles in force updates the table at once.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Builds routing tables with a [`RoutingTableUpdater`] and publishes them to the datapath.
#[derive(Debug)]
pub(crate) struct TablePublisher {
    feed: RoutingTableUpdater,
    table: Arc<ArcSwap<RoutingTable>>,
    started: Instant,
}

impl TablePublisher {
    /// Creates a publisher with a table that has no services.
    ///
    /// The table already holds the fleet keys, with which balancers exchange peer datagrams.
    pub(crate) fn new(mut feed: RoutingTableUpdater) -> Self {
        let first = feed.update(Millis::new(0), &[]).unwrap_or_default();
        let table = Arc::new(ArcSwap::from_pointee(first));
        Self {
            feed,
            table,
            started: Instant::now(),
        }
    }

    /// Returns the shared pointer to the published table.
    pub(crate) fn table(&self) -> Arc<ArcSwap<RoutingTable>> {
        Arc::clone(&self.table)
    }

    /// Publishes a new table whenever its content changes; never returns.
    pub(crate) async fn run(mut self, control: ControlHandle, members: MembersHandle) {
        let mut changes = control.watch_changes();
        loop {
            self.update(&control.bundles_in_force(), &members);
            // `control` keeps the sender alive, so the only error is the elapsed interval.
            drop(tokio::time::timeout(UPDATE_INTERVAL, changes.changed()).await);
        }
    }

    fn update(&mut self, snapshot: &[InForce], members: &MembersHandle) {
        let now = Millis::from_duration(self.started.elapsed());
        let Some(table) = self.feed.update(now, snapshot) else {
            return;
        };
        self.table.store(Arc::new(table));
        members.set_agents(self.agent_links(snapshot));
    }

    /// Returns a link for each endpoint in force that the feed has a cell for.
    fn agent_links(&self, snapshot: &[InForce]) -> Vec<MonitoredAgent> {
        let mut links = Vec::new();
        for in_force in snapshot {
            let bundle = &in_force.current.bundle;
            for endpoint in &bundle.endpoints {
                let Some(cell) = self.feed.registry().find(endpoint.id) else {
                    continue;
                };
                let spec = AgentSpec {
                    endpoint: endpoint.id,
                    service: bundle.service,
                    address: endpoint.tunnel_address,
                };
                links.push(MonitoredAgent {
                    spec,
                    cell: Arc::clone(cell),
                });
            }
        }
        links
    }
}
