//! Connection ids that carry, encrypted, which run of which agent holds the flow.

use std::sync::Arc;

use aes::cipher::{Array, BlockCipherDecrypt, BlockCipherEncrypt};
use units::{EndpointId, Incarnation, KeyIndex};

use crate::key::ServiceKeys;

/// Length of every connection id that an agent mints.
pub const CID_BYTES: usize = 17;

/// Random bytes in a connection id.
pub const NONCE_BYTES: usize = 6;

/// Low bits of the first byte: the number of bytes that follow.
const LENGTH_BITS: u8 = 16;

const INDEX_SHIFT: u32 = 5;

/// A connection id minted by an agent.
pub type Cid = [u8; CID_BYTES];

/// What a connection id says about its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CidOwner {
    /// The endpoint whose agent minted the id.
    pub endpoint: EndpointId,
    /// The run of the agent that minted it.
    pub incarnation: Incarnation,
}

/// Encodes and decodes the connection ids of one service.
#[derive(Debug, Clone)]
pub struct CidCodec {
    keys: Arc<ServiceKeys>,
}

impl CidCodec {
    /// Makes a codec that encodes with the current key and decodes with all.
    #[must_use]
    pub const fn new(keys: Arc<ServiceKeys>) -> Self {
        Self { keys }
    }

    /// Mints a connection id; `nonce` must be random.
    #[must_use]
    pub fn encode(
        &self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        nonce: [u8; NONCE_BYTES],
    ) -> Cid {
        encode(&self.keys, endpoint, incarnation, nonce)
    }

    /// Reads a connection id, `None` if no key of this service minted it.
    #[must_use]
    pub fn decode(&self, cid: &[u8]) -> Option<CidOwner> {
        decode(&self.keys, cid)
    }
}

/// Mints a connection id with the current key.
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
    cid[0] = (key.index().get() << INDEX_SHIFT) | LENGTH_BITS;
    cid[1..].copy_from_slice(&block);
    cid
}

/// Reads a connection id with whichever held key its index names.
#[must_use]
pub fn decode(keys: &ServiceKeys, cid: &[u8]) -> Option<CidOwner> {
    let cid: &Cid = cid.try_into().ok()?;
    if cid[0] & !(u8::MAX << INDEX_SHIFT) != LENGTH_BITS {
        return None;
    }
    let key = keys.find(KeyIndex::new(cid[0] >> INDEX_SHIFT))?;
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
