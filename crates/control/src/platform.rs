//! Reads the platform: a long poll of the index, fetches of changed bundles, and the instance list.
//!
//! The delays between reads grow with the size of the fleet. A bundle therefore usually arrives
//! from a peer before this process fetches it, and the load on the platform grows more slowly than
//! the fleet.

mod pacing;
mod reads;
mod refused;

use std::{net::SocketAddr, sync::Arc};

use bundle::{
    KEY_SET_SERVICE, Refusal, VersionEntry,
    index::{Index, InstanceList},
};
use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::{SeedableRng as _, rngs::StdRng};
use timeline::{BundleSource, Event, Note};
use tokio::sync::oneshot;
use units::{Millis, ServiceId};

use crate::{
    backoff::Backoff, budget::CallBudget, bundles::BundlesMsg, http_get::ReadError,
    shared::SharedState,
};
use reads::Reads;
use refused::RefusedList;

/// Maximum delay after the first failed read of the index.
const INDEX_BACKOFF_BASE: Millis = Millis::new(250);

/// Maximum delay between reads of the index that fail.
const INDEX_BACKOFF_MAX: Millis = Millis::new(8_000);

/// Maximum delay after the first failed fetch of a bundle.
const FETCH_BACKOFF_BASE: Millis = Millis::new(200);

/// Maximum delay between fetches of a bundle that fail.
const FETCH_BACKOFF_MAX: Millis = Millis::new(5_000);

/// Actor that reads the platform and offers new bundles to the bundles controller.
#[derive(Debug)]
pub(crate) struct PlatformController;

/// Message to the platform controller.
#[derive(Debug)]
pub(crate) enum PlatformMsg {
    /// Starts reading the platform; the reply is sent after the first index and the fetches that it
    /// needs, or after a failure.
    Start(oneshot::Sender<()>),
    /// A long poll of the index ended.
    IndexRead(Result<Index, ReadError>),
    /// The delay before a fetch of a bundle is over; the fetch is skipped if the version is held by
    /// now.
    FetchDue(Fetch),
    /// A fetch of a bundle or key set ended.
    FetchDone(Fetch, Result<Bytes, ReadError>),
    /// The bundles controller accepted or refused a fetched envelope.
    OfferDecided(VersionEntry, Option<Refusal>),
    /// A read of the instance list ended.
    InstancesRead(Result<InstanceList, ReadError>),
}

/// Fetch of one bundle or key set, with its retries.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fetch {
    offered: VersionEntry,
    backoff: Backoff,
}

#[derive(Debug)]
pub(crate) struct PlatformState {
    shared: Arc<SharedState>,
    reads: Reads,
    rng: StdRng,
    budget: CallBudget,
    index_backoff: Backoff,
    /// Time since which reads of the index have failed; `None` while they succeed.
    down_since: Option<Millis>,
    /// Bundle versions that are being fetched or are due to be fetched.
    pending: Vec<VersionEntry>,
    refused: RefusedList,
    /// Revision of the platform's index at the last read.
    revision: u64,
    /// Services that the platform lists in an older version than the one held, sorted.
    stale: Vec<ServiceId>,
    /// Reply to [`PlatformMsg::Start`], until it is sent.
    start_reply: Option<oneshot::Sender<()>>,
}

/// Arguments of the platform controller.
#[derive(Debug)]
pub(crate) struct PlatformArgs {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) address: SocketAddr,
    pub(crate) bundles: ActorRef<BundlesMsg>,
    pub(crate) seed: u64,
}

impl Actor for PlatformController {
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
            index_backoff: Backoff::new(INDEX_BACKOFF_BASE, INDEX_BACKOFF_MAX),
            down_since: None,
            pending: Vec::new(),
            refused: RefusedList::default(),
            revision: 0,
            stale: Vec::new(),
            start_reply: None,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<PlatformMsg>,
        message: PlatformMsg,
        state: &mut PlatformState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            PlatformMsg::Start(reply) => state.start_platform_reads(reply),
            PlatformMsg::IndexRead(Ok(index)) => state.handle_index(&index),
            PlatformMsg::IndexRead(Err(err)) => state.handle_index_failure(&err),
            PlatformMsg::FetchDue(fetch) => state.start_fetch(fetch),
            PlatformMsg::FetchDone(fetch, Ok(envelope)) => state.offer(fetch.offered, envelope),
            PlatformMsg::FetchDone(fetch, Err(err)) => state.handle_fetch_failure(fetch, &err),
            PlatformMsg::OfferDecided(offered, refusal) => state.handle_decision(offered, refusal),
            PlatformMsg::InstancesRead(res) => state.handle_instances(res),
        }
        Ok(())
    }
}

impl PlatformState {
    fn start_platform_reads(&mut self, reply: oneshot::Sender<()>) {
        self.start_reply = Some(reply);
        self.count_call("index");
        self.reads.poll_index(Millis::new(0), 0, Millis::new(0));
        self.count_call("instances");
        self.reads.read_instances(Millis::new(0));
    }

    fn handle_index(&mut self, index: &Index) {
        self.record_platform_recovery();
        self.revision = index.revision;
        for offered in index.version_entries() {
            self.schedule_fetch_if_newer(offered);
        }
        self.finish_initial_sync_if_idle();
        let fleet_size = self.shared.fleet_size();
        let delay = pacing::poll_delay(&mut self.rng, fleet_size);
        self.count_call("index");
        self.reads
            .poll_index(delay, index.revision, pacing::long_poll_wait(fleet_size));
    }

