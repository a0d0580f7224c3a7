//! Parser for the version-independent fields of QUIC headers that routing needs.

use crate::cid::{CID_BYTES, Cid};

/// Minimum size in bytes of a datagram that contains a caller's Initial packet.
pub const INITIAL_DATAGRAM_MIN_BYTES: usize = 1200;

/// Maximum length in bytes of a connection id in QUIC versions 1 and 2.
pub const CID_MAX_BYTES: usize = 20;

const LONG_HEADER_BIT: u8 = 0x80;
const VERSION_1: u32 = 1;
const VERSION_2: u32 = 0x6b33_43cf;

/// Header of the first QUIC packet in a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Packet<'a> {
    /// A short header, as on established flows.
    Short {
        /// Destination connection id, which has the length of those that agents issue.
        dcid: &'a Cid,
    },
    /// A long header, as during the handshake.
    Long {
        /// QUIC version that the header names.
        version: u32,
        /// Type of the QUIC packet.
        kind: LongKind,
        /// Destination connection id, at most `CID_MAX_BYTES` long.
        dcid: &'a [u8],
        /// Source connection id, at most `CID_MAX_BYTES` long.
        scid: &'a [u8],
    },
}

/// Type of a QUIC packet with a long header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LongKind {
    /// Initial packet, which opens a flow.
    Initial,
    /// 0-RTT packet, which carries early data.
    ZeroRtt,
    /// Handshake packet, which continues a handshake.
    Handshake,
    /// Retry packet, which only servers send.
    Retry,
    /// Version Negotiation packet, which only servers send.
    VersionNegotiation,
    /// Packet of a QUIC version other than 1 and 2.
    Unknown,
}

impl<'a> Packet<'a> {
    /// Parses a datagram's first QUIC header; returns `None` if it is truncated or malformed.
    #[must_use]
    pub fn parse(datagram: &'a [u8]) -> Option<Self> {
        let (&first, rest) = datagram.split_first()?;
        if first & LONG_HEADER_BIT == 0 {
            let dcid = rest.get(..CID_BYTES)?.try_into().ok()?;
            return Some(Self::Short { dcid });
        }
        let (version, rest) = rest.split_first_chunk()?;
        let version = u32::from_be_bytes(*version);
        let (dcid, rest) = split_cid(rest)?;
        let (scid, _rest) = split_cid(rest)?;
        let kind = LongKind::new(first, version);
        Some(Self::Long {
            version,
            kind,
            dcid,
            scid,
        })
    }

    /// Returns the packet's destination connection id.
    #[must_use]
    pub fn dcid(&self) -> &'a [u8] {
        match self {
            Self::Short { dcid } => *dcid,
            Self::Long { dcid, .. } => dcid,
        }
    }
}

impl LongKind {
    fn new(first: u8, version: u32) -> Self {
        let bits = (first >> 4) & 0b11;
        match (version, bits) {
            (0, _) => Self::VersionNegotiation,
            (VERSION_1, 0) | (VERSION_2, 1) => Self::Initial,
            (VERSION_1, 1) | (VERSION_2, 2) => Self::ZeroRtt,
            (VERSION_1, 2) | (VERSION_2, 3) => Self::Handshake,
            (VERSION_1 | VERSION_2, _) => Self::Retry,
            _ => Self::Unknown,
        }
    }
}

fn split_cid(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (&len, rest) = bytes.split_first()?;
    let len = usize::from(len);
    if len > CID_MAX_BYTES {
        return None;
    }
    rest.split_at_checked(len)
}
