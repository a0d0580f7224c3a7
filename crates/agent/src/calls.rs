//! Calls from the other agents of the service.

pub(crate) mod convert;

use std::sync::Arc;

use admission::once::Agent;
use tonic::{Request, Response, Status};
use units::ServiceId;
use wire::requests::{
    FenceReply, FenceRequest, GrantReply, GrantRequest, HandOffReply, HandOffRequest, LoadReply,
    LoadRequest, requests_server::Requests,
};

use crate::{gate::Gate, once::Keys};

/// Serves the calls of the other agents of the service.
#[derive(Debug, Clone)]
pub struct RequestCalls {
    pub(crate) service: ServiceId,
    pub(crate) keys: Arc<Keys>,
    pub(crate) gate: Arc<Gate>,
}

impl RequestCalls {
    /// Refuses calls about another service: addresses get reused.
    fn check_service(&self, service: u32) -> Result<(), Status> {
        if ServiceId::new(service) == self.service {
            return Ok(());
        }
        Err(Status::failed_precondition(
            "another service is served here",
        ))
    }

    fn load_reply(&self, me: Agent) -> LoadReply {
        convert::load_reply(me, self.gate.load())
    }
}

#[tonic::async_trait]
impl Requests for RequestCalls {
    type HandOffStream = futures_util::stream::Empty<Result<HandOffReply, Status>>;

    async fn hand_off(
        &self,
        request: Request<HandOffRequest>,
    ) -> Result<Response<Self::HandOffStream>, Status> {
        self.check_service(request.get_ref().service)?;
        Err(Status::unimplemented("requests aren't handed off"))
    }

    async fn grant(&self, request: Request<GrantRequest>) -> Result<Response<GrantReply>, Status> {
        let request = request.into_inner();
        self.check_service(request.service)?;
        let ask = convert::ask(&request).ok_or_else(malformed)?;
        let verdict = self.keys.decide(ask).await;
        Ok(Response::new(convert::grant_reply(verdict)))
    }

    async fn fence(&self, request: Request<FenceRequest>) -> Result<Response<FenceReply>, Status> {
        let request = request.into_inner();
        self.check_service(request.service)?;
        let fence = convert::fence(&request).ok_or_else(malformed)?;
        let reply = self.keys.fence(&fence);
        Ok(Response::new(convert::fence_reply_message(&reply)))
    }

    async fn load(&self, request: Request<LoadRequest>) -> Result<Response<LoadReply>, Status> {
        self.check_service(request.get_ref().service)?;
        Ok(Response::new(self.load_reply(self.keys.me())))
    }
}

fn malformed() -> Status {
    Status::invalid_argument("a field is missing or out of range; send the message whole")
}
