//! The binary encoding of membership messages.
//!
//! An encoded message is a [`MessageHeader`] followed by updates. It is the payload of a tunnel
//! datagram, whose MAC covers the whole message and identifies the signing key: the fleet's or one
//! service's.

use std::{
    fmt,
    net::{IpAddr, Ipv6Addr, SocketAddr},
};

use units::{Incarnation, Millis, ServiceId};
use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    byteorder::big_endian::{U16, U32, U64},
};

use crate::{BalancerInfo, MemberId, MemberUpdate, MemberVersion, Message, MessageKind};

/// The first byte of every message of the membership protocol.
const MAGIC: u8 = 0xa7;

/// Version of the layout of membership messages.
const LAYOUT_VERSION: u8 = 1;

/// Unit of the encoded age of a membership update.
const AGE_STEP_MS: u64 = 50;

const FLAG_SUSPECT: u8 = 1;
const FLAG_LEAVING: u8 = 2;

const KIND_PROBE: u8 = 1;
const KIND_ACK: u8 = 2;
const KIND_INDIRECT_PROBE: u8 = 3;
const KIND_INDIRECT_ACK: u8 = 4;
const KIND_GOSSIP: u8 = 5;
const KIND_SYNC: u8 = 6;

const UPDATE_AGENT: u8 = 1;
const UPDATE_BALANCER_WITH_INFO: u8 = 2;
const UPDATE_BALANCER: u8 = 3;

/// The key that signs a membership message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyScope {
    /// The fleet key, which only balancers hold.
    Fleet,
    /// A service key, which all balancers and the agents of that service hold.
    Service(ServiceId),
}

/// Why a membership message was not decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// The message is too short, too long or not in the expected layout.
    Malformed,
    /// The key that signed the message does not permit this content.
    Forbidden,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => {
                "malformed message; run the same version of the program on both instances"
            }
            Self::Forbidden => {
                "message not permitted under the sender's key; check which keys each instance holds"
            }
        })
    }
}

impl std::error::Error for DecodeError {}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct MessageHeader {
    magic: u8,
    layout_version: u8,
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
struct UpdateHeader {
    tag: u8,
    flags: u8,
    age: u8,
    refutations: U16,
    incarnation: U32,
}

/// A socket address; an IPv4 address is encoded as an IPv4-mapped IPv6 address.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct WireAddress {
    ip: [u8; 16],
    port: U16,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct BalancerInfoHeader {
    address: WireAddress,
    control_address: WireAddress,
    name_bytes: u8,
}

/// Encodes a membership message.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    let mut out = Vec::with_capacity(message.encoded_len());
    out.extend_from_slice(encode_header(message).as_bytes());
    for update in &message.updates {
        encode_update(&mut out, update);
    }
    out
}

/// Decodes a membership message that was signed with the key of `scope`.
///
/// # Errors
///
/// Returns an error if the message is malformed or not permitted under the signing key.
pub fn decode(scope: KeyScope, bytes: &[u8]) -> Result<Message, DecodeError> {
    let (header, rest) =
        MessageHeader::ref_from_prefix(bytes).map_err(|_short| DecodeError::Malformed)?;
    if header.magic != MAGIC || header.layout_version != LAYOUT_VERSION {
        return Err(DecodeError::Malformed);
    }
    let message = Message {
        kind: decode_kind(header).ok_or(DecodeError::Malformed)?,
        sender: MemberId::from_raw(header.sender.get()).ok_or(DecodeError::Malformed)?,
        updates: decode_updates(rest, header.updates.get()).ok_or(DecodeError::Malformed)?,
    };
    if is_permitted_by_key(scope, &message) {
        Ok(message)
    } else {
        Err(DecodeError::Forbidden)
    }
}

/// Returns whether the key that signed a message permits the message's content.
///
/// A service's key permits only probes, acks and a member's updates about itself: a holder of that
/// key must not be able to make balancers suspect any other member.
fn is_permitted_by_key(scope: KeyScope, message: &Message) -> bool {
    let is_own_alive_update = |it: &MemberUpdate| it.id == message.sender && !it.is_suspect;
    match (scope, message.kind) {
        (KeyScope::Fleet, _) => message.sender.is_balancer(),
        (KeyScope::Service(_), MessageKind::Probe { .. }) => message.updates.is_empty(),
        (KeyScope::Service(_), MessageKind::Ack { .. } | MessageKind::Gossip) => {
            !message.sender.is_balancer() && message.updates.iter().all(is_own_alive_update)
        }
        (KeyScope::Service(_), _) => false,
    }
}

