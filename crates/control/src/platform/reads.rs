//! The platform client's reads, each in a task that reports to the actor.

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
    shared::Shared,
};

/// The platform client's reads.
#[derive(Debug)]
pub(super) struct Reads {
    myself: ActorRef<PlatformMsg>,
    address: SocketAddr,
    bundles: ActorRef<BundlesMsg>,
    /// How the service tells readers apart.
    reader: Arc<str>,
    timeout: Duration,
}

impl Reads {
    pub(super) fn new(
        myself: ActorRef<PlatformMsg>,
        address: SocketAddr,
        bundles: ActorRef<BundlesMsg>,
        shared: &Shared,
    ) -> Self {
        Self {
            myself,
            address,
            bundles,
            reader: Arc::from(format!("lovagehall/{}", shared.instance)),
            timeout: shared.timing.read_timeout_ms.to_duration(),
        }
    }

    /// Reads the index after `rest`, waiting up to `wait` for a revision after `after`.
    pub(super) fn watch(&self, rest: Millis, after: u64, wait: Millis) {
        let path = format!("/v1/index?after={after}&wait_ms={}", wait.get());
        let timeout = wait.to_duration() + self.timeout;
        self.read(rest, path, timeout, |res| {
            PlatformMsg::WatchDone(res.and_then(|it| parse(&it)))
        });
    }

    /// Reads the instance list after `rest`.
    pub(super) fn instances(&self, rest: Millis) {
        self.read(rest, "/v1/instances".to_owned(), self.timeout, |res| {
            PlatformMsg::InstancesDone(res.and_then(|it| parse(&it)))
        });
    }

    /// Reads one bundle.
    pub(super) fn fetch(&self, fetch: Fetch) {
        let path = format!("/v1/bundles/{}", fetch.offered.digest);
        self.read(Millis::new(0), path, self.timeout, move |res| {
            PlatformMsg::FetchDone(fetch, res)
        });
    }

    /// Says after `rest` that a fetch is due.
    pub(super) fn fetch_later(&self, rest: Millis, fetch: Fetch) {
        self.myself
            .send_after(rest.to_duration(), move || PlatformMsg::FetchDue(fetch));
    }

    /// Hands what was fetched to the bundles controller.
    pub(super) fn offer(&self, offered: VersionEntry, envelope: Bytes) {
        let bundles = self.bundles.clone();
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let decision = bundles::offer(&bundles, envelope, BundleSource::Platform).await;
            let refusal = decision.and_then(Result::err);
            drop(myself.cast(PlatformMsg::Decided(offered, refusal)));
        });
    }

    fn read(
        &self,
        rest: Millis,
        path: String,
        timeout: Duration,
        report: impl FnOnce(Result<Bytes, ReadError>) -> PlatformMsg + Send + 'static,
    ) {
        let myself = self.myself.clone();
        let address = self.address;
        let reader = Arc::clone(&self.reader);
        tokio::spawn(async move {
            tokio::time::sleep(rest.to_duration()).await;
            let res = http_get::get(address, &path, &reader, timeout).await;
            // The actor may have ended meanwhile.
            drop(myself.cast(report(res)));
        });
    }
}

fn parse<T: DeserializeOwned>(bytes: &Bytes) -> Result<T, ReadError> {
    serde_json::from_slice(bytes).map_err(ReadError::Form)
}
