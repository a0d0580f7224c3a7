//! The packet format of PROTOCOL.md, with a keyed sum that only clients and endpoints know.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 64;
pub const RST: u8 = 32;
pub const ACK: u8 = 8;
pub const FIN: u8 = 4;
pub const BOUNCED: u8 = 2;

const HEAD_BYTES: usize = 32;
const SUM_KEY: u32 = 0x51ED_270B;

#[derive(Clone, Debug)]
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
    pub fn new(
        src: SocketAddrV4,
        dst: SocketAddrV4,
        flags: u8,
        seq: u32,
        ack: u32,
        data: &[u8],
    ) -> Self {
        let mut packet = Self {
            src,
            dst,
            flags,
            pad: 0,
            sum: 0,
            echo: 0,
            seq,
            ack,
            data: data.to_vec(),
        };
        packet.sum = packet.expected_sum();
        packet
    }

    /// Decodes a datagram, or returns `None` if it is no packet.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD_BYTES {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        if usize::from(u16_at(12)) != bytes.len() - HEAD_BYTES {
            return None;
        }
        Some(Self {
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(0)), u16_at(8)),
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(4)), u16_at(10)),
            flags: bytes[14],
            pad: bytes[15],
            sum: u32_at(16),
            echo: u32_at(20),
            seq: u32_at(24),
            ack: u32_at(28),
            data: bytes[HEAD_BYTES..].to_vec(),
        })
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD_BYTES + self.data.len());
        out.extend(self.dst.ip().octets());
        out.extend(self.src.ip().octets());
        out.extend(self.dst.port().to_be_bytes());
        out.extend(self.src.port().to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend([self.flags, self.pad]);
        out.extend(self.sum.to_be_bytes());
        out.extend(self.echo.to_be_bytes());
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(&self.data);
        out
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Whether an end of a flow wrote the packet as it is.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.expected_sum()
    }

    /// Whether the packet has the form of a reset of the system's own.
    pub fn is_system_reset(&self) -> bool {
        self.has(RST) && self.sum == 0 && self.data.is_empty()
    }

    /// A keyed sum over all fields except `echo`, `pad` and BOUNCED.
    fn expected_sum(&self) -> u32 {
        let mut copy = self.clone();
        copy.flags &= !BOUNCED;
        copy.pad = 0;
        copy.echo = 0;
        copy.sum = SUM_KEY;
        let hash = copy.encode().iter().fold(0x811C_9DC5_u32, |hash, byte| {
            (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
        });
        hash.max(1)
    }
}
