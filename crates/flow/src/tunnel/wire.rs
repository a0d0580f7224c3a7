//! Encoding and decoding of tunnel datagrams.

mod layout;

use std::{fmt, sync::Arc};

use siphasher::sip128::SipHasher24;
use subtle::ConstantTimeEq;
use units::{BundleVersion, EndpointId, Incarnation, KeyIndex, ServiceId, Slots};
use zerocopy::{FromBytes, IntoBytes};

use self::layout::{Fixed, PeerFixed, WireAddress, WireCandidate, WireOpening};
use super::{
    Reject,
    header::{CANDIDATES_MAX, Candidate, Ecn, Header, Kind, Load, Opening, Stage},
};
use crate::key::ServiceKeys;

/// Size of the tunnel header of a datagram of an established flow.
pub const TUNNEL_OVERHEAD_BYTES: usize = size_of::<Fixed>();

/// Size of the tunnel header of a datagram that opens a flow.
pub const OPENING_OVERHEAD_BYTES: usize = TUNNEL_OVERHEAD_BYTES + size_of::<WireOpening>();

/// Size of the header of a peer datagram, which balancers and agents send to each other.
pub const PEER_OVERHEAD_BYTES: usize = size_of::<PeerFixed>();

const MAGIC: [u8; 2] = *b"LH";
const VERSION: u8 = 1;
const KIND_TO_AGENT: u8 = 1;
const KIND_OPENING: u8 = 2;
const KIND_FORWARDED_OPENING: u8 = 3;
const KIND_TO_CALLER: u8 = 4;
const KIND_PEER: u8 = 5;
const ECN_MASK: u8 = 0b011;
const LEAVING_FLAG: u8 = 0b100;
const STAGE_DECIDE: u8 = 0;
const STAGE_DECIDED: u8 = 1;
const STAGE_QUERY: u8 = 2;

/// The tunnel keys that a process holds, by service.
pub trait KeyRing {
    /// Finds the keys of a service; returns `None` if the process holds none.
    fn keys(&self, service: ServiceId) -> Option<&ServiceKeys>;
}

/// The key ring of an agent, which holds only the keys of the agent's service.
#[derive(Debug, Clone)]
pub struct SingleServiceKeys {
    service: ServiceId,
    keys: Arc<ServiceKeys>,
}

impl SingleServiceKeys {
    /// Creates the key ring of an agent of `service`.
    #[must_use]
    pub const fn new(service: ServiceId, keys: Arc<ServiceKeys>) -> Self {
        Self { service, keys }
    }
}

impl KeyRing for SingleServiceKeys {
    fn keys(&self, service: ServiceId) -> Option<&ServiceKeys> {
        (service == self.service).then(|| &*self.keys)
    }
}

/// Encodes a tunnel header and its payload into `out`; returns the length of the datagram.
///
/// # Errors
///
/// Returns an error if `out` is too small or the payload is too large.
pub fn encode(
    header: &Header,
    keys: &ServiceKeys,
    payload: &[u8],
    out: &mut [u8],
) -> Result<usize, EncodeError> {
    let start = encode_header(header, keys, payload.len(), out)?;
    let end = start + payload.len();
    let body = out.get_mut(start..end).ok_or(EncodeError::BufferTooSmall)?;
    body.copy_from_slice(payload);
    Ok(end)
}

/// Encodes a tunnel header for a payload of `payload_len` bytes; returns the header's length.
///
/// The encoded header is valid for every payload of that length.
///
/// # Errors
///
/// Returns an error if `out` is too small or the payload is too large.
pub fn encode_header(
    header: &Header,
    keys: &ServiceKeys,
    payload_len: usize,
    out: &mut [u8],
) -> Result<usize, EncodeError> {
    let key = keys.current();
    let payload_bytes =
        u16::try_from(payload_len).map_err(|_too_large| EncodeError::PayloadTooLarge)?;
    let len = match header.opening {
        Some(_) => OPENING_OVERHEAD_BYTES,
        None => TUNNEL_OVERHEAD_BYTES,
    };
    let out = out.get_mut(..len).ok_or(EncodeError::BufferTooSmall)?;
    let (fixed_out, opening_out) = out.split_at_mut(TUNNEL_OVERHEAD_BYTES);
    let mut fixed = fixed_header(header, key.index(), payload_bytes);
    if let Some(opening) = &header.opening {
        opening_out.copy_from_slice(encode_opening(opening).as_bytes());
    }
    fixed.mac = data_mac(&key.tunnel, &fixed, opening_out);
    fixed_out.copy_from_slice(fixed.as_bytes());
    Ok(len)
}

