//! Sends state notices to the agents and handles the load reports with which they reply.

use std::net::Ipv4Addr;

use units::Millis;

use super::Balancer;
use crate::{
    Endpoint, Outbox, PacketFormat,
    message::{LoadReport, StateNotice, write_state_notice},
};

impl<F: PacketFormat> Balancer<F> {
    /// Sends the periodic state notice to every agent.
    pub(super) fn send_state_notices(&mut self, now: Millis, out: &mut impl Outbox) {
        self.agents.mark_lost_agents(now, out);
        let due = self.agents.all_endpoints();
        for endpoint in due {
            self.send_state_notice(&endpoint, out);
        }
    }

    /// Sends a state notice to each agent whose endpoint's state or slots have changed.
    pub(super) fn send_state_change_notices(&mut self, out: &mut impl Outbox) {
        let changed = self.agents.endpoints_to_notify();
        for endpoint in changed {
            self.send_state_notice(&endpoint, out);
        }
    }

    pub(super) fn send_state_notice(&mut self, endpoint: &Endpoint, out: &mut impl Outbox) {
        let catalog = self.view.catalog();
        let notice = StateNotice {
            service: endpoint.service,
            revision: catalog.revision.get(),
            state: endpoint.state,
            slots: endpoint.slots.get(),
            idle_timeout_ms: u32::try_from(catalog.idle_timeout_ms.get()).unwrap_or(u32::MAX),
        };
        write_state_notice(notice, &mut self.scratch);
        out.send_to_peer(endpoint.agent_address(), &self.scratch);
        self.agents.mark_state_sent(endpoint.agent_address());
    }

    pub(super) fn on_load_report(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        report: LoadReport<'_>,
        out: &mut impl Outbox,
    ) {
        self.agents.record_load_report(now, agent, &report, out);
        for balancer in report.balancers.iter() {
            if balancer != self.config.address {
                self.peers.add_peer(balancer, now);
            }
        }
    }
}
