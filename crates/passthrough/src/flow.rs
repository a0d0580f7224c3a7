//! What names a flow.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddrV4},
};

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a flow's two addresses and ports.
pub(crate) const FLOW_BYTES: usize = 12;

/// A flow, named by its two ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The address and port of the service that the caller reached.
    pub service_address: SocketAddrV4,
}

impl Flow {
    /// Returns a hash that spreads flows evenly.
    #[must_use]
    pub fn hash(&self) -> u64 {
        xxh3_64(&self.to_bytes())
    }

    /// Writes the four addresses and ports in network order.
    #[must_use]
    pub(crate) fn to_bytes(self) -> [u8; FLOW_BYTES] {
        let mut bytes = [0; FLOW_BYTES];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service_address.ip().octets());
        bytes[10..].copy_from_slice(&self.service_address.port().to_be_bytes());
        bytes
    }

    /// Reads what `to_bytes` wrote.
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