/// Verifies and decodes a data datagram into its tunnel header and payload.
///
/// The receiver must then call `Header::check_recipient`.
///
/// # Errors
///
/// Returns the reason why the datagram must be dropped.
pub fn decode<'a>(datagram: &'a [u8], ring: &impl KeyRing) -> Result<(Header, &'a [u8]), Reject> {
    check_magic_and_version(datagram)?;
    let (fixed, rest) = Fixed::read_from_prefix(datagram).map_err(|_short| Reject::Truncated)?;
    let kind = decode_kind(fixed.kind)?;
    let opening_len = match kind {
        Kind::Opening | Kind::ForwardedOpening => size_of::<WireOpening>(),
        Kind::ToAgent | Kind::ToCaller => 0,
    };
    let (opening, payload) = rest
        .split_at_checked(opening_len)
        .ok_or(Reject::Truncated)?;
    if payload.len() != usize::from(fixed.payload_bytes.get()) {
        return Err(Reject::Length);
    }
    let service = ServiceId::new(fixed.service.get());
    let keys = ring.keys(service).ok_or(Reject::Service)?;
    let key = keys
        .find(KeyIndex::new(fixed.key_index))
        .ok_or(Reject::Key)?;
    check_mac(data_mac(&key.tunnel, &fixed, opening), fixed.mac)?;
    let header = Header {
        kind,
        service,
        endpoint: EndpointId::new(fixed.endpoint.get()),
        incarnation: Incarnation::new(fixed.incarnation.get()),
        bundle_version: BundleVersion::new(fixed.bundle_version.get()),
        caller: fixed.caller.get(),
        local: fixed.local.get(),
        ecn: Ecn::new(fixed.flags & ECN_MASK),
        load: Load {
            busy: Slots::new(fixed.busy_slots.get()),
            total: Slots::new(fixed.total_slots.get()),
            is_leaving: fixed.flags & LEAVING_FLAG != 0,
        },
        opening: decode_opening(opening)?,
    };
    Ok((header, payload))
}

/// Encodes a peer datagram with the current key of `scope`; returns the datagram's length.
///
/// # Errors
///
/// Returns an error if `out` is too small or the payload is too large.
pub fn encode_peer(
    scope: ServiceId,
    keys: &ServiceKeys,
    payload: &[u8],
    out: &mut [u8],
) -> Result<usize, EncodeError> {
    let key = keys.current();
    let payload_bytes =
        u16::try_from(payload.len()).map_err(|_too_large| EncodeError::PayloadTooLarge)?;
    let len = PEER_OVERHEAD_BYTES + payload.len();
    let out = out.get_mut(..len).ok_or(EncodeError::BufferTooSmall)?;
    let mut fixed = PeerFixed {
        magic: MAGIC,
        version: VERSION,
        kind: KIND_PEER,
        key_index: key.index().get(),
        reserved: 0,
        payload_bytes: payload_bytes.into(),
        service: scope.get().into(),
        mac: [0; 16],
    };
    fixed.mac = peer_mac(&key.peer, &fixed, payload);
    out[..PEER_OVERHEAD_BYTES].copy_from_slice(fixed.as_bytes());
    out[PEER_OVERHEAD_BYTES..].copy_from_slice(payload);
    Ok(len)
}

/// Verifies and decodes a peer datagram.
///
/// Returns the payload and the service whose key signed the datagram, or `None` if it is not a peer
/// datagram.
///
/// # Errors
///
/// Returns the reason why the datagram must be dropped.
pub fn decode_peer<'a>(
    datagram: &'a [u8],
    ring: &impl KeyRing,
) -> Result<Option<(ServiceId, &'a [u8])>, Reject> {
    check_magic_and_version(datagram)?;
    if datagram[3] != KIND_PEER {
        return Ok(None);
    }
    let (fixed, payload) =
        PeerFixed::read_from_prefix(datagram).map_err(|_short| Reject::Truncated)?;
    if payload.len() != usize::from(fixed.payload_bytes.get()) {
        return Err(Reject::Length);
    }
    let service = ServiceId::new(fixed.service.get());
    let keys = ring.keys(service).ok_or(Reject::Service)?;
    let key = keys
        .find(KeyIndex::new(fixed.key_index))
        .ok_or(Reject::Key)?;
    check_mac(peer_mac(&key.peer, &fixed, payload), fixed.mac)?;
    Ok(Some((service, payload)))
}

/// The reason why a tunnel datagram could not be encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EncodeError {
    /// The output buffer is too small.
    BufferTooSmall,
    /// The payload is larger than a UDP datagram.
    PayloadTooLarge,
}

impl fmt::Display for EncodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BufferTooSmall => {
                f.write_str("the output buffer is too small; give payload plus overhead")
            }
            Self::PayloadTooLarge => {
                f.write_str("the payload is too large; give at most 65,535 bytes")
            }
        }
    }
}

impl std::error::Error for EncodeError {}

fn check_magic_and_version(datagram: &[u8]) -> Result<(), Reject> {
    let Some([m0, m1, version, _kind]) = datagram.first_chunk() else {
        return Err(Reject::Truncated);
    };
    if [*m0, *m1] != MAGIC || *version != VERSION {
        return Err(Reject::Magic);
    }
    Ok(())
}

fn check_mac(expected: [u8; 16], received: [u8; 16]) -> Result<(), Reject> {
    if bool::from(expected.ct_eq(&received)) {
        return Ok(());
    }
    Err(Reject::Mac)
}

