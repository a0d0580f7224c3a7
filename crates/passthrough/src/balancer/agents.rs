//! Tracks the liveness and load of the agents beside the endpoints.

use std::{cmp::Reverse, net::Ipv4Addr, ops::Range};

use placement::{EndpointLoad, ZoneLoads};
use units::{Millis, Revision};

use crate::{
    Catalog, CatalogView, Endpoint, EndpointState, Event, Outbox, ServiceKey, ZoneKey,
    message::{AcceptLimits, LoadReport, UTILIZATION_CLOSED, UTILIZATION_FULL, Utilization},
    store_era::is_registered_after,
};

/// Time for which a notice remains unanswered until the agent counts as lost. By then, two more
/// notices have been sent.
const LOST_AFTER_MS: Millis = Millis::new(1_500);

/// Time for which a notice remains unanswered until the agent is suspected to be lost.
const SUSPECT_AFTER_MS: Millis = Millis::new(250);

/// Maximum number of agents that get a notice in one round. A fleet with more agents is notified by
/// turns.
const NOTICES_PER_ROUND_MAX: usize = 64;

/// Maximum number of agents of the own zone, and of agents that have not answered, among those that
/// get a notice in one round. The rest of the round goes to all others by turns.
const URGENT_NOTICES_MAX: usize = 40;

/// Time for which an agent's report that its endpoint accepts no new flows stays valid.
const CLOSED_TTL_MS: Millis = Millis::new(1_200);

/// Time for which an endpoint's reported utilization stays valid: one and a half notice intervals.
const UTILIZATION_TTL_MS: Millis = Millis::new(1_500);

/// Divisor of the mean load of idle flows that gives the tolerance by which an endpoint's idle
/// flows may exceed the mean.
///
/// One eighth of the mean is about the standard deviation to expect for a hundred randomly placed
/// flows.
const IDLE_TOLERANCE_DIVISOR: u32 = 8;

/// What a state notice tells an agent at once when it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoticedState {
    pub(crate) state: EndpointState,
    pub(crate) slots: u16,
    pub(crate) is_evacuated: bool,
    pub(crate) born_ms: u64,
    pub(crate) cold_left_ms: u32,
    pub(crate) cold_rate: u32,
}

impl NoticedState {
    pub(crate) fn new(endpoint: &Endpoint, catalog: &Catalog) -> Self {
        let cold_start = catalog.find_cold_start(endpoint.service);
        Self {
            state: endpoint.state,
            slots: endpoint.slots.get(),
            is_evacuated: catalog.is_evacuated(endpoint.zone),
            born_ms: endpoint.born_ms,
            cold_left_ms: u32::try_from(endpoint.cold_left_ms.get()).unwrap_or(u32::MAX),
            cold_rate: cold_start.map_or(0, |it| it.rate.get()),
        }
    }

    /// Returns whether an agent that was sent `sent` has to hear of this state at once.
    ///
    /// A cold endpoint's time runs down at the agent as well.
    fn is_news_after(self, sent: Option<Self>) -> bool {
        sent.is_none_or(|sent| {
            let aged = Self {
                cold_left_ms: sent.cold_left_ms.min(self.cold_left_ms),
                ..sent
            };
            aged != self
        })
    }
}

#[derive(Debug, Clone, Copy)]
struct AgentState {
    endpoint: Endpoint,
    /// The latest state notice to the agent.
    sent_state: Option<NoticedState>,
    /// Time of the agent's latest reply, or the time at which the agent was first listed.
    last_reply_at: Millis,
    /// Time of the first notice that the agent has not answered, if there is one.
    unanswered_since: Option<Millis>,
    last_notice_at: Option<Millis>,
    is_lost: bool,
    /// Store revision at which the latest entry with the agent's address was created.
    registered_at: Revision,
    /// Whether the agent's latest report lists the routes of all flows of its endpoint.
    lists_every_route: bool,
    utilization: Utilization,
    /// Time of the latest reply, or of the agent's adoption if `has_replied` is false.
    utilization_at: Millis,
    has_replied: bool,
    /// Exponential moving average of the utilization in the agent's load reports; the latest report
    /// has weight one half.
    ///
    /// The utilization in replies to opening packets is left out: these replies come just when
    /// there is one more request than usual, which would bias the average upwards.
    average: AverageUtilization,
}

impl AgentState {
    /// Returns whether a notice has remained unanswered for longer than `limit`.
    fn is_unanswered(&self, now: Millis, limit: Millis) -> bool {
        self.unanswered_since
            .is_some_and(|at| now.since(at) > limit)
    }
}

