//! What balancers and agents tell each other about endpoints.

use std::net::Ipv4Addr;

use units::Millis;

use super::Balancer;
use crate::{
    Endpoint, Outbox, PacketFormat,
    message::{Notice, Report, write_notice},
};

impl<F: PacketFormat> Balancer<F> {
    pub(super) fn send_notices(&mut self, now: Millis, out: &mut impl Outbox) {
        self.agents.sweep(now, out);
        let due = self.agents.all();
        for endpoint in due {
            self.send_notice(&endpoint, out);
        }
    }

    pub(super) fn send_changed_notices(&mut self, out: &mut impl Outbox) {
        let changed = self.agents.changed();
        for endpoint in changed {
            self.send_notice(&endpoint, out);
        }
    }

    pub(super) fn send_notice(&mut self, endpoint: &Endpoint, out: &mut impl Outbox) {
        let catalog = self.view.catalog();
        let notice = Notice {
            service: endpoint.service,
            revision: catalog.revision.get(),
            state: endpoint.state,
            slots: endpoint.slots.get(),
            idle_timeout_ms: u32::try_from(catalog.idle_timeout_ms.get()).unwrap_or(u32::MAX),
        };
        write_notice(notice, &mut self.scratch);
        out.send_peer(endpoint.agent(), &self.scratch);
        self.agents.told(endpoint.agent());
    }

    pub(super) fn on_report(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        report: Report<'_>,
        out: &mut impl Outbox,
    ) {
        self.agents.note_report(now, agent, &report, out);
        for balancer in report.balancers.iter() {
            if balancer != self.config.address {
                self.peers.add(balancer, now);
            }
        }
    }
}
