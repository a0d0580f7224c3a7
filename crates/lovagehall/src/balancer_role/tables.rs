//! Keeps the datapath's routing table in step with what is in force.

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

/// Longest time until a change of time-bound facts shows in the table; bundles show at once.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// The feed and the table it publishes.
#[derive(Debug)]
pub(crate) struct Tables {
    feed: RoutingTableUpdater,
    table: Arc<ArcSwap<RoutingTable>>,
    started: Instant,
}

impl Tables {
    /// Publishes a table without services, whose keys let peers talk.
    pub(crate) fn new(mut feed: RoutingTableUpdater) -> Self {
        let first = feed.update(Millis::new(0), &[]).unwrap_or_default();
        let table = Arc::new(ArcSwap::from_pointee(first));
        Self {
            feed,
            table,
            started: Instant::now(),
        }
    }

    /// Returns the published table.
    pub(crate) fn shared(&self) -> Arc<ArcSwap<RoutingTable>> {
        Arc::clone(&self.table)
    }

    /// Publishes a new table whenever one is needed; never returns.
    pub(crate) async fn follow(mut self, control: ControlHandle, members: MembersHandle) {
        let mut changes = control.watch_changes();
        loop {
            self.update(&control.bundles_in_force(), &members);
            // The sender lives as long as the controllers; without it the interval goes on.
            drop(tokio::time::timeout(UPDATE_INTERVAL, changes.changed()).await);
        }
    }

    fn update(&mut self, snapshot: &[InForce], members: &MembersHandle) {
        let now = Millis::from_duration(self.started.elapsed());
        let Some(table) = self.feed.update(now, snapshot) else {
            return;
        };
        self.table.store(Arc::new(table));
        members.set_agents(self.agents(snapshot));
    }

    fn agents(&self, snapshot: &[InForce]) -> Vec<MonitoredAgent> {
        let mut agents = Vec::new();
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
                agents.push(MonitoredAgent {
                    spec,
                    cell: Arc::clone(cell),
                });
            }
        }
        agents
    }
}
