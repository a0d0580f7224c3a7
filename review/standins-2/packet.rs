//! Packets of callers and endpoints, as the users' protocol page states them.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEADER_BYTES: usize = 32;
pub const SYN: u8 = 64;
pub const RST: u8 = 32;
pub const ACK: u8 = 8;
pub const FIN: u8 = 4;
pub const BOUNCED: u8 = 2;

/// Key of the checksum, which the system under test doesn't know.
const KEY: u64 = 0x9E37_79B9_7F4A_7C15;

/// A decoded packet.
#[derive(Debug, Clone)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub flags: u8,
    pub sequence: u32,
    pub acknowledged: u32,
    pub data: Vec<u8>,
    /// Whether the checksum is the one that a caller or an endpoint writes.
    pub is_genuine: bool,
    /// Whether the packet is a reset that the system under test made.
    pub is_system_reset: bool,
    /// The bytes as received.
    pub bytes: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Returns whether the packet opens a flow.
    pub fn is_opening(&self) -> bool {
        self.has(SYN) && !self.has(ACK)
    }
}

/// Encodes a packet with its checksum.
pub fn encode(
    source: SocketAddrV4,
    destination: SocketAddrV4,
    flags: u8,
    sequence: u32,
    acknowledged: u32,
    data: &[u8],
) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_BYTES + data.len());
    out.extend(destination.ip().octets());
    out.extend(source.ip().octets());
    out.extend(destination.port().to_be_bytes());
    out.extend(source.port().to_be_bytes());
    out.extend((data.len() as u16).to_be_bytes());
    out.extend([flags, 0]);
    out.extend([0; 8]);
    out.extend(sequence.to_be_bytes());
    out.extend(acknowledged.to_be_bytes());
    out.extend(data);
    let sum = checksum(&out);
    out[16..20].copy_from_slice(&sum);
    out
}

/// Decodes a packet, or returns `None` if its length is wrong.
pub fn decode(bytes: &[u8]) -> Option<Packet> {
    if bytes.len() < HEADER_BYTES {
        return None;
    }
    let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
    let u32_at =
        |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    if usize::from(u16_at(12)) != bytes.len() - HEADER_BYTES {
        return None;
    }
    let address = |at: usize| Ipv4Addr::new(bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]);
    let flags = bytes[14];
    Some(Packet {
        destination: SocketAddrV4::new(address(0), u16_at(8)),
        source: SocketAddrV4::new(address(4), u16_at(10)),
        flags,
        sequence: u32_at(24),
        acknowledged: u32_at(28),
        data: bytes[HEADER_BYTES..].to_vec(),
        is_genuine: bytes[16..20] == checksum(bytes),
        is_system_reset: flags & RST != 0 && u32_at(16) == 0,
        bytes: bytes.to_vec(),
    })
}

/// Returns the keyed sum over the packet without `echo`, `pad` and the flag BOUNCED; never zero.
fn checksum(bytes: &[u8]) -> [u8; 4] {
    let mut hash = KEY;
    for (at, byte) in bytes.iter().enumerate() {
        let covered = match at {
            14 => byte & !BOUNCED,
            15..=23 => 0,
            _ => *byte,
        };
        hash = (hash ^ u64::from(covered)).wrapping_mul(0x0100_0000_01B3);
    }
    let sum = (hash >> 32) as u32 ^ hash as u32;
    (sum | 1).to_be_bytes()
}
