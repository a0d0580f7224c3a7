//! The binary layout of tunnel headers; all numbers are in network byte order.

use std::net::{Ipv6Addr, SocketAddr};

use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    network_endian::{U16, U32, U64},
};

use super::CANDIDATES_MAX;

/// The tunnel header of data datagrams. The MAC must stay last: it covers all other fields.
#[derive(Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct Fixed {
    pub(super) magic: [u8; 2],
    pub(super) version: u8,
    pub(super) kind: u8,
    pub(super) key_index: u8,
    pub(super) flags: u8,
    pub(super) busy_slots: U16,
    pub(super) total_slots: U16,
    pub(super) payload_bytes: U16,
    pub(super) service: U32,
    pub(super) endpoint: U32,
    pub(super) incarnation: U32,
    pub(super) bundle_version: U64,
    pub(super) caller: WireAddress,
    pub(super) local: WireAddress,
    pub(super) mac: [u8; 16],
}

/// The tunnel header of peer datagrams. The MAC must stay last: it covers all other fields.
#[derive(Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct PeerFixed {
    pub(super) magic: [u8; 2],
    pub(super) version: u8,
    pub(super) kind: u8,
    pub(super) key_index: u8,
    pub(super) reserved: u8,
    pub(super) payload_bytes: U16,
    pub(super) service: U32,
    pub(super) mac: [u8; 16],
}

/// The header extension of datagrams that open a flow.
#[derive(Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct WireOpening {
    pub(super) count: u8,
    pub(super) deciders: u8,
    pub(super) target: u8,
    pub(super) stage: u8,
    pub(super) asker: u8,
    pub(super) queried: u8,
    pub(super) hops: u8,
    pub(super) reserved: u8,
    pub(super) candidates: [WireCandidate; CANDIDATES_MAX],
}

/// An endpoint that may open the flow, in the header extension of openings.
#[derive(Clone, Copy, Default, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct WireCandidate {
    pub(super) endpoint: U32,
    pub(super) address: WireAddress,
}

/// A socket address; IPv4 addresses are encoded as IPv4-mapped IPv6 addresses.
#[derive(Clone, Copy, Default, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct WireAddress {
    ip: [u8; 16],
    port: U16,
}

impl WireAddress {
    pub(super) fn new(address: SocketAddr) -> Self {
        let ip = match address {
            SocketAddr::V4(it) => it.ip().to_ipv6_mapped(),
            SocketAddr::V6(it) => *it.ip(),
        };
        Self {
            ip: ip.octets(),
            port: address.port().into(),
        }
    }

    pub(super) fn get(self) -> SocketAddr {
        let ip = Ipv6Addr::from(self.ip).to_canonical();
        SocketAddr::new(ip, self.port.get())
    }
}
