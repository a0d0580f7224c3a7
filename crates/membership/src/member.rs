//! What a balancer holds of one member of the fleet.

use std::{fmt, net::SocketAddr};

use units::{EndpointId, Incarnation, InstanceId, Millis};

use crate::{BalancerInfo, KeyScope};

/// Marks the raw form of a balancer's id.
const BALANCER_BIT: u64 = 1 << 63;

/// A process of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberId {
    /// The agent beside an endpoint.
    Agent(EndpointId),
    /// A balancer, by a hash of its instance id with the top bit set.
    Balancer(u64),
}

impl MemberId {
    /// Returns the id of the balancer with an instance id.
    #[must_use]
    pub fn balancer(name: &InstanceId) -> Self {
        let digest = blake3::hash(name.as_str().as_bytes());
        let mut raw = [0; 8];
        raw.copy_from_slice(&digest.as_bytes()[..8]);
        Self::Balancer(u64::from_be_bytes(raw) | BALANCER_BIT)
    }

    /// Returns the form used in datagrams.
    #[must_use]
    pub fn to_raw(self) -> u64 {
        match self {
            Self::Agent(id) => u64::from(id.get()),
            Self::Balancer(raw) => raw,
        }
    }

    /// Reads the form used in datagrams.
    #[must_use]
    pub fn from_raw(raw: u64) -> Option<Self> {
        if raw & BALANCER_BIT != 0 {
            return Some(Self::Balancer(raw));
        }
        let id = u32::try_from(raw).ok()?;
        Some(Self::Agent(EndpointId::new(id)))
    }

    /// Returns whether this is a balancer.
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

/// A member's own count of its lives and of the suspicions it has refuted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The run of the process, 0 before anything was heard of it.
    pub incarnation: Incarnation,
    /// Suspicions refuted within this run; only the member itself raises it.
    pub refutations: u16,
}

impl Version {
    /// Makes a version from its parts.
    #[must_use]
    pub const fn new(incarnation: Incarnation, refutations: u16) -> Self {
        Self {
            incarnation,
            refutations,
        }
    }

    /// Returns the version that refutes a suspicion of this one.
    #[must_use]
    pub const fn refutation(self) -> Self {
        Self::new(self.incarnation, self.refutations.saturating_add(1))
    }
}

/// Whether a member answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Condition {
    /// It answers, or nothing speaks against it.
    Alive,
    /// It does not answer; it gets no new work.
    Suspect,
    /// It has been suspected for long; it is probed less often.
    Dead,
}

/// What a balancer holds of one member.
#[derive(Debug, Clone)]
pub struct Member {
    /// The member.
    pub id: MemberId,
    /// Its name and addresses, for balancers.
    pub balancer_info: Option<BalancerInfo>,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// The key that its datagrams carry.
    pub scope: KeyScope,
    /// The highest version heard; never lower than before.
    pub version: Version,
    /// Returns to `Alive` only with a higher `version`.
    pub condition: Condition,
    /// Whether it takes no new work; stays set within one incarnation.
    pub is_leaving: bool,
    /// When `condition` last changed, or earlier for a suspicion reported with an age.
    pub condition_since_ms: Millis,
    /// The latest moment at which it was certainly running, by evidence of one's own.
    pub last_alive_ms: Option<Millis>,
    /// When it last came back from not being alive, if it ever did.
    pub(crate) revived_ms: Option<Millis>,
    /// Whether this process is one of its watchers.
    pub(crate) is_watched: bool,
    /// When its latest probe was sent.
    pub(crate) probed_ms: Option<Millis>,
    /// When the next step is due.
    pub(crate) wake_ms: Millis,
    /// The running check, if a probe went unanswered.
    pub(crate) check: Option<Check>,
}

/// A check of a member that did not answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Check {
    /// When the first unanswered probe was sent.
    pub(crate) since_ms: Millis,
    /// Probes sent within the check.
    pub(crate) sent: u32,
    /// What others suspect, if the check verifies their word.
    pub(crate) reported: Option<Reported>,
}

/// A suspicion that others reported.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reported {
    /// The version suspected.
    pub(crate) version: Version,
    /// When it was first suspected.
    pub(crate) made_ms: Millis,
}

impl Member {
    /// Makes a member about which nothing is known yet.
    pub(crate) fn new(id: MemberId, address: SocketAddr, scope: KeyScope, now: Millis) -> Self {
        Self {
            id,
            balancer_info: None,
            address,
            scope,
            version: Version::default(),
            condition: Condition::Alive,
            is_leaving: false,
            condition_since_ms: now,
            last_alive_ms: None,
            revived_ms: None,
            is_watched: false,
            probed_ms: None,
            wake_ms: now,
            check: None,
        }
    }

    /// Returns whether new work may be sent to it.
    #[must_use]
    pub fn accepts_new_work(&self) -> bool {
        self.condition == Condition::Alive && !self.is_leaving
    }

    /// Returns the time since the latest evidence of one's own.
    #[must_use]
    pub fn silent_ms(&self, now: Millis) -> Option<Millis> {
        self.last_alive_ms.map(|it| now.since(it))
    }
}
