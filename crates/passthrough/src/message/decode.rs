//! Decoding of messages between balancers and agents.

use units::{Millis, StoreEra};
use zerocopy::{FromBytes, Immutable, KnownLayout, Ref, Unaligned};

use super::{
    AcceptLimits, AgedFormerTarget, Body, CANDIDATES_MAX, Candidate, Candidates, Chunk,
    ChunkHeader, DIGEST_FORMER_TARGETS_MAX, DIGEST_MEMBERS_MAX, Digest, DigestHeader,
    DigestRequest, FlowGivenUpHeader, FlowHeld, FlowHeldHeader, FlowNotHeld, FlowNotHeldHeader,
    Forward, ForwardHeader, HeldIdentity, Instances, LAYOUT_VERSION, LOOKUP_PAST_SILENCE,
    LoadReport, LoadReportHeader, LookupRequest, LookupRequestHeader, MAGIC, Member, Message,
    MessageError, NO_RETIRED_TOLD, OpeningHeld, OpeningHeldHeader, PacketClass, PeerStatus,
    Preamble, REPORTED_BALANCERS_MAX, REPORTED_ROUTES_MAX, ReturnHeader, Returned, RouteAddress,
    StateNotice, StateNoticeHeader, held_flag, kind,
};
use crate::{
    EndpointState, Flow, RequestKind, RequestProfile, ServiceKey, flow_identity::OpeningId,
};

/// Decodes a datagram from a balancer or an agent into a message.
///
/// # Errors
///
/// Returns an error if the datagram is not a valid message.
pub fn decode_message(datagram: &[u8]) -> Result<Message<'_>, MessageError> {
    let (preamble, _) = decode_prefix::<Preamble>(datagram)?;
    if preamble.magic.get() != MAGIC || preamble.layout_version != LAYOUT_VERSION {
        return Err(MessageError::UnknownFormat);
    }
    let body = match preamble.kind {
        kind::FORWARD => decode_forwarded_packet(datagram)?,
        kind::RETURN => decode_returned_packet(datagram)?,
        kind::FLOW_HELD => decode_flow_held(datagram)?,
        kind::STATE_NOTICE => decode_state_notice(datagram)?,
        kind::LOAD_REPORT => decode_load_report(datagram)?,
        kind::DIGEST => decode_digest(datagram)?,
        kind::CHUNK => decode_catalog_chunk(datagram)?,
        kind::LOOKUP_REQUEST => decode_lookup_request(datagram)?,
        kind::FLOW_NOT_HELD => decode_flow_not_held(datagram)?,
        kind::OPENING_HELD => decode_opening_held(datagram)?,
        kind::FLOW_GIVEN_UP => {
            let (header, rest) = decode_prefix::<FlowGivenUpHeader>(datagram)?;
            Body::FlowGivenUp(Flow::from_bytes(header.flow), decode_opening_id(rest))
        }
        kind::RETIRED => Body::Retired(decode_prefix::<Preamble>(datagram)?.1),
        _ => return Err(MessageError::InvalidField { field: "kind" }),
    };
    Ok(Message(body))
}

fn decode_forwarded_packet(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, rest) = decode_prefix::<ForwardHeader>(datagram)?;
    let count = usize::from(header.count);
    if count > CANDIDATES_MAX {
        return Err(MessageError::InvalidField { field: "count" });
    }
    let (list, packet) = decode_list::<Candidate>(rest, count)?;
    let mut candidates = Candidates::default();
    for candidate in list {
        candidates.push_candidate(*candidate);
    }
    let forward = Forward {
        service: ServiceKey::new(header.service.get()),
        origin: header.origin.into(),
        class: PacketClass::from_wire_byte(header.class)?,
        must_accept: header.must_accept != 0,
        has_silent_endpoint: header.class == LOOKUP_PAST_SILENCE,
        lookup_id: header.lookup_id.get(),
        position: header.position,
        best_position: header.best_position,
        best_utilization: header.best_utilization.get(),
        limits: AcceptLimits {
            utilization: header.utilization_limit.get(),
            idle: header.idle_limit.get(),
        },
        requests: RequestProfile {
            kind: decode_request_kind(header.request_kind)?,
            goal_ms: Millis::new(header.goal_ms.get().into()),
            timeout_ms: Millis::new(header.timeout_ms.get().into()),
            priority: header.priority,
        },
        age_ms: header.age_ms.get(),
        candidates,
    };
    Ok(Body::Forward(forward, packet))
}

