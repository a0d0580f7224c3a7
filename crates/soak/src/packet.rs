//! Packets as callers and endpoints write them.

use std::net::SocketAddrV4;

use passthrough::{PacketFormat as _, Segment};
use platform::PlatformPackets;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of the header.
const HEADER_BYTES: usize = 32;

/// Key of the sum that the system under test doesn't know.
const SUM_KEY: u64 = 0x5EED;

/// Flags of the header.
pub(crate) mod flag {
    pub(crate) const SYN: u8 = 64;
    pub(crate) const ACK: u8 = 8;
    pub(crate) const FIN: u8 = 4;
    pub(crate) const RST: u8 = 32;
    pub(crate) const BOUNCED: u8 = 2;
}

/// Writes a packet with its sum.
pub(crate) fn write(
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
    let sum = sum(&out);
    out[16..20].copy_from_slice(&sum);
    out
}

/// Reads a packet; `None` if it is malformed or its sum is wrong.
///
/// A reset without a sum is one of the system's own.
pub(crate) fn read(bytes: &[u8]) -> Option<Segment> {
    let segment = PlatformPackets::decode_segment(bytes).ok()?;
    let is_own_reset = segment.rst && bytes[16..20] == [0; 4];
    (is_own_reset || bytes[16..20] == sum(bytes)).then_some(segment)
}

/// Returns whether a packet is a reset of the system's own.
pub(crate) fn is_own_reset(segment: &Segment, bytes: &[u8]) -> bool {
    segment.rst && bytes[16..20] == [0; 4]
}

fn sum(bytes: &[u8]) -> [u8; 4] {
    let mut covered = bytes.to_vec();
    covered[14] &= !flag::BOUNCED;
    covered[15] = 0;
    covered[16..24].fill(0);
    let hash = xxh3_64_with_seed(&covered, SUM_KEY);
    // A sum of zero marks resets of the system's own.
    let [a, b, c, d, ..] = hash.to_be_bytes();
    [a, b, c, d | 1]
}
