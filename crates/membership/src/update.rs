//! Membership updates, which balancers disseminate by gossip.

use std::net::SocketAddr;

use units::{InstanceId, Millis};

use crate::{MemberId, MemberVersion};

/// Encoded length of a membership update about an agent.
const AGENT_UPDATE_BYTES: usize = 13;

/// Encoded length of a membership update about a balancer without its name and addresses.
const BALANCER_UPDATE_BYTES: usize = 17;

/// Encoded length of a membership update with a balancer's name and addresses, not counting the
/// name.
const BALANCER_INFO_UPDATE_BYTES: usize = 46;

/// A membership update: the state of one member as the sender knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The member that the update describes.
    pub id: MemberId,
    /// The version of the member's state that the update describes.
    pub version: MemberVersion,
    /// Whether the member is suspected or dead at the described version.
    pub is_suspect: bool,
    /// Whether the member accepts no new requests.
    pub is_leaving: bool,
    /// Time since the described state of the member began; encoded in steps of 50 ms, up to 12,750
    /// ms.
    pub age_ms: Millis,
    /// The name and addresses of the member, if it is a balancer that is not suspected.
    pub balancer_info: Option<BalancerInfo>,
}

/// A balancer's name and addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BalancerInfo {
    /// The balancer's instance id.
    pub name: InstanceId,
    /// The address at which the balancer receives datagrams.
    pub address: SocketAddr,
    /// The address at which the balancer serves calls of other processes.
    pub control_address: SocketAddr,
}

impl MemberUpdate {
    /// Returns the precedence of the update: among updates about a member, the greatest wins.
    #[must_use]
    pub const fn precedence(&self) -> (MemberVersion, bool) {
        (self.version, self.is_suspect)
    }

    /// Returns the length of the encoded membership update.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        match &self.balancer_info {
            Some(it) => BALANCER_INFO_UPDATE_BYTES + it.name.as_str().len(),
            None if self.id.is_balancer() => BALANCER_UPDATE_BYTES,
            None => AGENT_UPDATE_BYTES,
        }
    }
}
