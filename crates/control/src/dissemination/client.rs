//! Client of the `Bundles` gRPC service of other processes.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bundle::{KEY_SET_SERVICE, VersionEntry, is_in_scope};
use bytes::Bytes;
use ractor::ActorRef;
use timeline::{BundleSource, Note};
use tonic::{
    Request, Status,
    transport::{ClientTlsConfig, Endpoint},
};
use units::ServiceId;
use wire::bundles::{
    HeldVersion, SignedBundle, Summary, VersionVector, bundles_client::BundlesClient,
};

use super::partners::Partner;
use crate::{
    bundles::{self, BundlesMsg},
    shared::SharedState,
};

/// Timeout of one anti-entropy exchange, as a multiple of the timeout of a gRPC call.
const EXCHANGE_TIMEOUT_CALLS: u32 = 5;

/// Maximum number of balancer addresses that an agent takes from one reply of a balancer.
const LEARNED_BALANCERS_MAX: usize = 16;

/// Interval of HTTP/2 keep-alive pings on a connection to another process.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout after which a connection without a reply to its keep-alive ping is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of a successful anti-entropy exchange with another process.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExchangeOutcome {
    /// Whether the initial synchronization of the other process is over.
    pub(super) is_ready: bool,
}

/// Result of an anti-entropy exchange with another process.
pub(super) type ExchangeResult = Result<ExchangeOutcome, CallError>;

/// Reason why a call to another process failed.
#[derive(Debug)]
pub(super) enum CallError {
    /// The anti-entropy exchange timed out.
    Timeout,
    /// The gRPC call returned an error status.
    Status(Box<Status>),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => f.write_str("the exchange timed out"),
            Self::Status(status) => status.fmt(f),
        }
    }
}

impl std::error::Error for CallError {}

impl From<Status> for CallError {
    fn from(status: Status) -> Self {
        Self::Status(Box::new(status))
    }
}

/// Calls other processes and offers the bundles they return to the bundles controller.
#[derive(Debug, Clone)]
pub(super) struct PeerClient {
    shared: Arc<SharedState>,
    bundles: ActorRef<BundlesMsg>,
    tls: ClientTlsConfig,
}

impl PeerClient {
    pub(super) const fn new(
        shared: Arc<SharedState>,
        bundles: ActorRef<BundlesMsg>,
        tls: ClientTlsConfig,
    ) -> Self {
        Self {
            shared,
            bundles,
            tls,
        }
    }

    /// Creates a connection to another process that is opened at the first call.
    pub(super) fn connect_lazily(&self, address: SocketAddr) -> Partner {
        let timeout = self.shared.timing.call_timeout_ms.to_duration();
        let channel = Endpoint::from_shared(format!("https://{address}"))
            .and_then(|it| it.tls_config(self.tls.clone()))
            .expect(
                "a socket address forms a valid URI and the certificates were checked at startup",
            )
            .connect_timeout(timeout)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .connect_lazy();
        Partner {
            address,
            client: BundlesClient::new(channel),
        }
    }

    /// Runs one anti-entropy exchange with a partner, restricted to one service if `only` is given.
    ///
    /// The partner's bundles that supersede those held here are offered to the bundles controller.
    pub(super) async fn exchange_bundles(
        &self,
        partner: &Partner,
        only: Option<ServiceId>,
    ) -> ExchangeResult {
        self.shared.counters.increment("spread.exchanges");
        let timeout = self.shared.timing.call_timeout_ms.to_duration() * EXCHANGE_TIMEOUT_CALLS;
        tokio::time::timeout(
            timeout,
            self.exchange_bundles_without_timeout(partner, only),
        )
        .await
        .unwrap_or(Err(CallError::Timeout))
    }

    /// Announces a newly accepted bundle version to a partner and delivers the bundle if the
    /// partner wants it.
    pub(super) async fn announce_version(
        &self,
        partner: &Partner,
        held: VersionEntry,
    ) -> Result<(), CallError> {
        let mut client = partner.client.clone();
        let reply = client
            .announce(self.request_with_timeout(held_version_message(held)))
            .await?;
        if !reply.into_inner().is_wanted {
            return Ok(());
        }
        let Some(bundle) = self.signed_bundle(held) else {
            return Ok(());
        };
        self.shared.counters.increment("spread.delivered");
        client.deliver(self.request_with_timeout(bundle)).await?;
        Ok(())
    }

    async fn exchange_bundles_without_timeout(
        &self,
        partner: &Partner,
        only: Option<ServiceId>,
    ) -> ExchangeResult {
        let mut client = partner.client.clone();
        let only_service = only.map_or(0, ServiceId::get);
        let summary = Summary {
            digest: self
                .shared
                .store
                .load()
                .version_vector_digest(only)
                .as_bytes()
                .to_vec(),
            only_service,
        };
        let comparison = client
            .compare(self.request_with_timeout(summary))
            .await?
            .into_inner();
        let outcome = ExchangeOutcome {
            is_ready: comparison.is_ready,
        };
        if self.shared.only_service.is_some() {
            let learned = comparison.balancers.iter();
            let learned = learned
                .filter_map(|it| it.parse().ok())
                .take(LEARNED_BALANCERS_MAX);
            self.shared.set_learned_balancers(learned.collect());
        }
        if comparison.is_equal {
            return Ok(outcome);
        }
        let vector = self.shared.store.load().version_vector();
        let vector = VersionVector {
            held: vector
                .into_iter()
                .filter(|it| is_in_scope(only, it.service))
                .map(held_version_message)
                .collect(),
            only_service,
        };
        let mut newer = client.exchange(vector).await?.into_inner();
        while let Some(bundle) = newer.message().await? {
            self.offer_received(bundle, partner.address).await;
        }
        Ok(outcome)
    }

    /// Offers an envelope received in an anti-entropy exchange to the bundles controller.
    async fn offer_received(&self, bundle: SignedBundle, from: SocketAddr) {
        let source = BundleSource::Peer(Note::new(from));
        let envelope = Bytes::from(bundle.envelope);
        let decision = bundles::offer_envelope(&self.bundles, envelope, source).await;
        if matches!(decision, Some(Ok(()))) {
            self.shared.counters.increment("spread.taken");
        }
    }

    /// Returns the signed bundle of a held version, `None` if another version is in force by now.
    fn signed_bundle(&self, held: VersionEntry) -> Option<SignedBundle> {
        let store = self.shared.store.load();
        let envelope = if held.service == KEY_SET_SERVICE {
            store.keys().envelope().to_vec()
        } else {
            store.find(held.service)?.current.envelope.to_vec()
        };
        let now = store.version_entry(held.service)?;
        (now == held).then(|| SignedBundle {
            service: held.service.get(),
            version: held.version.get(),
            envelope,
        })
    }

    /// Wraps a message in a gRPC request with the timeout of a call.
    fn request_with_timeout<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.set_timeout(self.shared.timing.call_timeout_ms.to_duration());
        request
    }
}

/// Converts an entry of a version vector to its protobuf message.
fn held_version_message(held: VersionEntry) -> HeldVersion {
    HeldVersion {
        service: held.service.get(),
        version: held.version.get(),
        digest: held.digest.as_bytes().to_vec(),
    }
}
