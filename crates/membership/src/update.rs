//! What one balancer tells another about a member.

use std::net::SocketAddr;

use units::{InstanceId, Millis};

use crate::{MemberId, Version};

/// Length of a update about an agent in a datagram.
const AGENT_BYTES: usize = 13;

/// Length of a update about a balancer that doesn't introduce it.
const BALANCER_BYTES: usize = 17;

/// Length of a update that introduces a balancer, without the name.
const INTRODUCTION_BYTES: usize = 46;

/// What one balancer tells another about a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The member spoken of.
    pub id: MemberId,
    /// The version spoken of.
    pub version: Version,
    /// Whether that version does not answer.
    pub is_suspect: bool,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Time since the update was first made, in steps of 50 ms up to 12,750 ms.
    pub age_ms: Millis,
    /// Name and addresses, for balancers that are not suspected.
    pub balancer_info: Option<BalancerInfo>,
}

/// How to name and reach a balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BalancerInfo {
    /// Its instance id.
    pub name: InstanceId,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Where other processes call it.
    pub control_address: SocketAddr,
}

impl MemberUpdate {
    /// Returns the order in which updates replace each other: the greater wins.
    #[must_use]
    pub const fn precedence(&self) -> (Version, bool) {
        (self.version, self.is_suspect)
    }

    /// Returns the length of the update in a datagram.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        match &self.balancer_info {
            Some(it) => INTRODUCTION_BYTES + it.name.as_str().len(),
            None if self.id.is_balancer() => BALANCER_BYTES,
            None => AGENT_BYTES,
        }
    }
}
