//! HTTP reads of the platform, each in a task that reports its result to the platform controller.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bundle::VersionEntry;
use bytes::Bytes;
use ractor::ActorRef;
use serde::de::DeserializeOwned;
use timeline::BundleSource;
use units::Millis;

use super::{Fetch, PlatformMsg};
use crate::{
    bundles::{self, BundlesMsg},
    http_get::{self, ReadError},
    shared::SharedState,
};

/// Spawns the tasks that read the platform.
#[derive(Debug)]
pub(super) struct Reads {
    myself: ActorRef<PlatformMsg>,
    address: SocketAddr,
    bundles: ActorRef<BundlesMsg>,
    /// `User-Agent` by which the configuration service distinguishes its clients.
    user_agent: Arc<str>,
    timeout: Duration,
}

impl Reads {
    pub(super) fn new(
        myself: ActorRef<PlatformMsg>,
        address: SocketAddr,
        bundles: ActorRef<BundlesMsg>,
        shared: &SharedState,
    ) -> Self {
        Self {
            myself,
            address,
            bundles,
            user_agent: Arc::from(format!("lovagehall/{}", shared.instance)),
            timeout: shared.timing.read_timeout_ms.to_duration(),
        }
    }

    /// Spawns a long poll of the index after `delay`.
    ///
    /// The platform answers when the revision is higher than `after`, or after `wait`.
    pub(super) fn poll_index(&self, delay: Millis, after: u64, wait: Millis) {
        let path = format!("/v1/index?after={after}&wait_ms={}", wait.get());
        let timeout = wait.to_duration() + self.timeout;
        self.spawn_read(delay, path, timeout, |res| {
            PlatformMsg::IndexRead(res.and_then(|it| parse_json(&it)))
        });
    }

    /// Spawns a read of the instance list after `delay`.
    pub(super) fn read_instances(&self, delay: Millis) {
        self.spawn_read(delay, "/v1/instances".to_owned(), self.timeout, |res| {
            PlatformMsg::InstancesRead(res.and_then(|it| parse_json(&it)))
        });
    }

    /// Spawns the fetch of one bundle or key set.
    pub(super) fn fetch_bundle(&self, fetch: Fetch) {
        let path = format!("/v1/bundles/{}", fetch.offered.digest);
        self.spawn_read(Millis::new(0), path, self.timeout, move |res| {
            PlatformMsg::FetchDone(fetch, res)
        });
    }

    /// Sends [`PlatformMsg::FetchDue`] to the platform controller after `delay`.
    pub(super) fn schedule_fetch(&self, delay: Millis, fetch: Fetch) {
        self.myself
            .send_after(delay.to_duration(), move || PlatformMsg::FetchDue(fetch));
    }

    /// Offers a fetched envelope to the bundles controller and reports the decision to the platform
    /// controller.
    pub(super) fn offer_fetched(&self, offered: VersionEntry, envelope: Bytes) {
        let bundles = self.bundles.clone();
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let decision =
                bundles::offer_envelope(&bundles, envelope, BundleSource::Platform).await;
            let refusal = decision.and_then(Result::err);
            drop(myself.cast(PlatformMsg::OfferDecided(offered, refusal)));
        });
    }

    /// Spawns a task that reads `path` after `delay` and sends the result to the platform
    /// controller in a message.
    fn spawn_read(
        &self,
        delay: Millis,
        path: String,
        timeout: Duration,
        report: impl FnOnce(Result<Bytes, ReadError>) -> PlatformMsg + Send + 'static,
    ) {
        let myself = self.myself.clone();
        let address = self.address;
        let user_agent = Arc::clone(&self.user_agent);
        tokio::spawn(async move {
            tokio::time::sleep(delay.to_duration()).await;
            let res = http_get::get(address, &path, &user_agent, timeout).await;
            // The platform controller may have stopped in the meantime.
            drop(myself.cast(report(res)));
        });
    }
}

fn parse_json<T: DeserializeOwned>(bytes: &Bytes) -> Result<T, ReadError> {
    serde_json::from_slice(bytes).map_err(ReadError::Parse)
}
