//! Serializes catalogs, their deltas and retired endpoints for the transfer between balancers.

use serde::{Deserialize, Serialize};
use units::{Millis, Revision};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Catalog, Endpoint, ZoneKey,
    catalog_delta::CatalogDelta,
    clock_echo::ClockMark,
    message::{Chunk, write_retired_list},
};

/// Maximum number of catalog bytes in one chunk, such that the datagram fits an MTU of 1,500 bytes.
const CHUNK_BYTES: usize = 1_200;

/// Maximum number of chunks of a transfer. A catalog of 820 routes and 5,800 endpoints needs about
/// 210. Chunks of a larger transfer are not sent, and the catalog's receiver reads the store.
const CHUNKS_MAX: u16 = 2_048;

/// Maximum number of retired endpoints in one message; each endpoint takes at most 64 bytes.
pub(crate) const RETIRED_PER_MESSAGE: usize = 22;

/// Maximum number of transfers that a balancer receives at the same time.
///
/// A change arrives from two relays, and a copy that was requested may be under way.
const ASSEMBLIES_MAX: usize = 4;

/// Recently retired endpoints with the time since their removal.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct RetiredList {
    /// Endpoints with the time since they left the list. One that drains is listed, but is held back
    /// after the store came back from an older copy.
    pub(crate) endpoints: Vec<(Endpoint, Millis)>,
    /// Zones that stay evacuated after the store came back from an older copy.
    pub(crate) held_zones: Vec<ZoneKey>,
}

/// Encodes at most `RETIRED_PER_MESSAGE` retired endpoints and as many zones that are held back into a
/// message, and returns whether there are any.
pub(crate) fn write_retired_message(
    now: Millis,
    retired: &[Endpoint],
    held_zones: &[ZoneKey],
    buffer: &mut Vec<u8>,
) -> bool {
    if retired.is_empty() && held_zones.is_empty() {
        return false;
    }
    let aged = |it: &Endpoint| (*it, now.since(it.retired_at.unwrap_or(now)));
    let list = RetiredList {
        endpoints: retired.iter().map(aged).collect(),
        held_zones: held_zones.to_vec(),
    };
    let Ok(bytes) = postcard::to_stdvec(&list) else {
        debug_assert!(false, "a list of endpoints can always be serialized");
        return false;
    };
    write_retired_list(&bytes, buffer);
    true
}

/// What a transfer carries.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum TransferContent {
    Whole(Catalog),
    Delta(CatalogDelta),
}

/// A serialized catalog or delta, which is sent in chunks.
#[derive(Debug, Clone)]
pub(crate) struct EncodedTransfer {
    /// Revision of the catalog that the receiver will have.
    pub(crate) revision: Revision,
    /// Hash of `bytes`, which tells transfers of the same revision apart.
    id: u64,
    bytes: Vec<u8>,
    /// Number of chunks; at most `CHUNKS_MAX`.
    chunks: u16,
}

impl EncodedTransfer {
    /// Serializes a transfer, or returns `None` if it needs more than `CHUNKS_MAX` chunks.
    pub(crate) fn new(revision: Revision, content: &TransferContent) -> Option<Self> {
        let Ok(bytes) = postcard::to_stdvec(content) else {
            debug_assert!(false, "a catalog can always be serialized");
            return None;
        };
        let chunks = u16::try_from(bytes.len().div_ceil(CHUNK_BYTES)).ok()?;
        if chunks > CHUNKS_MAX {
            return None;
        }
        Some(Self {
            revision,
            id: xxh3_64(&bytes),
            bytes,
            chunks,
        })
    }

    pub(crate) const fn chunk_count(&self) -> u16 {
        self.chunks
    }

    /// Returns the number of catalog bytes in the chunk with the given index.
    pub(crate) fn chunk_bytes(&self, index: u16) -> u64 {
        let before = CHUNK_BYTES * usize::from(index);
        self.bytes.len().saturating_sub(before).min(CHUNK_BYTES) as u64
    }

    /// Returns the chunk with the given index, or `None` after the last chunk.
    pub(crate) fn chunk(
        &self,
        index: u16,
        confirmed_age_ms: u32,
        mark: ClockMark,
    ) -> Option<Chunk<'_>> {
        let bytes = self.bytes.chunks(CHUNK_BYTES).nth(index.into())?;
        Some(Chunk {
            revision: self.revision.get(),
            transfer_id: self.id,
            confirmed_age_ms,
            mark,
            index,
            count: self.chunks,
            bytes,
        })
    }
}

/// The chunks of one transfer that have been received so far.
#[derive(Debug)]
struct Assembly {
    revision: Revision,
    id: u64,
    /// Received bytes of each chunk, empty until the chunk arrives.
    parts: Vec<Vec<u8>>,
    missing: usize,
    last_chunk_at: Millis,
}

/// Reassembles transfers from their chunks.
#[derive(Debug, Default)]
pub(crate) struct TransferAssembler {
    /// Incomplete transfers; at most `ASSEMBLIES_MAX`.
    assemblies: Vec<Assembly>,
    /// Whether the catalog in force differed from another balancer's, so that deltas don't apply.
    pub(crate) needs_whole_catalog: bool,
}

impl TransferAssembler {
    /// Adds a chunk, and returns the transfer's content once all its chunks have arrived.
    pub(crate) fn add_chunk(&mut self, now: Millis, chunk: &Chunk<'_>) -> Option<TransferContent> {
        if chunk.count > CHUNKS_MAX || chunk.bytes.len() > CHUNK_BYTES {
            return None;
        }
        let idx = self.find_or_insert(now, chunk);
        let assembly = &mut self.assemblies[idx];
        assembly.last_chunk_at = now;
        let part = assembly.parts.get_mut(usize::from(chunk.index))?;
        if part.is_empty() && !chunk.bytes.is_empty() {
            part.extend_from_slice(chunk.bytes);
            assembly.missing -= 1;
        }
        if assembly.missing > 0 {
            return None;
        }
        let complete = self.assemblies.remove(idx);
        let bytes = complete.parts.concat();
        if xxh3_64(&bytes) != complete.id {
            return None;
        }
        postcard::from_bytes(&bytes).ok()
    }

    /// Returns whether chunks of a catalog newer than `revision` have arrived since `since`.
    pub(crate) fn is_receiving(&self, revision: Revision, since: Millis) -> bool {
        self.assemblies
            .iter()
            .any(|it| it.revision > revision && it.last_chunk_at >= since)
    }

    /// Drops the incomplete transfers of catalogs that are no newer than `revision`.
    pub(crate) fn drop_outdated(&mut self, revision: Revision) {
        self.assemblies.retain(|it| it.revision > revision);
    }

    fn find_or_insert(&mut self, now: Millis, chunk: &Chunk<'_>) -> usize {
        let count = usize::from(chunk.count);
        let known = self
            .assemblies
            .iter()
            .position(|it| it.id == chunk.transfer_id && it.parts.len() == count);
        if let Some(idx) = known {
            return idx;
        }
        if self.assemblies.len() >= ASSEMBLIES_MAX {
            let oldest = (0..self.assemblies.len()).min_by_key(|it| {
                let assembly = &self.assemblies[*it];
                (assembly.last_chunk_at, assembly.revision)
            });
            self.assemblies.swap_remove(oldest.unwrap_or(0));
        }
        self.assemblies.push(Assembly {
            revision: Revision::new(chunk.revision),
            id: chunk.transfer_id,
            parts: vec![Vec::new(); count],
            missing: count,
            last_chunk_at: now,
        });
        self.assemblies.len() - 1
    }
}
