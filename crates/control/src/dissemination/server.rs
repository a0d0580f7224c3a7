//! The `Bundles` gRPC service, by which other processes exchange bundles with this one.

use std::{net::SocketAddr, sync::Arc};

use bundle::{VersionEntry, is_in_scope};
use bytes::Bytes;
use futures_util::stream;
use ractor::ActorRef;
use rand::seq::IndexedRandom as _;
use timeline::{BundleSource, Note};
use tonic::{Request, Response, Status};
use units::{BundleDigest, BundleVersion, ServiceId};
use wire::bundles::{
    Comparison, HeldVersion, Receipt, SignedBundle, Summary, VersionVector, Wish,
    bundles_server::Bundles,
};

use crate::{
    bundles::{self, BundlesMsg},
    shared::SharedState,
};

/// Maximum number of entries in a received version vector, well above the services of any fleet.
const VERSION_VECTOR_MAX: usize = 16_384;

/// Maximum number of balancer addresses that a balancer returns to an agent.
const RETURNED_BALANCERS_MAX: usize = 16;

/// Implementation of the `Bundles` gRPC service.
#[derive(Debug, Clone)]
pub struct BundlesService {
    shared: Arc<SharedState>,
    bundles: ActorRef<BundlesMsg>,
}

impl BundlesService {
    pub(crate) const fn new(shared: Arc<SharedState>, bundles: ActorRef<BundlesMsg>) -> Self {
        Self { shared, bundles }
    }

    /// Returns the control addresses of this balancer and of a random sample of the other
    /// balancers.
    ///
    /// The addresses let an agent reach the fleet after all balancers in its settings have been
    /// replaced. An agent returns no addresses.
    fn sample_balancers(&self) -> Vec<String> {
        if self.shared.only_service.is_some() {
            return Vec::new();
        }
        let others = self.shared.other_peers();
        let others = others.choose_multiple(&mut rand::rng(), RETURNED_BALANCERS_MAX - 1);
        let own = std::iter::once(&self.shared.control_address);
        own.chain(others).map(SocketAddr::to_string).collect()
    }
}

#[tonic::async_trait]
impl Bundles for BundlesService {
    type ExchangeStream = stream::Iter<std::vec::IntoIter<Result<SignedBundle, Status>>>;

    async fn compare(&self, request: Request<Summary>) -> Result<Response<Comparison>, Status> {
        let summary = request.into_inner();
        let only = parse_only_service(summary.only_service);
        let mine = self.shared.store.load().version_vector_digest(only);
        let is_equal = summary.digest == mine.as_bytes();
        let is_ready = *self.shared.is_ready.borrow();
        let balancers = if only.is_some() {
            self.sample_balancers()
        } else {
            Vec::new()
        };
        Ok(Response::new(Comparison {
            is_equal,
            is_ready,
            balancers,
        }))
    }

    async fn exchange(
        &self,
        request: Request<VersionVector>,
    ) -> Result<Response<Self::ExchangeStream>, Status> {
        let vector = request.into_inner();
        let only = parse_only_service(vector.only_service);
        let theirs = parse_version_vector(&vector)?;
        let newer = self.shared.store.load().entries_newer_than(&theirs);
        let bundles: Vec<_> = newer
            .into_iter()
            .filter(|(held, _)| is_in_scope(only, held.service))
            .map(|(held, envelope)| {
                Ok(SignedBundle {
                    service: held.service.get(),
                    version: held.version.get(),
                    envelope: envelope.to_vec(),
                })
            })
            .collect();
        Ok(Response::new(stream::iter(bundles)))
    }

    async fn announce(&self, request: Request<HeldVersion>) -> Result<Response<Wish>, Status> {
        let offered = parse_held(&request.into_inner())?;
        let is_wanted = self.shared.wants_version(offered);
        Ok(Response::new(Wish { is_wanted }))
    }

    async fn deliver(&self, request: Request<SignedBundle>) -> Result<Response<Receipt>, Status> {
        let from = request.remote_addr();
        let bundle = request.into_inner();
        let source = BundleSource::Peer(Note::new(
            from.map_or_else(unknown_address, |it| it.to_string()),
        ));
        let envelope = Bytes::from(bundle.envelope);
        let refusal_kind = match bundles::offer_envelope(&self.bundles, envelope, source).await {
            Some(Ok(())) => String::new(),
            Some(Err(refusal)) => refusal.kind().to_owned(),
            None => return Err(Status::failed_precondition("the service isn't held here")),
        };
        Ok(Response::new(Receipt { refusal_kind }))
    }
}

fn unknown_address() -> String {
    "unknown".to_owned()
}

/// Converts the field `only_service` of a message, in which 0 stands for all services.
fn parse_only_service(raw: u32) -> Option<ServiceId> {
    (raw != 0).then(|| ServiceId::new(raw))
}

fn parse_version_vector(vector: &VersionVector) -> Result<Vec<VersionEntry>, Status> {
    if vector.held.len() > VERSION_VECTOR_MAX {
        return Err(Status::invalid_argument("the version vector is too long"));
    }
    let theirs: Vec<VersionEntry> = vector
        .held
        .iter()
        .map(parse_held)
        .collect::<Result<_, _>>()?;
    if !theirs.is_sorted_by(|a, b| a.service < b.service) {
        return Err(Status::invalid_argument(
            "the version vector isn't sorted by service",
        ));
    }
    Ok(theirs)
}

fn parse_held(held: &HeldVersion) -> Result<VersionEntry, Status> {
    let digest = held
        .digest
        .as_slice()
        .try_into()
        .map_err(|_length| Status::invalid_argument("the digest isn't 32 bytes"))?;
    Ok(VersionEntry {
        service: ServiceId::new(held.service),
        version: BundleVersion::new(held.version),
        digest: BundleDigest::new(digest),
    })
}