fn decode_kind(raw: u8) -> Result<Kind, Reject> {
    match raw {
        KIND_TO_AGENT => Ok(Kind::ToAgent),
        KIND_OPENING => Ok(Kind::Opening),
        KIND_FORWARDED_OPENING => Ok(Kind::ForwardedOpening),
        KIND_TO_CALLER => Ok(Kind::ToCaller),
        _ => Err(Reject::Kind),
    }
}

fn fixed_header(header: &Header, key_index: KeyIndex, payload_bytes: u16) -> Fixed {
    let is_opening = matches!(header.kind, Kind::Opening | Kind::ForwardedOpening);
    assert_eq!(
        header.opening.is_some(),
        is_opening,
        "openings and only openings have candidates"
    );
    let kind = match header.kind {
        Kind::ToAgent => KIND_TO_AGENT,
        Kind::Opening => KIND_OPENING,
        Kind::ForwardedOpening => KIND_FORWARDED_OPENING,
        Kind::ToCaller => KIND_TO_CALLER,
    };
    let leaving_flag = if header.load.is_leaving {
        LEAVING_FLAG
    } else {
        0
    };
    Fixed {
        magic: MAGIC,
        version: VERSION,
        kind,
        key_index: key_index.get(),
        flags: header.ecn.get() | leaving_flag,
        busy_slots: header.load.busy.get().into(),
        total_slots: header.load.total.get().into(),
        payload_bytes: payload_bytes.into(),
        service: header.service.get().into(),
        endpoint: header.endpoint.get().into(),
        incarnation: header.incarnation.get().into(),
        bundle_version: header.bundle_version.get().into(),
        caller: WireAddress::new(header.caller),
        local: WireAddress::new(header.local),
        mac: [0; 16],
    }
}

fn encode_opening(opening: &Opening) -> WireOpening {
    let none = WireCandidate::default();
    let mut candidates = [none; CANDIDATES_MAX];
    for (out, it) in candidates.iter_mut().zip(opening.candidates()) {
        out.endpoint = it.endpoint.get().into();
        out.address = WireAddress::new(it.address);
    }
    let (stage, asker, queried) = match opening.stage {
        Stage::Decide => (STAGE_DECIDE, 0, 0),
        Stage::Decided => (STAGE_DECIDED, 0, 0),
        Stage::Query { asker, queried } => (STAGE_QUERY, asker, queried),
    };
    let to_u8 = |it: usize| u8::try_from(it).expect("at most CANDIDATES_MAX candidates");
    WireOpening {
        count: to_u8(opening.candidates().len()),
        deciders: to_u8(opening.deciders().len()),
        target: to_u8(opening.target_position()),
        stage,
        asker,
        queried,
        hops: opening.hops(),
        reserved: 0,
        candidates,
    }
}

fn decode_opening(bytes: &[u8]) -> Result<Option<Opening>, Reject> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let wire = WireOpening::ref_from_bytes(bytes).map_err(|_short| Reject::Truncated)?;
    let stage = match wire.stage {
        STAGE_DECIDE => Stage::Decide,
        STAGE_DECIDED => Stage::Decided,
        STAGE_QUERY => Stage::Query {
            asker: wire.asker,
            queried: wire.queried,
        },
        _ => return Err(Reject::Candidates),
    };
    let list = wire.candidates.map(|it| Candidate {
        endpoint: EndpointId::new(it.endpoint.get()),
        address: it.address.get(),
    });
    let list = list
        .get(..usize::from(wire.count))
        .ok_or(Reject::Candidates)?;
    let (deciders, target) = (usize::from(wire.deciders), usize::from(wire.target));
    Opening::new(list, deciders, target)
        .and_then(|it| it.with_stage_and_hops(stage, wire.hops))
        .map(Some)
        .map_err(|_invalid| Reject::Candidates)
}

/// Computes the MAC of a data datagram over its header and the header extension of openings.
fn data_mac(keyed: &SipHasher24, fixed: &Fixed, opening: &[u8]) -> [u8; 16] {
    let covered = &fixed.as_bytes()[..TUNNEL_OVERHEAD_BYTES - 16];
    if opening.is_empty() {
        return keyed.hash(covered).as_bytes();
    }
    let mut input = [0; OPENING_OVERHEAD_BYTES - 16];
    input[..covered.len()].copy_from_slice(covered);
    input[covered.len()..].copy_from_slice(opening);
    keyed.hash(&input).as_bytes()
}

/// Computes the MAC of a peer datagram over its header and its payload.
fn peer_mac(keyed: &SipHasher24, fixed: &PeerFixed, payload: &[u8]) -> [u8; 16] {
    use std::hash::Hasher;

    use siphasher::sip128::Hasher128;

    let mut hasher = *keyed;
    hasher.write(&fixed.as_bytes()[..PEER_OVERHEAD_BYTES - 16]);
    hasher.write(payload);
    hasher.finish128().as_bytes()
}
