//! Encoding of messages between balancers and agents.

use units::Millis;
use zerocopy::{
    IntoBytes as _,
    byteorder::network_endian::{U16, U32, U64},
};

use super::{
    Chunk, ChunkHeader, DIGEST_FORMER_TARGETS_MAX, DIGEST_MEMBERS_MAX, Digest, DigestHeader,
    FlowGivenUpHeader, FlowHeld, FlowHeldHeader, FlowNotHeld, FlowNotHeldHeader, Forward,
    ForwardHeader, HeldIdentity, LOOKUP_PAST_SILENCE, LoadReport, LoadReportHeader, LookupRequest,
    LookupRequestHeader, NO_RETIRED_TOLD, OpeningHeld, OpeningHeldHeader, Preamble,
    REPORTED_ROUTES_MAX, ReturnHeader, Returned, StateNotice, StateNoticeHeader, held_flag, kind,
};
use crate::{EndpointState, Flow, RequestKind, flow_identity::OpeningId};

/// Encodes a packet with its forwarding state into `out`.
pub(crate) fn write_forwarded_packet(forward: &Forward, packet: &[u8], out: &mut Vec<u8>) {
    let header = ForwardHeader {
        preamble: Preamble::new(kind::FORWARD),
        service: U64::new(forward.service.get()),
        origin: forward.origin.octets(),
        class: if forward.has_silent_endpoint {
            LOOKUP_PAST_SILENCE
        } else {
            forward.class.to_wire_byte()
        },
        must_accept: u8::from(forward.must_accept),
        lookup_id: U16::new(forward.lookup_id),
        position: forward.position,
        count: forward.candidates.len(),
        best_position: forward.best_position,
        request_kind: match forward.requests.kind {
            RequestKind::Idempotent => 0,
            RequestKind::NonIdempotent => 1,
            RequestKind::Upload => 2,
            RequestKind::Download => 3,
        },
        priority: forward.requests.priority,
        best_utilization: U16::new(forward.best_utilization),
        utilization_limit: U16::new(forward.limits.utilization),
        idle_limit: U16::new(forward.limits.idle),
        goal_ms: saturated_millis(forward.requests.goal_ms),
        timeout_ms: saturated_millis(forward.requests.timeout_ms),
        age_ms: U16::new(forward.age_ms),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(forward.candidates.as_slice().as_bytes());
    out.extend_from_slice(packet);
}

/// Returns a time in 16 bits; a longer time becomes the longest one.
fn saturated_millis(time: Millis) -> U16 {
    U16::new(u16::try_from(time.get()).unwrap_or(u16::MAX))
}

/// Encodes a lookup request into `out`.
pub(crate) fn write_lookup_request(request: &LookupRequest<'_>, packet: &[u8], out: &mut Vec<u8>) {
    let header = LookupRequestHeader {
        preamble: Preamble::new(kind::LOOKUP_REQUEST),
        service: U64::new(request.service.get()),
        origin: request.origin.octets(),
        lookup_id: U16::new(request.lookup_id),
        chain_len: request.chain_len,
        responsive: request.responsive.count(),
        suspect: request.suspect.count(),
        _reserved: 0,
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(request.responsive.0.as_bytes());
    out.extend_from_slice(request.suspect.0.as_bytes());
    out.extend_from_slice(packet);
}

/// Encodes into `out` the message that no agent of a lookup chain holds the flow.
pub(crate) fn write_flow_not_held(flow_not_held: FlowNotHeld, out: &mut Vec<u8>) {
    let header = FlowNotHeldHeader {
        preamble: Preamble::new(kind::FLOW_NOT_HELD),
        flow: flow_not_held.flow.to_bytes(),
        lookup_id: U16::new(flow_not_held.lookup_id),
        service: U64::new(flow_not_held.service.get()),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
}

/// Encodes into `out` the message that another agent has accepted an opening of `flow`.
pub(crate) fn write_flow_given_up(flow: Flow, opening: OpeningId, out: &mut Vec<u8>) {
    let header = FlowGivenUpHeader {
        preamble: Preamble::new(kind::FLOW_GIVEN_UP),
        flow: flow.to_bytes(),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(&opening.get().to_be_bytes());
}

/// Encodes into `out` a packet that an agent returns to its balancer.
pub(crate) fn write_returned_packet(returned: Returned, packet: &[u8], out: &mut Vec<u8>) {
    let header = ReturnHeader {
        preamble: Preamble::new(kind::RETURN),
        class: returned.class.to_wire_byte(),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(packet);
}

/// Encodes into `out` the message that an agent's endpoint holds a flow.
pub(crate) fn write_flow_held(flow_held: FlowHeld, out: &mut Vec<u8>) {
    let header = FlowHeldHeader {
        preamble: Preamble::new(kind::FLOW_HELD),
        flow: flow_held.flow.to_bytes(),
        service: U64::new(flow_held.service.get()),
        utilization: U16::new(flow_held.utilization),
    };
    let mut flags = 0;
    if flow_held.opening.is_some() {
        flags |= held_flag::HAS_OPENING;
    }
    if flow_held.endpoint_position.is_some() {
        flags |= held_flag::HAS_ENDPOINT_POSITION;
    }
    let identity = HeldIdentity {
        flags,
        opening: U32::new(flow_held.opening.map_or(0, OpeningId::get)),
        endpoint_position: U32::new(flow_held.endpoint_position.unwrap_or(0)),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(identity.as_bytes());
}

/// Encodes into `out` the message that an opening waits at an agent.
pub(crate) fn write_opening_held(opening_held: OpeningHeld, out: &mut Vec<u8>) {
    let header = OpeningHeldHeader {
        preamble: Preamble::new(kind::OPENING_HELD),
        flow: opening_held.flow.to_bytes(),
        stay_ms: U16::new(opening_held.stay_ms),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    if let Some(opening) = opening_held.opening {
        out.extend_from_slice(&opening.get().to_be_bytes());
    }
}

/// Encodes a balancer's notice of an endpoint's state into `out`.
pub(crate) fn write_state_notice(notice: StateNotice, out: &mut Vec<u8>) {
    let header = StateNoticeHeader {
        preamble: Preamble::new(kind::STATE_NOTICE),
        service: U64::new(notice.service.get()),
        revision: U64::new(notice.revision),
        state: match notice.state {
            EndpointState::Ready => 0,
            EndpointState::Draining => 1,
            EndpointState::Retired => 2,
        },
        is_evacuated: u8::from(notice.is_evacuated),
        slots: U16::new(notice.slots),
        idle_timeout_ms: U32::new(notice.idle_timeout_ms),
        born_ms: U64::new(notice.born_ms),
        cold_left_ms: U32::new(notice.cold_left_ms),
        cold_rate: U32::new(notice.cold_rate),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
}

/// Encodes an agent's load report into `out`.
#[expect(
    clippy::cast_possible_truncation,
    reason = "a report has at most `REPORTED_ROUTES_MAX` routes"
)]
pub(crate) fn write_load_report(report: LoadReport<'_>, out: &mut Vec<u8>) {
    let routes = &report.routes[..report.routes.len().min(REPORTED_ROUTES_MAX)];
    let header = LoadReportHeader {
        preamble: Preamble::new(kind::LOAD_REPORT),
        service: U64::new(report.service.get()),
        utilization: U16::new(report.utilization),
        idle_utilization: U16::new(report.idle_utilization),
        lists_every_route: u8::from(report.lists_every_route),
        route_count: routes.len() as u8,
        balancer_count: report.balancers.count(),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(routes.as_bytes());
    out.extend_from_slice(report.balancers.0.as_bytes());
}

/// Encodes a balancer's status digest into `out`.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the lists of a digest have at most `DIGEST_MEMBERS_MAX` and \
              `DIGEST_FORMER_TARGETS_MAX` items"
)]
pub(crate) fn write_digest(digest: Digest<'_>, out: &mut Vec<u8>) {
    let members = &digest.members[..digest.members.len().min(DIGEST_MEMBERS_MAX)];
    let former =
        &digest.former_targets[..digest.former_targets.len().min(DIGEST_FORMER_TARGETS_MAX)];
    let header = DigestHeader {
        preamble: Preamble::new(kind::DIGEST),
        revision: U64::new(digest.revision),
        newest_era: U16::new(digest.newest_era.get()),
        settings_version: U64::new(digest.settings_version),
        zone: U64::new(digest.status.zone.get()),
        link_mbps: U32::new(digest.status.link_mbps),
        confirmed_age_ms: U32::new(digest.confirmed_age_ms),
        mark: digest.mark.into(),
        request: digest.request.to_wire_byte(),
        is_starting: u8::from(digest.is_starting),
        wants_retired: u8::from(digest.wants_retired),
        retired_told: U16::new(digest.retired_told.unwrap_or(NO_RETIRED_TOLD)),
        status_flags: digest.status.to_wire_flags(),
        lists_former_targets: u8::from(digest.lists_former_targets),
        member_count: members.len() as u8,
        former_target_count: former.len() as u8,
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(members.as_bytes());
    out.extend_from_slice(former.as_bytes());
}

/// Encodes a chunk of a serialized catalog into `out`.
pub(crate) fn write_catalog_chunk(chunk: Chunk<'_>, out: &mut Vec<u8>) {
    let header = ChunkHeader {
        preamble: Preamble::new(kind::CHUNK),
        revision: U64::new(chunk.revision),
        transfer_id: U64::new(chunk.transfer_id),
        confirmed_age_ms: U32::new(chunk.confirmed_age_ms),
        mark: chunk.mark.into(),
        index: U16::new(chunk.index),
        count: U16::new(chunk.count),
    };
    out.clear();
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(chunk.bytes);
}

/// Encodes a message with a serialized list of retired endpoints into `out`.
pub(crate) fn write_retired_list(list: &[u8], out: &mut Vec<u8>) {
    out.clear();
    out.extend_from_slice(Preamble::new(kind::RETIRED).as_bytes());
    out.extend_from_slice(list);
}
