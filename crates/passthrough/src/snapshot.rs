//! A catalog in parts, for balancers that lack it.

use serde::{Deserialize, Serialize};
use units::{Millis, Revision};

use crate::{
    Catalog, Endpoint,
    message::{Chunk, write_chunk, write_retired},
};

/// Bytes of a catalog in one message; keeps the datagram within a path of 1,500 bytes.
const CHUNK_BYTES: usize = 1_200;

/// Chunks of the largest catalog that is taken: 820 routes and 5,800 endpoints need about 400.
const CHUNKS_MAX: u16 = 2_048;

/// Endpoints in one message about retired ones; each takes about 40 bytes.
const RETIRED_PER_MESSAGE: usize = 24;

/// Endpoints that left the catalog lately, with the time since then.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct RetiredList(pub(crate) Vec<(Endpoint, Millis)>);

/// Calls `send` with messages that list the retired endpoints.
pub(crate) fn write_retired_lists(
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
        write_retired(&bytes, buffer);
        send(buffer);
    }
}

/// Calls `send` with each part of a catalog.
pub(crate) fn write_chunks(
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
        write_chunk(chunk, buffer);
        send(buffer);
    }
}

/// Collects the parts of one catalog at a time.
#[derive(Debug, Default)]
pub(crate) struct Assembly {
    revision: Revision,
    /// One entry a part, empty until it has come.
    parts: Vec<Vec<u8>>,
    missing: usize,
}

impl Assembly {
    /// Takes a part; returns the catalog if that was the last one missing.
    pub(crate) fn take(&mut self, chunk: &Chunk<'_>) -> Option<Catalog> {
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
        catalog.sort();
        (catalog.revision == revision).then_some(catalog)
    }
}
