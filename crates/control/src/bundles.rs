//! The bundles controller: accepts or refuses offered envelopes and puts bundles in force.

use std::sync::Arc;

use bundle::{Change, Dispute, KEY_SET_SERVICE, Refusal, Source, Store, VersionEntry, is_in_scope};
use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use timeline::{BundleSource, Event, Note};
use tokio::sync::oneshot;
use units::ServiceId;

use crate::{dissemination::DisseminatorMsg, shared::SharedState};

/// Actor that decides on offered envelopes; the only writer of the bundle store.
#[derive(Debug)]
pub(crate) struct BundlesController;

/// Message to the bundles controller.
#[derive(Debug)]
pub(crate) enum BundlesMsg {
    /// Accepts or refuses an envelope.
    Offer(Offer),
    /// Notifies the given actor of every envelope accepted from now on.
    Subscribe(ActorRef<DisseminatorMsg>),
}

/// Signed envelope that the controller accepts or refuses.
#[derive(Debug)]
pub(crate) struct Offer {
    /// Service, version and digest read from the envelope before its signature is verified; `None`
    /// if the envelope cannot be parsed.
    pub(crate) unverified: Option<VersionEntry>,
    pub(crate) envelope: Bytes,
    pub(crate) source: BundleSource,
    /// Sender of the decision, dropped without a decision if this process does not hold the
    /// service.
    pub(crate) reply: oneshot::Sender<Result<(), Refusal>>,
}

#[derive(Debug)]
pub(crate) struct BundlesState {
    shared: Arc<SharedState>,
    store: Store,
    disputes: Vec<Dispute>,
    subscribers: Vec<ActorRef<DisseminatorMsg>>,
}

impl Actor for BundlesController {
    type Msg = BundlesMsg;
    type State = BundlesState;
    type Arguments = Arc<SharedState>;

    async fn pre_start(
        &self,
        _myself: ActorRef<BundlesMsg>,
        args: Arc<SharedState>,
    ) -> Result<BundlesState, ActorProcessingErr> {
        Ok(BundlesState {
            store: Store::clone(&args.store.load()),
            shared: args,
            disputes: Vec::new(),
            subscribers: Vec::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<BundlesMsg>,
        message: BundlesMsg,
        state: &mut BundlesState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            BundlesMsg::Offer(offer) => state.handle_offer(offer),
            BundlesMsg::Subscribe(subscriber) => state.subscribers.push(subscriber),
        }
        Ok(())
    }
}

impl BundlesState {
    fn handle_offer(&mut self, offer: Offer) {
        let only = self.shared.only_service;
        if offer
            .unverified
            .is_some_and(|it| !is_in_scope(only, it.service))
        {
            // Dropping the offer's reply channel tells the sender that this process does not hold
            // the service.
            return;
        }
        let res = self.apply_offer(&offer);
        // The sender of the offer may have stopped waiting for the decision.
        drop(offer.reply.send(res));
    }

    fn apply_offer(&mut self, offer: &Offer) -> Result<(), Refusal> {
        let service = offer.unverified.map(|it| it.service);
        let before = service.and_then(|it| self.store.version_entry(it));
        let res = match (&offer.source, service) {
            (_, Some(KEY_SET_SERVICE)) => self.store.offer_key_set(&offer.envelope),
            (BundleSource::Peer(_), _) => self.store.offer_bundle(Source::Peer, &offer.envelope),
            _ => self.store.offer_bundle(Source::Platform, &offer.envelope),
        };
        match res {
            Ok(change) => {
                self.publish_store_and_view();
                self.report_change(&change, before, &offer.source);
                Ok(())
            }
            Err(refusal) => {
                self.report_refusal(&refusal, offer);
                Err(refusal)
            }
        }
    }

    /// Publishes the new bundle store and the bundles to route by to the rest of the process.
    ///
    /// Each of the two is replaced as a whole, so that a reader never sees a partial update.
    fn publish_store_and_view(&mut self) {
        let (view, disputes) = self.store.resolve_disputes();
        self.shared.view.store(Arc::new(view));
        self.shared.store.store(Arc::new(self.store.clone()));
        self.shared.generation.send_modify(|it| *it += 1);
        if disputes == self.disputes {
            return;
        }
        self.shared.counters.increment("bundles.disputes_changed");
        for it in &disputes {
            log::error!(
                "services {} and {} both claim {}; service {} owns it; publish a bundle of service \
                 {} that does not claim it",
                it.owner,
                it.loser,
                it.claim,
                it.owner,
                it.loser
            );
        }
        self.disputes = disputes;
    }

    fn report_change(&self, change: &Change, before: Option<VersionEntry>, source: &BundleSource) {
        let shared = &self.shared;
        let held = match change {
            Change::Bundle { held, is_fork, .. } => {
                if *is_fork {
                    self.report_fork(*held, before);
                }
                *held
            }
            Change::KeySet {
                version,
                retired_key_services,
            } => {
                self.report_above_retirement(retired_key_services);
                VersionEntry {
                    service: KEY_SET_SERVICE,
                    version: *version,
                    digest: self.store.keys().digest(),
                }
            }
        };
        shared.counters.increment("bundles.accepted");
        shared.recorder.record(Event::BundleAccepted {
            service: held.service,
            version: held.version,
            digest: held.digest,
            source: source.clone(),
        });
        log::info!(
            "service {}: version {} in force, from {source}",
            held.service,
            held.version
        );
        for subscriber in &self.subscribers {
            // The process stops when a subscriber has ended, so the error needs no handling here.
            drop(subscriber.cast(DisseminatorMsg::Accepted(held)));
        }
    }

    fn report_fork(&self, held: VersionEntry, before: Option<VersionEntry>) {
        self.shared.counters.increment("bundles.forked");
        let Some(before) = before else {
            return;
        };
        self.shared.recorder.record(Event::BundleFork {
            service: held.service,
            version: held.version,
            kept: held.digest,
            other: before.digest,
        });
        log::error!(
            "service {}: version {} was signed as two documents; {} is in force; sign the next \
             version on top of it",
            held.service,
            held.version,
            held.digest
        );
    }

    fn report_above_retirement(&self, services: &[ServiceId]) {
        for service in services {
            self.shared.counters.increment("bundles.above_retirement");
            log::error!(
                "service {service}: the version in force is higher than the last version of its \
                 retired key; publish a higher version signed with a key that is not retired"
            );
        }
    }

    fn report_refusal(&self, refusal: &Refusal, offer: &Offer) {
        let shared = &self.shared;
        shared
            .counters
            .increment(&format!("bundles.refused.{}", refusal.kind()));
        if refusal.is_stale() {
            return;
        }
        let (service, version) = offer
            .unverified
            .map_or_else(Default::default, |it| (it.service, it.version));
        shared.recorder.record(Event::BundleRefused {
            service,
            version,
            kind: Note::new(refusal.kind()),
            source: offer.source.clone(),
        });
        log::warn!(
            "service {service}: version {version} from {} refused: {refusal}",
            offer.source
        );
    }
}

/// Offers a signed envelope to the bundles controller and waits for the decision.
///
/// Returns `None` if this process does not hold the bundle's service or the controller has ended.
pub(crate) async fn offer_envelope(
    bundles: &ActorRef<BundlesMsg>,
    envelope: Bytes,
    source: BundleSource,
) -> Option<Result<(), Refusal>> {
    let (reply, decision) = oneshot::channel();
    let offer = Offer {
        unverified: bundle::peek_version_entry(&envelope),
        envelope,
        source,
        reply,
    };
    bundles.cast(BundlesMsg::Offer(offer)).ok()?;
    decision.await.ok()
}
