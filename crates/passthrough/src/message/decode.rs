//! Reading messages.

use zerocopy::{FromBytes, Immutable, KnownLayout, Ref, Unaligned};

use super::{
    AcceptLimits, Body, Bound, BoundHeader, CANDIDATES_MAX, Candidate, Candidates, Carried, Carry,
    CarryHeader, Chunk, ChunkHeader, Digest, DigestHeader, INSTANCES_MAX, Instances, LAYOUT, MAGIC,
    Message, MessageError, NotHeld, NotHeldHeader, Notice, NoticeHeader, Preamble, Report,
    ReportHeader, ReturnHeader, Returned, SEARCHED_MAX, Search, SearchHeader, kind,
};
use crate::{EndpointState, Flow, ServiceKey, ZoneKey};

/// Decodes a datagram from another process of ours.
///
/// # Errors
///
/// Says why the datagram is not a message.
pub fn decode(datagram: &[u8]) -> Result<Message<'_>, MessageError> {
    let (preamble, _) = prefix::<Preamble>(datagram)?;
    if preamble.magic.get() != MAGIC || preamble.layout != LAYOUT {
        return Err(MessageError::UnknownFormat);
    }
    let body = match preamble.kind {
        kind::CARRY => decode_carry(datagram)?,
        kind::RETURN => decode_returned(datagram)?,
        kind::BOUND => decode_bound(datagram)?,
        kind::NOTICE => decode_notice(datagram)?,
        kind::REPORT => decode_report(datagram)?,
        kind::DIGEST => decode_digest(datagram)?,
        kind::CHUNK => decode_chunk(datagram)?,
        kind::SEARCH => decode_search(datagram)?,
        kind::NOT_HELD => decode_not_held(datagram)?,
        kind::RETIRED => Body::Retired(prefix::<Preamble>(datagram)?.1),
        _ => return Err(MessageError::InvalidField { field: "kind" }),
    };
    Ok(Message(body))
}

fn decode_carry(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, rest) = prefix::<CarryHeader>(datagram)?;
    let count = usize::from(header.count);
    if count > CANDIDATES_MAX {
        return Err(MessageError::InvalidField { field: "count" });
    }
    let (list, packet) = list::<Candidate>(rest, count)?;
    let mut candidates = Candidates::default();
    for candidate in list {
        candidates.push(*candidate);
    }
    let carry = Carry {
        service: ServiceKey::new(header.service.get()),
        origin: header.origin.into(),
        carried: Carried::from_byte(header.carried)?,
        forced: header.forced != 0,
        ticket: header.ticket.get(),
        position: header.position,
        best: header.best,
        best_fullness: header.best_fullness.get(),
        limits: AcceptLimits {
            fullness: header.fullness_limit.get(),
            idle: header.idle_limit.get(),
        },
        candidates,
    };
    Ok(Body::Carry(carry, packet))
}

fn decode_returned(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, packet) = prefix::<ReturnHeader>(datagram)?;
    let returned = Returned {
        carried: Carried::from_byte(header.carried)?,
    };
    Ok(Body::Returned(returned, packet))
}

fn decode_bound(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, _) = prefix::<BoundHeader>(datagram)?;
    Ok(Body::Bound(Bound {
        flow: Flow::from_bytes(header.flow),
        fullness: header.fullness.get(),
    }))
}

fn decode_search(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, rest) = prefix::<SearchHeader>(datagram)?;
    if header.chain_len == 0 || usize::from(header.chain_len) > CANDIDATES_MAX {
        return Err(MessageError::InvalidField { field: "chain_len" });
    }
    let (sure, rest) = list::<[u8; 4]>(rest, usize::from(header.sure))?;
    let (doubtful, packet) = list::<[u8; 4]>(rest, usize::from(header.doubtful))?;
    if sure.len() + doubtful.len() > SEARCHED_MAX {
        return Err(MessageError::InvalidField { field: "sure" });
    }
    let search = Search {
        service: ServiceKey::new(header.service.get()),
        origin: header.origin.into(),
        ticket: header.ticket.get(),
        chain_len: header.chain_len,
        sure: Instances(sure),
        doubtful: Instances(doubtful),
    };
    Ok(Body::Search(search, packet))
}

fn decode_not_held(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, _) = prefix::<NotHeldHeader>(datagram)?;
    Ok(Body::NotHeld(NotHeld {
        flow: Flow::from_bytes(header.flow),
        ticket: header.ticket.get(),
    }))
}

fn decode_notice(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, _) = prefix::<NoticeHeader>(datagram)?;
    let state = match header.state {
        0 => EndpointState::Ready,
        1 => EndpointState::Draining,
        2 => EndpointState::Retired,
        _ => return Err(MessageError::InvalidField { field: "state" }),
    };
    Ok(Body::Notice(Notice {
        service: ServiceKey::new(header.service.get()),
        revision: header.revision.get(),
        state,
        slots: header.slots.get(),
        idle_timeout_ms: header.idle_timeout_ms.get(),
    }))
}

fn decode_report(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, rest) = prefix::<ReportHeader>(datagram)?;
    Ok(Body::Report(Report {
        fullness: header.fullness.get(),
        idle_fullness: header.idle_fullness.get(),
        balancers: instances(rest, header.count)?,
    }))
}

fn decode_digest(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, rest) = prefix::<DigestHeader>(datagram)?;
    Ok(Body::Digest(Digest {
        revision: header.revision.get(),
        confirmed_age_ms: header.confirmed_age_ms.get(),
        wants_answer: header.wants_answer != 0,
        stopping: header.stopping != 0,
        is_young: header.is_young != 0,
        zone: ZoneKey::new(header.zone.get()),
        link_mbps: header.link_mbps.get(),
        balancers: instances(rest, header.count)?,
    }))
}

fn decode_chunk(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, bytes) = prefix::<ChunkHeader>(datagram)?;
    if header.index.get() >= header.count.get() {
        return Err(MessageError::InvalidField { field: "index" });
    }
    Ok(Body::Chunk(Chunk {
        revision: header.revision.get(),
        confirmed_age_ms: header.confirmed_age_ms.get(),
        index: header.index.get(),
        count: header.count.get(),
        bytes,
    }))
}

fn instances(bytes: &[u8], count: u8) -> Result<Instances<'_>, MessageError> {
    let count = usize::from(count);
    if count > INSTANCES_MAX {
        return Err(MessageError::InvalidField { field: "count" });
    }
    let (list, _) = list::<[u8; 4]>(bytes, count)?;
    Ok(Instances(list))
}

fn prefix<T: FromBytes + KnownLayout + Immutable + Unaligned + Copy>(
    bytes: &[u8],
) -> Result<(T, &[u8]), MessageError> {
    let (header, rest) =
        Ref::<_, T>::from_prefix(bytes).map_err(|_too_short| MessageError::Truncated)?;
    Ok((*header, rest))
}

fn list<T: FromBytes + KnownLayout + Immutable + Unaligned>(
    bytes: &[u8],
    count: usize,
) -> Result<(&[T], &[u8]), MessageError> {
    let (list, rest) = Ref::<_, [T]>::from_prefix_with_elems(bytes, count)
        .map_err(|_too_short| MessageError::Truncated)?;
    Ok((Ref::into_ref(list), rest))
}
