//! The bundles controller: decides on offers and puts bundles in force.

use std::sync::Arc;

use bundle::{Change, Dispute, Held, KEY_SET_SERVICE, Refusal, Source, Store, is_within};
use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use timeline::{BundleSource, Event, Note};
use tokio::sync::oneshot;
use units::ServiceId;

use crate::{dissemination::SpreadMsg, shared::Shared};

/// The bundles controller.
#[derive(Debug)]
pub(crate) struct Bundles;

/// What the bundles controller is asked.
#[derive(Debug)]
pub(crate) enum BundlesMsg {
    /// Decide on an envelope.
    Offer(Offer),
    /// Tell this actor of every change from now on.
    Subscribe(ActorRef<SpreadMsg>),
}

/// An envelope to decide on.
#[derive(Debug)]
pub(crate) struct Offer {
    /// What the envelope says it holds, unchecked; `None` if it can't be read.
    pub(crate) named: Option<Held>,
    pub(crate) envelope: Bytes,
    pub(crate) source: BundleSource,
    /// Gets the decision; may be gone by then.
    pub(crate) reply: oneshot::Sender<Result<(), Refusal>>,
}

#[derive(Debug)]
pub(crate) struct BundlesState {
    shared: Arc<Shared>,
    store: Store,
    disputes: Vec<Dispute>,
    listeners: Vec<ActorRef<SpreadMsg>>,
}

impl Actor for Bundles {
    type Msg = BundlesMsg;
    type State = BundlesState;
    type Arguments = Arc<Shared>;

    async fn pre_start(
        &self,
        _myself: ActorRef<BundlesMsg>,
        args: Arc<Shared>,
    ) -> Result<BundlesState, ActorProcessingErr> {
        Ok(BundlesState {
            store: Store::clone(&args.store.load()),
            shared: args,
            disputes: Vec::new(),
            listeners: Vec::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<BundlesMsg>,
        message: BundlesMsg,
        state: &mut BundlesState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            BundlesMsg::Offer(offer) => state.decide(offer),
            BundlesMsg::Subscribe(listener) => state.listeners.push(listener),
        }
        Ok(())
    }
}

impl BundlesState {
    fn decide(&mut self, offer: Offer) {
        let only = self.shared.only_service;
        if offer.named.is_some_and(|it| !is_within(only, it.service)) {
            // Not this process's service: the dropped reply says so.
            return;
        }
        let res = self.put(&offer);
        // Whoever asked may have stopped waiting.
        drop(offer.reply.send(res));
    }

    fn put(&mut self, offer: &Offer) -> Result<(), Refusal> {
        let service = offer.named.map(|it| it.service);
        let before = service.and_then(|it| self.store.held(it));
        let res = match (&offer.source, service) {
            (_, Some(KEY_SET_SERVICE)) => self.store.offer_keys(&offer.envelope),
            (BundleSource::Peer(_), _) => self.store.offer(Source::Peer, &offer.envelope),
            _ => self.store.offer(Source::Platform, &offer.envelope),
        };
        match res {
            Ok(change) => {
                self.publish();
                self.report_change(&change, before, &offer.source);
                Ok(())
            }
            Err(refusal) => {
                self.report_refusal(&refusal, offer);
                Err(refusal)
            }
        }
    }

    /// Shows the new state to the other parts of the process, each reader all or nothing of it.
    fn publish(&mut self) {
        let (view, disputes) = self.store.view();
        self.shared.view.store(Arc::new(view));
        self.shared.store.store(Arc::new(self.store.clone()));
        self.shared.generation.send_modify(|it| *it += 1);
        if disputes == self.disputes {
            return;
        }
        self.shared.counters.increment("bundles.disputes_changed");
        for it in &disputes {
            log::error!(
                "services {} and {} both claim {}; service {} keeps it; publish a bundle of service \
                 {} without it",
                it.owner,
                it.loser,
                it.claim,
                it.owner,
                it.loser
            );
        }
        self.disputes = disputes;
    }

    fn report_change(&self, change: &Change, before: Option<Held>, source: &BundleSource) {
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
                above_retirement,
            } => {
                self.report_above_retirement(above_retirement);
                Held {
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
        for listener in &self.listeners {
            // A listener that has ended ends the process by itself.
            drop(listener.cast(SpreadMsg::Accepted(held)));
        }
    }

    fn report_fork(&self, held: Held, before: Option<Held>) {
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
                "service {service}: the version in force was signed after its key's last version; \
                 publish a higher version under a key in use"
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
            .named
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

/// Offers an envelope and waits for the decision; `None` if the controller has ended.
pub(crate) async fn offer(
    bundles: &ActorRef<BundlesMsg>,
    envelope: Bytes,
    source: BundleSource,
) -> Option<Result<(), Refusal>> {
    let (reply, decision) = oneshot::channel();
    let offer = Offer {
        named: bundle::peek(&envelope),
        envelope,
        source,
        reply,
    };
    bundles.cast(BundlesMsg::Offer(offer)).ok()?;
    decision.await.ok()
}