/// Moving average of the utilization that an agent reports.
#[derive(Debug, Clone, Copy, Default)]
struct AverageUtilization {
    utilization: Utilization,
    /// The share of `utilization` that is due to idle flows.
    idle: Utilization,
}

/// What a balancer knows of the load and liveness of an agent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KnownLoad {
    /// Latest reported utilization, or `None` if the endpoint accepts no new flows or its agent has
    /// never replied.
    pub(crate) utilization: Option<Utilization>,
    /// Age of the latest reply, if there is one.
    pub(crate) report_age: Option<Millis>,
    /// Time since the first notice that the agent has not answered.
    pub(crate) unanswered: Option<Millis>,
}

/// The agents of all listed endpoints and of recently retired ones.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    /// States of the agents, sorted by the agent's address and the endpoint's service.
    ///
    /// Entries of several services may name one agent, which knows its own service. It is told of each,
    /// so that no entry hides another one.
    agents: Vec<AgentState>,
}

impl Agents {
    /// Adopts the listed and retired endpoints of `view`, and keeps the state of agents that are
    /// already known.
    pub(crate) fn update_endpoints(&mut self, now: Millis, view: &CatalogView) {
        let mut agents: Vec<AgentState> = Vec::with_capacity(view.catalog().endpoints.len());
        for endpoint in view
            .catalog()
            .endpoints
            .iter()
            .chain(view.retired_endpoints())
        {
            let known = self
                .find_agents(endpoint.agent_address())
                .iter()
                .min_by_key(|it| it.endpoint.service != endpoint.service);
            let is_same_service = known.is_some_and(|it| it.endpoint.service == endpoint.service);
            agents.push(AgentState {
                endpoint: *endpoint,
                sent_state: known
                    .and_then(|it| it.sent_state)
                    .filter(|_| is_same_service),
                last_reply_at: known.map_or(now, |it| it.last_reply_at),
                unanswered_since: known.and_then(|it| it.unanswered_since),
                last_notice_at: known.and_then(|it| it.last_notice_at),
                is_lost: known.is_some_and(|it| it.is_lost),
                registered_at: endpoint.registered_at,
                lists_every_route: known.is_some_and(|it| it.lists_every_route),
                utilization: known.map_or(0, |it| it.utilization),
                utilization_at: known.map_or(now, |it| it.utilization_at),
                has_replied: known.is_some_and(|it| it.has_replied),
                average: known.map_or_else(AverageUtilization::default, |it| it.average),
            });
        }
        // Of several entries of a service with one agent, a listed one comes before a retired one, and
        // the one that registered last before the others.
        agents.sort_by_key(|it| {
            (
                it.endpoint.agent_address(),
                it.endpoint.service,
                it.endpoint.state == EndpointState::Retired,
                Reverse(it.registered_at),
                it.endpoint.key,
            )
        });
        agents.dedup_by(|later, first| {
            let place = |it: &AgentState| (it.endpoint.agent_address(), it.endpoint.service);
            let is_same = place(later) == place(first);
            if is_same {
                first.registered_at = first.registered_at.max(later.registered_at);
            }
            is_same
        });
        self.agents = agents;
    }

    /// Returns the endpoints beside the agents that get a notice in this round.
    ///
    /// In a large fleet these are agents that have not answered and agents of the own zone, up to
    /// `URGENT_NOTICES_MAX`, then those whose latest notice is the oldest, so that every agent gets
    /// one again after a bounded time.
    pub(crate) fn endpoints_for_round(&self, zone: ZoneKey) -> Vec<Endpoint> {
        if self.is_small_fleet() {
            return self.agents.iter().map(|it| it.endpoint).collect();
        }
        let is_urgent = |it: &AgentState| {
            !it.is_lost && (it.unanswered_since.is_some() || it.endpoint.zone == zone)
        };
        let mut due: Vec<&AgentState> = self.agents.iter().collect();
        due.sort_by_key(|it| (!is_urgent(it), it.last_notice_at));
        let urgent = due.partition_point(|it| is_urgent(it));
        let first = urgent.min(URGENT_NOTICES_MAX);
        due[first..].sort_by_key(|it| it.last_notice_at);
        due.truncate(NOTICES_PER_ROUND_MAX);
        due.iter().map(|it| it.endpoint).collect()
    }

    /// Returns whether all agents get a notice in each round.
    pub(crate) const fn is_small_fleet(&self) -> bool {
        self.agents.len() <= NOTICES_PER_ROUND_MAX
    }

    /// Returns the endpoints whose current state has not been sent to the agents beside them.
    pub(crate) fn endpoints_to_notify(&self, catalog: &Catalog) -> Vec<Endpoint> {
        let changed = |it: &&AgentState| {
            NoticedState::new(&it.endpoint, catalog).is_news_after(it.sent_state)
        };
        self.agents
            .iter()
            .filter(changed)
            .map(|it| it.endpoint)
            .collect()
    }

