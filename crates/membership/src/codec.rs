//! The compact binary form of messages.
//!
//! A datagram is a [`Head`], then updates. It travels inside a tunnel datagram between processes,
//! whose MAC covers it whole and tells by which key, the fleet's or one service's, it was signed.

use std::{
    fmt,
    net::{IpAddr, Ipv6Addr, SocketAddr},
};

use units::{Incarnation, Millis, ServiceId};
use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    byteorder::big_endian::{U16, U32, U64},
};

use crate::{BalancerInfo, MemberId, MemberUpdate, Message, MessageKind, Version};

/// First byte of every message of this protocol.
const MAGIC: u8 = 0xa7;

/// Version of the layout.
const LAYOUT: u8 = 1;

/// Unit of a update's age on the wire.
const AGE_STEP_MS: u64 = 50;

const FLAG_SUSPECT: u8 = 1;
const FLAG_LEAVING: u8 = 2;

const KIND_PROBE: u8 = 1;
const KIND_ACK: u8 = 2;
const KIND_PROBE_FOR: u8 = 3;
const KIND_ACK_FOR: u8 = 4;
const KIND_GOSSIP: u8 = 5;
const KIND_SYNC: u8 = 6;

const CLAIM_AGENT: u8 = 1;
const CLAIM_INTRODUCTION: u8 = 2;
const CLAIM_BALANCER: u8 = 3;

/// Which key signed a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyScope {
    /// The key that only balancers hold.
    Fleet,
    /// The key that balancers and the agents of one service hold.
    Service(ServiceId),
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// Too short, too long or not in this layout.
    Malformed,
    /// The sender may not send this under its key.
    Forbidden,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed; run the same version of the program on both instances",
            Self::Forbidden => "not allowed under the sender's key; check who holds which key",
        })
    }
}

impl std::error::Error for DecodeError {}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct Head {
    magic: u8,
    layout: u8,
    kind: u8,
    flags: u8,
    nonce: U32,
    sender: U64,
    target: U64,
    incarnation: U32,
    refutations: U16,
    updates: U16,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct ClaimHead {
    tag: u8,
    flags: u8,
    age: u8,
    refutations: U16,
    incarnation: U32,
}

/// An IPv6 or IPv4-mapped address.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct WireAddress {
    ip: [u8; 16],
    port: U16,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct IntroductionHead {
    address: WireAddress,
    control_address: WireAddress,
    name_bytes: u8,
}

/// Encodes a message.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    let mut out = Vec::with_capacity(message.encoded_len());
    out.extend_from_slice(head(message).as_bytes());
    for update in &message.updates {
        put_claim(&mut out, update);
    }
    out
}

/// Decodes a message that was signed with the key of `scope`.
///
/// # Errors
///
/// Rejects what is malformed or not allowed under that key.
pub fn decode(scope: KeyScope, bytes: &[u8]) -> Result<Message, DecodeError> {
    let (head, rest) = Head::ref_from_prefix(bytes).map_err(|_short| DecodeError::Malformed)?;
    if head.magic != MAGIC || head.layout != LAYOUT {
        return Err(DecodeError::Malformed);
    }
    let message = Message {
        kind: read_kind(head).ok_or(DecodeError::Malformed)?,
        sender: MemberId::from_raw(head.sender.get()).ok_or(DecodeError::Malformed)?,
        updates: read_claims(rest, head.updates.get()).ok_or(DecodeError::Malformed)?,
    };
    if is_allowed(scope, &message) {
        Ok(message)
    } else {
        Err(DecodeError::Forbidden)
    }
}

/// Under a service's key only probes, their answers and a member's word on itself may travel: who
/// holds one service's key must not be able to condemn anyone else.
fn is_allowed(scope: KeyScope, message: &Message) -> bool {
    let own_word = |it: &MemberUpdate| it.id == message.sender && !it.is_suspect;
    match (scope, message.kind) {
        (KeyScope::Fleet, _) => message.sender.is_balancer(),
        (KeyScope::Service(_), MessageKind::Probe { .. }) => message.updates.is_empty(),
        (KeyScope::Service(_), MessageKind::Ack { .. } | MessageKind::Gossip) => {
            !message.sender.is_balancer() && message.updates.iter().all(own_word)
        }
        (KeyScope::Service(_), _) => false,
    }
}

fn head(message: &Message) -> Head {
    let zero = (0, 0, Version::default(), 0);
    let (kind, (nonce, target, version, flags)) = match message.kind {
        MessageKind::Probe {
            nonce,
            target,
            known_version,
            is_suspect,
        } => {
            let flags = u8::from(is_suspect) * FLAG_SUSPECT;
            (KIND_PROBE, (nonce, target.to_raw(), known_version, flags))
        }
        MessageKind::Ack {
            nonce,
            version,
            is_leaving,
        } => {
            let flags = u8::from(is_leaving) * FLAG_LEAVING;
            (KIND_ACK, (nonce, 0, version, flags))
        }
        MessageKind::IndirectProbe { nonce, target } => {
            let fields = (nonce, target.to_raw(), Version::default(), 0);
            (KIND_PROBE_FOR, fields)
        }
        MessageKind::IndirectAck {
            nonce,
            target,
            version,
        } => (KIND_ACK_FOR, (nonce, target.to_raw(), version, 0)),
        MessageKind::Gossip => (KIND_GOSSIP, zero),
        MessageKind::Sync {
            salt,
            balancer_digests,
            exception_digests,
        } => {
            let salt = Version::new(Incarnation::new(0), salt);
            (KIND_SYNC, (balancer_digests, exception_digests, salt, 0))
        }
    };
    let updates = u16::try_from(message.updates.len()).expect("updates are bounded by the sender");
    Head {
        magic: MAGIC,
        layout: LAYOUT,
        kind,
        flags,
        nonce: U32::new(nonce),
        sender: U64::new(message.sender.to_raw()),
        target: U64::new(target),
        incarnation: U32::new(version.incarnation.get()),
        refutations: U16::new(version.refutations),
        updates: U16::new(updates),
    }
}

