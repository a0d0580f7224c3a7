//! Conversions between the protobuf messages of the calls between agents and the domain types.
//!
//! `decode_*` functions return `None` if a field is missing or out of range.

use std::time::{Duration, Instant};

use admission::{
    Load,
    at_most_once::{
        Agent, Attempt, FenceReply, FenceRequest, GrantRequest, PastRun, RequestKey, RunState,
        Verdict,
    },
    handoff::OfferId,
};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, Uri};
use units::{BundleVersion, EndpointId, Incarnation, Millis, ServiceId};
use wire::requests as msg;

use crate::{filter::Exchange, once::CachedResponse, upstream::CallerBody};

pub(crate) fn encode_grant_request(service: ServiceId, ask: &GrantRequest) -> msg::GrantRequest {
    msg::GrantRequest {
        service: service.get(),
        key: ask.key.as_bytes().to_vec(),
        attempt: ask.attempt.get(),
        first_sent_unix_ms: ask.first_sent_ms.get(),
        asker: Some(encode_agent(ask.requester)),
        bundle_version: ask.version.get(),
    }
}

pub(crate) fn decode_grant_request(request: &msg::GrantRequest) -> Option<GrantRequest> {
    Some(GrantRequest {
        key: decode_request_key(&request.key)?,
        attempt: decode_attempt(request.attempt)?,
        first_sent_ms: Millis::new(request.first_sent_unix_ms),
        requester: decode_agent(request.asker?),
        version: BundleVersion::new(request.bundle_version),
    })
}

pub(crate) fn encode_verdict(verdict: Verdict) -> msg::GrantReply {
    use msg::grant_reply::Verdict as Kind;

    let mut reply = msg::GrantReply::default();
    let kind = match verdict {
        Verdict::Granted => Kind::Granted,
        Verdict::Ran(agent, attempt) => {
            reply.agent = Some(encode_agent(agent));
            reply.attempt = attempt.get();
            Kind::Ran
        }
        Verdict::Superseded => Kind::Superseded,
        Verdict::Unknown => Kind::Unknown,
        Verdict::HistoryIncomplete => Kind::TooYoung,
        Verdict::NotOwner { version } => {
            reply.bundle_version = version.get();
            Kind::NotOwner
        }
        Verdict::ClockAhead => Kind::ClockAhead,
    };
    reply.set_verdict(kind);
    reply
}

pub(crate) fn decode_verdict(reply: &msg::GrantReply) -> Option<Verdict> {
    use msg::grant_reply::Verdict as Kind;

    Some(match reply.verdict() {
        Kind::Unspecified => return None,
        Kind::Granted => Verdict::Granted,
        Kind::Ran => Verdict::Ran(decode_agent(reply.agent?), decode_attempt(reply.attempt)?),
        Kind::Superseded => Verdict::Superseded,
        Kind::Unknown => Verdict::Unknown,
        Kind::TooYoung => Verdict::HistoryIncomplete,
        Kind::NotOwner => Verdict::NotOwner {
            version: BundleVersion::new(reply.bundle_version),
        },
        Kind::ClockAhead => Verdict::ClockAhead,
    })
}

pub(crate) fn encode_fence_request(
    service: ServiceId,
    request: &FenceRequest,
) -> msg::FenceRequest {
    msg::FenceRequest {
        service: service.get(),
        key: request.key.as_bytes().to_vec(),
        below: request.below.get(),
        first_sent_unix_ms: request.first_sent_ms.get(),
        bundle_version: request.version.get(),
    }
}

pub(crate) fn decode_fence_request(request: &msg::FenceRequest) -> Option<FenceRequest> {
    Some(FenceRequest {
        key: decode_request_key(&request.key)?,
        below: decode_attempt(request.below)?,
        first_sent_ms: Millis::new(request.first_sent_unix_ms),
        version: BundleVersion::new(request.bundle_version),
    })
}

pub(crate) fn encode_fence_reply(reply: &FenceReply) -> msg::FenceReply {
    use msg::fence_reply::Past;

    let (past, past_attempt) = match reply.past {
        PastRun::NotRun => (Past::NotRun, Attempt::default()),
        PastRun::Ran(attempt, RunState::Started) => (Past::Started, attempt),
        PastRun::Ran(attempt, RunState::Ended) => (Past::Ended, attempt),
        PastRun::HistoryIncomplete => (Past::TooYoung, Attempt::default()),
    };
    msg::FenceReply {
        agent: Some(encode_agent(reply.agent)),
        bundle_version: reply.version.get(),
        past: past.into(),
        past_attempt: past_attempt.get(),
        prior_fence: reply.prior_fence.get(),
        granted_to: reply.granted.map(|(agent, _)| encode_agent(agent)),
        granted_attempt: reply.granted.map_or(0, |(_, attempt)| attempt.get()),
        is_superseded: reply.is_superseded,
    }
}

pub(crate) fn decode_fence_reply(reply: &msg::FenceReply) -> Option<FenceReply> {
    use msg::fence_reply::Past;

    let past = match reply.past() {
        Past::Unspecified => return None,
        Past::NotRun => PastRun::NotRun,
        Past::Started => PastRun::Ran(decode_attempt(reply.past_attempt)?, RunState::Started),
        Past::Ended => PastRun::Ran(decode_attempt(reply.past_attempt)?, RunState::Ended),
        Past::TooYoung => PastRun::HistoryIncomplete,
    };
    let granted = match reply.granted_to {
        Some(to) => Some((decode_agent(to), decode_attempt(reply.granted_attempt)?)),
        None => None,
    };
    Some(FenceReply {
        agent: decode_agent(reply.agent?),
        version: BundleVersion::new(reply.bundle_version),
        past,
        prior_fence: Attempt::new(reply.prior_fence),
        granted,
        is_superseded: reply.is_superseded,
    })
}