    /// Records that an agent was sent the current state of its endpoint of a service.
    pub(crate) fn mark_state_sent(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        service: ServiceKey,
        sent: NoticedState,
    ) {
        for state in self.find_agents_mut(agent) {
            state.unanswered_since.get_or_insert(now);
            if state.endpoint.service == service {
                state.last_notice_at = Some(now);
                state.sent_state = Some(sent);
            }
        }
    }

    pub(crate) fn record_reply(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        utilization: Utilization,
        out: &mut impl Outbox,
    ) {
        let mut was_lost = false;
        for state in self.find_agents_mut(agent) {
            state.last_reply_at = now;
            state.unanswered_since = None;
            state.utilization = utilization;
            state.utilization_at = now;
            state.has_replied = true;
            was_lost |= std::mem::take(&mut state.is_lost);
        }
        if was_lost {
            out.report_event(Event::AgentRegained { agent });
        }
    }

    /// Records a load report, which is an agent's reply to a state notice.
    pub(crate) fn record_load_report(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        report: &LoadReport<'_>,
        out: &mut impl Outbox,
    ) {
        self.record_reply(now, agent, report.utilization, out);
        for state in self.find_agents_mut(agent) {
            state.lists_every_route = report.lists_every_route;
            if report.utilization == UTILIZATION_CLOSED {
                continue;
            }
            state.average.utilization = state.average.utilization.midpoint(report.utilization);
            state.average.idle = state.average.idle.midpoint(report.idle_utilization);
        }
    }

    /// Expects no replies to the notices sent so far.
    pub(crate) fn forgive_silence(&mut self) {
        for state in &mut self.agents {
            state.unanswered_since = None;
        }
    }

    /// Marks agents whose replies are overdue as lost.
    pub(crate) fn mark_lost_agents(&mut self, now: Millis, out: &mut impl Outbox) {
        let mut last_lost = None;
        for state in &mut self.agents {
            if state.is_lost || !state.is_unanswered(now, LOST_AFTER_MS) {
                continue;
            }
            state.is_lost = true;
            let agent = state.endpoint.agent_address();
            if last_lost.replace(agent) != Some(agent) {
                out.report_event(Event::AgentLost {
                    agent,
                    silent_ms: now.since(state.last_reply_at).get(),
                });
            }
        }
    }

    /// Returns whether the agent has left notices unanswered for `LOST_AFTER_MS`.
    pub(crate) fn is_lost(&self, now: Millis, agent: Ipv4Addr) -> bool {
        self.find_agent(agent)
            .is_some_and(|it| it.is_unanswered(now, LOST_AFTER_MS))
    }

    /// Returns whether the agent has replied at or after `time`.
    pub(crate) fn replied_since(&self, agent: Ipv4Addr, time: Millis) -> bool {
        self.find_agent(agent)
            .is_some_and(|it| it.last_reply_at >= time)
    }

    /// Returns whether the agent has not replied to the latest state notice.
    pub(crate) fn is_suspect(&self, now: Millis, agent: Ipv4Addr) -> bool {
        self.find_agent(agent)
            .is_some_and(|it| it.is_unanswered(now, SUSPECT_AFTER_MS))
    }

    /// Returns whether the agent should be offered opening packets only after all other agents.
    pub(crate) fn is_last_resort(&self, now: Millis, agent: Ipv4Addr) -> bool {
        self.find_agent(agent).is_some_and(|it| {
            let is_closed = it.utilization == UTILIZATION_CLOSED
                && now.since(it.utilization_at) < CLOSED_TTL_MS;
            is_closed || it.is_unanswered(now, LOST_AFTER_MS)
        })
    }

    /// Returns what is known of an agent's load and liveness.
    pub(crate) fn known_load(&self, now: Millis, agent: Ipv4Addr) -> Option<KnownLoad> {
        let state = self.find_agent(agent)?;
        let is_open = state.utilization != UTILIZATION_CLOSED;
        let age = now.since(state.utilization_at);
        Some(KnownLoad {
            utilization: (state.has_replied && is_open).then_some(state.utilization),
            report_age: state.has_replied.then_some(age),
            unanswered: state.unanswered_since.map(|it| now.since(it)),
        })
    }

