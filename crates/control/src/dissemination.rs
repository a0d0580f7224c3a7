//! Dissemination of bundles between processes.
//!
//! A newly accepted bundle is pushed to some peers at once, and periodic anti-entropy exchanges
//! bring the bundle to every process.

mod client;
mod partners;
mod server;
mod tls;

use std::{net::SocketAddr, sync::Arc};

use bundle::VersionEntry;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _};
use timeline::{BundleSource, Event, Note};
use tokio::{sync::oneshot, task::JoinSet};
use units::{BundleVersion, Millis, ServiceId};

use crate::{bundles::BundlesMsg, shared::SharedState};
use client::PeerClient;
use partners::Partners;

pub use server::BundlesService;
pub use tls::{TlsError, client_tls, server_tls};

/// Maximum number of concurrent anti-entropy exchanges in a synchronization with peers or agents.
const SYNC_CONCURRENCY: usize = 8;

/// Maximum number of peers contacted at startup or after a pause.
const SYNC_PEERS_MAX: usize = 64;

/// Number of answers from ready peers after which a synchronization is complete.
const READY_PEERS_WANTED: usize = 3;

/// Mean interval of anti-entropy exchanges while no bundle is in force.
const EMPTY_VIEW_INTERVAL_MS: Millis = Millis::new(300);

/// Number of a balancer's ticks between anti-entropy exchanges with an agent.
const TICKS_PER_AGENT_EXCHANGE: u64 = 5;

/// Maximum number of agents contacted per service when no ready peer answered.
const SYNC_AGENTS_PER_SERVICE: usize = 2;

/// Maximum number of services whose agents are contacted when no ready peer answered.
const SYNC_SERVICES_MAX: usize = 64;

/// Actor that exchanges bundles with other processes.
#[derive(Debug)]
pub(crate) struct Disseminator;

/// Message to the disseminator.
#[derive(Debug)]
pub(crate) enum DisseminatorMsg {
    /// Starts an anti-entropy exchange with a random partner.
    Tick,
    /// This process put a bundle or key set in force, which is to be pushed to partners.
    Accepted(VersionEntry),
    /// A tunnel header named this bundle version, which is pulled if it is newer than the held one.
    Pull(ServiceId, BundleVersion),
    /// Exchanges bundles with peers until enough ready ones have answered; replies whether any did.
    SyncPeers(oneshot::Sender<bool>),
    /// Exchanges bundles with agents of the services in force; replies whether any ready one
    /// answered.
    SyncAgents(oneshot::Sender<bool>),
    /// Exchanges bundles with peers, then records in the pause detector that peers confirmed the
    /// state.
    ConfirmAfterPause {
        /// Number of pauses of the process detected before the exchanges began.
        pauses: u64,
    },
    /// A gRPC call to a partner ended, successfully or not.
    CallDone(SocketAddr, bool),
}

#[derive(Debug)]
pub(crate) struct DisseminatorState {
    shared: Arc<SharedState>,
    myself: ActorRef<DisseminatorMsg>,
    client: PeerClient,
    partners: Partners,
    rng: StdRng,
    ticks: u64,
}

/// Arguments of the disseminator.
#[derive(Debug)]
pub(crate) struct DisseminatorArgs {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) bundles: ActorRef<BundlesMsg>,
    pub(crate) tls: tonic::transport::ClientTlsConfig,
    pub(crate) seed: u64,
}

impl Actor for Disseminator {
    type Msg = DisseminatorMsg;
    type State = DisseminatorState;
    type Arguments = DisseminatorArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<DisseminatorMsg>,
        args: DisseminatorArgs,
    ) -> Result<DisseminatorState, ActorProcessingErr> {
        args.bundles.cast(BundlesMsg::Subscribe(myself.clone()))?;
        myself.cast(DisseminatorMsg::Tick)?;
        let client = PeerClient::new(Arc::clone(&args.shared), args.bundles, args.tls);
        Ok(DisseminatorState {
            partners: Partners::new(args.shared.timing),
            shared: args.shared,
            myself,
            client,
            rng: StdRng::seed_from_u64(args.seed),
            ticks: 0,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<DisseminatorMsg>,
        message: DisseminatorMsg,
        state: &mut DisseminatorState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            DisseminatorMsg::Tick => state.exchange_on_tick(),
            DisseminatorMsg::Accepted(held) => state.push_to_partners(held),
            DisseminatorMsg::Pull(service, version) => state.pull_if_newer(service, version),
            DisseminatorMsg::SyncPeers(reply) => state.sync_peers(move |it| send_reply(reply, it)),
            DisseminatorMsg::SyncAgents(reply) => state.sync_agents(reply),
            DisseminatorMsg::ConfirmAfterPause { pauses } => state.confirm_after_pause(pauses),
            DisseminatorMsg::CallDone(address, is_ok) => state.handle_call_result(address, is_ok),
        }
        Ok(())
    }
}

impl DisseminatorState {
    fn exchange_on_tick(&mut self) {
        let interval_ms = self.exchange_interval().get();
        let delay = Millis::new(self.rng.random_range(interval_ms / 2..=interval_ms * 3 / 2));
        self.myself
            .send_after(delay.to_duration(), || DisseminatorMsg::Tick);
        self.ticks += 1;
        self.partners.refresh_partners(
            &self.shared.other_peers(),
            self.shared.now(),
            &self.client,
            &mut self.rng,
        );
        if let Some(partner) = self.partners.choose_partner(&mut self.rng) {
            self.spawn_exchange(partner, self.shared.only_service);
        }
        if self.shared.only_service.is_none() && self.ticks.is_multiple_of(TICKS_PER_AGENT_EXCHANGE)
        {
            self.exchange_with_random_agent();
        }
    }

