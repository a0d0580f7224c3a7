//! Member ids, versions and a balancer's record of one member.

use std::{fmt, net::SocketAddr};

use units::{EndpointId, Incarnation, InstanceId, Millis};

use crate::{BalancerInfo, KeyScope};

/// Bit that is set in the encoded id of every balancer and clear in that of every agent.
const BALANCER_BIT: u64 = 1 << 63;

/// The id of a member: a process of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberId {
    /// The agent of an endpoint.
    Agent(EndpointId),
    /// A balancer, identified by a hash of its instance id with the top bit set.
    Balancer(u64),
}

impl MemberId {
    /// Returns the member id of the balancer with the given instance id.
    #[must_use]
    pub fn balancer(name: &InstanceId) -> Self {
        let digest = blake3::hash(name.as_str().as_bytes());
        let mut raw = [0; 8];
        raw.copy_from_slice(&digest.as_bytes()[..8]);
        Self::Balancer(u64::from_be_bytes(raw) | BALANCER_BIT)
    }

    /// Encodes the member id as it appears in datagrams.
    #[must_use]
    pub fn to_raw(self) -> u64 {
        match self {
            Self::Agent(id) => u64::from(id.get()),
            Self::Balancer(raw) => raw,
        }
    }

    /// Decodes a member id from a datagram; returns `None` if no member has such an id.
    #[must_use]
    pub fn from_raw(raw: u64) -> Option<Self> {
        if raw & BALANCER_BIT != 0 {
            return Some(Self::Balancer(raw));
        }
        let id = u32::try_from(raw).ok()?;
        Some(Self::Agent(EndpointId::new(id)))
    }

    /// Returns whether the member is a balancer.
    #[must_use]
    pub const fn is_balancer(self) -> bool {
        matches!(self, Self::Balancer(_))
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Agent(id) => write!(f, "agent {id}"),
            Self::Balancer(raw) => write!(f, "balancer {raw:016x}"),
        }
    }
}

/// Version of a member's state: the incarnation of its process and the number of suspicions that it
/// refuted in this incarnation.
///
/// The higher version supersedes the lower one. Together the two numbers take the role of SWIM's
/// incarnation number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberVersion {
    /// Incarnation (run) of the member's process; 0 until the first message from or about the
    /// member.
    pub incarnation: Incarnation,
    /// Number of suspicions that the member refuted within this incarnation; only the member itself
    /// increments it.
    pub refutations: u16,
}

impl MemberVersion {
    /// Creates a member version from an incarnation and a number of refutations.
    #[must_use]
    pub const fn new(incarnation: Incarnation, refutations: u16) -> Self {
        Self {
            incarnation,
            refutations,
        }
    }

    /// Returns the lowest version that refutes a suspicion of this version.
    #[must_use]
    pub const fn refuting_version(self) -> Self {
        Self::new(self.incarnation, self.refutations.saturating_add(1))
    }
}

/// A member's condition in the sense of the SWIM protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Condition {
    /// The member answers probes, or no failure check has found it silent yet.
    Alive,
    /// The member does not answer probes; balancers send it no new requests.
    Suspect,
    /// The member stayed suspected for the suspicion timeout; it is probed less often.
    Dead,
}

/// A balancer's record of one member.
#[derive(Debug, Clone)]
pub struct Member {
    /// The member's id.
    pub id: MemberId,
    /// The member's name and addresses, if it is a balancer.
    pub balancer_info: Option<BalancerInfo>,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
    /// The key that authenticates datagrams to and from the member.
    pub scope: KeyScope,
    /// The highest version of the member received so far; it never decreases.
    pub version: MemberVersion,
    /// The member's condition; it returns to `Alive` only together with a higher `version`.
    pub condition: Condition,
    /// Whether the member accepts no new requests; stays set within one incarnation.
    pub is_leaving: bool,
    /// When `condition` last changed; a reported suspicion is backdated by its age.
    pub condition_since_ms: Millis,
    /// The latest time at which the member is known to have run, by direct evidence; for an
    /// answered probe, this is the time when the probe was sent.
    pub last_alive_ms: Option<Millis>,
    /// When the member last returned to `Alive`, if it ever did.
    pub(crate) recovered_ms: Option<Millis>,
    /// Whether this process probes the member periodically.
    pub(crate) is_watched: bool,
    /// When the member's latest scheduled probe was sent.
    pub(crate) last_probe_ms: Option<Millis>,
    /// When the member's next step, such as a probe or a timeout, is due.
    pub(crate) next_step_ms: Millis,
    /// The running failure check of the member, if there is one.
    pub(crate) check: Option<FailureCheck>,
}

/// A failure check: repeated direct and indirect probes that decide whether to suspect a member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailureCheck {
    /// The start of the member's silence that counts towards the failure check.
    pub(crate) silent_since_ms: Millis,
    /// Number of probes that the failure check has sent.
    pub(crate) probes_sent: u32,
    /// The suspicion, held by this process or reported by another, that the failure check verifies,
    /// if there is one.
    pub(crate) suspicion: Option<Suspicion>,
}

/// A suspicion of a member that this process holds or that another balancer reported.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Suspicion {
    /// The version of the member that is suspected.
    pub(crate) version: MemberVersion,
    /// When the member was first suspected.
    pub(crate) suspected_ms: Millis,
}

impl Member {
    /// Creates the record of a member from which nothing has been received yet.
    pub(crate) fn new(id: MemberId, address: SocketAddr, scope: KeyScope, now: Millis) -> Self {
        Self {
            id,
            balancer_info: None,
            address,
            scope,
            version: MemberVersion::default(),
            condition: Condition::Alive,
            is_leaving: false,
            condition_since_ms: now,
            last_alive_ms: None,
            recovered_ms: None,
            is_watched: false,
            last_probe_ms: None,
            next_step_ms: now,
            check: None,
        }
    }

    /// Returns whether new requests may be sent to the member.
    #[must_use]
    pub fn accepts_new_work(&self) -> bool {
        self.condition == Condition::Alive && !self.is_leaving
    }

    /// Returns the time since the latest direct evidence that the member ran.
    #[must_use]
    pub fn silent_ms(&self, now: Millis) -> Option<Millis> {
        self.last_alive_ms.map(|it| now.since(it))
    }
}
