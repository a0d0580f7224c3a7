//! Sends catalogs and deltas to other balancers, paced so that callers' packets go first.

use std::{collections::VecDeque, net::Ipv4Addr, sync::Arc};

use units::Millis;

use crate::catalog_transfer::EncodedTransfer;

/// Share of the link's capacity that transfers may take: one eighth.
const LINK_SHARE_DIVISOR: u64 = 8;

/// Time for which unused capacity accumulates. It is shorter than the delay that a caller notices.
const BURST_MS: u64 = 25;

/// Minimum burst in bytes. A change of one endpoint for all balancers of a small fleet is sent at
/// once.
const BURST_MIN_BYTES: u64 = 12_000;

/// Size of the headers of a datagram with a chunk, in bytes: the message's, UDP's and IP's.
const CHUNK_HEADERS_BYTES: u64 = 70;

/// Size of a datagram with a full chunk, in bytes.
const CHUNK_DATAGRAM_MAX_BYTES: u64 = 1_270;

/// Maximum number of queued transfers. The oldest one is dropped, and its receiver asks again.
const QUEUED_MAX: usize = 2_048;

/// A transfer to one balancer.
#[derive(Debug)]
struct QueuedTransfer {
    target: Ipv4Addr,
    transfer: Arc<EncodedTransfer>,
    next_chunk: u16,
}

/// Transfers that are not sent completely yet.
#[derive(Debug)]
pub(crate) struct TransferQueue {
    queue: VecDeque<QueuedTransfer>,
    /// Bytes that may be sent per millisecond.
    bytes_per_ms: u64,
    /// Bytes that may be sent now.
    credit_bytes: u64,
    credited_at: Millis,
    dropped: u64,
}

impl TransferQueue {
    /// Creates an empty queue for a link of `link_mbps`.
    pub(crate) fn new(now: Millis, link_mbps: u32) -> Self {
        let mut queue = Self {
            queue: VecDeque::new(),
            bytes_per_ms: 0,
            credit_bytes: 0,
            credited_at: now,
            dropped: 0,
        };
        queue.set_link_mbps(link_mbps);
        queue.credit_bytes = queue.burst_bytes();
        queue
    }

    /// Adjusts the pace to the link's capacity, in Mbit/s.
    pub(crate) fn set_link_mbps(&mut self, link_mbps: u32) {
        self.bytes_per_ms = (u64::from(link_mbps) * 125 / LINK_SHARE_DIVISOR).max(1);
    }

    /// Queues a transfer, in place of an unfinished earlier one to the same balancer.
    pub(crate) fn push_transfer(&mut self, target: Ipv4Addr, transfer: Arc<EncodedTransfer>) {
        self.queue.retain(|it| it.target != target);
        if self.queue.len() >= QUEUED_MAX {
            self.queue.pop_front();
            self.dropped += 1;
        }
        self.queue.push_back(QueuedTransfer {
            target,
            transfer,
            next_chunk: 0,
        });
    }

    /// Calls `send` with the chunks that may be sent now.
    pub(crate) fn send_due_chunks(
        &mut self,
        now: Millis,
        mut send: impl FnMut(Ipv4Addr, &EncodedTransfer, u16),
    ) {
        self.earn_credit(now);
        while self.credit_bytes >= CHUNK_DATAGRAM_MAX_BYTES {
            let Some(first) = self.queue.front_mut() else {
                return;
            };
            send(first.target, &first.transfer, first.next_chunk);
            let datagram_bytes = first.transfer.chunk_bytes(first.next_chunk) + CHUNK_HEADERS_BYTES;
            self.credit_bytes -= datagram_bytes.min(CHUNK_DATAGRAM_MAX_BYTES);
            first.next_chunk += 1;
            if first.next_chunk >= first.transfer.chunk_count() {
                self.queue.pop_front();
            }
        }
    }

    /// Takes the capacity for another message of `bytes` bytes, and returns whether there was enough.
    pub(crate) fn take_credit(&mut self, now: Millis, bytes: u64) -> bool {
        self.earn_credit(now);
        let is_enough = self.credit_bytes >= bytes;
        if is_enough {
            self.credit_bytes -= bytes;
        }
        is_enough
    }

    /// Returns the time at which there is capacity for a message of `bytes` bytes.
    pub(crate) fn next_credit_at(&self, bytes: u64) -> Millis {
        let missing = bytes.saturating_sub(self.credit_bytes);
        let wait = missing.div_ceil(self.bytes_per_ms).max(1);
        self.credited_at.plus(Millis::new(wait))
    }

    /// Returns the time at which further chunks may be sent, or `None` if all were sent.
    pub(crate) fn next_send_at(&self) -> Option<Millis> {
        if self.queue.is_empty() {
            return None;
        }
        Some(self.next_credit_at(CHUNK_DATAGRAM_MAX_BYTES))
    }

    /// Returns how many transfers were dropped because too many were queued.
    pub(crate) const fn dropped_count(&self) -> u64 {
        self.dropped
    }

    fn earn_credit(&mut self, now: Millis) {
        let earned = now.since(self.credited_at).get() * self.bytes_per_ms;
        self.credit_bytes = (self.credit_bytes + earned).min(self.burst_bytes());
        self.credited_at = now;
    }

    fn burst_bytes(&self) -> u64 {
        (self.bytes_per_ms * BURST_MS).max(BURST_MIN_BYTES)
    }
}