fn encode_header(message: &Message) -> MessageHeader {
    let empty_fields = (0, 0, MemberVersion::default(), 0);
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
            let fields = (nonce, target.to_raw(), MemberVersion::default(), 0);
            (KIND_INDIRECT_PROBE, fields)
        }
        MessageKind::IndirectAck {
            nonce,
            target,
            version,
        } => (KIND_INDIRECT_ACK, (nonce, target.to_raw(), version, 0)),
        MessageKind::Gossip => (KIND_GOSSIP, empty_fields),
        MessageKind::Sync {
            salt,
            balancer_digests,
            exception_digests,
        } => {
            let salt = MemberVersion::new(Incarnation::new(0), salt);
            (KIND_SYNC, (balancer_digests, exception_digests, salt, 0))
        }
    };
    let updates =
        u16::try_from(message.updates.len()).expect("a message has at most 65,535 updates");
    MessageHeader {
        magic: MAGIC,
        layout_version: LAYOUT_VERSION,
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

fn decode_kind(header: &MessageHeader) -> Option<MessageKind> {
    let nonce = header.nonce.get();
    let incarnation = Incarnation::new(header.incarnation.get());
    let version = MemberVersion::new(incarnation, header.refutations.get());
    let target = MemberId::from_raw(header.target.get());
    Some(match header.kind {
        KIND_PROBE => MessageKind::Probe {
            nonce,
            target: target?,
            known_version: version,
            is_suspect: header.flags & FLAG_SUSPECT != 0,
        },
        KIND_ACK => MessageKind::Ack {
            nonce,
            version,
            is_leaving: header.flags & FLAG_LEAVING != 0,
        },
        KIND_INDIRECT_PROBE => MessageKind::IndirectProbe {
            nonce,
            target: target?,
        },
        KIND_INDIRECT_ACK => MessageKind::IndirectAck {
            nonce,
            target: target?,
            version,
        },
        KIND_GOSSIP => MessageKind::Gossip,
        KIND_SYNC => MessageKind::Sync {
            salt: version.refutations,
            balancer_digests: nonce,
            exception_digests: header.target.get(),
        },
        _ => return None,
    })
}

fn encode_update(out: &mut Vec<u8>, update: &MemberUpdate) {
    let tag = match (update.id, &update.balancer_info) {
        (MemberId::Agent(_), _) => UPDATE_AGENT,
        (MemberId::Balancer(_), Some(_)) => UPDATE_BALANCER_WITH_INFO,
        (MemberId::Balancer(_), None) => UPDATE_BALANCER,
    };
    let suspect = u8::from(update.is_suspect) * FLAG_SUSPECT;
    let leaving = u8::from(update.is_leaving) * FLAG_LEAVING;
    let age = (update.age_ms.get() / AGE_STEP_MS).min(u64::from(u8::MAX));
    let header = UpdateHeader {
        tag,
        flags: suspect | leaving,
        age: u8::try_from(age).unwrap_or(u8::MAX),
        refutations: U16::new(update.version.refutations),
        incarnation: U32::new(update.version.incarnation.get()),
    };
    out.extend_from_slice(header.as_bytes());
    match (update.id, &update.balancer_info) {
        (MemberId::Agent(id), _) => out.extend_from_slice(&id.get().to_be_bytes()),
        (MemberId::Balancer(_), Some(it)) => encode_balancer_info(out, it),
        (MemberId::Balancer(raw), None) => out.extend_from_slice(&raw.to_be_bytes()),
    }
}

fn encode_balancer_info(out: &mut Vec<u8>, balancer_info: &BalancerInfo) {
    let name = balancer_info.name.as_str().as_bytes();
    let header = BalancerInfoHeader {
        address: encode_address(balancer_info.address),
        control_address: encode_address(balancer_info.control_address),
        name_bytes: u8::try_from(name.len()).expect("an instance id has at most 64 bytes"),
    };
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(name);
}

fn encode_address(address: SocketAddr) -> WireAddress {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    WireAddress {
        ip: ip.octets(),
        port: U16::new(address.port()),
    }
}

fn decode_address(address: &WireAddress) -> SocketAddr {
    let ip = IpAddr::V6(Ipv6Addr::from(address.ip)).to_canonical();
    SocketAddr::new(ip, address.port.get())
}

fn decode_updates(mut rest: &[u8], count: u16) -> Option<Vec<MemberUpdate>> {
    let mut updates = Vec::new();
    for _ in 0..count {
        let (update, tail) = decode_update(rest)?;
        updates.push(update);
        rest = tail;
    }
    rest.is_empty().then_some(updates)
}

fn decode_update(bytes: &[u8]) -> Option<(MemberUpdate, &[u8])> {
    let (header, rest) = UpdateHeader::ref_from_prefix(bytes).ok()?;
    let (id, balancer_info, rest) = match header.tag {
        UPDATE_AGENT => {
            let (raw, rest) = U32::ref_from_prefix(rest).ok()?;
            (MemberId::from_raw(u64::from(raw.get()))?, None, rest)
        }
        UPDATE_BALANCER => {
            let (raw, rest) = U64::ref_from_prefix(rest).ok()?;
            let id = MemberId::from_raw(raw.get()).filter(|it| it.is_balancer())?;
            (id, None, rest)
        }
        UPDATE_BALANCER_WITH_INFO => {
            let (balancer_info, rest) = decode_balancer_info(rest)?;
            let id = MemberId::balancer(&balancer_info.name);
            (id, Some(balancer_info), rest)
        }
        _ => return None,
    };
    let incarnation = Incarnation::new(header.incarnation.get());
    let update = MemberUpdate {
        id,
        version: MemberVersion::new(incarnation, header.refutations.get()),
        is_suspect: header.flags & FLAG_SUSPECT != 0,
        is_leaving: header.flags & FLAG_LEAVING != 0,
        age_ms: Millis::new(u64::from(header.age) * AGE_STEP_MS),
        balancer_info,
    };
    Some((update, rest))
}

fn decode_balancer_info(bytes: &[u8]) -> Option<(BalancerInfo, &[u8])> {
    let (header, rest) = BalancerInfoHeader::ref_from_prefix(bytes).ok()?;
    let (name, rest) = rest.split_at_checked(usize::from(header.name_bytes))?;
    let name = std::str::from_utf8(name).ok()?.parse().ok()?;
    let balancer_info = BalancerInfo {
        name,
        address: decode_address(&header.address),
        control_address: decode_address(&header.control_address),
    };
    Some((balancer_info, rest))
}
