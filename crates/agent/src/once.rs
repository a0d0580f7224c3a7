//! Runs each non-idempotent request at most once across the agents of a service.
//!
//! One agent owns each request key and grants each attempt of the request. Before it grants a
//! repeat, it fences the key at the other agents, so that no earlier attempt can start any more.

mod attempt;
mod response_cache;

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

pub(crate) use attempt::{PendingAttempt, RequestAttempt, RunGuard};
pub(crate) use response_cache::{CACHED_BODY_MAX_BYTES, CachedResponse};

use response_cache::ResponseCache;

/// Timeout of a fence call, which stops earlier attempts of a request from starting at one agent.
const FENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a grant call to the owner of a request key, which may run two rounds of fence calls.
const GRANT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Coordinates at-most-once execution between this agent and its peers.
#[derive(Debug)]
pub(crate) struct OnceCoordinator {
    service: ServiceId,
    in_force: Arc<ArcSwap<InForce>>,
    state: Mutex<AtMostOnceState>,
    cache: ResponseCache,
    peers: Arc<Peers>,
}

impl OnceCoordinator {
    /// Creates a coordinator that knows of no attempts yet.
    pub(crate) fn new(
        service: ServiceId,
        local: Agent,
        in_force: Arc<ArcSwap<InForce>>,
        peers: Arc<Peers>,
    ) -> Self {
        let state = AtMostOnceState::new(local, unix_time(), bundle_view(&in_force.load()));
        Self {
            service,
            in_force,
            state: Mutex::new(state),
            cache: ResponseCache::default(),
            peers,
        }
    }

    /// Returns the id of this agent: its endpoint and incarnation.
    pub(crate) fn local_agent(&self) -> Agent {
        self.lock().local_agent()
    }

    /// Derives the request key from the service and the caller's idempotency key.
    pub(crate) fn request_key(&self, name: &str) -> RequestKey {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.service.get().to_be_bytes());
        hasher.update(name.as_bytes());
        let mut key = [0; 16];
        key.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        RequestKey::new(key)
    }

    /// Asks the owner of a request key to grant an attempt to this agent.
    ///
    /// Returns `None` if the owner is unreachable or its reply is invalid.
    pub(crate) async fn request_grant(
        self: &Arc<Self>,
        request_attempt: RequestAttempt,
    ) -> Option<Verdict> {
        let (owner, ask) = {
            let state = self.lock();
            let ask = GrantRequest {
                key: request_attempt.key,
                attempt: request_attempt.attempt,
                first_sent_ms: request_attempt.first_sent_ms,
                requester: state.local_agent(),
                version: state.version(),
            };
            (state.owner_of(request_attempt.key), ask)
        };
        if owner == ask.requester.endpoint {
            return Some(self.decide_as_owner(ask).await);
        }
        let mut client = self.peers.client_for_endpoint(owner)?;
        let request = convert::encode_grant_request(self.service, &ask);
        let reply = tokio::time::timeout(GRANT_TIMEOUT, client.grant(request)).await;
        convert::decode_verdict(&reply.ok()?.ok()?.into_inner())
    }

    /// Decides whether to grant an attempt, as the owner of its request key.
    ///
    /// The decision runs in a task of its own, so that it completes even if the caller drops this
    /// future.
    pub(crate) async fn decide_as_owner(self: &Arc<Self>, ask: GrantRequest) -> Verdict {
        let coordinator = Arc::clone(self);
        let deciding = tokio::spawn(async move { coordinator.resolve_grant(ask).await });
        deciding.await.unwrap_or(Verdict::Unknown)
    }

    /// Fetches the cached response of an earlier attempt from the agent that ran it.
    ///
    /// Waits until `deadline` for an attempt that is still running.
    pub(crate) async fn fetch_response(
        &self,
        agent: Agent,
        key: RequestKey,
        deadline: Instant,
    ) -> Option<CachedResponse> {
        let wait = deadline.saturating_duration_since(Instant::now());
        if agent == self.local_agent() {
            return self.wait_for_local_response(key, wait).await;
        }
        let mut client = self.peers.client_for_endpoint(agent.endpoint)?;
        let request = convert::encode_answer_request(self.service, agent, key, wait);
        let reply = tokio::time::timeout(wait, client.answer(request)).await;
        convert::decode_cached_response(reply.ok()?.ok()?.into_inner())
    }

    /// Returns the cached response of an attempt that ran at this agent.
    ///
    /// Waits up to `wait` for an attempt that is still running.
    pub(crate) async fn wait_for_local_response(
        &self,
        key: RequestKey,
        wait: Duration,
    ) -> Option<CachedResponse> {
        self.cache.wait_for_response(key, wait).await
    }

    /// Handles a fence request from the owner of a request key.
    pub(crate) fn handle_fence(&self, request: &FenceRequest) -> FenceReply {
        self.lock().handle_fence_request(unix_time(), request)
    }

    /// Runs the rounds of fence calls that the decision on a grant needs.
    async fn resolve_grant(&self, ask: GrantRequest) -> Verdict {
        let mut step = self.lock().handle_grant_request(unix_time(), ask);
        loop {
            match step {
                Step::Reply(verdict) => return verdict,
                Step::Fence(settle) => {
                    let request = settle.fence_request(self.lock().version());
                    let targets = settle.targets();
                    let calls = targets.iter().map(|it| self.send_fence(*it, &request));
                    let replies: Vec<_> = join_all(calls).await.into_iter().flatten().collect();
                    step = self.lock().handle_fence_replies(settle, &replies);
                }
            }
        }
    }

    async fn send_fence(&self, target: EndpointId, request: &FenceRequest) -> Option<FenceReply> {
        let mut client = self.peers.client_for_endpoint(target)?;
        let request = convert::encode_fence_request(self.service, request);
        let reply = tokio::time::timeout(FENCE_TIMEOUT, client.fence(request)).await;
        convert::decode_fence_reply(&reply.ok()?.ok()?.into_inner())
    }

    /// Locks the at-most-once state and updates its endpoints to the current bundle.
    fn lock(&self) -> MutexGuard<'_, AtMostOnceState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let in_force = self.in_force.load();
        if in_force.current.bundle.version > state.version() {
            state.adopt_bundle(unix_time(), bundle_view(&in_force));
        }
        state
    }
}

/// Returns the wall-clock time since the Unix epoch.
pub(crate) fn unix_time() -> Millis {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis::from_duration(now.unwrap_or_default())
}

/// Returns the endpoints of the current and the previous bundle.
fn bundle_view(in_force: &InForce) -> BundleEndpoints {
    let ids = |it: &AcceptedBundle| it.bundle.endpoints.iter().map(|it| it.id).collect();
    let view = BundleEndpoints::new(in_force.current.bundle.version, ids(&in_force.current));
    match &in_force.previous {
        Some(previous) => view.with_previous(ids(previous)),
        None => view,
    }
}
