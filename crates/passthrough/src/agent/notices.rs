//! Handles the balancers' state notices and replies with load reports.

use std::net::Ipv4Addr;

use units::{Millis, PerSecond, Revision, Slots};

use super::{
    Agent,
    cold_start::{StatedStart, Warmth},
};
use crate::{
    Event, Outbox, PacketFormat,
    message::{
        Instances, LoadReport, REPORTED_BALANCERS_MAX, REPORTED_ROUTES_MAX, RouteAddress,
        StateNotice, write_load_report,
    },
};

impl<F: PacketFormat> Agent<F> {
    pub(super) fn on_state_notice(
        &mut self,
        now: Millis,
        sender: Ipv4Addr,
        notice: StateNotice,
        out: &mut impl Outbox,
    ) {
        self.record_balancer_notice(now, sender);
        let is_news = notice.service == self.config.service && notice.revision >= self.revision;
        if is_news && !self.drain_guard.refuses(now, self.state, &notice) {
            let changed = self.state != notice.state || self.is_evacuated != notice.is_evacuated;
            if self.is_evacuated && !notice.is_evacuated {
                self.cold_start.suspect_start(now);
            }
            let stated = StatedStart {
                born_ms: notice.born_ms,
                cold_left: Millis::new(u64::from(notice.cold_left_ms)),
                rate: PerSecond::new(notice.cold_rate),
            };
            self.cold_start.on_stated_start(now, stated);
            self.revision = notice.revision;
            self.state = notice.state;
            self.is_evacuated = notice.is_evacuated;
            self.slots = Slots::new(notice.slots);
            self.flows.set_slots(self.slots);
            self.flows
                .set_idle_timeout(Millis::new(u64::from(notice.idle_timeout_ms)));
            if changed {
                out.report_event(Event::EndpointStateChanged {
                    state: notice.state,
                    slots: notice.slots,
                    is_evacuated: notice.is_evacuated,
                    revision: Revision::new(notice.revision).number(),
                });
            }
            self.report_warmth(now, out);
        }
        // The report lists the balancers by turns if there are more than it has room for.
        let turn = self.report_turn % self.balancers.len().max(1);
        self.report_turn = turn + REPORTED_BALANCERS_MAX;
        let (later, first) = self.balancers.split_at(turn);
        let mut others = [[0; 4]; REPORTED_BALANCERS_MAX];
        let mut len = 0;
        let listed = first.iter().chain(later).filter(|it| it.0 != sender);
        for (slot, (address, _)) in others.iter_mut().zip(listed) {
            *slot = address.octets();
            len += 1;
        }
        let mut routes = self.flows.route_addresses();
        let lists_every_route =
            routes.len() <= REPORTED_ROUTES_MAX && self.flows.includes_every_flow(now);
        let route_turn = self.report_turn % routes.len().max(1);
        routes.rotate_left(route_turn);
        routes.truncate(REPORTED_ROUTES_MAX);
        let routes: Vec<RouteAddress> = routes.into_iter().map(RouteAddress::from).collect();
        let report = LoadReport {
            service: self.config.service,
            utilization: self.reported_utilization(now),
            idle_utilization: self.idle_utilization(),
            lists_every_route,
            routes: &routes,
            balancers: Instances::new(&others[..len]),
        };
        write_load_report(report, &mut self.scratch);
        out.send_to_peer(sender, &self.scratch);
        self.release_held_openings(now, out);
    }

    fn record_balancer_notice(&mut self, now: Millis, balancer: Ipv4Addr) {
        match self.balancers.binary_search_by_key(&balancer, |it| it.0) {
            Ok(idx) => self.balancers[idx].1 = now,
            Err(idx) => self.balancers.insert(idx, (balancer, now)),
        }
    }

    pub(super) fn report_warmth(&mut self, now: Millis, out: &mut impl Outbox) {
        match self.cold_start.take_change(now, self.slots) {
            Some(Warmth::Cold {
                left,
                rate,
                is_learned,
            }) => out.report_event(Event::EndpointCold {
                left_ms: left.get(),
                rate,
                is_learned,
            }),
            Some(Warmth::Warm) => {
                let paced = self.counters.paced;
                out.report_event(Event::EndpointWarm { paced });
            }
            None => {}
        }
    }
}
