//! Stateless resets, and the check of which tunnelled datagrams may reach an agent's QUIC library.
//!
//! All agents of a service share one reset key. The QUIC library would answer every unknown
//! connection id with a valid reset and so end flows that other agents own. Therefore only packets
//! with a connection id of the agent's current incarnation reach the library, and only a later
//! incarnation of the same endpoint resets the flows of an earlier one.

use units::{EndpointId, Incarnation};

use crate::{
    cid::{self, Cid},
    key::ServiceKeys,
    quic::Packet,
};

/// Minimum length in bytes of a stateless reset that callers recognise.
pub const RESET_MIN_BYTES: usize = 21;

/// Length in bytes of a full-size stateless reset.
pub const RESET_BYTES: usize = 43;

const TOKEN_BYTES: usize = 16;
const FIXED_BIT: u8 = 0x40;
const LONG_HEADER_BIT: u8 = 0x80;

/// The owner of the flow of a datagram, from the point of view of one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramOwner {
    /// This agent incarnation issued the connection id: pass the datagram to the QUIC library.
    CurrentIncarnation,
    /// An earlier incarnation of this endpoint, now gone, issued the connection id: send a reset.
    EarlierIncarnation(Cid),
    /// Another endpoint or a later incarnation issued the connection id: drop and count.
    Foreign,
    /// No agent of the service issued the connection id: drop and count unless it opens a flow.
    Unknown,
}

/// Determines which agent incarnation owns the flow of a datagram.
#[must_use]
pub fn datagram_owner(
    keys: &ServiceKeys,
    endpoint: EndpointId,
    incarnation: Incarnation,
    datagram: &[u8],
) -> DatagramOwner {
    let Some(packet) = Packet::parse(datagram) else {
        return DatagramOwner::Unknown;
    };
    let dcid = packet.dcid();
    let Some(owner) = cid::decode(keys, dcid) else {
        return DatagramOwner::Unknown;
    };
    if owner.endpoint != endpoint || owner.incarnation > incarnation {
        return DatagramOwner::Foreign;
    }
    if owner.incarnation == incarnation {
        return DatagramOwner::CurrentIncarnation;
    }
    match (packet, dcid.try_into()) {
        (Packet::Short { .. }, Ok(cid)) => DatagramOwner::EarlierIncarnation(cid),
        _ => DatagramOwner::Foreign,
    }
}

/// Returns the stateless reset token of a connection id, or `None` if `keys` lacks its key.
#[must_use]
pub fn reset_token(keys: &ServiceKeys, cid: &Cid) -> Option<[u8; TOKEN_BYTES]> {
    let index = units::KeyIndex::new(cid[0] >> 5);
    Some(keys.find(index)?.reset_token(cid))
}

/// Encodes a stateless reset in response to a datagram of `received_len` bytes.
///
/// Returns the reset's length, or `None` if the datagram is too short to be answered or `keys`
/// lacks the connection id's key. The reset is shorter than the datagram, so that two endpoints
/// cannot loop by resetting each other.
#[must_use]
pub fn encode_reset(
    keys: &ServiceKeys,
    cid: &Cid,
    received_len: usize,
    random: [u8; RESET_BYTES - TOKEN_BYTES],
    out: &mut [u8; RESET_BYTES],
) -> Option<usize> {
    let len = RESET_BYTES.min(received_len.checked_sub(1)?);
    if len < RESET_MIN_BYTES {
        return None;
    }
    let token = reset_token(keys, cid)?;
    let split = len - TOKEN_BYTES;
    out[..split].copy_from_slice(&random[..split]);
    out[0] = (out[0] | FIXED_BIT) & !LONG_HEADER_BIT;
    out[split..len].copy_from_slice(&token);
    Some(len)
}
