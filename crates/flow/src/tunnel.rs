//! The tunnel between balancers and agents: a fixed header with a keyed MAC, then the payload.
//!
//! The MAC covers the header and the payload's length. Data payloads are QUIC, which authenticates
//! itself end to end, so they are left out of it; peer payloads are covered whole.

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
