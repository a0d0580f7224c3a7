//! Receive buffers, shared by all sockets of a process.
//!
//! Every buffer must hold the largest batch that the kernel coalesces, so the buffers of one
//! receive call take 2 MB. Tasks hold such a buffer set only while they process datagrams and
//! never while they wait, so the pool grows only to the number of threads.

use std::{io::IoSliceMut, sync::Mutex};

use flow::tunnel::OPENING_OVERHEAD_BYTES;
use quinn_udp::{BATCH_SIZE, RecvMeta};

/// Maximum UDP payload, which is also the maximum size of a batch that the kernel coalesces.
pub(crate) const BUFFER_BYTES: usize = 65_536;

/// Space reserved before the received bytes for a tunnel header.
pub(crate) const HEADROOM_BYTES: usize = OPENING_OVERHEAD_BYTES;

const SLOT_BYTES: usize = HEADROOM_BYTES + BUFFER_BYTES;

/// The buffers for one receive call.
#[derive(Debug)]
pub(crate) struct ReceiveBatch {
    /// `BATCH_SIZE` buffers of `BUFFER_BYTES`, each after `HEADROOM_BYTES` for a tunnel header.
    bytes: Box<[u8]>,
    metas: [RecvMeta; BATCH_SIZE],
}

impl ReceiveBatch {
    pub(crate) fn new() -> Self {
        Self {
            bytes: vec![0; BATCH_SIZE * SLOT_BYTES].into_boxed_slice(),
            metas: [RecvMeta::default(); BATCH_SIZE],
        }
    }

    /// Returns the buffers and the metadata slots that a receive call fills.
    pub(crate) fn split_for_receive(
        &mut self,
    ) -> ([IoSliceMut<'_>; BATCH_SIZE], &mut [RecvMeta; BATCH_SIZE]) {
        let mut slots = self.bytes.chunks_exact_mut(SLOT_BYTES);
        let slices = std::array::from_fn(|_idx| {
            let slot = slots.next().expect("BATCH_SIZE buffers");
            IoSliceMut::new(&mut slot[HEADROOM_BYTES..])
        });
        (slices, &mut self.metas)
    }

    /// Returns the first `count` filled buffers, headroom included, with the kernel's metadata.
    pub(crate) fn filled_buffers(
        &mut self,
        count: usize,
    ) -> impl Iterator<Item = (&RecvMeta, &mut [u8])> {
        let slots = self.bytes.chunks_exact_mut(SLOT_BYTES);
        let metas = self.metas[..count].iter();
        metas
            .zip(slots)
            .map(|(meta, slot)| (meta, &mut slot[..HEADROOM_BYTES + meta.len]))
    }
}

/// Pool of reusable buffer sets that no task uses at the moment.
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

    /// Takes a buffer set from the pool, or creates one if the pool is empty.
    pub(crate) fn acquire(&self, make: impl FnOnce() -> T) -> T {
        let free = self
            .free
            .lock()
            .expect("no task panics while it holds the lock")
            .pop();
        free.unwrap_or_else(make)
    }

    /// Puts a buffer set back into the pool.
    pub(crate) fn release(&self, set: T) {
        self.free
            .lock()
            .expect("no task panics while it holds the lock")
            .push(set);
    }
}
