//! Status digests, by which balancers tell each other about the catalog and about themselves.

use std::net::Ipv4Addr;

use units::{Millis, StoreEra};
use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    byteorder::network_endian::{U16, U32, U64},
};

use super::{MessageError, Preamble, RouteAddress, WireClockMark};
use crate::{
    ServiceKey, ZoneKey,
    clock_echo::ClockMark,
    former_targets::{FORMER_TARGET_RETENTION_MS, FormerTarget},
};

/// Maximum number of former targets in a status digest, which with `DIGEST_MEMBERS_MAX` members fits
/// an MTU of 1,500 bytes.
pub(crate) const DIGEST_FORMER_TARGETS_MAX: usize = 40;

/// Maximum number of members in a status digest.
pub(crate) const DIGEST_MEMBERS_MAX: usize = 32;

/// A service that a route led to before, with the time since it was last seen to.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    FromBytes,
    IntoBytes,
    Immutable,
    KnownLayout,
    Unaligned,
)]
#[repr(C)]
pub(crate) struct AgedFormerTarget {
    address: RouteAddress,
    service: U64,
    age_ms: U32,
}

impl AgedFormerTarget {
    pub(crate) fn new(now: Millis, former: &FormerTarget) -> Self {
        let age = now.since(former.seen_at).get();
        Self {
            address: former.address.into(),
            service: U64::new(former.service.get()),
            age_ms: U32::new(u32::try_from(age).unwrap_or(u32::MAX)),
        }
    }

    /// Returns the former target on the receiver's clock, or `None` if its retention is over.
    pub(crate) fn to_former_target(self, now: Millis) -> Option<FormerTarget> {
        let age = u64::from(self.age_ms.get());
        let seen_at = Millis::new(now.get().saturating_sub(age));
        (age <= FORMER_TARGET_RETENTION_MS.get()).then_some(FormerTarget {
            address: self.address.into(),
            service: ServiceKey::new(self.service.get()),
            seen_at,
        })
    }
}

/// A balancer's message to another balancer about its catalog, its status and other balancers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Digest<'a> {
    /// Revision of the sender's current catalog.
    pub(crate) revision: u64,
    /// The latest era of the store that the sender has seen or was told of.
    pub(crate) newest_era: StoreEra,
    /// Version of the operator's settings in the sender's current catalog.
    pub(crate) settings_version: u64,
    /// Time since the store confirmed to any balancer that the sender's catalog is the newest.
    pub(crate) confirmed_age_ms: u32,
    /// What bounds the time that the digest was on its way.
    pub(crate) mark: ClockMark,
    pub(crate) request: DigestRequest,
    /// Whether the sender has just started and may lack retired endpoints, which only other
    /// balancers know.
    pub(crate) is_starting: bool,
    /// Whether the sender has not been told all retired endpoints, and asks the receiver for its own if
    /// they fit one message.
    pub(crate) wants_retired: bool,
    /// Number of retired endpoints that the sender has just sent to the receiver, which asked for
    /// them.
    pub(crate) retired_told: Option<u16>,
    /// The sender's own status.
    pub(crate) status: PeerStatus,
    /// Whether the sender knows every service that a route led to before and that may still hold
    /// flows, and `former_targets` lists them all.
    pub(crate) lists_former_targets: bool,
    /// Other balancers that the sender knows of.
    pub(crate) members: &'a [Member],
    /// Services that routes led to before.
    pub(crate) former_targets: &'a [AgedFormerTarget],
}

/// What the sender of a status digest requests from the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DigestRequest {
    Nothing,
    /// The receiver's status digest in reply.
    Answer,
    /// The changes of the catalog since the digest's revision.
    Changes,
    /// The latest confirmation by the store, in a message that echoes this digest's stamp.
    Echo,
    /// The receiver's retired endpoints.
    Retired,
}

impl DigestRequest {
    pub(super) const fn to_wire_byte(self) -> u8 {
        match self {
            Self::Nothing => 0,
            Self::Answer => 1,
            Self::Changes => 2,
            Self::Echo => 3,
            Self::Retired => 4,
        }
    }

