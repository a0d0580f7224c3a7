//! The `Inspect` gRPC service, by which operators read the status and the timeline of a process.

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
    ControlHandle,
    members::{MembersHandle, MembersView},
};

/// Source of the status that the `Inspect` service returns.
pub trait StatusSource: Send + Sync + 'static {
    /// Returns the current status of the process.
    fn status(&self) -> StatusReply;
}

/// Status of a balancer or an agent.
#[derive(Debug, Clone)]
pub struct ProcessStatus {
    /// Name of the process.
    pub instance: InstanceId,
    /// `balancer` or `agent`.
    pub role: &'static str,
    /// Availability zone of the process.
    pub zone: Zone,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Time at which the process started.
    pub started: Instant,
    /// Handle to the controllers of the process.
    pub control: ControlHandle,
    /// Handle to the members controller; `None` for an agent.
    pub members: Option<MembersHandle>,
}

impl StatusSource for ProcessStatus {
    fn status(&self) -> StatusReply {
        let in_force = self.control.bundles_in_force();
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
        condition: condition_name(it.condition).to_owned(),
        is_leaving: it.is_leaving,
    });
    let endpoints = view.endpoints.iter().map(|it| MemberStatus {
        name: format!("endpoint {}", it.endpoint),
        incarnation: it.incarnation.get(),
        condition: condition_name(it.condition).to_owned(),
        is_leaving: it.is_leaving,
    });
    balancers.chain(endpoints).collect()
}

const fn condition_name(condition: Condition) -> &'static str {
    match condition {
        Condition::Alive => "alive",
        Condition::Suspect => "suspect",
        Condition::Dead => "dead",
    }
}

/// Implementation of the `Inspect` gRPC service.
#[derive(Debug)]
pub struct InspectService<S> {
    instance: InstanceId,
    recorder: Recorder,
    source: S,
}

impl<S: StatusSource> InspectService<S> {
    /// Creates the gRPC service, to be served at the control address with mutual TLS.
    pub fn server(instance: InstanceId, recorder: Recorder, source: S) -> InspectServer<Self> {
        InspectServer::new(Self {
            instance,
            recorder,
            source,
        })
    }
}

#[tonic::async_trait]
impl<S: StatusSource> Inspect for InspectService<S> {
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
        let mut parts = vec![Ok(timeline_part(Part::Head(head)))];
        for entry in &entries {
            parts.push(timeline_event(entry).map(|it| timeline_part(Part::Event(it))));
        }
        Ok(Response::new(stream::iter(parts)))
    }
}

const fn timeline_part(part: Part) -> TimelinePart {
    TimelinePart { part: Some(part) }
}

fn timeline_event(entry: &RecordedEvent) -> Result<TimelineEvent, Status> {
    let event_json = serde_json::to_string(&entry.event)
        .map_err(|err| Status::internal(format!("an event has no JSON form: {err}")))?;
    Ok(TimelineEvent {
        unix_ms: entry.stamp.unix_ms.get(),
        logical: entry.stamp.logical,
        event_json,
    })
}
