//! Which datagrams of an agent's tunnel may reach the QUIC library, and stateless resets.
//!
//! With one reset key for all runs of a service's agents, the library would answer any unknown
//! connection id with a valid reset and so end a flow that lives elsewhere. Therefore only packets
//! minted by this run reach it, and only a later run of the same endpoint resets an earlier one's.

use units::{EndpointId, Incarnation};

use crate::{
    cid::{self, Cid},
    key::ServiceKeys,
    quic::Packet,
};

/// Shortest stateless reset that callers can tell from a packet.
pub const RESET_MIN_BYTES: usize = 21;

/// Length of the resets made here.
pub const RESET_BYTES: usize = 43;

const TOKEN_BYTES: usize = 16;
const FIXED_BIT: u8 = 0x40;
const LONG_HEADER_BIT: u8 = 0x80;

/// What an agent does with a datagram of an established flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramOwner {
    /// Minted by this run: give it to the QUIC library.
    CurrentIncarnation,
    /// Minted by an earlier run of this endpoint, which is gone: answer with a reset.
    EarlierIncarnation(Cid),
    /// Minted by another endpoint or a later run: drop and count.
    Foreign,
    /// Not minted by any agent of the service: drop and count unless it came as an opening.
    Unknown,
}

/// Tells whose flow a datagram belongs to.
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

/// Returns the stateless reset token of a connection id, `None` if its key is not held.
#[must_use]
pub fn reset_token(keys: &ServiceKeys, cid: &Cid) -> Option<[u8; TOKEN_BYTES]> {
    let index = units::KeyIndex::new(cid[0] >> 5);
    Some(keys.find(index)?.reset_token(cid))
}

/// Writes a stateless reset answering a datagram of `received_len` bytes, and returns its length.
///
/// The reset is shorter than what it answers, so that two ends never reset each other for ever;
/// `None` if no such reset exists or the connection id's key is not held.
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