    /// Returns the mean interval of anti-entropy exchanges.
    ///
    /// A process without a bundle in force cannot serve, so it exchanges at a shorter interval.
    fn exchange_interval(&self) -> Millis {
        let usual_interval = self.shared.timing.exchange_interval_ms;
        if self.shared.view.load().is_empty() {
            return usual_interval.min(EMPTY_VIEW_INTERVAL_MS);
        }
        usual_interval
    }

    /// Spawns an anti-entropy exchange with a partner, restricted to one service if `only` is
    /// given.
    fn spawn_exchange(&self, partner: partners::Partner, only: Option<ServiceId>) {
        let client = self.client.clone();
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let res = client.exchange_bundles(&partner, only).await;
            drop(myself.cast(DisseminatorMsg::CallDone(partner.address, res.is_ok())));
        });
    }

    /// Exchanges the bundle of a random service with one of the service's agents.
    ///
    /// Agents still hold the bundle of their service when all balancers have lost it.
    fn exchange_with_random_agent(&mut self) {
        let view = self.shared.view.load();
        let Some(held) = view.choose(&mut self.rng) else {
            return;
        };
        let Some(endpoint) = held.current.bundle.endpoints.choose(&mut self.rng) else {
            return;
        };
        let agent = self.client.connect_lazily(endpoint.control_address);
        self.spawn_exchange(agent, Some(held.service()));
    }

    fn push_to_partners(&mut self, held: VersionEntry) {
        for partner in self.partners.choose_for_push(&mut self.rng) {
            let client = self.client.clone();
            let myself = self.myself.clone();
            tokio::spawn(async move {
                let res = client.announce_version(&partner, held).await;
                drop(myself.cast(DisseminatorMsg::CallDone(partner.address, res.is_ok())));
            });
        }
    }

    fn pull_if_newer(&mut self, service: ServiceId, version: BundleVersion) {
        let held = self.shared.store.load().version_entry(service);
        if held.is_some_and(|it| it.version >= version) {
            return;
        }
        self.shared.counters.increment("spread.cues");
        self.shared.recorder.record(Event::BundleSeen {
            service,
            version,
            source: BundleSource::Peer(Note::new("tunnel header")),
        });
        for partner in self.partners.choose_for_push(&mut self.rng) {
            self.spawn_exchange(partner, Some(service));
        }
    }

    fn sync_peers(&mut self, reply: impl FnOnce(bool) + Send + 'static) {
        let only = self.shared.only_service;
        let peers = self.shared.other_peers();
        let targets: Vec<_> = peers
            .choose_multiple(&mut self.rng, SYNC_PEERS_MAX)
            .map(|it| (*it, only))
            .collect();
        self.spawn_sync(targets, READY_PEERS_WANTED, reply);
    }

    fn sync_agents(&mut self, reply: oneshot::Sender<bool>) {
        let view = self.shared.view.load_full();
        let mut targets = Vec::new();
        for held in view.choose_multiple(&mut self.rng, SYNC_SERVICES_MAX) {
            let endpoints = &held.current.bundle.endpoints;
            for it in endpoints.choose_multiple(&mut self.rng, SYNC_AGENTS_PER_SERVICE) {
                targets.push((it.control_address, Some(held.service())));
            }
        }
        self.spawn_sync(targets, usize::MAX, move |it| send_reply(reply, it));
    }

    fn spawn_sync(
        &self,
        targets: Vec<(SocketAddr, Option<ServiceId>)>,
        ready_wanted: usize,
        reply: impl FnOnce(bool) + Send + 'static,
    ) {
        let client = self.client.clone();
        tokio::spawn(async move { reply(exchange_with_all(&client, targets, ready_wanted).await) });
    }

    fn confirm_after_pause(&mut self, pauses: u64) {
        let shared = Arc::clone(&self.shared);
        self.sync_peers(move |_any_ready| shared.pause_detector.confirm_state(pauses));
    }

    fn handle_call_result(&mut self, address: SocketAddr, is_ok: bool) {
        if is_ok {
            return;
        }
        self.shared.counters.increment("spread.failed");
        self.partners.remove_partner(address);
    }
}

/// Runs anti-entropy exchanges with the targets, some concurrently, until `ready_wanted` ready
/// processes have answered.
///
/// Returns whether any ready process answered.
async fn exchange_with_all(
    client: &PeerClient,
    targets: Vec<(SocketAddr, Option<ServiceId>)>,
    ready_wanted: usize,
) -> bool {
    let mut remaining = targets.into_iter();
    let mut exchanges = JoinSet::new();
    let mut ready_count = 0;
    loop {
        while exchanges.len() < SYNC_CONCURRENCY {
            let Some((address, only)) = remaining.next() else {
                break;
            };
            let (client, partner) = (client.clone(), client.connect_lazily(address));
            exchanges.spawn(async move { client.exchange_bundles(&partner, only).await });
        }
        match exchanges.join_next().await {
            Some(Ok(Ok(outcome))) => ready_count += usize::from(outcome.is_ready),
            Some(_failed) => {}
            None => return ready_count > 0,
        }
        if ready_count >= ready_wanted {
            return true;
        }
    }
}

fn send_reply(reply: oneshot::Sender<bool>, any_ready: bool) {
    // The receiver of the reply may have stopped waiting.
    let _ = reply.send(any_ready);
}
