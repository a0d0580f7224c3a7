//! Serializes catalogs and retired endpoints for their transfer between balancers.

use serde::{Deserialize, Serialize};
use units::{Millis, Revision};

use crate::{
    Catalog, Endpoint,
    message::{Chunk, write_catalog_chunk, write_retired_list},
};

/// Maximum number of catalog bytes in one chunk, such that the datagram fits an MTU of 1,500 bytes.
const CHUNK_BYTES: usize = 1_200;

/// Maximum number of chunks of a catalog. A catalog of 820 routes and 5,800 endpoints needs about
/// 400.
const CHUNKS_MAX: u16 = 2_048;

/// Maximum number of retired endpoints in one message; each endpoint takes about 40 bytes.
const RETIRED_PER_MESSAGE: usize = 24;

/// Recently retired endpoints with the time since their removal.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct RetiredList(pub(crate) Vec<(Endpoint, Millis)>);

/// Encodes the retired endpoints into messages and calls `send` with each message.
pub(crate) fn write_retired_messages(
    now: Millis,
    retired: &[Endpoint],
    buffer: &mut Vec<u8>,
    mut send: impl FnMut(&[u8]),
) {
    for part in retired.chunks(RETIRED_PER_MESSAGE) {
        let aged = |it: &Endpoint| (*it, now.since(it.retired_at.unwrap_or(now)));
        let list = RetiredList(part.iter().map(aged).collect());
        let Ok(bytes) = postcard::to_stdvec(&list) else {
            debug_assert!(false, "a list of endpoints can always be serialized");
            return;
        };
        write_retired_list(&bytes, buffer);
        send(buffer);
    }
}

/// Splits a serialized catalog into chunk messages and calls `send` with each message.
pub(crate) fn write_catalog_chunks(
    catalog: &Catalog,
    confirmed_age_ms: u32,
    buffer: &mut Vec<u8>,
    mut send: impl FnMut(&[u8]),
) {
    let Ok(bytes) = postcard::to_stdvec(catalog) else {
        debug_assert!(false, "a catalog can always be serialized");
        return;
    };
    let Ok(count) = u16::try_from(bytes.len().div_ceil(CHUNK_BYTES)) else {
        return;
    };
    for (index, part) in (0..count).zip(bytes.chunks(CHUNK_BYTES)) {
        let chunk = Chunk {
            revision: catalog.revision.get(),
            confirmed_age_ms,
            index,
            count,
            bytes: part,
        };
        write_catalog_chunk(chunk, buffer);
        send(buffer);
    }
}

/// Reassembles a catalog from its chunks, one revision at a time.
#[derive(Debug, Default)]
pub(crate) struct CatalogAssembler {
    revision: Revision,
    /// Received bytes of each chunk, empty until the chunk arrives.
    parts: Vec<Vec<u8>>,
    missing: usize,
}

impl CatalogAssembler {
    /// Adds a chunk, and returns the catalog once all its chunks have arrived.
    pub(crate) fn add_catalog_chunk(&mut self, chunk: &Chunk<'_>) -> Option<Catalog> {
        let revision = Revision::new(chunk.revision);
        if revision < self.revision || chunk.count > CHUNKS_MAX || chunk.bytes.len() > CHUNK_BYTES {
            return None;
        }
        if revision > self.revision || self.parts.len() != usize::from(chunk.count) {
            *self = Self {
                revision,
                parts: vec![Vec::new(); usize::from(chunk.count)],
                missing: usize::from(chunk.count),
            };
        }
        let part = self.parts.get_mut(usize::from(chunk.index))?;
        if part.is_empty() && !chunk.bytes.is_empty() {
            part.extend_from_slice(chunk.bytes);
            self.missing -= 1;
        }
        if self.missing > 0 {
            return None;
        }
        let bytes = self.parts.concat();
        self.parts = Vec::new();
        let mut catalog: Catalog = postcard::from_bytes(&bytes).ok()?;
        catalog.sort_entries();
        (catalog.revision == revision).then_some(catalog)
    }
}
