//! At most once at work: grants from the owner of a key, fences, and starts.

mod answers;
mod ticket;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use admission::at_most_once::{
    Agent, AtMostOnceState, BundleEndpoints, FenceReply, FenceRequest, GrantRequest, RequestKey,
    Step, Verdict,
};
use arc_swap::ArcSwap;
use bundle::{AcceptedBundle, InForce};
use futures_util::future::join_all;
use units::{EndpointId, Millis, ServiceId};

use crate::{calls::convert, peers::Peers};

pub(crate) use answers::{KEPT_BODY_MAX_BYTES, KeptAnswer};
pub(crate) use ticket::{Attempted, Run, Ticket};

use answers::Answers;

/// Longest wait for one agent's answer to a fence.
const FENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the owner's verdict, which may take two rounds of fences.
const GRANT_TIMEOUT: Duration = Duration::from_millis(1500);

/// The at-most-once state of this agent, with the calls it needs.
#[derive(Debug)]
pub(crate) struct Keys {
    service: ServiceId,
    in_force: Arc<ArcSwap<InForce>>,
    state: Mutex<AtMostOnceState>,
    answers: Answers,
    peers: Arc<Peers>,
}

impl Keys {
    /// Starts with empty memory.
    pub(crate) fn new(
        service: ServiceId,
        me: Agent,
        in_force: Arc<ArcSwap<InForce>>,
        peers: Arc<Peers>,
    ) -> Self {
        let state = AtMostOnceState::new(me, unix_now(), view(&in_force.load()));
        Self {
            service,
            in_force,
            state: Mutex::new(state),
            answers: Answers::default(),
            peers,
        }
    }

    /// Returns this agent.
    pub(crate) fn me(&self) -> Agent {
        self.lock().me()
    }

    /// Makes the key of a request from what the caller named it.
    pub(crate) fn key(&self, name: &str) -> RequestKey {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.service.get().to_be_bytes());
        hasher.update(name.as_bytes());
        let mut key = [0; 16];
        key.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        RequestKey::new(key)
    }

    /// Asks the owner of the key whether this agent may run an attempt; `None` if it can't be
    /// reached.
    pub(crate) async fn ask(self: &Arc<Self>, attempted: Attempted) -> Option<Verdict> {
        let (owner, ask) = {
            let state = self.lock();
            let ask = GrantRequest {
                key: attempted.key,
                attempt: attempted.attempt,
                first_sent_ms: attempted.first_sent_ms,
                requester: state.me(),
                version: state.version(),
            };
            (state.owner_of(attempted.key), ask)
        };
        if owner == ask.requester.endpoint {
            return Some(self.decide(ask).await);
        }
        let mut client = self.peers.client(owner)?;
        let request = convert::grant_request(self.service, &ask);
        let reply = tokio::time::timeout(GRANT_TIMEOUT, client.grant(request)).await;
        convert::verdict(&reply.ok()?.ok()?.into_inner())
    }

    /// Decides as owner. A settlement that was begun is concluded even if nobody waits for it.
    pub(crate) async fn decide(self: &Arc<Self>, ask: GrantRequest) -> Verdict {
        let keys = Arc::clone(self);
        let deciding = tokio::spawn(async move { keys.settle(ask).await });
        deciding.await.unwrap_or(Verdict::Unknown)
    }

    /// Returns the answer of an earlier attempt, waiting for it while that runs.
    pub(crate) async fn answer_of(
        &self,
        agent: Agent,
        key: RequestKey,
        until: Instant,
    ) -> Option<KeptAnswer> {
        let wait = until.saturating_duration_since(Instant::now());
        if agent == self.me() {
            return self.own_answer(key, wait).await;
        }
        let mut client = self.peers.client(agent.endpoint)?;
        let request = convert::answer_request(self.service, agent, key, wait);
        let reply = tokio::time::timeout(wait, client.answer(request)).await;
        convert::kept_answer(reply.ok()?.ok()?.into_inner())
    }

    /// Returns the answer of an attempt that ran here.
    pub(crate) async fn own_answer(&self, key: RequestKey, wait: Duration) -> Option<KeptAnswer> {
        self.answers.wait_for(key, wait).await
    }

    /// Answers another owner's fence.
    pub(crate) fn fence(&self, request: &FenceRequest) -> FenceReply {
        self.lock().handle_fence_request(unix_now(), request)
    }

    async fn settle(&self, ask: GrantRequest) -> Verdict {
        let mut step = self.lock().handle_grant_request(unix_now(), ask);
        loop {
            match step {
                Step::Reply(verdict) => return verdict,
                Step::Fence(settle) => {
                    let request = settle.fence_request(self.lock().version());
                    let targets = settle.targets();
                    let calls = targets.iter().map(|it| self.call_fence(*it, &request));
                    let replies: Vec<_> = join_all(calls).await.into_iter().flatten().collect();
                    step = self.lock().handle_fence_replies(settle, &replies);
                }
            }
        }
    }

    async fn call_fence(&self, target: EndpointId, request: &FenceRequest) -> Option<FenceReply> {
        let mut client = self.peers.client(target)?;
        let request = convert::fence_request(self.service, request);
        let reply = tokio::time::timeout(FENCE_TIMEOUT, client.fence(request)).await;
        convert::fence_reply(&reply.ok()?.ok()?.into_inner())
    }

    /// Returns the state with the bundle in force adopted.
    fn lock(&self) -> MutexGuard<'_, AtMostOnceState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let in_force = self.in_force.load();
        if in_force.current.bundle.version > state.version() {
            state.adopt_bundle(unix_now(), view(&in_force));
        }
        state
    }
}

/// Returns the time since the Unix epoch.
pub(crate) fn unix_now() -> Millis {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis::from_duration(now.unwrap_or_default())
}

/// Returns the endpoints that the bundles name.
fn view(in_force: &InForce) -> BundleEndpoints {
    let ids = |it: &AcceptedBundle| it.bundle.endpoints.iter().map(|it| it.id).collect();
    let view = BundleEndpoints::new(in_force.current.bundle.version, ids(&in_force.current));
    match &in_force.previous {
        Some(previous) => view.with_previous(ids(previous)),
        None => view,
    }
}