    /// Returns the utilization limits up to which an endpoint accepts a new flow immediately.
    ///
    /// An endpoint accepts a new flow if the endpoint has a free concurrency slot. When slots are
    /// scarce, an endpoint also accepts if its utilization is at most the mean of `subset`.
    ///
    /// Requests end, but idle flows cannot be moved to another endpoint. The utilization due to
    /// idle flows is therefore limited even while all endpoints have free slots, because otherwise
    /// the next load peak would be uneven.
    pub(crate) fn accept_limits(&self, now: Millis, subset: &[Endpoint]) -> AcceptLimits {
        let states = subset
            .iter()
            .filter_map(|it| self.find_agent(it.agent_address()));
        let open = states.filter(|it| {
            it.utilization != UTILIZATION_CLOSED
                && now.since(it.utilization_at) <= UTILIZATION_TTL_MS
        });
        let (mut utilization, mut idle, mut count) = (0, 0, 0);
        for state in open {
            utilization += u32::from(state.average.utilization);
            idle += u32::from(state.average.idle);
            count += 1;
        }
        if count == 0 {
            return AcceptLimits::FREE_SLOT;
        }
        let idle = idle / count;
        let limit = |it| Utilization::try_from(it).unwrap_or(UTILIZATION_CLOSED - 1);
        AcceptLimits {
            utilization: limit((utilization / count).max(u32::from(UTILIZATION_FULL) - 1)),
            idle: limit(idle + idle / IDLE_TOLERANCE_DIVISOR + 1),
        }
    }

    /// Returns the mean of the utilization that the agent reported lately.
    pub(crate) fn mean_utilization(&self, agent: Ipv4Addr) -> Utilization {
        self.find_agent(agent)
            .map_or(UTILIZATION_CLOSED, |it| it.average.utilization)
    }

    /// Returns the reported loads of the endpoints in `subset` by availability zone.
    pub(crate) fn zone_loads(&self, now: Millis, subset: &[Endpoint]) -> ZoneLoads {
        let mut loads = ZoneLoads::default();
        for endpoint in subset {
            let Some(state) = self.find_agent(endpoint.agent_address()) else {
                continue;
            };
            if state.utilization == UTILIZATION_CLOSED
                || now.since(state.utilization_at) > UTILIZATION_TTL_MS
            {
                continue;
            }
            let AverageUtilization { utilization, idle } = state.average;
            let load = EndpointLoad {
                working: utilization.saturating_sub(idle),
                idle,
            };
            loads.record_endpoint(endpoint.zone.get(), load);
        }
        loads
    }

    /// Returns whether the endpoints of all services but `services` can only hold flows of routes that
    /// are known to lead or to have led to their service.
    ///
    /// An agent's reports tell so if they list the routes of all flows of its endpoint. An endpoint
    /// that registered after `routes_known_since` has got flows only by settings that this balancer has
    /// seen, since whoever knows of it has settings of that time or later ones. Lost agents of retired
    /// endpoints are not waited for.
    pub(crate) fn routes_are_known_outside(
        &self,
        now: Millis,
        services: &[ServiceKey],
        routes_known_since: Revision,
    ) -> bool {
        let is_known = |it: &AgentState| {
            let is_gone =
                it.endpoint.state == EndpointState::Retired && it.is_unanswered(now, LOST_AFTER_MS);
            is_gone
                || is_registered_after(it.registered_at, routes_known_since)
                || it.lists_every_route
                || services.contains(&it.endpoint.service)
        };
        !self.agents.is_empty() && self.agents.iter().all(is_known)
    }

    /// Returns the concurrency slots of the agent's endpoint of a service, or zero if it is unknown.
    pub(crate) fn endpoint_slots(&self, agent: Ipv4Addr, service: ServiceKey) -> u8 {
        let states = self.find_agents(agent).iter();
        let slots = states
            .map(|it| it.endpoint)
            .find(|it| it.service == service)
            .map_or(0, |it| it.slots.get());
        u8::try_from(slots).unwrap_or(u8::MAX)
    }

    /// Returns the state of an agent; what its replies tell is the same for all its services.
    fn find_agent(&self, agent: Ipv4Addr) -> Option<&AgentState> {
        self.find_agents(agent).first()
    }

    fn find_agents(&self, agent: Ipv4Addr) -> &[AgentState] {
        &self.agents[self.range_of(agent)]
    }

    fn find_agents_mut(&mut self, agent: Ipv4Addr) -> &mut [AgentState] {
        let range = self.range_of(agent);
        &mut self.agents[range]
    }

    fn range_of(&self, agent: Ipv4Addr) -> Range<usize> {
        let begin = self
            .agents
            .partition_point(|it| it.endpoint.agent_address() < agent);
        let len = self.agents[begin..]
            .iter()
            .take_while(|it| it.endpoint.agent_address() == agent)
            .count();
        begin..begin + len
    }
}
