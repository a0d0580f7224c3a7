//! A packet format for tests.

use std::net::{Ipv4Addr, SocketAddrV4};

use passthrough::{PacketFormat, Segment, SegmentError};

const HEADER_BYTES: usize = 28;
const SYN: u8 = 1;
const ACK: u8 = 2;
const FIN: u8 = 4;
const RST: u8 = 8;
const RETURNED: u8 = 16;

/// Flags in the header of a test packet.
#[derive(Clone, Copy)]
pub(crate) struct Flags(pub(crate) u8);

impl Flags {
    pub(crate) const SYN: Self = Self(SYN);
    pub(crate) const ACK: Self = Self(ACK);
    pub(crate) const SYN_ACK: Self = Self(SYN | ACK);
    pub(crate) const FIN: Self = Self(FIN | ACK);
    pub(crate) const RST: Self = Self(RST);
}

/// The packet format of the tests: source and destination, flags, tag, sequence number,
/// acknowledgement number and data length, followed by the data.
#[derive(Debug)]
pub(crate) struct TestFormat;

impl PacketFormat for TestFormat {
    fn decode_segment(datagram: &[u8]) -> Result<Segment, SegmentError> {
        if datagram.len() < HEADER_BYTES {
            let len_bytes = datagram.len();
            return Err(SegmentError::Truncated { len_bytes });
        }
        let word = |at: usize| u32::from_be_bytes(datagram[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_be_bytes(datagram[at..at + 2].try_into().unwrap());
        let end = |at: usize| SocketAddrV4::new(Ipv4Addr::from(word(at)), half(at + 4));
        let flags = datagram[12];
        Ok(Segment {
            source: end(0),
            destination: end(6),
            syn: flags & SYN != 0,
            ack: flags & ACK != 0,
            fin: flags & FIN != 0,
            rst: flags & RST != 0,
            returned: flags & RETURNED != 0,
            tag: word(14),
            sequence: word(18),
            acknowledged: word(22),
            data_bytes: half(26),
        })
    }

    fn set_tag(packet: &mut [u8], tag: u32) {
        packet[12] &= !RETURNED;
        packet[14..18].copy_from_slice(&tag.to_be_bytes());
    }

    fn write_reset(
        source: SocketAddrV4,
        destination: SocketAddrV4,
        sequence: u32,
        out: &mut Vec<u8>,
    ) {
        out.extend(encode_packet(
            source,
            destination,
            Flags(RST),
            sequence,
            0,
            0,
        ));
    }
}

/// Encodes a test packet with `data_bytes` zero bytes of data.
pub(crate) fn encode_packet(
    source: SocketAddrV4,
    destination: SocketAddrV4,
    flags: Flags,
    sequence: u32,
    acknowledged: u32,
    data_bytes: u16,
) -> Vec<u8> {
    let mut out = Vec::new();
    for end in [source, destination] {
        out.extend(end.ip().octets());
        out.extend(end.port().to_be_bytes());
    }
    out.extend([flags.0, 0]);
    out.extend(0_u32.to_be_bytes());
    out.extend(sequence.to_be_bytes());
    out.extend(acknowledged.to_be_bytes());
    out.extend(data_bytes.to_be_bytes());
    out.resize(out.len() + usize::from(data_bytes), 0);
    out
}

/// Sets the flag that marks a packet as returned by an endpoint.
pub(crate) fn mark_as_returned(packet: &mut [u8]) {
    packet[12] |= RETURNED;
}