    fn handle_index_failure(&mut self, err: &ReadError) {
        let shared = &self.shared;
        shared
            .counters
            .increment(&format!("platform.failed.{}", err.kind()));
        if self.down_since.is_none() {
            self.down_since = Some(shared.now());
            shared.recorder.record(Event::PlatformDown {
                cause: Note::new(err),
            });
            log::warn!(
                "cannot read the index of the configuration service: {err}; the bundles in force \
                 stay in use and the read is retried"
            );
        }
        self.finish_initial_sync();
        let delay = self.index_backoff.next_delay(&mut self.rng);
        self.count_call("index");
        self.reads.poll_index(delay, 0, Millis::new(0));
    }

    fn record_platform_recovery(&mut self) {
        self.index_backoff.record_success();
        let Some(since) = self.down_since.take() else {
            return;
        };
        let after_ms = self.shared.now().since(since);
        self.shared.recorder.record(Event::PlatformUp { after_ms });
        log::info!("the configuration service answers again after {after_ms}");
    }

    /// Schedules a fetch of a bundle version listed in the index that supersedes the held one.
    ///
    /// A listed version that is older than the held one is not fetched but recorded as stale.
    fn schedule_fetch_if_newer(&mut self, offered: VersionEntry) {
        if !self.shared.wants_version(offered) {
            self.record_if_stale(offered);
            return;
        }
        self.clear_stale_service(offered.service);
        if self.pending.contains(&offered) || self.is_refused(offered) {
            return;
        }
        self.shared.recorder.record(Event::BundleSeen {
            service: offered.service,
            version: offered.version,
            source: BundleSource::Platform,
        });
        self.pending.push(offered);
        let delay = pacing::fetch_delay(&mut self.rng, self.shared.fleet_size());
        let backoff = Backoff::new(FETCH_BACKOFF_BASE, FETCH_BACKOFF_MAX);
        self.reads.schedule_fetch(delay, Fetch { offered, backoff });
    }

    fn is_refused(&self, offered: VersionEntry) -> bool {
        self.refused
            .is_still_refused(offered, self.revision, &self.shared)
    }

    /// Counts an index entry that is older than the held version.
    ///
    /// The first such index entry of a service is also recorded in the timeline.
    fn record_if_stale(&mut self, offered: VersionEntry) {
        let shared = &self.shared;
        let held = shared.store.load().version_entry(offered.service);
        let Some(held) = held.filter(|it| it.version >= offered.version) else {
            return;
        };
        if held.version == offered.version {
            if held.digest != offered.digest {
                shared.counters.increment("bundles.forked");
            }
            self.clear_stale_service(offered.service);
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

    fn clear_stale_service(&mut self, service: ServiceId) {
        if let Ok(idx) = self.stale.binary_search(&service) {
            self.stale.remove(idx);
        }
    }

    fn start_fetch(&mut self, fetch: Fetch) {
        if !self.shared.wants_version(fetch.offered) {
            self.shared.counters.increment("platform.fetch_saved");
            self.remove_pending_fetch(fetch.offered);
            return;
        }
        let now = self.shared.now();
        if let Err(delay) = self.budget.try_acquire(now, self.shared.fleet_size()) {
            self.shared.counters.increment("platform.fetch_delayed");
            self.reads.schedule_fetch(delay, fetch);
            return;
        }
        self.count_call("bundle");
        self.reads.fetch_bundle(fetch);
    }

    fn offer(&mut self, offered: VersionEntry, envelope: Bytes) {
        self.reads.offer_fetched(offered, envelope);
    }

    fn handle_fetch_failure(&mut self, mut fetch: Fetch, err: &ReadError) {
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
        self.finish_initial_sync();
        let delay = fetch.backoff.next_delay(&mut self.rng);
        if delay < FETCH_BACKOFF_MAX.half() {
            self.reads.schedule_fetch(delay, fetch);
            return;
        }
        // The next index lists the bundle version again if it is still the current one.
        self.remove_pending_fetch(fetch.offered);
    }

    fn handle_decision(&mut self, offered: VersionEntry, refusal: Option<Refusal>) {
        if let Some(refusal) = refusal {
            self.refused
                .add_refusal(offered, &refusal, self.revision, &self.shared);
        }
        self.remove_pending_fetch(offered);
    }

    fn remove_pending_fetch(&mut self, offered: VersionEntry) {
        self.pending.retain(|it| *it != offered);
        if offered.service == KEY_SET_SERVICE {
            self.refused.remove_remediable_by_envelope();
        }
        self.finish_initial_sync_if_idle();
    }

    fn handle_instances(&mut self, res: Result<InstanceList, ReadError>) {
        match res {
            Ok(list) => self.shared.instances.store(Arc::new(list)),
            Err(err) => self
                .shared
                .counters
                .increment(&format!("platform.failed.{}", err.kind())),
        }
        let delay = pacing::instances_delay(&mut self.rng, self.shared.fleet_size());
        self.count_call("instances");
        self.reads.read_instances(delay);
    }

    fn finish_initial_sync_if_idle(&mut self) {
        if self.pending.is_empty() {
            self.finish_initial_sync();
        }
    }

    fn finish_initial_sync(&mut self) {
        if let Some(reply) = self.start_reply.take() {
            // The startup task may have stopped waiting.
            let _ = reply.send(());
        }
    }

    fn count_call(&self, kind: &str) {
        self.shared
            .counters
            .increment(&format!("platform.calls.{kind}"));
    }
}