fn read_kind(head: &Head) -> Option<MessageKind> {
    let nonce = head.nonce.get();
    let incarnation = Incarnation::new(head.incarnation.get());
    let version = Version::new(incarnation, head.refutations.get());
    let target = MemberId::from_raw(head.target.get());
    Some(match head.kind {
        KIND_PROBE => MessageKind::Probe {
            nonce,
            target: target?,
            known_version: version,
            is_suspect: head.flags & FLAG_SUSPECT != 0,
        },
        KIND_ACK => MessageKind::Ack {
            nonce,
            version,
            is_leaving: head.flags & FLAG_LEAVING != 0,
        },
        KIND_PROBE_FOR => MessageKind::IndirectProbe {
            nonce,
            target: target?,
        },
        KIND_ACK_FOR => MessageKind::IndirectAck {
            nonce,
            target: target?,
            version,
        },
        KIND_GOSSIP => MessageKind::Gossip,
        KIND_SYNC => MessageKind::Sync {
            salt: version.refutations,
            balancer_digests: nonce,
            exception_digests: head.target.get(),
        },
        _ => return None,
    })
}

fn put_claim(out: &mut Vec<u8>, update: &MemberUpdate) {
    let tag = match (update.id, &update.balancer_info) {
        (MemberId::Agent(_), _) => CLAIM_AGENT,
        (MemberId::Balancer(_), Some(_)) => CLAIM_INTRODUCTION,
        (MemberId::Balancer(_), None) => CLAIM_BALANCER,
    };
    let suspect = u8::from(update.is_suspect) * FLAG_SUSPECT;
    let leaving = u8::from(update.is_leaving) * FLAG_LEAVING;
    let age = (update.age_ms.get() / AGE_STEP_MS).min(u64::from(u8::MAX));
    let head = ClaimHead {
        tag,
        flags: suspect | leaving,
        age: u8::try_from(age).unwrap_or(u8::MAX),
        refutations: U16::new(update.version.refutations),
        incarnation: U32::new(update.version.incarnation.get()),
    };
    out.extend_from_slice(head.as_bytes());
    match (update.id, &update.balancer_info) {
        (MemberId::Agent(id), _) => out.extend_from_slice(&id.get().to_be_bytes()),
        (MemberId::Balancer(_), Some(it)) => put_introduction(out, it),
        (MemberId::Balancer(raw), None) => out.extend_from_slice(&raw.to_be_bytes()),
    }
}

fn put_introduction(out: &mut Vec<u8>, balancer_info: &BalancerInfo) {
    let name = balancer_info.name.as_str().as_bytes();
    let head = IntroductionHead {
        address: wire_address(balancer_info.address),
        control_address: wire_address(balancer_info.control_address),
        name_bytes: u8::try_from(name.len()).expect("names have at most 64 bytes"),
    };
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(name);
}

fn wire_address(address: SocketAddr) -> WireAddress {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    WireAddress {
        ip: ip.octets(),
        port: U16::new(address.port()),
    }
}

fn read_address(address: &WireAddress) -> SocketAddr {
    let ip = IpAddr::V6(Ipv6Addr::from(address.ip)).to_canonical();
    SocketAddr::new(ip, address.port.get())
}

fn read_claims(mut rest: &[u8], count: u16) -> Option<Vec<MemberUpdate>> {
    let mut updates = Vec::new();
    for _ in 0..count {
        let (update, tail) = read_claim(rest)?;
        updates.push(update);
        rest = tail;
    }
    rest.is_empty().then_some(updates)
}

fn read_claim(bytes: &[u8]) -> Option<(MemberUpdate, &[u8])> {
    let (head, rest) = ClaimHead::ref_from_prefix(bytes).ok()?;
    let (id, balancer_info, rest) = match head.tag {
        CLAIM_AGENT => {
            let (raw, rest) = U32::ref_from_prefix(rest).ok()?;
            (MemberId::from_raw(u64::from(raw.get()))?, None, rest)
        }
        CLAIM_BALANCER => {
            let (raw, rest) = U64::ref_from_prefix(rest).ok()?;
            let id = MemberId::from_raw(raw.get()).filter(|it| it.is_balancer())?;
            (id, None, rest)
        }
        CLAIM_INTRODUCTION => {
            let (balancer_info, rest) = read_introduction(rest)?;
            let id = MemberId::balancer(&balancer_info.name);
            (id, Some(balancer_info), rest)
        }
        _ => return None,
    };
    let incarnation = Incarnation::new(head.incarnation.get());
    let update = MemberUpdate {
        id,
        version: Version::new(incarnation, head.refutations.get()),
        is_suspect: head.flags & FLAG_SUSPECT != 0,
        is_leaving: head.flags & FLAG_LEAVING != 0,
        age_ms: Millis::new(u64::from(head.age) * AGE_STEP_MS),
        balancer_info,
    };
    Some((update, rest))
}

fn read_introduction(bytes: &[u8]) -> Option<(BalancerInfo, &[u8])> {
    let (head, rest) = IntroductionHead::ref_from_prefix(bytes).ok()?;
    let (name, rest) = rest.split_at_checked(usize::from(head.name_bytes))?;
    let name = std::str::from_utf8(name).ok()?.parse().ok()?;
    let balancer_info = BalancerInfo {
        name,
        address: read_address(&head.address),
        control_address: read_address(&head.control_address),
    };
    Some((balancer_info, rest))
}
