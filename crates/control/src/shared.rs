//! What the controllers share and other parts of the process read.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use arc_swap::ArcSwap;
use bundle::{Held, InForce, Store, index::InstanceList, is_within};
use timeline::Recorder;
use tokio::sync::watch;
use units::{InstanceId, Millis, ServiceId};

use crate::{ControlConfig, Counters, PauseDetector, Timing};

/// What the controllers share and other parts of the process read.
///
/// Only the bundles controller writes `store`, `view` and `generation`.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) instance: InstanceId,
    pub(crate) control_address: SocketAddr,
    /// The one service held, if the role holds one.
    pub(crate) only_service: Option<ServiceId>,
    /// Everything held, as signed.
    pub(crate) store: ArcSwap<Store>,
    /// What to route by.
    pub(crate) view: ArcSwap<Vec<InForce>>,
    /// Goes up after each change of `store`.
    pub(crate) generation: watch::Sender<u64>,
    /// What the platform last listed.
    pub(crate) instances: ArcSwap<InstanceList>,
    /// Whether the start is over.
    pub(crate) is_ready: watch::Sender<bool>,
    pub(crate) pauses: PauseDetector,
    pub(crate) peers: watch::Receiver<Vec<SocketAddr>>,
    /// Balancers that others named, for a process that holds one service.
    pub(crate) named_balancers: ArcSwap<Vec<SocketAddr>>,
    pub(crate) recorder: Recorder,
    pub(crate) counters: Counters,
    pub(crate) timing: Timing,
    started_at: Instant,
}

impl Shared {
    pub(crate) fn new(config: &ControlConfig) -> Self {
        Self {
            instance: config.instance.clone(),
            control_address: config.control_address,
            only_service: config.role.only_service(),
            store: ArcSwap::from_pointee(Store::new(config.keys.clone())),
            view: ArcSwap::default(),
            generation: watch::Sender::new(0),
            instances: ArcSwap::default(),
            is_ready: watch::Sender::new(false),
            pauses: PauseDetector::new(config.timing.pause_threshold_ms, Millis::new(0)),
            peers: config.peers.clone(),
            named_balancers: ArcSwap::default(),
            recorder: config.recorder.clone(),
            counters: config.counters.clone(),
            timing: config.timing,
            started_at: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Millis {
        Millis::from_duration(self.started_at.elapsed())
    }

    /// Returns whether an offer would be put in force if it passes every check.
    pub(crate) fn wants(&self, offered: Held) -> bool {
        is_within(self.only_service, offered.service) && self.store.load().wants(offered)
    }

    /// Returns the peers' addresses without this process's own.
    pub(crate) fn other_peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.peers.borrow().clone();
        peers.extend(self.named_balancers.load().iter());
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|it| *it != self.control_address);
        peers
    }

    /// Takes the balancers that one of them named as alive.
    pub(crate) fn name_balancers(&self, balancers: Vec<SocketAddr>) {
        if !balancers.is_empty() {
            self.named_balancers.store(Arc::new(balancers));
        }
    }

    /// Returns how many processes read the platform, as far as known.
    pub(crate) fn fleet_size(&self) -> u64 {
        u64::try_from(self.other_peers().len() + 1).unwrap_or(u64::MAX)
    }
}
