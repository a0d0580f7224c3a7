//! The platform client: one waiting watch on the index, fetches of what changed, instance list.
//!
//! Calls are spread in time by the size of the fleet, so that peers' spread usually brings a bundle
//! before this process reads it, and the calls at the service grow more slowly than the fleet.

mod pacing;
mod reads;
mod refused;

use std::{net::SocketAddr, sync::Arc};

use bundle::{
    Held, KEY_SET_SERVICE, Refusal,
    index::{Index, InstanceList},
};
use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::{SeedableRng as _, rngs::StdRng};
use timeline::{BundleSource, Event, Note};
use tokio::sync::oneshot;
use units::{Millis, ServiceId};

use crate::{
    backoff::Backoff, budget::CallBudget, bundles::BundlesMsg, http_get::ReadError, shared::Shared,
};
use reads::Reads;
use refused::RefusedList;

/// First wait after a failed watch.
const WATCH_BACKOFF_BASE: Millis = Millis::new(250);

/// Longest wait between failed watches.
const WATCH_BACKOFF_MAX: Millis = Millis::new(8_000);

/// First wait after a failed fetch.
const FETCH_BACKOFF_BASE: Millis = Millis::new(200);

/// Longest wait between failed fetches.
const FETCH_BACKOFF_MAX: Millis = Millis::new(5_000);

/// The platform client.
#[derive(Debug)]
pub(crate) struct Platform;

/// What the platform client is told.
#[derive(Debug)]
pub(crate) enum PlatformMsg {
    /// Begin to read; the reply comes after the first index and its fetches, or a failure.
    Begin(oneshot::Sender<()>),
    /// A watch ended.
    WatchDone(Result<Index, ReadError>),
    /// It is time to fetch this, unless it is held by now.
    FetchDue(Fetch),
    /// A fetch ended.
    FetchDone(Fetch, Result<Bytes, ReadError>),
    /// The bundles controller decided on what was fetched.
    Decided(Held, Option<Refusal>),
    /// A read of the instance list ended.
    InstancesDone(Result<InstanceList, ReadError>),
}

/// One bundle or key set being fetched.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fetch {
    offered: Held,
    backoff: Backoff,
}

#[derive(Debug)]
pub(crate) struct PlatformState {
    shared: Arc<Shared>,
    reads: Reads,
    rng: StdRng,
    budget: CallBudget,
    watch_backoff: Backoff,
    /// When the watch began to fail; `None` while it works.
    down_since: Option<Millis>,
    /// What is being fetched, or waits for its turn.
    pending: Vec<Held>,
    refused: RefusedList,
    /// Revision of the index last read.
    revision: u64,
    /// Services shown in an older version than held, sorted.
    stale: Vec<ServiceId>,
    /// Told once the first pass is over.
    first_pass: Option<oneshot::Sender<()>>,
}

/// What the platform client starts from.
#[derive(Debug)]
pub(crate) struct PlatformArgs {
    pub(crate) shared: Arc<Shared>,
    pub(crate) address: SocketAddr,
    pub(crate) bundles: ActorRef<BundlesMsg>,
    pub(crate) seed: u64,
}

impl Actor for Platform {
    type Msg = PlatformMsg;
    type State = PlatformState;
    type Arguments = PlatformArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<PlatformMsg>,
        args: PlatformArgs,
    ) -> Result<PlatformState, ActorProcessingErr> {
        let shared = Arc::clone(&args.shared);
        Ok(PlatformState {
            budget: CallBudget::new(shared.now(), shared.fleet_size()),
            reads: Reads::new(myself, args.address, args.bundles, &shared),
            shared,
            rng: StdRng::seed_from_u64(args.seed),
            watch_backoff: Backoff::new(WATCH_BACKOFF_BASE, WATCH_BACKOFF_MAX),
            down_since: None,
            pending: Vec::new(),
            refused: RefusedList::default(),
            revision: 0,
            stale: Vec::new(),
            first_pass: None,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<PlatformMsg>,
        message: PlatformMsg,
        state: &mut PlatformState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            PlatformMsg::Begin(reply) => state.begin(reply),
            PlatformMsg::WatchDone(Ok(index)) => state.read_index(&index),
            PlatformMsg::WatchDone(Err(err)) => state.watch_failed(&err),
            PlatformMsg::FetchDue(fetch) => state.fetch(fetch),
            PlatformMsg::FetchDone(fetch, Ok(envelope)) => state.fetched(fetch.offered, envelope),
            PlatformMsg::FetchDone(fetch, Err(err)) => state.fetch_failed(fetch, &err),
            PlatformMsg::Decided(offered, refusal) => state.decided(offered, refusal),
            PlatformMsg::InstancesDone(res) => state.read_instances(res),
        }
        Ok(())
    }
}

impl PlatformState {
    fn begin(&mut self, reply: oneshot::Sender<()>) {
        self.first_pass = Some(reply);
        self.count_call("index");
        self.reads.watch(Millis::new(0), 0, Millis::new(0));
        self.count_call("instances");
        self.reads.instances(Millis::new(0));
    }

    fn read_index(&mut self, index: &Index) {
        self.note_up();
        self.revision = index.revision;
        for offered in index.offers() {
            self.consider(offered);
        }
        self.end_first_pass_if_idle();
        let fleet_size = self.shared.fleet_size();
        let rest = pacing::watch_rest(&mut self.rng, fleet_size);
        self.count_call("index");
        self.reads
            .watch(rest, index.revision, pacing::watch_wait(fleet_size));
    }

