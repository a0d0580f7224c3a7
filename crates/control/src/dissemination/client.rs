//! Calls to other processes.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bundle::{Held, KEY_SET_SERVICE, is_within};
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
    shared::Shared,
};

/// Calls that one exchange may take the time of.
const EXCHANGE_CALLS: u32 = 5;

/// Most balancers taken from one answer.
const NAMED_MAX: usize = 16;

/// Interval of connection probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Bound on the answer to a probe.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// What an exchange told.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exchanged {
    /// Whether the other process serves.
    pub(super) is_ready: bool,
}

/// Result of an exchange.
pub(super) type ExchangeResult = Result<Exchanged, CallError>;

/// Why a call to another process gave nothing.
#[derive(Debug)]
pub(super) enum CallError {
    /// No answer in time.
    Timeout,
    /// The call failed.
    Status(Box<Status>),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => f.write_str("no answer in time"),
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

/// Makes calls to other processes.
#[derive(Debug, Clone)]
pub(super) struct Caller {
    shared: Arc<Shared>,
    bundles: ActorRef<BundlesMsg>,
    tls: ClientTlsConfig,
}

impl Caller {
    pub(super) const fn new(
        shared: Arc<Shared>,
        bundles: ActorRef<BundlesMsg>,
        tls: ClientTlsConfig,
    ) -> Self {
        Self {
            shared,
            bundles,
            tls,
        }
    }

    /// Prepares a connection, opened at the first call.
    pub(super) fn connect(&self, address: SocketAddr) -> Partner {
        let timeout = self.shared.timing.call_timeout_ms.to_duration();
        let channel = Endpoint::from_shared(format!("https://{address}"))
            .and_then(|it| it.tls_config(self.tls.clone()))
            .expect("the address and certificates were checked at start")
            .connect_timeout(timeout)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .connect_lazy();
        Partner {
            address,
            client: BundlesClient::new(channel),
        }
    }

    /// Takes over whatever the partner holds that supersedes what is held here.
    pub(super) async fn exchange(
        &self,
        partner: &Partner,
        only: Option<ServiceId>,
    ) -> ExchangeResult {
        self.shared.counters.increment("spread.exchanges");
        let bound = self.shared.timing.call_timeout_ms.to_duration() * EXCHANGE_CALLS;
        tokio::time::timeout(bound, self.exchange_unbounded(partner, only))
            .await
            .unwrap_or(Err(CallError::Timeout))
    }

    /// Tells a partner of a bundle put in force and hands it over if wanted.
    pub(super) async fn announce(&self, partner: &Partner, held: Held) -> Result<(), CallError> {
        let mut client = partner.client.clone();
        let wish = client.announce(self.bounded(to_wire(held))).await?;
        if !wish.into_inner().is_wanted {
            return Ok(());
        }
        let Some(bundle) = self.signed(held) else {
            return Ok(());
        };
        self.shared.counters.increment("spread.delivered");
        client.deliver(self.bounded(bundle)).await?;
        Ok(())
    }

    async fn exchange_unbounded(
        &self,
        partner: &Partner,
        only: Option<ServiceId>,
    ) -> ExchangeResult {
        let mut client = partner.client.clone();
        let only_service = only.map_or(0, ServiceId::get);
        let summary = Summary {
            digest: self.shared.store.load().summary(only).as_bytes().to_vec(),
            only_service,
        };
        let comparison = client.compare(self.bounded(summary)).await?.into_inner();
        let exchanged = Exchanged {
            is_ready: comparison.is_ready,
        };
        if self.shared.only_service.is_some() {
            let named = comparison.balancers.iter();
            let named = named.filter_map(|it| it.parse().ok()).take(NAMED_MAX);
            self.shared.name_balancers(named.collect());
        }
        if comparison.is_equal {
            return Ok(exchanged);
        }
        let vector = self.shared.store.load().version_vector();
        let vector = VersionVector {
            held: vector
                .into_iter()
                .filter(|it| is_within(only, it.service))
                .map(to_wire)
                .collect(),
            only_service,
        };
        let mut newer = client.exchange(vector).await?.into_inner();
        while let Some(bundle) = newer.message().await? {
            self.take(bundle, partner.address).await;
        }
        Ok(exchanged)
    }

    async fn take(&self, bundle: SignedBundle, from: SocketAddr) {
        let source = BundleSource::Peer(Note::new(from));
        let envelope = Bytes::from(bundle.envelope);
        let decision = bundles::offer(&self.bundles, envelope, source).await;
        if matches!(decision, Some(Ok(()))) {
            self.shared.counters.increment("spread.taken");
        }
    }

    /// Returns the bundle in force that `held` names, unless a newer one took its place.
    fn signed(&self, held: Held) -> Option<SignedBundle> {
        let store = self.shared.store.load();
        let envelope = if held.service == KEY_SET_SERVICE {
            store.keys().envelope().to_vec()
        } else {
            store.find(held.service)?.current.envelope.to_vec()
        };
        let now = store.held(held.service)?;
        (now == held).then(|| SignedBundle {
            service: held.service.get(),
            version: held.version.get(),
            envelope,
        })
    }

    fn bounded<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.set_timeout(self.shared.timing.call_timeout_ms.to_duration());
        request
    }
}

/// Converts an entry of a version vector to its message.
fn to_wire(held: Held) -> HeldVersion {
    HeldVersion {
        service: held.service.get(),
        version: held.version.get(),
        digest: held.digest.as_bytes().to_vec(),
    }
}
