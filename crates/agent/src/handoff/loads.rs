//! Loads of the other agents, asked for while this one is busy.

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

/// Time between questions while requests wait.
const ASK_INTERVAL: Duration = Duration::from_millis(10);

/// Intervals between questions while none waits.
const QUIET_INTERVALS: u32 = 2;

/// Agents asked at once.
const ASKED: usize = 2;

/// Agents asked at once while requests wait.
const ASKED_WAITING: usize = 3;

/// Longest wait for a load.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Loads of the other agents, from recent exchanges.
#[derive(Debug)]
pub(crate) struct Loads {
    inner: Mutex<Inner>,
    started: Instant,
}

/// Free slots for each class; they differ by the reserve for short work.
#[derive(Debug, Default)]
struct Inner {
    short: PeerLoads,
    long: PeerLoads,
}

impl Default for Loads {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            started: Instant::now(),
        }
    }
}

impl Loads {
    /// Chooses an agent with more than `floor` slots free for the class.
    pub(crate) fn choose(&self, class: RequestClass, floor: u32) -> Option<Agent> {
        let now = self.now();
        let random = rand::random();
        let mut inner = self.lock();
        match class {
            RequestClass::Short => inner.short.choose_with_free_above(now, random, floor),
            RequestClass::Long => inner.long.choose_with_free_above(now, random, floor),
        }
    }

    /// Chooses an agent with a free slot, or one that may have one again, for a request that can't
    /// start here.
    pub(crate) fn choose_in_need(&self, class: RequestClass) -> Option<Agent> {
        let now = self.now();
        let random = rand::random();
        let mut inner = self.lock();
        match class {
            RequestClass::Short => inner.short.choose(now, random),
            RequestClass::Long => inner.long.choose(now, random),
        }
    }

    /// Takes in what an agent told.
    pub(crate) fn hear(&self, agent: Agent, load: Load) {
        let now = self.now();
        let mut inner = self.lock();
        inner.short.record_load(now, agent, load);
        let long = Load {
            free_short: load.free_long,
            ..load
        };
        inner.long.record_load(now, agent, long);
    }

    /// Notes that an agent refused or gave no answer.
    pub(crate) fn lower(&self, endpoint: EndpointId) {
        let now = self.now();
        let mut inner = self.lock();
        inner.short.mark_full(now, endpoint);
        inner.long.mark_full(now, endpoint);
    }

    fn now(&self) -> Millis {
        Millis::from_duration(self.started.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HandOff {
    /// Asks random agents for their loads while this one is busy, for ever.
    pub(crate) async fn ask_loads(&self) {
        let mut interval = tokio::time::interval(ASK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut quiet = 0;
        loop {
            interval.tick().await;
            let is_waiting = self.admit.gate.load().waiting > 0;
            quiet = if is_waiting { 0 } else { quiet + 1 };
            if !self.is_busy() || quiet % QUIET_INTERVALS != 0 {
                continue;
            }
            let count = if is_waiting { ASKED_WAITING } else { ASKED };
            let others = self.others();
            let asked = others.choose_multiple(&mut rand::rng(), count);
            let asks: Vec<_> = asked.map(|it| self.ask_load(*it)).collect();
            futures_util::future::join_all(asks).await;
        }
    }

    /// Tells whether requests may soon have to wait here, or can't start since the agent leaves.
    fn is_busy(&self) -> bool {
        let load = self.admit.gate.load();
        load.free_short == 0 || load.waiting > 0 || load.running * 2 >= load.limit
    }

    /// Returns the other endpoints that the bundle in force names and that don't leave.
    fn others(&self) -> Vec<EndpointId> {
        let in_force = self.route.in_force.load();
        let endpoints = in_force.current.bundle.endpoints.iter();
        let others = endpoints.filter(|it| !it.is_leaving && it.id != self.me.endpoint);
        others.map(|it| it.id).collect()
    }

    async fn ask_load(&self, endpoint: EndpointId) {
        let Some(mut client) = self.peers.client(endpoint) else {
            return;
        };
        let request = LoadRequest {
            service: self.service.get(),
        };
        let reply = tokio::time::timeout(ASK_TIMEOUT, client.load(request)).await;
        let told = reply.ok().and_then(Result::ok);
        match told.and_then(|it| convert::load(it.into_inner())) {
            Some((agent, load)) => self.loads.hear(agent, load),
            None => self.loads.lower(endpoint),
        }
    }
}