    fn watch_failed(&mut self, err: &ReadError) {
        let shared = &self.shared;
        shared
            .counters
            .increment(&format!("platform.failed.{}", err.kind()));
        if self.down_since.is_none() {
            self.down_since = Some(shared.now());
            shared.recorder.record(Event::PlatformDown {
                cause: Note::new(err),
            });
            log::warn!("the configuration service gives nothing ({err}); what is in force stays");
        }
        self.end_first_pass();
        let rest = self.watch_backoff.next_delay(&mut self.rng);
        self.count_call("index");
        self.reads.watch(rest, 0, Millis::new(0));
    }

    fn note_up(&mut self) {
        self.watch_backoff.reset();
        let Some(since) = self.down_since.take() else {
            return;
        };
        let after_ms = self.shared.now().since(since);
        self.shared.recorder.record(Event::PlatformUp { after_ms });
        log::info!("the configuration service answers again after {after_ms}");
    }

    /// Schedules a fetch of what isn't held, and notes what is older than held.
    fn consider(&mut self, offered: Held) {
        if !self.shared.wants(offered) {
            self.note_age(offered);
            return;
        }
        self.note_fresh(offered.service);
        if self.pending.contains(&offered) || self.is_refused(offered) {
            return;
        }
        self.shared.recorder.record(Event::BundleSeen {
            service: offered.service,
            version: offered.version,
            source: BundleSource::Platform,
        });
        self.pending.push(offered);
        let rest = pacing::fetch_rest(&mut self.rng, self.shared.fleet_size());
        let backoff = Backoff::new(FETCH_BACKOFF_BASE, FETCH_BACKOFF_MAX);
        self.reads.fetch_later(rest, Fetch { offered, backoff });
    }

    fn is_refused(&self, offered: Held) -> bool {
        self.refused.covers(offered, self.revision, &self.shared)
    }

    /// Counts an index entry older than what is held; a change of that is an event.
    fn note_age(&mut self, offered: Held) {
        let shared = &self.shared;
        let held = shared.store.load().held(offered.service);
        let Some(held) = held.filter(|it| it.version >= offered.version) else {
            return;
        };
        if held.version == offered.version {
            if held.digest != offered.digest {
                shared.counters.increment("bundles.forked");
            }
            self.note_fresh(offered.service);
            return;
        }
        shared.counters.increment("platform.stale");
        if let Err(idx) = self.stale.binary_search(&offered.service) {
            self.stale.insert(idx, offered.service);
            shared.recorder.record(Event::PlatformStale {
                service: offered.service,
                served: offered.version,
                held: held.version,
            });
        }
    }

    fn note_fresh(&mut self, service: ServiceId) {
        if let Ok(idx) = self.stale.binary_search(&service) {
            self.stale.remove(idx);
        }
    }

    fn fetch(&mut self, fetch: Fetch) {
        if !self.shared.wants(fetch.offered) {
            self.shared.counters.increment("platform.fetch_saved");
            self.finish(fetch.offered);
            return;
        }
        let now = self.shared.now();
        if let Err(rest) = self.budget.try_acquire(now, self.shared.fleet_size()) {
            self.shared.counters.increment("platform.fetch_delayed");
            self.reads.fetch_later(rest, fetch);
            return;
        }
        self.count_call("bundle");
        self.reads.fetch(fetch);
    }

    fn fetched(&mut self, offered: Held, envelope: Bytes) {
        self.reads.offer(offered, envelope);
    }

    fn fetch_failed(&mut self, mut fetch: Fetch, err: &ReadError) {
        let shared = &self.shared;
        shared
            .counters
            .increment(&format!("platform.failed.{}", err.kind()));
        if fetch.backoff.failures() == 0 {
            shared.recorder.record(Event::BundleFetchFailed {
                service: fetch.offered.service,
                version: fetch.offered.version,
                source: BundleSource::Platform,
                cause: Note::new(err),
            });
        }
        self.end_first_pass();
        let rest = fetch.backoff.next_delay(&mut self.rng);
        if rest < FETCH_BACKOFF_MAX.half() {
            self.reads.fetch_later(rest, fetch);
            return;
        }
        // The next watch names it again if it is still current.
        self.finish(fetch.offered);
    }

    fn decided(&mut self, offered: Held, refusal: Option<Refusal>) {
        if let Some(refusal) = refusal {
            self.refused
                .add(offered, &refusal, self.revision, &self.shared);
        }
        self.finish(offered);
    }

    fn finish(&mut self, offered: Held) {
        self.pending.retain(|it| *it != offered);
        if offered.service == KEY_SET_SERVICE {
            self.refused.forget_envelopes();
        }
        self.end_first_pass_if_idle();
    }

    fn read_instances(&mut self, res: Result<InstanceList, ReadError>) {
        match res {
            Ok(list) => self.shared.instances.store(Arc::new(list)),
            Err(err) => self
                .shared
                .counters
                .increment(&format!("platform.failed.{}", err.kind())),
        }
        let rest = pacing::instances_rest(&mut self.rng, self.shared.fleet_size());
        self.count_call("instances");
        self.reads.instances(rest);
    }

    fn end_first_pass_if_idle(&mut self) {
        if self.pending.is_empty() {
            self.end_first_pass();
        }
    }

    fn end_first_pass(&mut self) {
        if let Some(reply) = self.first_pass.take() {
            // The start may have stopped waiting.
            let _ = reply.send(());
        }
    }

    fn count_call(&self, kind: &str) {
        self.shared
            .counters
            .increment(&format!("platform.calls.{kind}"));
    }
}
