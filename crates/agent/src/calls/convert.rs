//! Messages of the calls between agents and what they stand for.

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

use crate::{filter::Exchange, once::KeptAnswer, upstream::CallerBody};

pub(crate) fn grant_request(service: ServiceId, ask: &GrantRequest) -> msg::GrantRequest {
    msg::GrantRequest {
        service: service.get(),
        key: ask.key.as_bytes().to_vec(),
        attempt: ask.attempt.get(),
        first_sent_unix_ms: ask.first_sent_ms.get(),
        asker: Some(agent_id(ask.requester)),
        bundle_version: ask.version.get(),
    }
}

pub(crate) fn ask(request: &msg::GrantRequest) -> Option<GrantRequest> {
    Some(GrantRequest {
        key: key(&request.key)?,
        attempt: attempt(request.attempt)?,
        first_sent_ms: Millis::new(request.first_sent_unix_ms),
        requester: agent(request.asker?),
        version: BundleVersion::new(request.bundle_version),
    })
}

pub(crate) fn grant_reply(verdict: Verdict) -> msg::GrantReply {
    use msg::grant_reply::Verdict as Kind;

    let mut reply = msg::GrantReply::default();
    let kind = match verdict {
        Verdict::Granted => Kind::Granted,
        Verdict::Ran(agent, attempt) => {
            reply.agent = Some(agent_id(agent));
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

pub(crate) fn verdict(reply: &msg::GrantReply) -> Option<Verdict> {
    use msg::grant_reply::Verdict as Kind;

    Some(match reply.verdict() {
        Kind::Unspecified => return None,
        Kind::Granted => Verdict::Granted,
        Kind::Ran => Verdict::Ran(agent(reply.agent?), attempt(reply.attempt)?),
        Kind::Superseded => Verdict::Superseded,
        Kind::Unknown => Verdict::Unknown,
        Kind::TooYoung => Verdict::HistoryIncomplete,
        Kind::NotOwner => Verdict::NotOwner {
            version: BundleVersion::new(reply.bundle_version),
        },
        Kind::ClockAhead => Verdict::ClockAhead,
    })
}

pub(crate) fn fence_request(service: ServiceId, request: &FenceRequest) -> msg::FenceRequest {
    msg::FenceRequest {
        service: service.get(),
        key: request.key.as_bytes().to_vec(),
        below: request.below.get(),
        first_sent_unix_ms: request.first_sent_ms.get(),
        bundle_version: request.version.get(),
    }
}

pub(crate) fn fence(request: &msg::FenceRequest) -> Option<FenceRequest> {
    Some(FenceRequest {
        key: key(&request.key)?,
        below: attempt(request.below)?,
        first_sent_ms: Millis::new(request.first_sent_unix_ms),
        version: BundleVersion::new(request.bundle_version),
    })
}

pub(crate) fn fence_reply_message(reply: &FenceReply) -> msg::FenceReply {
    use msg::fence_reply::Past;

    let (past, past_attempt) = match reply.past {
        PastRun::NotRun => (Past::NotRun, Attempt::default()),
        PastRun::Ran(attempt, RunState::Started) => (Past::Started, attempt),
        PastRun::Ran(attempt, RunState::Ended) => (Past::Ended, attempt),
        PastRun::HistoryIncomplete => (Past::TooYoung, Attempt::default()),
    };
    msg::FenceReply {
        agent: Some(agent_id(reply.agent)),
        bundle_version: reply.version.get(),
        past: past.into(),
        past_attempt: past_attempt.get(),
        prior_fence: reply.prior_fence.get(),
        granted_to: reply.granted.map(|(agent, _)| agent_id(agent)),
        granted_attempt: reply.granted.map_or(0, |(_, attempt)| attempt.get()),
        is_superseded: reply.is_superseded,
    }
}

pub(crate) fn fence_reply(reply: &msg::FenceReply) -> Option<FenceReply> {
    use msg::fence_reply::Past;

    let past = match reply.past() {
        Past::Unspecified => return None,
        Past::NotRun => PastRun::NotRun,
        Past::Started => PastRun::Ran(attempt(reply.past_attempt)?, RunState::Started),
        Past::Ended => PastRun::Ran(attempt(reply.past_attempt)?, RunState::Ended),
        Past::TooYoung => PastRun::HistoryIncomplete,
    };
    let granted = match reply.granted_to {
        Some(to) => Some((agent(to), attempt(reply.granted_attempt)?)),
        None => None,
    };
    Some(FenceReply {
        agent: agent(reply.agent?),
        version: BundleVersion::new(reply.bundle_version),
        past,
        prior_fence: Attempt::new(reply.prior_fence),
        granted,
        is_superseded: reply.is_superseded,
    })
}

pub(crate) fn load_reply(me: Agent, load: Load) -> msg::LoadReply {
    msg::LoadReply {
        agent: Some(agent_id(me)),
        limit: load.limit,
        running: load.running,
        waiting: load.waiting,
        free_short: load.free_short,
        free_long: load.free_long,
    }
}

pub(crate) fn load(reply: msg::LoadReply) -> Option<(Agent, Load)> {
    let load = Load {
        limit: reply.limit,
        running: reply.running,
        waiting: reply.waiting,
        free_short: reply.free_short,
        free_long: reply.free_long,
    };
    Some((agent(reply.agent?), load))
}

pub(crate) fn answer_request(
    service: ServiceId,
    agent: Agent,
    key: RequestKey,
    wait: Duration,
) -> msg::AnswerRequest {
    msg::AnswerRequest {
        service: service.get(),
        key: key.as_bytes().to_vec(),
        agent: Some(agent_id(agent)),
        wait_ms: Millis::from_duration(wait).get(),
    }
}

/// Returns whose run's answer is asked for, and its key.
pub(crate) fn answer_of(request: &msg::AnswerRequest) -> Option<(Agent, RequestKey)> {
    Some((agent(request.agent?), key(&request.key)?))
}

pub(crate) fn answer_reply(answer: Option<KeptAnswer>) -> msg::AnswerReply {
    let Some(answer) = answer else {
        return msg::AnswerReply::default();
    };
    msg::AnswerReply {
        head: Some(msg::AnswerHead {
            status: answer.status.as_u16().into(),
            headers: fields(&answer.headers),
        }),
        body: answer.body.into(),
    }
}

pub(crate) fn kept_answer(reply: msg::AnswerReply) -> Option<KeptAnswer> {
    let (head, ()) = head(&reply.head?)?.into_parts();
    Some(KeptAnswer {
        status: head.status,
        headers: head.headers,
        body: reply.body.into(),
    })
}

pub(crate) fn hand_off(
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
        origin: Some(agent_id(origin)),
        offer: offer.get(),
        callee: Some(agent_id(callee)),
        deadline_ms_left: Millis::from_duration(left).get(),
        method: exchange.method.as_str().to_owned(),
        authority: authority.to_owned(),
        path: path.to_owned(),
        headers: fields(&exchange.headers),
        body: exchange.body.whole().unwrap_or_default().into(),
    }
}

/// Returns who made an offer, and to whom.
pub(crate) fn parties(request: &msg::HandOffRequest) -> Option<(Agent, Agent)> {
    Some((agent(request.origin?), agent(request.callee?)))
}

pub(crate) const fn offer_id(request: &msg::HandOffRequest) -> OfferId {
    OfferId::new(request.offer)
}

pub(crate) fn exchange(request: msg::HandOffRequest, deadline: Instant) -> Option<Exchange> {
    let uri = Uri::builder()
        .scheme("https")
        .authority(request.authority)
        .path_and_query(request.path)
        .build()
        .ok()?;
    let method = request.method.parse().ok()?;
    let headers = header_map(&request.headers)?;
    let body = CallerBody::from_whole(request.body.into());
    Some(Exchange::handed(method, uri, headers, body, deadline))
}

pub(crate) fn answer_head(head: &Response<()>) -> msg::AnswerHead {
    msg::AnswerHead {
        status: head.status().as_u16().into(),
        headers: fields(head.headers()),
    }
}

pub(crate) fn head(head: &msg::AnswerHead) -> Option<Response<()>> {
    let mut response = Response::new(());
    let status = u16::try_from(head.status).ok()?;
    *response.status_mut() = StatusCode::from_u16(status).ok()?;
    *response.headers_mut() = header_map(&head.headers)?;
    Some(response)
}

fn fields(headers: &HeaderMap) -> Vec<msg::Header> {
    let fields = headers.iter().map(|(name, value)| msg::Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    fields.collect()
}

fn header_map(fields: &[msg::Header]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&field.value).ok()?);
    }
    Some(headers)
}

fn agent_id(agent: Agent) -> msg::AgentId {
    msg::AgentId {
        endpoint: agent.endpoint.get(),
        incarnation: agent.incarnation.get(),
    }
}

fn agent(id: msg::AgentId) -> Agent {
    Agent {
        endpoint: EndpointId::new(id.endpoint),
        incarnation: Incarnation::new(id.incarnation),
    }
}

fn key(raw: &[u8]) -> Option<RequestKey> {
    raw.try_into().ok().map(RequestKey::new)
}

/// Reads an attempt, which counts from 1.
fn attempt(raw: u32) -> Option<Attempt> {
    (raw > 0).then(|| Attempt::new(raw))
}
