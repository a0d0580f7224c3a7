//! Starts the controllers and gives the rest of the process access to them.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bundle::{InForce, Refusal, VersionEntry, index::InstanceList};
use bytes::Bytes;
use ractor::{Actor, ActorRef};
use timeline::BundleSource;
use tokio::sync::{oneshot, watch};
use units::{BundleVersion, Millis, ServiceId};
use wire::bundles::bundles_server::BundlesServer;

use crate::{
    ControlConfig, Counters, Role,
    bundles::{self, BundlesController, BundlesMsg},
    dissemination::{
        BundlesService, Disseminator, DisseminatorArgs, DisseminatorMsg, TlsError, client_tls,
    },
    pause::{PauseMonitor, PauseMonitorState},
    platform::{PlatformArgs, PlatformController, PlatformMsg},
    shared::SharedState,
};

/// Delay before the first retry of the synchronization with peers at startup, which doubles per
/// retry.
const PEER_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Handle to the running controllers; clones refer to the same controllers.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    shared: Arc<SharedState>,
    bundles: ActorRef<BundlesMsg>,
    disseminator: ActorRef<DisseminatorMsg>,
    platform: Option<ActorRef<PlatformMsg>>,
    is_ended: watch::Receiver<bool>,
}

/// Reason why the controllers could not be started.
#[derive(Debug)]
pub enum StartError {
    /// The certificates for calls between processes are invalid.
    Tls(TlsError),
    /// An actor could not be spawned.
    Spawn(ractor::SpawnErr),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tls(err) => err.fmt(f),
            Self::Spawn(err) => write!(
                f,
                "could not start a controller: {err}; restart the process"
            ),
        }
    }
}

impl std::error::Error for StartError {}

/// Starts the controllers and the initial synchronization in the background.
///
/// The initial synchronization contacts peers first and then the platform;
/// [`ControlHandle::wait_until_ready`] waits for its end.
///
/// # Errors
///
/// Returns an error if the certificates are invalid or an actor cannot be spawned.
pub async fn start_controllers(config: ControlConfig) -> Result<ControlHandle, StartError> {
    let tls = client_tls(&config.tls).map_err(StartError::Tls)?;
    let shared = Arc::new(SharedState::new(&config));
    let ended = watch::Sender::new(false);
    let bundles = spawn_actor(BundlesController, Arc::clone(&shared), &ended).await?;
    let disseminator_args = DisseminatorArgs {
        shared: Arc::clone(&shared),
        bundles: bundles.clone(),
        tls,
        seed: config.seed,
    };
    let disseminator = spawn_actor(Disseminator, disseminator_args, &ended).await?;
    let pause_monitor = PauseMonitorState::new(Arc::clone(&shared), disseminator.clone());
    spawn_actor(PauseMonitor, pause_monitor, &ended).await?;
    let platform = match config.role {
        Role::Agent { .. } => None,
        Role::Balancer { platform: address } => {
            let args = PlatformArgs {
                shared: Arc::clone(&shared),
                address,
                bundles: bundles.clone(),
                seed: config.seed.wrapping_add(1),
            };
            Some(spawn_actor(PlatformController, args, &ended).await?)
        }
    };
    let handle = ControlHandle {
        shared,
        bundles,
        disseminator,
        platform,
        is_ended: ended.subscribe(),
    };
    tokio::spawn(run_startup(handle.clone()));
    Ok(handle)
}

impl ControlHandle {
    /// Returns the bundles to route by, sorted by service.
    #[must_use]
    pub fn bundles_in_force(&self) -> Arc<Vec<InForce>> {
        self.shared.view.load_full()
    }

    /// Returns a receiver that is notified of every change of [`Self::bundles_in_force`].
    #[must_use]
    pub fn watch_changes(&self) -> watch::Receiver<u64> {
        self.shared.generation.subscribe()
    }

    /// Returns the versions of the key set and of the bundles held, sorted by service.
    #[must_use]
    pub fn version_vector(&self) -> Vec<VersionEntry> {
        self.shared.store.load().version_vector()
    }

    /// Returns the list of instances last read from the platform, which may be out of date.
    #[must_use]
    pub fn listed_instances(&self) -> Arc<InstanceList> {
        self.shared.instances.load_full()
    }

    /// Pulls a bundle from peers if `version`, seen in a tunnel header, is newer than the held one.
    pub fn pull_bundle(&self, service: ServiceId, version: BundleVersion) {
        // The actor stops only with the process, so a failed send needs no handling.
        drop(
            self.disseminator
                .cast(DisseminatorMsg::Pull(service, version)),
        );
    }

