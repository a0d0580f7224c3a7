//! Tells an operator where an opening would go now, and why, without sending it.
//!
//! The report answers the question why callers of a route meet a certain endpoint, or none. It is
//! drawn up by the code that places openings, and changes nothing.

use std::net::Ipv4Addr;

use serde::Serialize;
use units::Millis;

use placement::PlanKind;

use super::{
    Balancer,
    openings::PendingOpening,
    routing::{NotPlaceable, OpeningChoice},
};
use crate::{
    Endpoint, EndpointState, Flow, PacketFormat, Route, ServiceKey, flow_identity::OpeningId,
};

/// Maximum number of endpoints that a report names as left out.
const LEFT_OUT_MAX: usize = 64;

/// What the agents and the balancer do if all candidates are full.
const ALL_FULL: &str = "the candidate with the lowest utilization takes the opening, which waits \
                        at its agent or endpoint; if all are closed, the opening returns, and the \
                        balancer offers it again later";

/// What would become of an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementOutcome {
    /// The opening is offered to the candidates in their order.
    Offered,
    /// The opening is held until the catalog is confirmed after a stall, then offered.
    Held,
    /// The opening waits for the operator's settings.
    NoSettings,
    /// The opening is dropped: no route has its address.
    NoRoute,
    /// The opening is dropped: no endpoint would accept it, or it isn't sure yet that all that would
    /// are in zones out of use.
    NoEndpoint,
    /// The flow is reset: all endpoints that would accept it are in zones out of use.
    ZonesOutOfUse,
}

/// The rule by which the service of a flow is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceRule {
    /// The route has one target.
    OnlyTarget,
    /// The flow's hash drew the service by the weights of the route's targets.
    DrawnByWeight,
}

/// How the candidates are divided among the availability zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ZonePlan {
    /// The balancer's own zone has room and comes first.
    OwnZone,
    /// The own zone is crowded: it comes first and takes half the list.
    Shared,
    /// The own zone is more loaded than others: another zone comes first.
    Spilled,
}

/// An endpoint to which the opening would be offered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CandidateReport {
    /// Hash of the endpoint's id, in hexadecimal.
    pub endpoint: String,
    /// Address of the agent beside the endpoint.
    pub agent: Ipv4Addr,
    /// Hash of the name of the endpoint's availability zone, in hexadecimal.
    pub zone: String,
    /// Whether the endpoint is in the balancer's own zone.
    pub is_own_zone: bool,
    /// The endpoint's state in the catalog.
    pub state: EndpointState,
    /// Whether the endpoint's zone is out of use.
    pub is_zone_out_of_use: bool,
    /// Time for which the endpoint stays cold, as its entry in the store stated; zero if it is warm.
    pub cold_left_ms: Millis,
    /// Latest reported utilization in thousandths of the slots; `None` if the endpoint accepts no new
    /// flows, or if its agent has never replied.
    pub utilization: Option<u16>,
    /// Age of the agent's latest reply; `None` if it has never replied.
    pub report_age_ms: Option<Millis>,
    /// Time since the first notice that the agent has not answered, if there is one.
    pub unanswered_ms: Option<Millis>,
    /// Whether the endpoint comes after all others, because it is closed or its agent silent.
    pub is_last_resort: bool,
    /// The endpoint's concurrency slots.
    pub slots: u16,
}

/// Why an endpoint of the service is no candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeftOutReason {
    /// The endpoint is shutting down.
    Draining,
    /// The endpoint is no longer in the catalog.
    Retired,
    /// The endpoint's availability zone is out of use.
    ZoneOutOfUse,
    /// Other endpoints come before this one, and the list of candidates is full.
    ListFull,
    /// The agent's address is on the list already, or another entry of the endpoint is.
    SameAgent,
}

/// An endpoint of the service that is no candidate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LeftOutEndpoint {
    /// Hash of the endpoint's id, in hexadecimal.
    pub endpoint: String,
    /// Address of the agent beside the endpoint.
    pub agent: Ipv4Addr,
    /// Hash of the name of the endpoint's availability zone, in hexadecimal.
    pub zone: String,
    /// Why the endpoint is no candidate.
    pub reason: LeftOutReason,
}

/// The utilization up to which a candidate accepts the opening, in thousandths of its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct LimitsReport {
    /// Limit on the utilization.
    pub utilization: u16,
    /// Limit on the share of the utilization that is due to idle flows.
    pub idle: u16,
}

/// Where an opening would go now, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PlacementReport {
    /// The flow, as log lines name it.
    pub flow: String,
    /// Hash of the name of the balancer's availability zone, in hexadecimal.
    pub own_zone: String,
    /// Number of the catalog's revision within its era.
    pub catalog_revision: u64,
    /// Era of the store to which the catalog belongs.
    pub store_era: u64,
    /// Version of the operator's settings in force; zero if there are none.
    pub settings_version: u64,
    /// What would become of the opening.
    pub outcome: PlacementOutcome,
    /// Time for which the opening is held at most.
    pub held_ms: Option<Millis>,
    /// Hash of the name of the chosen service, in hexadecimal.
    pub service: Option<String>,
    /// The rule by which the service was chosen.
    pub service_rule: Option<ServiceRule>,
    /// How the candidates are divided among the zones.
    pub zone_plan: Option<ZonePlan>,
    /// The candidates in the order in which the opening meets them.
    pub candidates: Vec<CandidateReport>,
    /// Limits that the opening would carry.
    pub limits: Option<LimitsReport>,
    /// The first endpoints of the service that are no candidates.
    pub left_out: Vec<LeftOutEndpoint>,
    /// Number of all endpoints of the service that are no candidates.
    pub left_out_count: usize,
    /// What would happen if all candidates are full.
    pub if_all_full: Option<&'static str>,
}

