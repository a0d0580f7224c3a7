//! The calls that other processes make to this one.

use std::{net::SocketAddr, sync::Arc};

use bundle::{Held, is_within};
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
    shared::Shared,
};

/// Most entries of a version vector, well over the services of any fleet.
const VECTOR_MAX: usize = 16_384;

/// Most balancers named to an agent.
const NAMED_MAX: usize = 16;

/// Answers the calls of `wire::bundles`.
#[derive(Debug, Clone)]
pub struct BundlesService {
    shared: Arc<Shared>,
    bundles: ActorRef<BundlesMsg>,
}

impl BundlesService {
    pub(crate) const fn new(shared: Arc<Shared>, bundles: ActorRef<BundlesMsg>) -> Self {
        Self { shared, bundles }
    }

    /// Returns some balancers by which an agent finds the fleet when all it knew are replaced.
    fn some_balancers(&self) -> Vec<String> {
        if self.shared.only_service.is_some() {
            return Vec::new();
        }
        let others = self.shared.other_peers();
        let others = others.choose_multiple(&mut rand::rng(), NAMED_MAX - 1);
        let own = std::iter::once(&self.shared.control_address);
        own.chain(others).map(SocketAddr::to_string).collect()
    }
}

#[tonic::async_trait]
impl Bundles for BundlesService {
    type ExchangeStream = stream::Iter<std::vec::IntoIter<Result<SignedBundle, Status>>>;

    async fn compare(&self, request: Request<Summary>) -> Result<Response<Comparison>, Status> {
        let summary = request.into_inner();
        let only = only_service(summary.only_service);
        let mine = self.shared.store.load().summary(only);
        let is_equal = summary.digest == mine.as_bytes();
        let is_ready = *self.shared.is_ready.borrow();
        let balancers = if only.is_some() {
            self.some_balancers()
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
        let only = only_service(vector.only_service);
        let theirs = read_vector(&vector)?;
        let newer = self.shared.store.load().newer_than(&theirs);
        let bundles: Vec<_> = newer
            .into_iter()
            .filter(|(held, _)| is_within(only, held.service))
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
        let offered = read_held(&request.into_inner())?;
        let is_wanted = self.shared.wants(offered);
        Ok(Response::new(Wish { is_wanted }))
    }

    async fn deliver(&self, request: Request<SignedBundle>) -> Result<Response<Receipt>, Status> {
        let from = request.remote_addr();
        let bundle = request.into_inner();
        let source =
            BundleSource::Peer(Note::new(from.map_or_else(no_address, |it| it.to_string())));
        let envelope = Bytes::from(bundle.envelope);
        let refusal_kind = match bundles::offer(&self.bundles, envelope, source).await {
            Some(Ok(())) => String::new(),
            Some(Err(refusal)) => refusal.kind().to_owned(),
            None => return Err(Status::failed_precondition("the service isn't held here")),
        };
        Ok(Response::new(Receipt { refusal_kind }))
    }
}

fn no_address() -> String {
    "unknown".to_owned()
}

fn only_service(raw: u32) -> Option<ServiceId> {
    (raw != 0).then(|| ServiceId::new(raw))
}

fn read_vector(vector: &VersionVector) -> Result<Vec<Held>, Status> {
    if vector.held.len() > VECTOR_MAX {
        return Err(Status::invalid_argument("the version vector is too long"));
    }
    let theirs: Vec<Held> = vector
        .held
        .iter()
        .map(read_held)
        .collect::<Result<_, _>>()?;
    if !theirs.is_sorted_by(|a, b| a.service < b.service) {
        return Err(Status::invalid_argument(
            "the version vector isn't sorted by service",
        ));
    }
    Ok(theirs)
}

fn read_held(held: &HeldVersion) -> Result<Held, Status> {
    let digest = held
        .digest
        .as_slice()
        .try_into()
        .map_err(|_length| Status::invalid_argument("the digest isn't 32 bytes"))?;
    Ok(Held {
        service: ServiceId::new(held.service),
        version: BundleVersion::new(held.version),
        digest: BundleDigest::new(digest),
    })
}
