//! The packet format of PROTOCOL.md: a 32-byte head in network byte order, then the data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 64;
pub const RST: u8 = 32;
pub const ACK: u8 = 8;
pub const FIN: u8 = 4;
pub const BOUNCED: u8 = 2;

const HEAD_BYTES: usize = 32;
const KEY: u32 = 0x5bd1_e995;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub pad: u8,
    pub sum: u32,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(src: SocketAddrV4, dst: SocketAddrV4, flags: u8, seq: u32, ack: u32) -> Self {
        Self {
            src,
            dst,
            flags,
            pad: 0,
            sum: 0,
            echo: 0,
            seq,
            ack,
            data: Vec::new(),
        }
    }

    pub fn with_data(mut self, data: &[u8]) -> Self {
        self.data = data.to_vec();
        self
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Returns the keyed sum over all fields except `echo`, `pad` and BOUNCED.
    fn keyed_sum(&self) -> u32 {
        let mut hash = KEY;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                hash = (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
            }
        };
        add(&self.dst.ip().octets());
        add(&self.src.ip().octets());
        add(&self.dst.port().to_be_bytes());
        add(&self.src.port().to_be_bytes());
        add(&[self.flags & !BOUNCED]);
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&self.data);
        hash
    }

    /// Returns whether the packet is as its sender wrote it.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.keyed_sum()
    }

    /// Encodes a packet of its own, with its sum.
    pub fn encode(&self) -> Vec<u8> {
        self.encode_with_sum(self.keyed_sum())
    }

    /// Encodes a received packet, whose sum stays.
    pub fn encode_as_is(&self) -> Vec<u8> {
        self.encode_with_sum(self.sum)
    }

    fn encode_with_sum(&self, sum: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD_BYTES + self.data.len());
        out.extend_from_slice(&self.dst.ip().octets());
        out.extend_from_slice(&self.src.ip().octets());
        out.extend_from_slice(&self.dst.port().to_be_bytes());
        out.extend_from_slice(&self.src.port().to_be_bytes());
        out.extend_from_slice(&(self.data.len() as u16).to_be_bytes());
        out.extend_from_slice(&[self.flags, self.pad]);
        out.extend_from_slice(&sum.to_be_bytes());
        out.extend_from_slice(&self.echo.to_be_bytes());
        out.extend_from_slice(&self.seq.to_be_bytes());
        out.extend_from_slice(&self.ack.to_be_bytes());
        out.extend_from_slice(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD_BYTES {
            return None;
        }
        let ip = |at: usize| Ipv4Addr::new(bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]);
        let half = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let word = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        if usize::from(half(12)) != bytes.len() - HEAD_BYTES {
            return None;
        }
        Some(Self {
            dst: SocketAddrV4::new(ip(0), half(8)),
            src: SocketAddrV4::new(ip(4), half(10)),
            flags: bytes[14],
            pad: bytes[15],
            sum: word(16),
            echo: word(20),
            seq: word(24),
            ack: word(28),
            data: bytes[HEAD_BYTES..].to_vec(),
        })
    }
}
