//! Writing messages.

use zerocopy::{
    IntoBytes as _,
    byteorder::network_endian::{U16, U32, U64},
};

use super::{
    Bound, BoundHeader, Carry, CarryHeader, Chunk, ChunkHeader, Digest, DigestHeader, NotHeld,
    NotHeldHeader, Notice, NoticeHeader, Preamble, Report, ReportHeader, ReturnHeader, Returned,
    Search, SearchHeader, kind,
};
use crate::EndpointState;

/// Writes a carried packet.
pub(crate) fn write_carry(carry: &Carry, packet: &[u8], out: &mut Vec<u8>) {
    let header = CarryHeader {
        preamble: Preamble::new(kind::CARRY),
        service: U64::new(carry.service.get()),
        origin: carry.origin.octets(),
        carried: carry.carried.to_byte(),
        forced: u8::from(carry.forced),
        ticket: U16::new(carry.ticket),
        position: carry.position,
        count: carry.candidates.len(),
        best: carry.best,
        _reserved: 0,
        best_fullness: U16::new(carry.best_fullness),
        fullness_limit: U16::new(carry.limits.fullness),
        idle_limit: U16::new(carry.limits.idle),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(carry.candidates.as_slice().as_bytes());
    out.extend_from_slice(packet);
}

/// Writes a packet whose holder an agent is asked to look for.
pub(crate) fn write_search(search: &Search<'_>, packet: &[u8], out: &mut Vec<u8>) {
    let header = SearchHeader {
        preamble: Preamble::new(kind::SEARCH),
        service: U64::new(search.service.get()),
        origin: search.origin.octets(),
        ticket: U16::new(search.ticket),
        chain_len: search.chain_len,
        sure: search.sure.count(),
        doubtful: search.doubtful.count(),
        _reserved: 0,
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(search.sure.0.as_bytes());
    out.extend_from_slice(search.doubtful.0.as_bytes());
    out.extend_from_slice(packet);
}

/// Writes the end of a chain on which no agent holds the flow.
pub(crate) fn write_not_held(not_held: NotHeld, out: &mut Vec<u8>) {
    let header = NotHeldHeader {
        preamble: Preamble::new(kind::NOT_HELD),
        flow: not_held.flow.to_bytes(),
        ticket: U16::new(not_held.ticket),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
}

/// Writes a packet that goes back to its balancer.
pub(crate) fn write_returned(returned: Returned, packet: &[u8], out: &mut Vec<u8>) {
    let header = ReturnHeader {
        preamble: Preamble::new(kind::RETURN),
        carried: returned.carried.to_byte(),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(packet);
}

/// Writes the news that an agent holds a flow.
pub(crate) fn write_bound(bound: Bound, out: &mut Vec<u8>) {
    let header = BoundHeader {
        preamble: Preamble::new(kind::BOUND),
        flow: bound.flow.to_bytes(),
        fullness: U16::new(bound.fullness),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
}

/// Writes what the list says of an agent's endpoint.
pub(crate) fn write_notice(notice: Notice, out: &mut Vec<u8>) {
    let header = NoticeHeader {
        preamble: Preamble::new(kind::NOTICE),
        service: U64::new(notice.service.get()),
        revision: U64::new(notice.revision),
        state: match notice.state {
            EndpointState::Ready => 0,
            EndpointState::Draining => 1,
            EndpointState::Retired => 2,
        },
        _reserved: 0,
        slots: U16::new(notice.slots),
        idle_timeout_ms: U32::new(notice.idle_timeout_ms),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
}

/// Writes an agent's answer to a notice.
pub(crate) fn write_report(report: Report<'_>, out: &mut Vec<u8>) {
    let header = ReportHeader {
        preamble: Preamble::new(kind::REPORT),
        fullness: U16::new(report.fullness),
        idle_fullness: U16::new(report.idle_fullness),
        count: report.balancers.count(),
        _reserved: 0,
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(report.balancers.0.as_bytes());
}

/// Writes what a balancer knows.
pub(crate) fn write_digest(digest: Digest<'_>, out: &mut Vec<u8>) {
    let header = DigestHeader {
        preamble: Preamble::new(kind::DIGEST),
        revision: U64::new(digest.revision),
        zone: U64::new(digest.zone.get()),
        link_mbps: U32::new(digest.link_mbps),
        confirmed_age_ms: U32::new(digest.confirmed_age_ms),
        wants_answer: u8::from(digest.wants_answer),
        stopping: u8::from(digest.stopping),
        count: digest.balancers.count(),
        is_young: u8::from(digest.is_young),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(digest.balancers.0.as_bytes());
}

/// Writes a part of a catalog.
pub(crate) fn write_chunk(chunk: Chunk<'_>, out: &mut Vec<u8>) {
    let header = ChunkHeader {
        preamble: Preamble::new(kind::CHUNK),
        revision: U64::new(chunk.revision),
        confirmed_age_ms: U32::new(chunk.confirmed_age_ms),
        index: U16::new(chunk.index),
        count: U16::new(chunk.count),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(chunk.bytes);
}

/// Writes a list of endpoints that left the catalog lately.
pub(crate) fn write_retired(list: &[u8], out: &mut Vec<u8>) {
    out.clear();
    out.extend_from_slice(Preamble::new(kind::RETIRED).as_bytes());
    out.extend_from_slice(list);
}