    /// Offers an envelope read from a settings file, under the same rules as one from the platform.
    ///
    /// # Errors
    ///
    /// Returns the broken rule if the envelope is refused; the bundle in force then stays.
    pub async fn offer_bundle(&self, envelope: &[u8]) -> Result<(), Refusal> {
        let envelope = Bytes::copy_from_slice(envelope);
        bundles::offer_envelope(&self.bundles, envelope, BundleSource::File)
            .await
            .unwrap_or(Ok(()))
    }

    /// Waits until the process's initial synchronization with peers and the platform is over or has
    /// timed out.
    ///
    /// The process may serve from then on.
    pub async fn wait_until_ready(&self) {
        let mut is_ready = self.shared.is_ready.subscribe();
        // The sender lives at least as long as this handle, so the wait cannot fail.
        drop(is_ready.wait_for(|it| *it).await);
    }

    /// Returns whether state that expires may be acted on.
    ///
    /// The result is false after a pause of the process, until peers have confirmed the state.
    #[must_use]
    pub fn is_state_fresh(&self) -> bool {
        self.shared.pause_detector.is_state_fresh(self.shared.now())
    }

    /// Returns the `Bundles` gRPC service that other processes call, to be served at the control
    /// address.
    #[must_use]
    pub fn bundles_server(&self) -> BundlesServer<BundlesService> {
        BundlesServer::new(BundlesService::new(
            Arc::clone(&self.shared),
            self.bundles.clone(),
        ))
    }

    /// Returns the counters that this process's controllers increment.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Returns the control addresses of all known balancers except this process.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.shared.other_peers()
    }

    /// Waits until one of the controllers has ended.
    ///
    /// A controller that ends without [`Self::stop_controllers`] is a bug, and the process should
    /// exit too.
    pub async fn wait_until_controller_ended(&self) {
        let mut is_ended = self.is_ended.clone();
        drop(is_ended.wait_for(|it| *it).await);
    }

    /// Stops the controllers without waiting for their end.
    pub fn stop_controllers(&self) {
        self.bundles.stop(None);
        self.disseminator.stop(None);
        if let Some(platform) = &self.platform {
            platform.stop(None);
        }
    }
}

/// Runs the initial synchronization of bundles and marks the process as ready.
///
/// The process synchronizes with peers, then with the platform, and with agents if no ready peer
/// answered.
async fn run_startup(handle: ControlHandle) {
    let timing = handle.shared.timing;
    let timeout = timing.startup_peers_timeout_ms.to_duration();
    let res = tokio::time::timeout(timeout, sync_with_peers(&handle)).await;
    let has_ready_peer = res.unwrap_or(false);
    let (reply, initial_sync) = oneshot::channel();
    if let Some(platform) = &handle.platform {
        drop(platform.cast(PlatformMsg::Start(reply)));
        if handle.shared.view.load().is_empty() {
            let timeout = timing.startup_platform_timeout_ms.to_duration();
            drop(tokio::time::timeout(timeout, initial_sync).await);
        }
    }
    if !has_ready_peer {
        request_sync(
            &handle,
            DisseminatorMsg::SyncAgents,
            timing.startup_platform_timeout_ms,
        )
        .await;
    }
    handle.shared.is_ready.send_replace(true);
}

/// Synchronizes with peers repeatedly until a ready peer has answered; returns `false` if there are
/// no peers.
///
/// The peers known at first may be starting too, and further peers become known in the meantime.
async fn sync_with_peers(handle: &ControlHandle) -> bool {
    let mut peers = handle.shared.peers.clone();
    let mut delay = PEER_RETRY_DELAY;
    loop {
        if handle.shared.other_peers().is_empty() {
            return false;
        }
        peers.mark_unchanged();
        if request_sync(
            handle,
            DisseminatorMsg::SyncPeers,
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
        // Waits for a change of the peers or the end of the delay, whichever comes first.
        drop(tokio::time::timeout(delay, changed).await);
        delay *= 2;
    }
}

/// Requests a synchronization from the disseminator; returns whether a ready process answered in
/// time.
async fn request_sync(
    handle: &ControlHandle,
    message: impl FnOnce(oneshot::Sender<bool>) -> DisseminatorMsg,
    timeout: Millis,
) -> bool {
    let (reply, any_ready) = oneshot::channel();
    drop(handle.disseminator.cast(message(reply)));
    let res = tokio::time::timeout(timeout.to_duration(), any_ready).await;
    matches!(res, Ok(Ok(true)))
}

/// Spawns an actor and sets `ended` when it ends.
async fn spawn_actor<A: Actor>(
    actor: A,
    args: A::Arguments,
    ended: &watch::Sender<bool>,
) -> Result<ActorRef<A::Msg>, StartError> {
    let (actor, running) = Actor::spawn(None, actor, args)
        .await
        .map_err(StartError::Spawn)?;
    let ended = ended.clone();
    tokio::spawn(async move {
        // A panic of the actor has already been printed.
        drop(running.await);
        ended.send_replace(true);
    });
    Ok(actor)
}