const fn decode_request_kind(byte: u8) -> Result<RequestKind, MessageError> {
    match byte {
        0 => Ok(RequestKind::Idempotent),
        1 => Ok(RequestKind::NonIdempotent),
        2 => Ok(RequestKind::Upload),
        3 => Ok(RequestKind::Download),
        _ => Err(MessageError::InvalidField {
            field: "request_kind",
        }),
    }
}

fn decode_returned_packet(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, packet) = decode_prefix::<ReturnHeader>(datagram)?;
    let returned = Returned {
        class: PacketClass::from_wire_byte(header.class)?,
    };
    Ok(Body::Returned(returned, packet))
}

fn decode_flow_held(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, rest) = decode_prefix::<FlowHeldHeader>(datagram)?;
    let identity = decode_prefix::<HeldIdentity>(rest).ok().map(|it| it.0);
    let field = |flag: u8, value: fn(&HeldIdentity) -> u32| {
        let identity = identity.filter(|it| it.flags & flag != 0)?;
        Some(value(&identity))
    };
    Ok(Body::FlowHeld(FlowHeld {
        flow: Flow::from_bytes(header.flow),
        service: ServiceKey::new(header.service.get()),
        utilization: header.utilization.get(),
        opening: field(held_flag::HAS_OPENING, |it| it.opening.get()).map(OpeningId::new),
        endpoint_position: field(held_flag::HAS_ENDPOINT_POSITION, |it| {
            it.endpoint_position.get()
        }),
    }))
}

fn decode_opening_held(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, rest) = decode_prefix::<OpeningHeldHeader>(datagram)?;
    Ok(Body::OpeningHeld(OpeningHeld {
        flow: Flow::from_bytes(header.flow),
        opening: decode_opening_id(rest),
        stay_ms: header.stay_ms.get(),
    }))
}

fn decode_lookup_request(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, rest) = decode_prefix::<LookupRequestHeader>(datagram)?;
    if header.chain_len == 0 || usize::from(header.chain_len) > CANDIDATES_MAX {
        return Err(MessageError::InvalidField { field: "chain_len" });
    }
    let (responsive, rest) = decode_list::<[u8; 4]>(rest, usize::from(header.responsive))?;
    let (suspect, packet) = decode_list::<[u8; 4]>(rest, usize::from(header.suspect))?;
    let request = LookupRequest {
        service: ServiceKey::new(header.service.get()),
        origin: header.origin.into(),
        lookup_id: header.lookup_id.get(),
        chain_len: header.chain_len,
        responsive: Instances(responsive),
        suspect: Instances(suspect),
    };
    Ok(Body::LookupRequest(request, packet))
}

fn decode_flow_not_held(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, _) = decode_prefix::<FlowNotHeldHeader>(datagram)?;
    Ok(Body::FlowNotHeld(FlowNotHeld {
        flow: Flow::from_bytes(header.flow),
        lookup_id: header.lookup_id.get(),
        service: ServiceKey::new(header.service.get()),
    }))
}

/// Decodes the opening that a message ends with, or returns `None` if an earlier release sent it.
fn decode_opening_id(rest: &[u8]) -> Option<OpeningId> {
    let bytes = rest.first_chunk::<4>()?;
    Some(OpeningId::new(u32::from_be_bytes(*bytes)))
}

fn decode_state_notice(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, _) = decode_prefix::<StateNoticeHeader>(datagram)?;
    let state = match header.state {
        0 => EndpointState::Ready,
        1 => EndpointState::Draining,
        2 => EndpointState::Retired,
        _ => return Err(MessageError::InvalidField { field: "state" }),
    };
    Ok(Body::StateNotice(StateNotice {
        service: ServiceKey::new(header.service.get()),
        revision: header.revision.get(),
        state,
        slots: header.slots.get(),
        idle_timeout_ms: header.idle_timeout_ms.get(),
        is_evacuated: header.is_evacuated != 0,
        born_ms: header.born_ms.get(),
        cold_left_ms: header.cold_left_ms.get(),
        cold_rate: header.cold_rate.get(),
    }))
}

