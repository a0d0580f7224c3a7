//! Starting the controllers, and what the other parts of the process see of them.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bundle::{Held, InForce, Refusal, index::InstanceList};
use bytes::Bytes;
use ractor::{Actor, ActorRef};
use timeline::BundleSource;
use tokio::sync::{oneshot, watch};
use units::{BundleVersion, Millis, ServiceId};
use wire::bundles::bundles_server::BundlesServer;

use crate::{
    ControlConfig, Counters, Role,
    bundles::{self, Bundles, BundlesMsg},
    dissemination::{BundlesService, Spread, SpreadArgs, SpreadMsg, TlsError, client_tls},
    pause::{Freshness, FreshnessState},
    platform::{Platform, PlatformArgs, PlatformMsg},
    shared::Shared,
};

/// Time until peers are asked again at the start; twice as long each time.
const ASK_REST: Duration = Duration::from_millis(250);

/// What the other parts of the process see of the controllers; clones are the same.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    shared: Arc<Shared>,
    bundles: ActorRef<BundlesMsg>,
    spread: ActorRef<SpreadMsg>,
    platform: Option<ActorRef<PlatformMsg>>,
    is_ended: watch::Receiver<bool>,
}

/// Why the controllers could not start.
#[derive(Debug)]
pub enum StartError {
    /// The certificates can't be used.
    Tls(TlsError),
    /// An actor could not be spawned.
    Spawn(ractor::SpawnErr),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tls(err) => err.fmt(f),
            Self::Spawn(err) => write!(f, "starting a controller: {err}; start the process again"),
        }
    }
}

impl std::error::Error for StartError {}

/// Starts the controllers.
///
/// Peers are asked first, then the platform; [`ControlHandle::wait_until_ready`] tells when to serve.
///
/// # Errors
///
/// The certificates can't be used.
pub async fn start_controllers(config: ControlConfig) -> Result<ControlHandle, StartError> {
    let tls = client_tls(&config.tls).map_err(StartError::Tls)?;
    let shared = Arc::new(Shared::new(&config));
    let ended = watch::Sender::new(false);
    let bundles = spawn(Bundles, Arc::clone(&shared), &ended).await?;
    let spread_args = SpreadArgs {
        shared: Arc::clone(&shared),
        bundles: bundles.clone(),
        tls,
        seed: config.seed,
    };
    let spread = spawn(Spread, spread_args, &ended).await?;
    let freshness = FreshnessState::new(Arc::clone(&shared), spread.clone());
    spawn(Freshness, freshness, &ended).await?;
    let platform = match config.role {
        Role::Agent { .. } => None,
        Role::Balancer { platform: address } => {
            let args = PlatformArgs {
                shared: Arc::clone(&shared),
                address,
                bundles: bundles.clone(),
                seed: config.seed.wrapping_add(1),
            };
            Some(spawn(Platform, args, &ended).await?)
        }
    };
    let handle = ControlHandle {
        shared,
        bundles,
        spread,
        platform,
        is_ended: ended.subscribe(),
    };
    tokio::spawn(first_pass(handle.clone()));
    Ok(handle)
}

impl ControlHandle {
    /// Returns the bundles to route by, sorted by service.
    #[must_use]
    pub fn bundles_in_force(&self) -> Arc<Vec<InForce>> {
        self.shared.view.load_full()
    }

    /// Returns a receiver that changes with every change of [`Self::bundles_in_force`].
    #[must_use]
    pub fn watch_changes(&self) -> watch::Receiver<u64> {
        self.shared.generation.subscribe()
    }

    /// Returns what is held, as a version vector.
    #[must_use]
    pub fn version_vector(&self) -> Vec<Held> {
        self.shared.store.load().version_vector()
    }

    /// Returns what the platform last listed; it lags.
    #[must_use]
    pub fn listed_instances(&self) -> Arc<InstanceList> {
        self.shared.instances.load_full()
    }

    /// Says that a newer version was seen in a tunnel header, to be pulled now.
    pub fn pull_bundle(&self, service: ServiceId, version: BundleVersion) {
        // The spread controller ends only with the process.
        drop(self.spread.cast(SpreadMsg::Cue(service, version)));
    }

