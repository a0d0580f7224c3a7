//! Receive buffers, shared by all sockets of a process.
//!
//! A buffer must hold the largest batch the kernel coalesces, so one set takes 2 MB. Tasks hold a
//! set only while they work, never while they wait, so there are as many sets as threads.

use std::{io::IoSliceMut, sync::Mutex};

use quinn_udp::{BATCH_SIZE, RecvMeta};

/// Largest UDP payload, which is also the most that the kernel coalesces.
pub(crate) const BUFFER_BYTES: usize = 65_536;

/// Buffers for one receive call.
#[derive(Debug)]
pub(crate) struct Batch {
    /// `BATCH_SIZE` buffers of `BUFFER_BYTES` each.
    bytes: Box<[u8]>,
    metas: [RecvMeta; BATCH_SIZE],
}

impl Batch {
    pub(crate) fn new() -> Self {
        Self {
            bytes: vec![0; BATCH_SIZE * BUFFER_BYTES].into_boxed_slice(),
            metas: [RecvMeta::default(); BATCH_SIZE],
        }
    }

    /// Splits into what a receive call fills.
    pub(crate) fn split(&mut self) -> ([IoSliceMut<'_>; BATCH_SIZE], &mut [RecvMeta; BATCH_SIZE]) {
        let mut chunks = self.bytes.chunks_exact_mut(BUFFER_BYTES);
        let slices =
            std::array::from_fn(|_idx| IoSliceMut::new(chunks.next().expect("BATCH_SIZE buffers")));
        (slices, &mut self.metas)
    }

    /// Returns the first `count` filled buffers with what the kernel said of them.
    pub(crate) fn filled(&self, count: usize) -> impl Iterator<Item = (&RecvMeta, &[u8])> {
        let buffers = self.bytes.chunks_exact(BUFFER_BYTES);
        let metas = self.metas[..count].iter();
        metas.zip(buffers).map(|(meta, it)| (meta, &it[..meta.len]))
    }
}

/// Buffer sets that no task holds.
#[derive(Debug, Default)]
pub(crate) struct Pool<T> {
    free: Mutex<Vec<T>>,
}

impl<T> Pool<T> {
    pub(crate) const fn new() -> Self {
        Self {
            free: Mutex::new(Vec::new()),
        }
    }

    /// Takes a free set, or makes one.
    pub(crate) fn take(&self, make: impl FnOnce() -> T) -> T {
        let free = self.free.lock().expect("no holder panics").pop();
        free.unwrap_or_else(make)
    }

    /// Gives a set back.
    pub(crate) fn give(&self, set: T) {
        self.free.lock().expect("no holder panics").push(set);
    }
}
