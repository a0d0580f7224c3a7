//! Loads of the other agents, polled while this agent is busy.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use admission::{Load, at_most_once::Agent, handoff::PeerLoads};
use bundle::RequestClass;
use rand::seq::IndexedRandom;
use units::{EndpointId, Millis};
use wire::requests::LoadRequest;

use super::HandOff;
use crate::calls::convert;

/// Interval between polls of other agents' loads while requests are queued here.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of poll intervals between polls of other agents' loads while no request is queued here.
const IDLE_POLL_INTERVALS: u32 = 2;

/// Number of agents whose load is polled at a time.
const PEERS_POLLED: usize = 2;

/// Number of agents whose load is polled at a time while requests are queued here.
const PEERS_POLLED_WHEN_QUEUED: usize = 3;

/// Timeout of a query for another agent's load.
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(100);

/// Last known loads of the other agents, by request class.
#[derive(Debug)]
pub(crate) struct PeerLoadTable {
    inner: Mutex<Inner>,
    started: Instant,
}

/// Loads of other agents by request class; the classes differ by the slots reserved for short
/// requests.
#[derive(Debug, Default)]
struct Inner {
    short: PeerLoads,
    long: PeerLoads,
}

impl Default for PeerLoadTable {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            started: Instant::now(),
        }
    }
}

impl PeerLoadTable {
    /// Chooses a peer with more than `floor` free slots for the request class, and counts one of
    /// the slots as taken.
    pub(crate) fn choose_with_more_free_slots(
        &self,
        class: RequestClass,
        floor: u32,
    ) -> Option<Agent> {
        let now = self.now();
        let random = rand::random();
        let mut inner = self.lock();
        match class {
            RequestClass::Short => inner
                .short
                .choose_peer_with_free_slots_above(now, random, floor),
            RequestClass::Long => inner
                .long
                .choose_peer_with_free_slots_above(now, random, floor),
        }
    }

    /// Chooses a peer with a free slot for the request class, or a full peer that is due for a
    /// probe.
    pub(crate) fn choose_free_or_probe(&self, class: RequestClass) -> Option<Agent> {
        let now = self.now();
        let random = rand::random();
        let mut inner = self.lock();
        match class {
            RequestClass::Short => inner.short.choose_peer(now, random),
            RequestClass::Long => inner.long.choose_peer(now, random),
        }
    }

    /// Records the load that a peer reported.
    pub(crate) fn record_load(&self, agent: Agent, load: Load) {
        let now = self.now();
        let mut inner = self.lock();
        inner.short.record_load(now, agent, load);
        let long = Load {
            free_short: load.free_long,
            ..load
        };
        inner.long.record_load(now, agent, long);
    }

    /// Records that a peer refused a request or did not reply, which counts it as full.
    pub(crate) fn record_failure(&self, endpoint: EndpointId) {
        let now = self.now();
        let mut inner = self.lock();
        inner.short.mark_peer_full(now, endpoint);
        inner.long.mark_peer_full(now, endpoint);
    }

    fn now(&self) -> Millis {
        Millis::from_duration(self.started.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HandOff {
    /// Polls random peers for their loads while this agent is busy; never returns.
    pub(crate) async fn poll_loads(&self) {
        let mut interval = tokio::time::interval(LOAD_POLL_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut idle_ticks = 0;
        loop {
            interval.tick().await;
            let is_waiting = self.acquire_slot.gate.load().waiting > 0;
            idle_ticks = if is_waiting { 0 } else { idle_ticks + 1 };
            if !self.is_busy() || idle_ticks % IDLE_POLL_INTERVALS != 0 {
                continue;
            }
            let count = if is_waiting {
                PEERS_POLLED_WHEN_QUEUED
            } else {
                PEERS_POLLED
            };
            let others = self.other_serving_endpoints();
            let chosen = others.choose_multiple(&mut rand::rng(), count);
            let queries: Vec<_> = chosen.map(|it| self.query_load(*it)).collect();
            futures_util::future::join_all(queries).await;
        }
    }

    /// Returns whether requests are queued, may soon be queued, or can't start because the agent
    /// drains.
    fn is_busy(&self) -> bool {
        let load = self.acquire_slot.gate.load();
        load.free_short == 0 || load.waiting > 0 || load.running * 2 >= load.limit
    }

    /// Returns the endpoints of the current bundle that are not leaving, except this agent's own.
    fn other_serving_endpoints(&self) -> Vec<EndpointId> {
        let in_force = self.route.in_force.load();
        let endpoints = in_force.current.bundle.endpoints.iter();
        let others = endpoints.filter(|it| !it.is_leaving && it.id != self.local_agent.endpoint);
        others.map(|it| it.id).collect()
    }

    /// Queries the load of a peer and records the result.
    async fn query_load(&self, endpoint: EndpointId) {
        let Some(mut client) = self.peers.client_for_endpoint(endpoint) else {
            return;
        };
        let request = LoadRequest {
            service: self.service.get(),
        };
        let reply = tokio::time::timeout(LOAD_QUERY_TIMEOUT, client.load(request)).await;
        let load_reply = reply.ok().and_then(Result::ok);
        match load_reply.and_then(|it| convert::decode_load(it.into_inner())) {
            Some((agent, load)) => self.loads.record_load(agent, load),
            None => self.loads.record_failure(endpoint),
        }
    }
}