    /// Offers an envelope from a file of the settings, as a publication.
    ///
    /// # Errors
    ///
    /// The rule broken; what is in force stays.
    pub async fn offer_bundle(&self, envelope: &[u8]) -> Result<(), Refusal> {
        let envelope = Bytes::copy_from_slice(envelope);
        bundles::offer(&self.bundles, envelope, BundleSource::File)
            .await
            .unwrap_or(Ok(()))
    }

    /// Waits until the process may serve: it has asked peers and the platform, or waited in vain.
    pub async fn wait_until_ready(&self) {
        let mut is_ready = self.shared.is_ready.subscribe();
        // The sender lives as long as this handle.
        drop(is_ready.wait_for(|it| *it).await);
    }

    /// Returns whether time-bound facts may be acted on; not so just after a pause.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.shared.pauses.is_fresh(self.shared.now())
    }

    /// Returns the calls that other processes make, to be served at the control address.
    #[must_use]
    pub fn bundles_server(&self) -> BundlesServer<BundlesService> {
        BundlesServer::new(BundlesService::new(
            Arc::clone(&self.shared),
            self.bundles.clone(),
        ))
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Returns the control addresses of the other balancers known.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.shared.other_peers()
    }

    /// Waits until a controller has ended: a bug; the process should end too.
    pub async fn wait_until_ended(&self) {
        let mut is_ended = self.is_ended.clone();
        drop(is_ended.wait_for(|it| *it).await);
    }

    /// Stops the controllers.
    pub fn stop(&self) {
        self.bundles.stop(None);
        self.spread.stop(None);
        if let Some(platform) = &self.platform {
            platform.stop(None);
        }
    }
}

/// Asks peers, then the platform, then agents if no peer knew anything; then the start is over.
async fn first_pass(handle: ControlHandle) {
    let timing = handle.shared.timing;
    let bound = timing.startup_peers_timeout_ms.to_duration();
    let res = tokio::time::timeout(bound, ask_peers(&handle)).await;
    let has_served = res.unwrap_or(false);
    let (reply, first_pass) = oneshot::channel();
    if let Some(platform) = &handle.platform {
        drop(platform.cast(PlatformMsg::Begin(reply)));
        if handle.shared.view.load().is_empty() {
            let bound = timing.startup_platform_timeout_ms.to_duration();
            drop(tokio::time::timeout(bound, first_pass).await);
        }
    }
    if !has_served {
        ask(
            &handle,
            SpreadMsg::AskAgents,
            timing.startup_platform_timeout_ms,
        )
        .await;
    }
    handle.shared.is_ready.send_replace(true);
}

/// Asks peers again and again until one that serves has answered; `false` if there are none.
///
/// Those known at first may be starting too; the others become known meanwhile.
async fn ask_peers(handle: &ControlHandle) -> bool {
    let mut peers = handle.shared.peers.clone();
    let mut rest = ASK_REST;
    loop {
        if handle.shared.other_peers().is_empty() {
            return false;
        }
        peers.mark_unchanged();
        if ask(
            handle,
            SpreadMsg::AskPeers,
            handle.shared.timing.startup_peers_timeout_ms,
        )
        .await
        {
            return true;
        }
        let changed = async {
            if peers.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        // A change of the peers or the end of the rest, whatever comes first.
        drop(tokio::time::timeout(rest, changed).await);
        rest *= 2;
    }
}

async fn ask(
    handle: &ControlHandle,
    message: impl FnOnce(oneshot::Sender<bool>) -> SpreadMsg,
    bound: Millis,
) -> bool {
    let (reply, answer) = oneshot::channel();
    drop(handle.spread.cast(message(reply)));
    let res = tokio::time::timeout(bound.to_duration(), answer).await;
    matches!(res, Ok(Ok(true)))
}

async fn spawn<A: Actor>(
    actor: A,
    args: A::Arguments,
    ended: &watch::Sender<bool>,
) -> Result<ActorRef<A::Msg>, StartError> {
    let (actor, running) = Actor::spawn(None, actor, args)
        .await
        .map_err(StartError::Spawn)?;
    let ended = ended.clone();
    tokio::spawn(async move {
        // Its panic, if any, was printed when it happened.
        drop(running.await);
        ended.send_replace(true);
    });
    Ok(actor)
}