    pub(super) const fn from_wire_byte(byte: u8) -> Result<Self, MessageError> {
        match byte {
            0 => Ok(Self::Nothing),
            1 => Ok(Self::Answer),
            2 => Ok(Self::Changes),
            3 => Ok(Self::Echo),
            4 => Ok(Self::Retired),
            _ => Err(MessageError::InvalidField { field: "request" }),
        }
    }
}

/// What a balancer announces about itself in its status digests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PeerStatus {
    pub(crate) zone: ZoneKey,
    /// Capacity of the balancer's network link, in Mbit/s.
    pub(crate) link_mbps: u32,
    /// Whether the balancer has the operator's settings and so can serve callers.
    pub(crate) has_settings: bool,
    /// Whether the balancer is shutting down, so that other balancers must take over reading the
    /// store and serving callers.
    pub(crate) stopping: bool,
}

mod status_flag {
    pub(super) const HAS_SETTINGS: u8 = 1;
    pub(super) const STOPPING: u8 = 2;
}

impl PeerStatus {
    pub(super) const fn to_wire_flags(self) -> u8 {
        let mut flags = 0;
        if self.has_settings {
            flags |= status_flag::HAS_SETTINGS;
        }
        if self.stopping {
            flags |= status_flag::STOPPING;
        }
        flags
    }

    pub(super) const fn from_wire(zone: u64, link_mbps: u32, flags: u8) -> Self {
        Self {
            zone: ZoneKey::new(zone),
            link_mbps,
            has_settings: flags & status_flag::HAS_SETTINGS != 0,
            stopping: flags & status_flag::STOPPING != 0,
        }
    }
}

/// Number of retired endpoints in a digest that doesn't answer a question for them.
pub(super) const NO_RETIRED_TOLD: u16 = u16::MAX;

/// Age of a member that the sender has never heard.
const NEVER_HEARD_MS: u32 = u32::MAX;

/// A balancer that a status digest lists, with what the digest's sender knows about it.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    FromBytes,
    IntoBytes,
    Immutable,
    KnownLayout,
    Unaligned,
)]
#[repr(C)]
pub(crate) struct Member {
    address: [u8; 4],
    zone: U64,
    link_mbps: U32,
    /// Time since the member sent the status, or `NEVER_HEARD_MS`.
    age_ms: U32,
    flags: u8,
}

impl Member {
    /// Lists a balancer whose status is `age` old; `None` if its status is not known.
    pub(crate) fn new(address: Ipv4Addr, status: PeerStatus, age: Option<Millis>) -> Self {
        let age_ms = age.map_or(NEVER_HEARD_MS, |it| {
            u32::try_from(it.get()).unwrap_or(NEVER_HEARD_MS)
        });
        Self {
            address: address.octets(),
            zone: U64::new(status.zone.get()),
            link_mbps: U32::new(status.link_mbps),
            age_ms: U32::new(age_ms),
            flags: status.to_wire_flags(),
        }
    }

    pub(crate) fn address(self) -> Ipv4Addr {
        self.address.into()
    }

    pub(crate) const fn status(self) -> PeerStatus {
        PeerStatus::from_wire(self.zone.get(), self.link_mbps.get(), self.flags)
    }

    /// Returns the age of the member's status, or `None` if the status is not known.
    pub(crate) const fn age(self) -> Option<Millis> {
        match self.age_ms.get() {
            NEVER_HEARD_MS => None,
            age_ms => Some(Millis::new(age_ms as u64)),
        }
    }
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub(super) struct DigestHeader {
    pub(super) preamble: Preamble,
    pub(super) revision: U64,
    pub(super) newest_era: U16,
    pub(super) settings_version: U64,
    pub(super) zone: U64,
    pub(super) link_mbps: U32,
    pub(super) confirmed_age_ms: U32,
    pub(super) mark: WireClockMark,
    pub(super) request: u8,
    pub(super) is_starting: u8,
    pub(super) wants_retired: u8,
    pub(super) retired_told: U16,
    pub(super) status_flags: u8,
    pub(super) lists_former_targets: u8,
    pub(super) member_count: u8,
    pub(super) former_target_count: u8,
}
