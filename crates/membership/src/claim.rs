//! What one balancer tells another about a member.

use std::net::SocketAddr;

use units::{InstanceId, Millis};

use crate::{MemberId, Version};

/// Length of a claim about an agent in a datagram.
const AGENT_BYTES: usize = 13;

/// Length of a claim about a balancer that doesn't introduce it.
const BALANCER_BYTES: usize = 17;

/// Length of a claim that introduces a balancer, without the name.
const INTRODUCTION_BYTES: usize = 46;

/// What one balancer tells another about a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The member spoken of.
    pub id: MemberId,
    /// The version spoken of.
    pub version: Version,
    /// Whether that version does not answer.
    pub is_suspect: bool,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Time since the claim was first made, in steps of 50 ms up to 12,750 ms.
    pub age_ms: Millis,
    /// Name and addresses, for balancers that are not suspected.
    pub introduction: Option<Introduction>,
}

/// How to name and reach a balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Introduction {
    /// Its instance id.
    pub name: InstanceId,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Where other processes call it.
    pub control_address: SocketAddr,
}

impl Claim {
    /// Returns the order in which claims replace each other: the greater wins.
    #[must_use]
    pub const fn rank(&self) -> (Version, bool) {
        (self.version, self.is_suspect)
    }

    /// Returns the length of the claim in a datagram.
    #[must_use]
    pub fn wire_bytes(&self) -> usize {
        match &self.introduction {
            Some(it) => INTRODUCTION_BYTES + it.name.as_str().len(),
            None if self.id.is_balancer() => BALANCER_BYTES,
            None => AGENT_BYTES,
        }
    }
}
