//! Packets that simulated callers and endpoints exchange.

use std::net::SocketAddrV4;

use passthrough::{PacketFormat as _, Segment};
use platform::PlatformPackets;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of a packet's header, in bytes.
const HEADER_BYTES: usize = 32;

/// Key of the packets' checksum, which the system under test doesn't know.
const CHECKSUM_KEY: u64 = 0x5EED;

/// Flags in byte 14 of a packet's header.
pub(crate) mod flag {
    pub(crate) const SYN: u8 = 64;
    pub(crate) const ACK: u8 = 8;
    pub(crate) const FIN: u8 = 4;
    pub(crate) const RST: u8 = 32;
    pub(crate) const BOUNCED: u8 = 2;
}

/// Encodes a packet and adds its checksum.
pub(crate) fn encode(
    source: SocketAddrV4,
    destination: SocketAddrV4,
    flags: u8,
    (sequence, acknowledged): (u32, u32),
    data: &[u8],
) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_BYTES + data.len());
    out.extend(destination.ip().octets());
    out.extend(source.ip().octets());
    out.extend(destination.port().to_be_bytes());
    out.extend(source.port().to_be_bytes());
    out.extend(u16::try_from(data.len()).unwrap_or(u16::MAX).to_be_bytes());
    out.extend([flags, 0]);
    out.extend([0; 8]);
    out.extend(sequence.to_be_bytes());
    out.extend(acknowledged.to_be_bytes());
    out.extend(data);
    let checksum = checksum(&out);
    out[16..20].copy_from_slice(&checksum);
    out
}

/// Decodes a packet; returns `None` if the packet is malformed or has a wrong checksum.
///
/// A reset without a checksum is valid, because the system under test created that packet.
pub(crate) fn decode(bytes: &[u8]) -> Option<Segment> {
    let segment = PlatformPackets::decode_segment(bytes).ok()?;
    let is_system_reset = segment.rst && bytes[16..20] == [0; 4];
    (is_system_reset || bytes[16..20] == checksum(bytes)).then_some(segment)
}

/// Returns whether a packet is a reset that the system under test created.
pub(crate) fn is_system_reset(segment: &Segment, bytes: &[u8]) -> bool {
    segment.rst && bytes[16..20] == [0; 4]
}

fn checksum(bytes: &[u8]) -> [u8; 4] {
    let mut covered = bytes.to_vec();
    covered[14] &= !flag::BOUNCED;
    covered[15] = 0;
    covered[16..24].fill(0);
    let hash = xxh3_64_with_seed(&covered, CHECKSUM_KEY);
    // The checksum is never zero, because a zero marks resets created by the system under test.
    let [a, b, c, d, ..] = hash.to_be_bytes();
    [a, b, c, d | 1]
}
