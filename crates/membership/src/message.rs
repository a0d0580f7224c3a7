//! Messages of the membership protocol.

use crate::{MemberId, MemberUpdate, MemberVersion};

/// Encoded length of a membership message without updates.
const HEADER_BYTES: usize = 32;

/// Maximum length of the updates in one datagram, so that it fits the smallest common path MTU.
pub(crate) const UPDATES_BYTES_MAX: usize = 1_100;

/// A message of the membership protocol: the content of one datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The message kind with its fields.
    pub kind: MessageKind,
    /// The member that sent the message.
    pub sender: MemberId,
    /// Piggybacked membership updates; empty in datagrams to and from agents, except that a leaving
    /// agent sends an update about itself.
    pub updates: Vec<MemberUpdate>,
}

/// The kind of a membership message with its fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A probe, which asks `target` for an ack.
    Probe {
        /// A number that the target returns in its ack.
        nonce: u32,
        /// The member that the probe addresses.
        target: MemberId,
        /// The highest version of the target that the sender knows.
        known_version: MemberVersion,
        /// Whether the sender suspects the target at `known_version`, so that the target has to
        /// refute the suspicion.
        is_suspect: bool,
    },
    /// An ack, which acknowledges a probe.
    Ack {
        /// The nonce of the acknowledged probe.
        nonce: u32,
        /// The member version of the sender.
        version: MemberVersion,
        /// Whether the sender accepts no new requests.
        is_leaving: bool,
    },
    /// Asks the receiving balancer to probe `target` on behalf of the sender (SWIM's ping-req).
    IndirectProbe {
        /// A number that the receiver returns in the indirect ack.
        nonce: u32,
        /// The member to probe on behalf of the sender.
        target: MemberId,
    },
    /// Reports that `target` acknowledged an indirect probe that the receiver requested.
    IndirectAck {
        /// The nonce of the indirect probe.
        nonce: u32,
        /// The member that acknowledged the indirect probe.
        target: MemberId,
        /// The member version of the target.
        version: MemberVersion,
    },
    /// Gossip, which disseminates the membership updates of the message.
    Gossip,
    /// A sync request, which starts an anti-entropy exchange: sends updates and requests those that
    /// the sender lacks.
    Sync {
        /// A random number that is mixed into the digests, so that a hash collision does not recur
        /// in the next anti-entropy exchange.
        salt: u16,
        /// Digests of the alive balancers that the sender knows, including itself, one byte for
        /// each of four hash buckets.
        balancer_digests: u32,
        /// Digests of the members that the sender knows as suspected, dead or leaving, one byte for
        /// each of eight hash buckets.
        exception_digests: u64,
    },
}

impl Message {
    /// Returns the length of the encoded message.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        let updates = self.updates.iter().map(MemberUpdate::encoded_len);
        HEADER_BYTES + updates.sum::<usize>()
    }
}

/// Splits membership updates into batches that each fit one datagram.
pub(crate) fn split_into_batches(updates: Vec<MemberUpdate>) -> Vec<Vec<MemberUpdate>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut batch_bytes = 0;
    for update in updates {
        let bytes = update.encoded_len();
        if batch_bytes + bytes > UPDATES_BYTES_MAX {
            batches.push(std::mem::take(&mut batch));
            batch_bytes = 0;
        }
        batch_bytes += bytes;
        batch.push(update);
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
