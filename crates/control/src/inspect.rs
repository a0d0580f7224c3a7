//! Calls by which operators see what a process holds and has seen.

use futures_util::stream::{self, Iter};
use timeline::{Entry, Recorder, Stamp};
use tonic::{Request, Response, Status};
use units::{InstanceId, Millis};
use wire::inspect::{
    StatusReply, StatusRequest, TimelineEvent, TimelineHead, TimelinePart, TimelineRequest,
    inspect_server::{Inspect, InspectServer},
    timeline_part::Part,
};

/// Tells what a process holds, when asked.
pub trait StatusSource: Send + Sync + 'static {
    /// Returns what the process holds now.
    fn status(&self) -> StatusReply;
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
        let (entries, dropped) = self.recorder.since(Stamp::new(since_ms, 0));
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

fn event(entry: &Entry) -> Result<TimelineEvent, Status> {
    let event_json = serde_json::to_string(&entry.event)
        .map_err(|err| Status::internal(format!("an event has no JSON form: {err}")))?;
    Ok(TimelineEvent {
        unix_ms: entry.stamp.unix_ms.get(),
        logical: entry.stamp.logical,
        event_json,
    })
}
