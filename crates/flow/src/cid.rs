//! Connection ids that contain, encrypted, the endpoint and agent incarnation that own the flow.

use std::sync::Arc;

use aes::cipher::{Array, BlockCipherDecrypt, BlockCipherEncrypt};
use units::{EndpointId, Incarnation, KeyIndex};

use crate::key::ServiceKeys;

/// Length in bytes of every connection id that an agent issues.
pub const CID_BYTES: usize = 17;

/// Number of random bytes in a connection id.
pub const NONCE_BYTES: usize = 6;

/// Value of the low five bits of a connection id's first byte: the number of bytes after it.
const LENGTH_FIELD: u8 = 16;

const KEY_INDEX_SHIFT: u32 = 5;

/// A connection id issued by an agent.
pub type Cid = [u8; CID_BYTES];

/// The endpoint and the agent incarnation that own a flow, as its connection id encodes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CidOwner {
    /// The endpoint whose agent issued the connection id.
    pub endpoint: EndpointId,
    /// The incarnation of the agent that issued the connection id.
    pub incarnation: Incarnation,
}

/// Encodes and decodes the connection ids of one service.
#[derive(Debug, Clone)]
pub struct CidCodec {
    keys: Arc<ServiceKeys>,
}

impl CidCodec {
    /// Creates a codec that encodes with the service's current key and decodes with every key.
    #[must_use]
    pub const fn new(keys: Arc<ServiceKeys>) -> Self {
        Self { keys }
    }

    /// Encodes a new connection id; `nonce` must be random.
    #[must_use]
    pub fn encode(
        &self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        nonce: [u8; NONCE_BYTES],
    ) -> Cid {
        encode(&self.keys, endpoint, incarnation, nonce)
    }

    /// Decodes a connection id; returns `None` if no key of this service encrypted it.
    #[must_use]
    pub fn decode(&self, cid: &[u8]) -> Option<CidOwner> {
        decode(&self.keys, cid)
    }
}

/// Encodes a new connection id with the current key; `nonce` must be random.
#[must_use]
pub fn encode(
    keys: &ServiceKeys,
    endpoint: EndpointId,
    incarnation: Incarnation,
    nonce: [u8; NONCE_BYTES],
) -> Cid {
    let key = keys.current();
    let mut block = [0; 16];
    block[..4].copy_from_slice(&endpoint.get().to_be_bytes());
    block[4..8].copy_from_slice(&incarnation.get().to_be_bytes());
    block[8..14].copy_from_slice(&nonce);
    let mut block = Array::from(block);
    key.cid.encrypt_block(&mut block);
    let mut cid = [0; CID_BYTES];
    cid[0] = (key.index().get() << KEY_INDEX_SHIFT) | LENGTH_FIELD;
    cid[1..].copy_from_slice(&block);
    cid
}

/// Decodes a connection id with the key that its key index selects.
///
/// Returns `None` if no key of this service encrypted the connection id.
#[must_use]
pub fn decode(keys: &ServiceKeys, cid: &[u8]) -> Option<CidOwner> {
    let cid: &Cid = cid.try_into().ok()?;
    if cid[0] & !(u8::MAX << KEY_INDEX_SHIFT) != LENGTH_FIELD {
        return None;
    }
    let key = keys.find(KeyIndex::new(cid[0] >> KEY_INDEX_SHIFT))?;
    let mut block = [0; 16];
    block.copy_from_slice(&cid[1..]);
    let mut block = Array::from(block);
    key.cid.decrypt_block(&mut block);
    let [e0, e1, e2, e3, i0, i1, i2, i3, .., check0, check1] = block.0;
    if (check0, check1) != (0, 0) {
        return None;
    }
    Some(CidOwner {
        endpoint: EndpointId::new(u32::from_be_bytes([e0, e1, e2, e3])),
        incarnation: Incarnation::new(u32::from_be_bytes([i0, i1, i2, i3])),
    })
}
