//! Identification of flows.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddrV4},
};

use xxhash_rust::xxh3::xxh3_64;

/// Size of an encoded flow: two IPv4 addresses and two ports.
pub(crate) const FLOW_BYTES: usize = 12;

/// A flow, identified by the addresses of its two ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The address and port of the service that the caller contacted.
    pub service_address: SocketAddrV4,
}

impl Flow {
    /// Returns a uniformly distributed hash of the flow's addresses.
    #[must_use]
    pub fn hash(&self) -> u64 {
        xxh3_64(&self.to_bytes())
    }

    /// Encodes the flow's addresses and ports in network byte order.
    #[must_use]
    pub(crate) fn to_bytes(self) -> [u8; FLOW_BYTES] {
        let mut bytes = [0; FLOW_BYTES];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service_address.ip().octets());
        bytes[10..].copy_from_slice(&self.service_address.port().to_be_bytes());
        bytes
    }

    /// Decodes a flow from the bytes that `to_bytes` returns.
    #[must_use]
    pub(crate) const fn from_bytes(bytes: [u8; FLOW_BYTES]) -> Self {
        let [c0, c1, c2, c3, cp0, cp1, s0, s1, s2, s3, sp0, sp1] = bytes;
        Self {
            caller: SocketAddrV4::new(
                Ipv4Addr::new(c0, c1, c2, c3),
                u16::from_be_bytes([cp0, cp1]),
            ),
            service_address: SocketAddrV4::new(
                Ipv4Addr::new(s0, s1, s2, s3),
                u16::from_be_bytes([sp0, sp1]),
            ),
        }
    }
}

impl fmt::Display for Flow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.service_address)
    }
}
