//! Spread of bundles between processes: announcements at once, comparisons all the time.

mod client;
mod partners;
mod server;
mod tls;

use std::{net::SocketAddr, sync::Arc};

use bundle::Held;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _};
use timeline::{BundleSource, Event, Note};
use tokio::{sync::oneshot, task::JoinSet};
use units::{BundleVersion, Millis, ServiceId};

use crate::{bundles::BundlesMsg, shared::Shared};
use client::Caller;
use partners::Partners;

pub use server::BundlesService;
pub use tls::{TlsError, client_tls, server_tls};

/// Peers asked at the same time at the start and after a pause.
const ASK_PARALLEL: usize = 8;

/// Most peers asked at the start and after a pause.
const ASK_MAX: usize = 64;

/// Answers of serving peers that are enough.
const ASK_ENOUGH: usize = 3;

/// Mean time between comparisons while nothing is held.
const EMPTY_INTERVAL_MS: Millis = Millis::new(300);

/// Ticks between comparisons with an agent.
const TICKS_PER_AGENT: u64 = 5;

/// Endpoints asked for each service when no peer knew anything.
const AGENTS_PER_SERVICE: usize = 2;

/// Services whose agents are asked when no peer knew anything.
const ASKED_SERVICES_MAX: usize = 64;

/// The spread controller.
#[derive(Debug)]
pub(crate) struct Spread;

/// What the spread controller is told.
#[derive(Debug)]
pub(crate) enum SpreadMsg {
    /// Compare with a partner.
    Tick,
    /// This process put a bundle or key set in force.
    Accepted(Held),
    /// A newer version was seen in a tunnel header.
    Cue(ServiceId, BundleVersion),
    /// Ask peers until enough that serve have answered, then say whether any did.
    AskPeers(oneshot::Sender<bool>),
    /// Ask agents of the services in force, then say whether any that serves has answered.
    AskAgents(oneshot::Sender<bool>),
    /// Ask peers, then take facts as confirmed after this many pauses.
    Confirm {
        /// Pauses found before peers were asked.
        pauses: u64,
    },
    /// A call to a partner ended.
    CallDone(SocketAddr, bool),
}

#[derive(Debug)]
pub(crate) struct SpreadState {
    shared: Arc<Shared>,
    myself: ActorRef<SpreadMsg>,
    caller: Caller,
    partners: Partners,
    rng: StdRng,
    ticks: u64,
}

/// What the spread controller starts from.
#[derive(Debug)]
pub(crate) struct SpreadArgs {
    pub(crate) shared: Arc<Shared>,
    pub(crate) bundles: ActorRef<BundlesMsg>,
    pub(crate) tls: tonic::transport::ClientTlsConfig,
    pub(crate) seed: u64,
}

impl Actor for Spread {
    type Msg = SpreadMsg;
    type State = SpreadState;
    type Arguments = SpreadArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<SpreadMsg>,
        args: SpreadArgs,
    ) -> Result<SpreadState, ActorProcessingErr> {
        args.bundles.cast(BundlesMsg::Subscribe(myself.clone()))?;
        myself.cast(SpreadMsg::Tick)?;
        let caller = Caller::new(Arc::clone(&args.shared), args.bundles, args.tls);
        Ok(SpreadState {
            partners: Partners::new(args.shared.timing),
            shared: args.shared,
            myself,
            caller,
            rng: StdRng::seed_from_u64(args.seed),
            ticks: 0,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<SpreadMsg>,
        message: SpreadMsg,
        state: &mut SpreadState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            SpreadMsg::Tick => state.tick(),
            SpreadMsg::Accepted(held) => state.announce(held),
            SpreadMsg::Cue(service, version) => state.cue(service, version),
            SpreadMsg::AskPeers(reply) => state.ask_peers(move |any| answer(reply, any)),
            SpreadMsg::AskAgents(reply) => state.ask_agents(reply),
            SpreadMsg::Confirm { pauses } => state.confirm(pauses),
            SpreadMsg::CallDone(address, is_good) => state.call_done(address, is_good),
        }
        Ok(())
    }
}

impl SpreadState {
    fn tick(&mut self) {
        let interval_ms = self.interval().get();
        let rest = Millis::new(self.rng.random_range(interval_ms / 2..=interval_ms * 3 / 2));
        self.myself
            .send_after(rest.to_duration(), || SpreadMsg::Tick);
        self.ticks += 1;
        self.partners.refresh(
            &self.shared.other_peers(),
            self.shared.now(),
            &self.caller,
            &mut self.rng,
        );
        if let Some(partner) = self.partners.any(&mut self.rng) {
            self.exchange(partner, self.shared.only_service);
        }
        if self.shared.only_service.is_none() && self.ticks.is_multiple_of(TICKS_PER_AGENT) {
            self.compare_with_agent();
        }
    }