fn decode_load_report(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, rest) = decode_prefix::<LoadReportHeader>(datagram)?;
    let route_count = usize::from(header.route_count);
    if route_count > REPORTED_ROUTES_MAX {
        return Err(MessageError::InvalidField {
            field: "route_count",
        });
    }
    let (routes, rest) = decode_list::<RouteAddress>(rest, route_count)?;
    Ok(Body::LoadReport(LoadReport {
        service: ServiceKey::new(header.service.get()),
        utilization: header.utilization.get(),
        idle_utilization: header.idle_utilization.get(),
        lists_every_route: header.lists_every_route != 0,
        routes,
        balancers: decode_instances(rest, header.balancer_count)?,
    }))
}

fn decode_digest(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, rest) = decode_prefix::<DigestHeader>(datagram)?;
    let member_count = usize::from(header.member_count);
    if member_count > DIGEST_MEMBERS_MAX {
        return Err(MessageError::InvalidField {
            field: "member_count",
        });
    }
    let former_target_count = usize::from(header.former_target_count);
    if former_target_count > DIGEST_FORMER_TARGETS_MAX {
        return Err(MessageError::InvalidField {
            field: "former_target_count",
        });
    }
    let (members, rest) = decode_list::<Member>(rest, member_count)?;
    let (former_targets, _) = decode_list::<AgedFormerTarget>(rest, former_target_count)?;
    Ok(Body::Digest(Digest {
        revision: header.revision.get(),
        newest_era: StoreEra::new(header.newest_era.get()),
        settings_version: header.settings_version.get(),
        confirmed_age_ms: header.confirmed_age_ms.get(),
        mark: header.mark.into(),
        request: DigestRequest::from_wire_byte(header.request)?,
        is_starting: header.is_starting != 0,
        wants_retired: header.wants_retired != 0,
        retired_told: Some(header.retired_told.get()).filter(|it| *it != NO_RETIRED_TOLD),
        status: PeerStatus::from_wire(
            header.zone.get(),
            header.link_mbps.get(),
            header.status_flags,
        ),
        lists_former_targets: header.lists_former_targets != 0,
        members,
        former_targets,
    }))
}

fn decode_catalog_chunk(datagram: &[u8]) -> Result<Body<'_>, MessageError> {
    let (header, bytes) = decode_prefix::<ChunkHeader>(datagram)?;
    if header.index.get() >= header.count.get() {
        return Err(MessageError::InvalidField { field: "index" });
    }
    Ok(Body::Chunk(Chunk {
        revision: header.revision.get(),
        transfer_id: header.transfer_id.get(),
        confirmed_age_ms: header.confirmed_age_ms.get(),
        mark: header.mark.into(),
        index: header.index.get(),
        count: header.count.get(),
        bytes,
    }))
}

fn decode_instances(bytes: &[u8], count: u8) -> Result<Instances<'_>, MessageError> {
    let count = usize::from(count);
    if count > REPORTED_BALANCERS_MAX {
        return Err(MessageError::InvalidField { field: "count" });
    }
    let (list, _) = decode_list::<[u8; 4]>(bytes, count)?;
    Ok(Instances(list))
}

fn decode_prefix<T: FromBytes + KnownLayout + Immutable + Unaligned + Copy>(
    bytes: &[u8],
) -> Result<(T, &[u8]), MessageError> {
    let (header, rest) =
        Ref::<_, T>::from_prefix(bytes).map_err(|_too_short| MessageError::Truncated)?;
    Ok((*header, rest))
}

fn decode_list<T: FromBytes + KnownLayout + Immutable + Unaligned>(
    bytes: &[u8],
    count: usize,
) -> Result<(&[T], &[u8]), MessageError> {
    let (list, rest) = Ref::<_, [T]>::from_prefix_with_elems(bytes, count)
        .map_err(|_too_short| MessageError::Truncated)?;
    Ok((Ref::into_ref(list), rest))
}
