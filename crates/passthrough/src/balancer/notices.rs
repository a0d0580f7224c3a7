//! Sends state notices to the agents and handles the load reports with which they reply.

use std::net::Ipv4Addr;

use units::Millis;

use super::{Balancer, agents::NoticedState};
use crate::{
    Endpoint, Outbox, PacketFormat,
    message::{LoadReport, StateNotice, write_state_notice},
};

impl<F: PacketFormat> Balancer<F> {
    /// Sends the periodic state notices of this round.
    pub(super) fn send_state_notices(&mut self, now: Millis, out: &mut impl Outbox) {
        self.agents.mark_lost_agents(now, out);
        let due = self.agents.endpoints_for_round(self.config.zone);
        for endpoint in due {
            self.send_state_notice(now, &endpoint, out);
        }
    }

    /// Sends a state notice to each agent whose endpoint's state, slots or cold start have changed, or
    /// whose zone was taken out of use or back.
    ///
    /// In a large fleet, an agent hears of a change from the balancers of its zone and from those
    /// that read the store, and from others with their next regular notice.
    pub(super) fn send_state_change_notices(&mut self, now: Millis, out: &mut impl Outbox) {
        let tells_all = self.agents.is_small_fleet() || self.reads_store;
        let zone = self.config.zone;
        let changed = self.agents.endpoints_to_notify(self.view.catalog());
        for endpoint in changed.iter().filter(|it| tells_all || it.zone == zone) {
            self.send_state_notice(now, endpoint, out);
        }
    }

    pub(super) fn send_state_notice(
        &mut self,
        now: Millis,
        endpoint: &Endpoint,
        out: &mut impl Outbox,
    ) {
        let catalog = self.view.catalog();
        let sent = NoticedState::new(endpoint, catalog);
        let notice = StateNotice {
            service: endpoint.service,
            revision: catalog.revision.get(),
            state: sent.state,
            slots: sent.slots,
            idle_timeout_ms: u32::try_from(catalog.idle_timeout_ms.get()).unwrap_or(u32::MAX),
            is_evacuated: sent.is_evacuated,
            born_ms: sent.born_ms,
            cold_left_ms: sent.cold_left_ms,
            cold_rate: sent.cold_rate,
        };
        write_state_notice(notice, &mut self.scratch);
        out.send_to_peer(endpoint.agent_address(), &self.scratch);
        self.agents
            .mark_state_sent(now, endpoint.agent_address(), endpoint.service, sent);
    }

    pub(super) fn on_load_report(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        report: LoadReport<'_>,
        out: &mut impl Outbox,
    ) {
        self.agents.record_load_report(now, agent, &report, out);
        for route in report.routes {
            self.record_served_route(now, (*route).into(), report.service, out);
        }
        for balancer in report.balancers.iter() {
            if balancer != self.config.address {
                self.peers.add_peer(balancer, now);
            }
        }
        self.ask_for_retired_endpoints(now, out);
    }
}