    /// A process that holds nothing can't serve, so it asks more often until it does.
    fn interval(&self) -> Millis {
        let usual = self.shared.timing.exchange_interval_ms;
        if self.shared.view.load().is_empty() {
            return usual.min(EMPTY_INTERVAL_MS);
        }
        usual
    }

    fn exchange(&self, partner: partners::Partner, only: Option<ServiceId>) {
        let caller = self.caller.clone();
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let res = caller.exchange(&partner, only).await;
            drop(myself.cast(SpreadMsg::CallDone(partner.address, res.is_ok())));
        });
    }

    /// Compares one service with one of its agents, which hold it when all balancers lost it.
    fn compare_with_agent(&mut self) {
        let view = self.shared.view.load();
        let Some(held) = view.choose(&mut self.rng) else {
            return;
        };
        let Some(endpoint) = held.current.bundle.endpoints.choose(&mut self.rng) else {
            return;
        };
        let agent = self.caller.connect(endpoint.control_address);
        self.exchange(agent, Some(held.service()));
    }

    fn announce(&mut self, held: Held) {
        for partner in self.partners.some(&mut self.rng) {
            let caller = self.caller.clone();
            let myself = self.myself.clone();
            tokio::spawn(async move {
                let res = caller.announce(&partner, held).await;
                drop(myself.cast(SpreadMsg::CallDone(partner.address, res.is_ok())));
            });
        }
    }

    fn cue(&mut self, service: ServiceId, version: BundleVersion) {
        let held = self.shared.store.load().held(service);
        if held.is_some_and(|it| it.version >= version) {
            return;
        }
        self.shared.counters.increment("spread.cues");
        self.shared.recorder.record(Event::BundleSeen {
            service,
            version,
            source: BundleSource::Peer(Note::new("tunnel header")),
        });
        for partner in self.partners.some(&mut self.rng) {
            self.exchange(partner, Some(service));
        }
    }

    fn ask_peers(&mut self, reply: impl FnOnce(bool) + Send + 'static) {
        let only = self.shared.only_service;
        let peers = self.shared.other_peers();
        let asked: Vec<_> = peers
            .choose_multiple(&mut self.rng, ASK_MAX)
            .map(|it| (*it, only))
            .collect();
        self.ask(asked, ASK_ENOUGH, reply);
    }

    fn ask_agents(&mut self, reply: oneshot::Sender<bool>) {
        let view = self.shared.view.load_full();
        let mut asked = Vec::new();
        for held in view.choose_multiple(&mut self.rng, ASKED_SERVICES_MAX) {
            let endpoints = &held.current.bundle.endpoints;
            for it in endpoints.choose_multiple(&mut self.rng, AGENTS_PER_SERVICE) {
                asked.push((it.control_address, Some(held.service())));
            }
        }
        self.ask(asked, usize::MAX, move |any| answer(reply, any));
    }

    fn ask(
        &self,
        asked: Vec<(SocketAddr, Option<ServiceId>)>,
        enough: usize,
        reply: impl FnOnce(bool) + Send + 'static,
    ) {
        let caller = self.caller.clone();
        tokio::spawn(async move { reply(ask_all(&caller, asked, enough).await) });
    }

    fn confirm(&mut self, pauses: u64) {
        let shared = Arc::clone(&self.shared);
        self.ask_peers(move |_any| shared.pauses.confirm(pauses));
    }

    fn call_done(&mut self, address: SocketAddr, is_good: bool) {
        if is_good {
            return;
        }
        self.shared.counters.increment("spread.failed");
        self.partners.drop_failed(address);
    }
}

/// Exchanges with one after the other, a few at a time, until `enough` that serve have answered.
async fn ask_all(
    caller: &Caller,
    asked: Vec<(SocketAddr, Option<ServiceId>)>,
    enough: usize,
) -> bool {
    let mut rest = asked.into_iter();
    let mut answers = JoinSet::new();
    let mut ready_count = 0;
    loop {
        while answers.len() < ASK_PARALLEL {
            let Some((address, only)) = rest.next() else {
                break;
            };
            let (caller, partner) = (caller.clone(), caller.connect(address));
            answers.spawn(async move { caller.exchange(&partner, only).await });
        }
        match answers.join_next().await {
            Some(Ok(Ok(exchanged))) => ready_count += usize::from(exchanged.is_ready),
            Some(_failed) => {}
            None => return ready_count > 0,
        }
        if ready_count >= enough {
            return true;
        }
    }
}

fn answer(reply: oneshot::Sender<bool>, any: bool) {
    // Whoever asked may have stopped waiting.
    let _ = reply.send(any);
}
