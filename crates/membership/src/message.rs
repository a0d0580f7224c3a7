//! Messages of the liveness protocol.

use crate::{MemberId, MemberUpdate, Version};

/// Length of a message without updates.
const BARE_BYTES: usize = 32;

/// Bytes of updates in one datagram at most, so that it fits the smallest common path.
pub(crate) const CLAIMS_MAX_BYTES: usize = 1_100;

/// One datagram's content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// What is asked or answered.
    pub kind: MessageKind,
    /// The sender.
    pub sender: MemberId,
    /// What is passed along; empty in datagrams to and from agents, except a leaving agent's own.
    pub updates: Vec<MemberUpdate>,
}

/// What a message asks or answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Asks `target` whether it runs.
    Probe {
        /// Returned in the answer.
        nonce: u32,
        /// The member meant.
        target: MemberId,
        /// The version that the sender holds of it.
        known_version: Version,
        /// Whether the sender holds it as suspect.
        is_suspect: bool,
    },
    /// Answers a probe.
    Ack {
        /// The nonce of the probe.
        nonce: u32,
        /// The version of the sender.
        version: Version,
        /// Whether the sender takes no new work.
        is_leaving: bool,
    },
    /// Asks another balancer to probe `target`.
    IndirectProbe {
        /// Returned in the answer.
        nonce: u32,
        /// The member meant.
        target: MemberId,
    },
    /// Tells that `target` answered a probe on behalf of the receiver.
    IndirectAck {
        /// The nonce of the request.
        nonce: u32,
        /// The member that answered.
        target: MemberId,
        /// Its version.
        version: Version,
    },
    /// Passes updates on.
    Gossip,
    /// Passes updates on and asks for what the receiver knows better.
    Sync {
        /// Random; mixed into the digests, so that what cancels out once does not do so again.
        salt: u16,
        /// Digests of the balancers alive that the sender knows, itself included, one byte for
        /// each of four parts of the fleet.
        balancer_digests: u32,
        /// Digests of the members that the sender holds as not alive or leaving, one byte for
        /// each of eight parts of the fleet.
        exception_digests: u64,
    },
}

impl Message {
    /// Returns the encoded length.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        let updates = self.updates.iter().map(MemberUpdate::encoded_len);
        BARE_BYTES + updates.sum::<usize>()
    }
}

/// Splits updates into the parts that fit one datagram each.
pub(crate) fn split_claims(updates: Vec<MemberUpdate>) -> Vec<Vec<MemberUpdate>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut part_bytes = 0;
    for update in updates {
        let bytes = update.encoded_len();
        if part_bytes + bytes > CLAIMS_MAX_BYTES {
            parts.push(std::mem::take(&mut part));
            part_bytes = 0;
        }
        part_bytes += bytes;
        part.push(update);
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}