pub(crate) fn encode_load(me: Agent, load: Load) -> msg::LoadReply {
    msg::LoadReply {
        agent: Some(encode_agent(me)),
        limit: load.limit,
        running: load.running,
        waiting: load.waiting,
        free_short: load.free_short,
        free_long: load.free_long,
    }
}

pub(crate) fn decode_load(reply: msg::LoadReply) -> Option<(Agent, Load)> {
    let load = Load {
        limit: reply.limit,
        running: reply.running,
        waiting: reply.waiting,
        free_short: reply.free_short,
        free_long: reply.free_long,
    };
    Some((decode_agent(reply.agent?), load))
}

pub(crate) fn encode_answer_request(
    service: ServiceId,
    agent: Agent,
    key: RequestKey,
    wait: Duration,
) -> msg::AnswerRequest {
    msg::AnswerRequest {
        service: service.get(),
        key: key.as_bytes().to_vec(),
        agent: Some(encode_agent(agent)),
        wait_ms: Millis::from_duration(wait).get(),
    }
}

/// Decodes which run's cached response is requested: the agent that ran the request, and the
/// request's key.
pub(crate) fn decode_answer_request(request: &msg::AnswerRequest) -> Option<(Agent, RequestKey)> {
    Some((
        decode_agent(request.agent?),
        decode_request_key(&request.key)?,
    ))
}

pub(crate) fn encode_cached_response(response: Option<CachedResponse>) -> msg::AnswerReply {
    let Some(response) = response else {
        return msg::AnswerReply::default();
    };
    msg::AnswerReply {
        head: Some(msg::AnswerHead {
            status: response.status.as_u16().into(),
            headers: encode_headers(&response.headers),
        }),
        body: response.body.into(),
    }
}

pub(crate) fn decode_cached_response(reply: msg::AnswerReply) -> Option<CachedResponse> {
    let (head, ()) = decode_head(&reply.head?)?.into_parts();
    Some(CachedResponse {
        status: head.status,
        headers: head.headers,
        body: reply.body.into(),
    })
}

pub(crate) fn encode_hand_off(
    service: ServiceId,
    origin: Agent,
    callee: Agent,
    offer: OfferId,
    exchange: &Exchange,
) -> msg::HandOffRequest {
    let left = exchange.deadline.saturating_duration_since(Instant::now());
    let authority = exchange.uri.authority().map_or("", |it| it.as_str());
    let path = exchange.uri.path_and_query().map_or("/", |it| it.as_str());
    msg::HandOffRequest {
        service: service.get(),
        origin: Some(encode_agent(origin)),
        offer: offer.get(),
        callee: Some(encode_agent(callee)),
        deadline_ms_left: Millis::from_duration(left).get(),
        method: exchange.method.as_str().to_owned(),
        authority: authority.to_owned(),
        path: path.to_owned(),
        headers: encode_headers(&exchange.headers),
        body: exchange.body.complete_body().unwrap_or_default().into(),
    }
}

/// Decodes the agent that offers a request and the agent to which the request is offered.
pub(crate) fn decode_offer_parties(request: &msg::HandOffRequest) -> Option<(Agent, Agent)> {
    Some((decode_agent(request.origin?), decode_agent(request.callee?)))
}

pub(crate) const fn decode_offer_id(request: &msg::HandOffRequest) -> OfferId {
    OfferId::new(request.offer)
}

pub(crate) fn decode_exchange(request: msg::HandOffRequest, deadline: Instant) -> Option<Exchange> {
    let uri = Uri::builder()
        .scheme("https")
        .authority(request.authority)
        .path_and_query(request.path)
        .build()
        .ok()?;
    let method = request.method.parse().ok()?;
    let headers = decode_headers(&request.headers)?;
    let body = CallerBody::from_complete(request.body.into());
    Some(Exchange::from_hand_off(
        method, uri, headers, body, deadline,
    ))
}

pub(crate) fn encode_head(head: &Response<()>) -> msg::AnswerHead {
    msg::AnswerHead {
        status: head.status().as_u16().into(),
        headers: encode_headers(head.headers()),
    }
}

pub(crate) fn decode_head(head: &msg::AnswerHead) -> Option<Response<()>> {
    let mut response = Response::new(());
    let status = u16::try_from(head.status).ok()?;
    *response.status_mut() = StatusCode::from_u16(status).ok()?;
    *response.headers_mut() = decode_headers(&head.headers)?;
    Some(response)
}

fn encode_headers(headers: &HeaderMap) -> Vec<msg::Header> {
    let fields = headers.iter().map(|(name, value)| msg::Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    fields.collect()
}

fn decode_headers(fields: &[msg::Header]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&field.value).ok()?);
    }
    Some(headers)
}

fn encode_agent(agent: Agent) -> msg::AgentId {
    msg::AgentId {
        endpoint: agent.endpoint.get(),
        incarnation: agent.incarnation.get(),
    }
}

fn decode_agent(id: msg::AgentId) -> Agent {
    Agent {
        endpoint: EndpointId::new(id.endpoint),
        incarnation: Incarnation::new(id.incarnation),
    }
}

fn decode_request_key(raw: &[u8]) -> Option<RequestKey> {
    raw.try_into().ok().map(RequestKey::new)
}

/// Decodes the attempt number of a request, which starts at 1.
fn decode_attempt(raw: u32) -> Option<Attempt> {
    (raw > 0).then(|| Attempt::new(raw))
}
