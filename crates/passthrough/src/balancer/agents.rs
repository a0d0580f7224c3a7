//! What a balancer knows of the agents beside the endpoints.

use std::net::Ipv4Addr;

use units::Millis;

use crate::{
    CatalogView, Endpoint, EndpointState, Event, Outbox,
    message::{AcceptLimits, FULL, FULLNESS_CLOSED, Fullness, Report},
};

/// Time without an answer to notices after which an agent counts as lost: two notices and a half.
const LOST_MS: Millis = Millis::new(2_500);

/// Time without an answer to notices after which an agent may be gone: one notice and a quarter.
const DOUBTFUL_MS: Millis = Millis::new(1_250);

/// Time for which an agent's word that its endpoint takes nothing is believed.
const CLOSED_BELIEVED_MS: Millis = Millis::new(1_200);

/// Time for which an agent's word about its fullness counts: one notice and a half.
const FULLNESS_BELIEVED_MS: Millis = Millis::new(1_500);

/// Share, as a divisor, by which idle flows may exceed their mean: an eighth is about the spread that
/// a hundred flows have by chance.
const IDLE_SLACK: u32 = 8;

#[derive(Debug, Clone, Copy)]
struct AgentState {
    endpoint: Endpoint,
    /// What the agent was last told of its endpoint's state.
    told: Option<(EndpointState, u16)>,
    /// When the agent was last heard, or when it was first listed.
    heard: Millis,
    is_lost: bool,
    fullness: Fullness,
    fullness_at: Millis,
    /// Mean of the fullness that its answers to notices told, the last one counting half.
    ///
    /// Answers to openings don't count: they come when there is one request more than usual.
    usual: Usual,
}

/// What an agent told of its fullness lately.
#[derive(Debug, Clone, Copy, Default)]
struct Usual {
    fullness: Fullness,
    /// The part of it that idle flows have.
    idle: Fullness,
}

/// The agents of the endpoints in force and of those that left lately.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    /// Sorted by the agent's address.
    agents: Vec<AgentState>,
}

impl Agents {
    /// Takes over the endpoints of a catalog that came into force.
    pub(crate) fn update(&mut self, now: Millis, view: &CatalogView) {
        let mut agents: Vec<AgentState> = Vec::with_capacity(view.catalog().endpoints.len());
        // Listed endpoints come first, so that a retired one at the same address is left out.
        for endpoint in view.catalog().endpoints.iter().chain(view.retired()) {
            let known = self.find(endpoint.agent());
            agents.push(AgentState {
                endpoint: *endpoint,
                told: known.and_then(|it| it.told),
                heard: known.map_or(now, |it| it.heard),
                is_lost: known.is_some_and(|it| it.is_lost),
                fullness: known.map_or(0, |it| it.fullness),
                fullness_at: known.map_or(now, |it| it.fullness_at),
                usual: known.map_or_else(Usual::default, |it| it.usual),
            });
        }
        agents.sort_by_key(|it| it.endpoint.agent());
        agents.dedup_by_key(|it| it.endpoint.agent());
        self.agents = agents;
    }

    /// Returns the endpoints of all agents.
    pub(crate) fn all(&self) -> Vec<Endpoint> {
        self.agents.iter().map(|it| it.endpoint).collect()
    }

    /// Returns the endpoints whose agents have not been told of their present state.
    pub(crate) fn changed(&self) -> Vec<Endpoint> {
        let changed =
            |it: &&AgentState| it.told != Some((it.endpoint.state, it.endpoint.slots.get()));
        self.agents
            .iter()
            .filter(changed)
            .map(|it| it.endpoint)
            .collect()
    }

    /// An agent was told of its endpoint's state.
    pub(crate) fn told(&mut self, agent: Ipv4Addr) {
        if let Some(state) = self.find_mut(agent) {
            state.told = Some((state.endpoint.state, state.endpoint.slots.get()));
        }
    }

    pub(crate) fn note_answer(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        fullness: Fullness,
        out: &mut impl Outbox,
    ) {
        let Some(state) = self.find_mut(agent) else {
            return;
        };
        state.heard = now;
        state.fullness = fullness;
        state.fullness_at = now;
        if state.is_lost {
            state.is_lost = false;
            out.event(Event::AgentRegained { agent });
        }
    }