impl<F: PacketFormat> Balancer<F> {
    /// Returns where the opening of a new flow would go now, and why.
    #[must_use]
    pub fn report_placement(&self, now: Millis, flow: Flow) -> PlacementReport {
        let catalog = self.view.catalog();
        let held_until = self.held_until(now);
        let mut report = PlacementReport {
            flow: flow.to_string(),
            own_zone: self.config.zone.to_string(),
            catalog_revision: catalog.revision.number(),
            store_era: u64::from(catalog.revision.era().get()),
            settings_version: catalog.settings_version.get(),
            outcome: PlacementOutcome::NoSettings,
            held_ms: None,
            service: None,
            service_rule: None,
            zone_plan: None,
            candidates: Vec::new(),
            limits: None,
            left_out: Vec::new(),
            left_out_count: 0,
            if_all_full: None,
        };
        if !self.has_settings() {
            return report;
        }
        report.held_ms = held_until.map(|it| it.since(now));
        let mut subset = Vec::new();
        let opening = PendingOpening::new(now, flow, OpeningId::new(0), &[]);
        let service = match self.choose_candidates(now, &opening, &mut subset) {
            Ok(choice) => {
                report.outcome = match held_until {
                    Some(_) => PlacementOutcome::Held,
                    None => PlacementOutcome::Offered,
                };
                self.add_candidates(now, &choice, &subset, &mut report);
                choice.service
            }
            Err(NotPlaceable::NoRoute) => {
                report.outcome = PlacementOutcome::NoRoute;
                return report;
            }
            Err(NotPlaceable::OnlyOutOfUse(service)) => {
                report.outcome = if self.may_turn_away(now) {
                    PlacementOutcome::ZonesOutOfUse
                } else {
                    PlacementOutcome::NoEndpoint
                };
                service
            }
            Err(NotPlaceable::Nowhere(service)) => {
                report.outcome = PlacementOutcome::NoEndpoint;
                service
            }
        };
        report.service = Some(service.to_string());
        report.service_rule = catalog.find_route(flow.service_address).map(service_rule);
        self.add_left_out(service, &mut report);
        report
    }

    fn add_candidates(
        &self,
        now: Millis,
        choice: &OpeningChoice,
        subset: &[Endpoint],
        report: &mut PlacementReport,
    ) {
        report.zone_plan = Some(match choice.plan {
            PlanKind::OwnZone => ZonePlan::OwnZone,
            PlanKind::Shared => ZonePlan::Shared,
            PlanKind::Spilled => ZonePlan::Spilled,
        });
        report.limits = Some(LimitsReport {
            utilization: choice.limits.utilization,
            idle: choice.limits.idle,
        });
        report.if_all_full = Some(ALL_FULL);
        for candidate in choice.candidates.as_slice() {
            let agent = candidate.agent_address();
            // The first entry of an agent is the one that made it a candidate.
            let endpoint = subset.iter().find(|it| it.agent_address() == agent);
            let Some(endpoint) = endpoint else {
                continue;
            };
            let load = self.agents.known_load(now, agent);
            report.candidates.push(CandidateReport {
                endpoint: endpoint.key.to_string(),
                agent,
                zone: endpoint.zone.to_string(),
                is_own_zone: endpoint.zone == self.config.zone,
                state: endpoint.state,
                is_zone_out_of_use: self.view.catalog().is_evacuated(endpoint.zone),
                cold_left_ms: endpoint.cold_left_ms,
                utilization: load.and_then(|it| it.utilization),
                report_age_ms: load.and_then(|it| it.report_age),
                unanswered_ms: load.and_then(|it| it.unanswered),
                is_last_resort: self.agents.is_last_resort(now, agent),
                slots: endpoint.slots.get(),
            });
        }
    }

    fn add_left_out(&self, service: ServiceKey, report: &mut PlacementReport) {
        let catalog = self.view.catalog();
        let all = catalog
            .endpoints
            .iter()
            .chain(self.view.retired_endpoints());
        let mut left_out: Vec<LeftOutEndpoint> = all
            .filter(|it| it.service == service)
            .map(|it| LeftOutEndpoint {
                endpoint: it.key.to_string(),
                agent: it.agent_address(),
                zone: it.zone.to_string(),
                reason: match it.state {
                    EndpointState::Draining => LeftOutReason::Draining,
                    EndpointState::Retired => LeftOutReason::Retired,
                    EndpointState::Ready if catalog.is_evacuated(it.zone) => {
                        LeftOutReason::ZoneOutOfUse
                    }
                    EndpointState::Ready if is_listed(report, it) => LeftOutReason::SameAgent,
                    EndpointState::Ready => LeftOutReason::ListFull,
                },
            })
            .filter(|it| {
                let is_candidate = |other: &CandidateReport| other.endpoint == it.endpoint;
                !report.candidates.iter().any(is_candidate)
            })
            .collect();
        report.left_out_count = left_out.len();
        left_out.sort_by_key(|it| (it.reason, it.agent));
        left_out.truncate(LEFT_OUT_MAX);
        report.left_out = left_out;
    }
}

fn is_listed(report: &PlacementReport, endpoint: &Endpoint) -> bool {
    let agent = endpoint.agent_address();
    report.candidates.iter().any(|it| it.agent == agent)
}

const fn service_rule(route: &Route) -> ServiceRule {
    if route.targets.len() == 1 {
        ServiceRule::OnlyTarget
    } else {
        ServiceRule::DrawnByWeight
    }
}
