//! Calls by which operators see what a process holds and has seen.

use std::time::Instant;

use bundle::InForce;
use futures_util::stream::{self, Iter};
use membership::Condition;
use timeline::{RecordedEvent, Recorder, Stamp};
use tonic::{Request, Response, Status};
use units::{Incarnation, InstanceId, Millis, Zone};
use wire::inspect::{
    Counter, MemberStatus, ServiceStatus, StatusReply, StatusRequest, TimelineEvent, TimelineHead,
    TimelinePart, TimelineRequest,
    inspect_server::{Inspect, InspectServer},
    timeline_part::Part,
};

use crate::{
    Handle,
    members::{MembersHandle, MembersView},
};

/// Tells what a process holds, when asked.
pub trait StatusSource: Send + Sync + 'static {
    /// Returns what the process holds now.
    fn status(&self) -> StatusReply;
}

/// What a balancer or an agent tells of itself.
#[derive(Debug, Clone)]
pub struct ProcessStatus {
    /// Name of the process.
    pub instance: InstanceId,
    /// `balancer` or `agent`.
    pub role: &'static str,
    /// Its availability zone.
    pub zone: Zone,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// When it started.
    pub started: Instant,
    /// Its controllers.
    pub control: Handle,
    /// Its view of the fleet, for a balancer.
    pub members: Option<MembersHandle>,
}

impl StatusSource for ProcessStatus {
    fn status(&self) -> StatusReply {
        let in_force = self.control.snapshot();
        let counters = self.control.counters().values().into_iter();
        let counters = counters.map(|(name, value)| Counter { name, value });
        let members = self.members.as_ref().map(|it| member_statuses(&it.view()));
        let uptime = Millis::from_duration(self.started.elapsed());
        StatusReply {
            instance: self.instance.to_string(),
            role: self.role.to_owned(),
            zone: self.zone.to_string(),
            incarnation: self.incarnation.get(),
            services: in_force.iter().map(service_status).collect(),
            counters: counters.collect(),
            members: members.unwrap_or_default(),
            uptime_ms: uptime.get(),
        }
    }
}

fn service_status(in_force: &InForce) -> ServiceStatus {
    let accepted = &in_force.current;
    ServiceStatus {
        service: accepted.bundle.service.get(),
        name: accepted.bundle.name.clone(),
        version: accepted.bundle.version.get(),
        digest: accepted.digest.to_string(),
    }
}

fn member_statuses(view: &MembersView) -> Vec<MemberStatus> {
    let balancers = view.balancers.iter().map(|it| MemberStatus {
        name: it.name.to_string(),
        incarnation: it.incarnation.get(),
        condition: condition_text(it.condition).to_owned(),
        is_leaving: it.is_leaving,
    });
    let endpoints = view.endpoints.iter().map(|it| MemberStatus {
        name: format!("endpoint {}", it.endpoint),
        incarnation: it.incarnation.get(),
        condition: condition_text(it.condition).to_owned(),
        is_leaving: it.is_leaving,
    });
    balancers.chain(endpoints).collect()
}

const fn condition_text(condition: Condition) -> &'static str {
    match condition {
        Condition::Alive => "alive",
        Condition::Suspect => "suspect",
        Condition::Dead => "dead",
    }
}

/// Answers operators' calls.
#[derive(Debug)]
pub struct InspectCalls<S> {
    instance: InstanceId,
    recorder: Recorder,
    source: S,
}

impl<S: StatusSource> InspectCalls<S> {
    /// Makes the calls to be served at the control address, with mutual TLS.
    pub fn server(instance: InstanceId, recorder: Recorder, source: S) -> InspectServer<Self> {
        InspectServer::new(Self {
            instance,
            recorder,
            source,
        })
    }
}

#[tonic::async_trait]
impl<S: StatusSource> Inspect for InspectCalls<S> {
    async fn status(
        &self,
        _request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        Ok(Response::new(self.source.status()))
    }

    type TimelineStream = Iter<std::vec::IntoIter<Result<TimelinePart, Status>>>;

    async fn timeline(
        &self,
        request: Request<TimelineRequest>,
    ) -> Result<Response<Self::TimelineStream>, Status> {
        let since_ms = Millis::new(request.get_ref().since_unix_ms);
        let (entries, dropped) = self.recorder.events_since(Stamp::new(since_ms, 0));
        let head = TimelineHead {
            instance: self.instance.to_string(),
            dropped,
        };
        let mut parts = vec![Ok(part(Part::Head(head)))];
        for entry in &entries {
            parts.push(event(entry).map(|it| part(Part::Event(it))));
        }
        Ok(Response::new(stream::iter(parts)))
    }
}

const fn part(part: Part) -> TimelinePart {
    TimelinePart { part: Some(part) }
}

fn event(entry: &RecordedEvent) -> Result<TimelineEvent, Status> {
    let event_json = serde_json::to_string(&entry.event)
        .map_err(|err| Status::internal(format!("an event has no JSON form: {err}")))?;
    Ok(TimelineEvent {
        unix_ms: entry.stamp.unix_ms.get(),
        logical: entry.stamp.logical,
        event_json,
    })
}
