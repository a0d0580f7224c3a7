//! State that the controllers write and other parts of the process read.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use arc_swap::ArcSwap;
use bundle::{InForce, Store, VersionEntry, index::InstanceList, is_in_scope};
use timeline::Recorder;
use tokio::sync::watch;
use units::{InstanceId, Millis, ServiceId};

use crate::{ControlConfig, Counters, PauseDetector, Timing};

/// State that the controllers write and other parts of the process read.
///
/// Only the bundles controller writes `store`, `view` and `generation`.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) instance: InstanceId,
    pub(crate) control_address: SocketAddr,
    /// Service of an agent; `None` for a balancer, which holds all services.
    pub(crate) only_service: Option<ServiceId>,
    /// The key set and the signed bundles that this process holds.
    pub(crate) store: ArcSwap<Store>,
    /// Bundles to route by, after conflicting claims of services have been resolved.
    pub(crate) view: ArcSwap<Vec<InForce>>,
    /// Incremented after each change of `store`.
    pub(crate) generation: watch::Sender<u64>,
    /// Last instance list read from the platform.
    pub(crate) instances: ArcSwap<InstanceList>,
    /// Whether the initial synchronization with peers and the platform is over.
    pub(crate) is_ready: watch::Sender<bool>,
    pub(crate) pause_detector: PauseDetector,
    pub(crate) peers: watch::Receiver<Vec<SocketAddr>>,
    /// Control addresses of balancers that a balancer returned to this process, if it is an agent.
    pub(crate) learned_balancers: ArcSwap<Vec<SocketAddr>>,
    pub(crate) recorder: Recorder,
    pub(crate) counters: Counters,
    pub(crate) timing: Timing,
    started_at: Instant,
}

impl SharedState {
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
            pause_detector: PauseDetector::new(config.timing.pause_threshold_ms, Millis::new(0)),
            peers: config.peers.clone(),
            learned_balancers: ArcSwap::default(),
            recorder: config.recorder.clone(),
            counters: config.counters.clone(),
            timing: config.timing,
            started_at: Instant::now(),
        }
    }

    /// Returns the time since this process's controllers started.
    pub(crate) fn now(&self) -> Millis {
        Millis::from_duration(self.started_at.elapsed())
    }

    /// Returns whether this process holds the service of an offered bundle version and the version
    /// supersedes the held one.
    pub(crate) fn wants_version(&self, offered: VersionEntry) -> bool {
        is_in_scope(self.only_service, offered.service) && self.store.load().should_fetch(offered)
    }

    /// Returns the control addresses of all known balancers except this process.
    pub(crate) fn other_peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.peers.borrow().clone();
        peers.extend(self.learned_balancers.load().iter());
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|it| *it != self.control_address);
        peers
    }

    /// Replaces the addresses of balancers learned from another balancer, unless the new list is
    /// empty.
    pub(crate) fn set_learned_balancers(&self, balancers: Vec<SocketAddr>) {
        if !balancers.is_empty() {
            self.learned_balancers.store(Arc::new(balancers));
        }
    }

    /// Returns the known number of processes that read the platform, including this process.
    pub(crate) fn fleet_size(&self) -> u64 {
        u64::try_from(self.other_peers().len() + 1).unwrap_or(u64::MAX)
    }
}
