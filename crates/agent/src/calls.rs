//! Calls from the other agents of the service.

pub(crate) mod convert;

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use tonic::{Request, Response, Status};
use units::ServiceId;
use wire::requests::{
    AnswerReply, AnswerRequest, FenceReply, FenceRequest, GrantReply, GrantRequest, HandOffRequest,
    LoadReply, LoadRequest,
    requests_server::{Requests, RequestsServer},
};

use crate::{
    gate::Gate,
    handoff::{Callee, Replies},
    once::Keys,
};

/// Longest wait for the answer of a run under way.
const ANSWER_WAIT_MAX: Duration = Duration::from_mins(1);

/// Serves the calls of the other agents of the service.
///
/// It can be served before the agent starts; until then every call is refused as unavailable.
/// Clones are the same.
#[derive(Debug, Clone, Default)]
pub struct RequestsService {
    parts: Arc<OnceLock<CallParts>>,
}

/// What the calls are about.
#[derive(Debug)]
pub(crate) struct CallParts {
    pub(crate) service: ServiceId,
    pub(crate) keys: Arc<Keys>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) callee: Callee,
}

impl RequestsService {
    /// Returns what can be served at the control address.
    #[must_use]
    pub fn server(&self) -> RequestsServer<Self> {
        RequestsServer::new(self.clone())
    }

    /// Answers calls from now on; only the first agent counts.
    pub(crate) fn open(&self, parts: CallParts) {
        self.parts.get_or_init(|| parts);
    }

    /// Refuses calls about another service: addresses get reused.
    fn parts(&self, service: u32) -> Result<&CallParts, Status> {
        let parts = self.parts.get();
        let parts = parts.ok_or_else(|| Status::unavailable("the agent is not up yet"))?;
        if ServiceId::new(service) != parts.service {
            return Err(Status::failed_precondition(
                "another service is served here",
            ));
        }
        Ok(parts)
    }
}

#[tonic::async_trait]
impl Requests for RequestsService {
    type HandOffStream = Replies;

    async fn hand_off(
        &self,
        request: Request<HandOffRequest>,
    ) -> Result<Response<Self::HandOffStream>, Status> {
        let request = request.into_inner();
        let parts = self.parts(request.service)?;
        Ok(Response::new(parts.callee.consider(request).await))
    }

    async fn grant(&self, request: Request<GrantRequest>) -> Result<Response<GrantReply>, Status> {
        let request = request.into_inner();
        let parts = self.parts(request.service)?;
        let ask = convert::ask(&request).ok_or_else(malformed)?;
        let verdict = parts.keys.decide(ask).await;
        Ok(Response::new(convert::grant_reply(verdict)))
    }

    async fn fence(&self, request: Request<FenceRequest>) -> Result<Response<FenceReply>, Status> {
        let request = request.into_inner();
        let parts = self.parts(request.service)?;
        let fence = convert::fence(&request).ok_or_else(malformed)?;
        let reply = parts.keys.fence(&fence);
        Ok(Response::new(convert::fence_reply_message(&reply)))
    }

    async fn answer(
        &self,
        request: Request<AnswerRequest>,
    ) -> Result<Response<AnswerReply>, Status> {
        let request = request.into_inner();
        let parts = self.parts(request.service)?;
        let (agent, key) = convert::answer_of(&request).ok_or_else(malformed)?;
        if agent != parts.keys.me() {
            return Ok(Response::new(AnswerReply::default()));
        }
        let wait = Duration::from_millis(request.wait_ms).min(ANSWER_WAIT_MAX);
        let answer = parts.keys.own_answer(key, wait).await;
        Ok(Response::new(convert::answer_reply(answer)))
    }

    async fn load(&self, request: Request<LoadRequest>) -> Result<Response<LoadReply>, Status> {
        let parts = self.parts(request.get_ref().service)?;
        let reply = convert::load_reply(parts.keys.me(), parts.gate.load());
        Ok(Response::new(reply))
    }
}

fn malformed() -> Status {
    Status::invalid_argument("a field is missing or out of range; send the message whole")
}
