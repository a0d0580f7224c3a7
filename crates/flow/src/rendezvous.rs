//! Weighted rendezvous hashing, which assigns keys to endpoints.
//!
//! Every endpoint gets a score for a key, and the key is assigned to the endpoints with the highest
//! scores. Removing an endpoint moves only the keys that were assigned to that endpoint.

use std::net::{IpAddr, SocketAddr};

use units::{EndpointId, Weight};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::quic::CID_MAX_BYTES;

const KEY_INPUT_MAX_BYTES: usize = 16 + 2 + CID_MAX_BYTES;

/// Rendezvous hashing key of a flow: a hash of the caller's address and chosen connection id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowKey(u64);

impl FlowKey {
    /// Hashes the caller's address and the connection id that the caller chose.
    ///
    /// Bytes of `dcid` beyond `CID_MAX_BYTES` are ignored.
    #[must_use]
    pub fn new(caller: SocketAddr, dcid: &[u8]) -> Self {
        let mut input = [0; KEY_INPUT_MAX_BYTES];
        let ip = match caller.ip() {
            IpAddr::V4(it) => it.to_ipv6_mapped(),
            IpAddr::V6(it) => it,
        };
        let dcid = &dcid[..dcid.len().min(CID_MAX_BYTES)];
        input[..16].copy_from_slice(&ip.octets());
        input[16..18].copy_from_slice(&caller.port().to_be_bytes());
        input[18..18 + dcid.len()].copy_from_slice(dcid);
        Self(xxh3_64(&input[..18 + dcid.len()]))
    }

    /// Returns the flow's 64-bit hash.
    #[must_use]
    pub const fn hash(self) -> u64 {
        self.0
    }

    /// Creates a flow key from an existing 64-bit hash.
    #[must_use]
    pub const fn from_hash(hash: u64) -> Self {
        Self(hash)
    }
}

/// Computes an endpoint's rendezvous score for a flow at weight 1; the score scales with weight.
///
/// The score is `-1 / ln(u)` for a uniform `u` in (0, 1), so an endpoint with twice the weight wins
/// twice as many keys.
#[must_use]
pub fn unit_weight_score(key: FlowKey, endpoint: EndpointId) -> f64 {
    /// Number of hash bits that an `f64` represents exactly.
    const BITS: u32 = 53;
    let hash = xxh3_64_with_seed(&endpoint.get().to_be_bytes(), key.0);
    #[expect(
        clippy::cast_precision_loss,
        reason = "an f64 represents 53 bits exactly"
    )]
    let uniform = ((hash >> (u64::BITS - BITS)) as f64 + 0.5) / (1_u64 << BITS) as f64;
    -1.0 / uniform.ln()
}

/// The `N` highest rendezvous scores of the endpoints offered so far, highest first.
#[derive(Debug, Clone, Copy)]
pub struct TopScores<const N: usize> {
    /// Score and position of each endpoint, highest score first; equal scores keep their order.
    best: [(f64, Option<usize>); N],
}

impl<const N: usize> TopScores<N> {
    /// Creates a ranking to which no endpoint was offered yet.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            best: [(0.0, None); N],
        }
    }

    /// Keeps the endpoint at position `idx` of the caller's list if it is among the `N` best.
    ///
    /// The score is `weight` times `unit_score`. An endpoint of weight zero is never kept.
    pub fn offer_endpoint(&mut self, idx: usize, weight: Weight, unit_score: f64) {
        let score = f64::from(weight.get()) * unit_score;
        if score <= self.best[N - 1].0 {
            return;
        }
        let insert_at = self.best.partition_point(|it| it.0 >= score);
        self.best[insert_at..].rotate_right(1);
        self.best[insert_at] = (score, Some(idx));
    }

    /// Returns the list positions of the endpoints with the highest scores, highest first.
    #[must_use]
    pub fn winner_positions(&self) -> [Option<usize>; N] {
        self.best.map(|it| it.1)
    }
}

impl<const N: usize> Default for TopScores<N> {
    fn default() -> Self {
        Self::new()
    }
}