    /// An agent answered a notice.
    pub(crate) fn note_report(
        &mut self,
        now: Millis,
        agent: Ipv4Addr,
        report: &Report<'_>,
        out: &mut impl Outbox,
    ) {
        self.note_answer(now, agent, report.fullness, out);
        if report.fullness == FULLNESS_CLOSED {
            return;
        }
        if let Some(state) = self.find_mut(agent) {
            state.usual.fullness = state.usual.fullness.midpoint(report.fullness);
            state.usual.idle = state.usual.idle.midpoint(report.idle_fullness);
        }
    }

    /// Marks agents that have not answered.
    pub(crate) fn sweep(&mut self, now: Millis, out: &mut impl Outbox) {
        for state in &mut self.agents {
            let silent = now.since(state.heard);
            if !state.is_lost && silent > LOST_MS {
                state.is_lost = true;
                out.event(Event::AgentLost {
                    agent: state.endpoint.agent(),
                    silent_ms: silent.get(),
                });
            }
        }
    }

    /// Returns whether the agent has not answered for long.
    pub(crate) fn is_lost(&self, now: Millis, agent: Ipv4Addr) -> bool {
        self.find(agent)
            .is_some_and(|it| now.since(it.heard) > LOST_MS)
    }

    /// Returns whether the agent has said anything since `time`.
    pub(crate) fn was_heard_since(&self, agent: Ipv4Addr, time: Millis) -> bool {
        self.find(agent).is_some_and(|it| it.heard >= time)
    }

    /// Returns whether the agent failed to answer the last notice.
    pub(crate) fn is_doubtful(&self, now: Millis, agent: Ipv4Addr) -> bool {
        self.find(agent)
            .is_some_and(|it| now.since(it.heard) > DOUBTFUL_MS)
    }

    /// Returns whether openings should rather go elsewhere.
    pub(crate) fn is_avoided(&self, now: Millis, agent: Ipv4Addr) -> bool {
        self.find(agent).is_some_and(|it| {
            let is_closed =
                it.fullness == FULLNESS_CLOSED && now.since(it.fullness_at) < CLOSED_BELIEVED_MS;
            is_closed || now.since(it.heard) > LOST_MS
        })
    }

    /// Returns how full an endpoint may be to take an opening at once: it has a free slot or, where
    /// slots are short, it is no fuller than those in `window` are in the mean.
    ///
    /// Requests pass, but idle flows stay where they are: their part is compared even where all
    /// endpoints have room, since at the next crest they can't be moved.
    pub(crate) fn accept_limits(&self, now: Millis, window: &[Endpoint]) -> AcceptLimits {
        let states = window.iter().filter_map(|it| self.find(it.agent()));
        let open = states.filter(|it| {
            it.fullness != FULLNESS_CLOSED && now.since(it.fullness_at) <= FULLNESS_BELIEVED_MS
        });
        let (mut fullness, mut idle, mut count) = (0, 0, 0);
        for state in open {
            fullness += u32::from(state.usual.fullness);
            idle += u32::from(state.usual.idle);
            count += 1;
        }
        if count == 0 {
            return AcceptLimits::FREE_SLOT;
        }
        let idle = idle / count;
        let limit = |it| Fullness::try_from(it).unwrap_or(FULLNESS_CLOSED - 1);
        AcceptLimits {
            fullness: limit((fullness / count).max(u32::from(FULL) - 1)),
            idle: limit(idle + idle / IDLE_SLACK + 1),
        }
    }

    /// Returns the slots of an agent's endpoint, zero if they aren't known.
    pub(crate) fn slots(&self, agent: Ipv4Addr) -> u8 {
        let slots = self.find(agent).map_or(0, |it| it.endpoint.slots.get());
        u8::try_from(slots).unwrap_or(u8::MAX)
    }

    fn find(&self, agent: Ipv4Addr) -> Option<&AgentState> {
        let idx = self
            .agents
            .binary_search_by_key(&agent, |it| it.endpoint.agent())
            .ok()?;
        Some(&self.agents[idx])
    }

    fn find_mut(&mut self, agent: Ipv4Addr) -> Option<&mut AgentState> {
        let idx = self
            .agents
            .binary_search_by_key(&agent, |it| it.endpoint.agent())
            .ok()?;
        Some(&mut self.agents[idx])
    }
}
