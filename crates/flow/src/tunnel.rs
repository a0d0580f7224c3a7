//! The tunnel between balancers and agents: a fixed header with a keyed MAC, then the payload.
//!
//! The MAC of a data datagram covers the header and the payload's length but not the payload, which
//! is QUIC and thus authenticated end to end. The MAC of a peer datagram also covers the payload.

mod header;
mod reject;
mod wire;

pub use header::{
    CANDIDATES_MAX, Candidate, Ecn, HOPS_MAX, Header, Kind, Load, Opening, OpeningError, Stage,
};
pub use reject::Reject;
pub use wire::{
    EncodeError, KeyRing, OPENING_OVERHEAD_BYTES, PEER_OVERHEAD_BYTES, SingleServiceKeys,
    TUNNEL_OVERHEAD_BYTES, decode, decode_peer, encode, encode_header, encode_peer,
};
