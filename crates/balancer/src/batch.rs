//! Receive buffers, shared by all sockets of a process.
//!
//! A buffer must hold the largest batch the kernel coalesces, so one set takes 2 MB. Tasks hold a
//! set only while they work, never while they wait, so there are as many sets as threads.

use std::{io::IoSliceMut, sync::Mutex};

use flow::tunnel::OPENING_OVERHEAD_BYTES;
use quinn_udp::{BATCH_SIZE, RecvMeta};

/// Largest UDP payload, which is also the most that the kernel coalesces.
pub(crate) const BUFFER_BYTES: usize = 65_536;

/// Room in front of the received bytes, for a header to be written there.
pub(crate) const HEADROOM_BYTES: usize = OPENING_OVERHEAD_BYTES;

const SLOT_BYTES: usize = HEADROOM_BYTES + BUFFER_BYTES;

/// Buffers for one receive call.
#[derive(Debug)]
pub(crate) struct Batch {
    /// `BATCH_SIZE` buffers of `BUFFER_BYTES`, each after its headroom.
    bytes: Box<[u8]>,
    metas: [RecvMeta; BATCH_SIZE],
}

impl Batch {
    pub(crate) fn new() -> Self {
        Self {
            bytes: vec![0; BATCH_SIZE * SLOT_BYTES].into_boxed_slice(),
            metas: [RecvMeta::default(); BATCH_SIZE],
        }
    }

    /// Splits into what a receive call fills.
    pub(crate) fn split(&mut self) -> ([IoSliceMut<'_>; BATCH_SIZE], &mut [RecvMeta; BATCH_SIZE]) {
        let mut slots = self.bytes.chunks_exact_mut(SLOT_BYTES);
        let slices = std::array::from_fn(|_idx| {
            let slot = slots.next().expect("BATCH_SIZE buffers");
            IoSliceMut::new(&mut slot[HEADROOM_BYTES..])
        });
        (slices, &mut self.metas)
    }

    /// Returns the first `count` filled buffers, headroom included, with what the kernel said of
    /// them.
    pub(crate) fn filled(&mut self, count: usize) -> impl Iterator<Item = (&RecvMeta, &mut [u8])> {
        let slots = self.bytes.chunks_exact_mut(SLOT_BYTES);
        let metas = self.metas[..count].iter();
        metas
            .zip(slots)
            .map(|(meta, slot)| (meta, &mut slot[..HEADROOM_BYTES + meta.len]))
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
