//! Messages of the liveness protocol.

use crate::{Claim, MemberId, Version};

/// Length of a message without claims.
const BARE_BYTES: usize = 32;

/// Bytes of claims in one datagram at most, so that it fits the smallest common path.
pub(crate) const CLAIMS_MAX_BYTES: usize = 1_100;

/// One datagram's content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// What is asked or answered.
    pub kind: Kind,
    /// The sender.
    pub sender: MemberId,
    /// What is passed along; empty in datagrams to and from agents, except a leaving agent's own.
    pub claims: Vec<Claim>,
}

/// What a message asks or answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Asks `target` whether it runs.
    Probe {
        /// Returned in the answer.
        nonce: u32,
        /// The member meant.
        target: MemberId,
        /// The version that the sender holds of it.
        seen: Version,
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
    ProbeFor {
        /// Returned in the answer.
        nonce: u32,
        /// The member meant.
        target: MemberId,
    },
    /// Tells that `target` answered a probe on behalf of the receiver.
    AckFor {
        /// The nonce of the request.
        nonce: u32,
        /// The member that answered.
        target: MemberId,
        /// Its version.
        version: Version,
    },
    /// Passes claims on.
    Gossip,
    /// Passes claims on and asks for what the receiver knows better.
    Sync {
        /// Random; mixed into the digests, so that what cancels out once does not do so again.
        salt: u16,
        /// Digests of the balancers alive that the sender knows, itself included, one byte for
        /// each of four parts of the fleet.
        known: u32,
        /// Digests of the members that the sender holds as not alive or leaving, one byte for
        /// each of eight parts of the fleet.
        digest: u64,
    },
}

impl Message {
    /// Returns the encoded length.
    #[must_use]
    pub fn wire_bytes(&self) -> usize {
        let claims = self.claims.iter().map(Claim::wire_bytes);
        BARE_BYTES + claims.sum::<usize>()
    }
}

/// Splits claims into the parts that fit one datagram each.
pub(crate) fn split_claims(claims: Vec<Claim>) -> Vec<Vec<Claim>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut part_bytes = 0;
    for claim in claims {
        let bytes = claim.wire_bytes();
        if part_bytes + bytes > CLAIMS_MAX_BYTES {
            parts.push(std::mem::take(&mut part));
            part_bytes = 0;
        }
        part_bytes += bytes;
        part.push(claim);
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}
