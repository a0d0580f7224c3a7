//! The `Requests` gRPC service, which the other agents of the same service call.

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
    handoff::{HandOffReplies, OfferServer},
    once::OnceCoordinator,
};

/// Maximum wait for the response of a request that is still running.
const RESPONSE_WAIT_MAX: Duration = Duration::from_mins(1);

/// Implementation of the `Requests` gRPC service, which the other agents of the same service call.
///
/// The gRPC service can be served before the agent starts; until then every call fails with the
/// status `UNAVAILABLE`. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct RequestsService {
    state: Arc<OnceLock<RequestsServiceState>>,
}

/// Parts of a running agent that answer the gRPC calls of other agents.
#[derive(Debug)]
pub(crate) struct RequestsServiceState {
    pub(crate) service: ServiceId,
    pub(crate) coordinator: Arc<OnceCoordinator>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) offers: OfferServer,
}

impl RequestsService {
    /// Returns the tonic server for this service.
    #[must_use]
    pub fn server(&self) -> RequestsServer<Self> {
        RequestsServer::new(self.clone())
    }

    /// Lets the parts of a running agent answer the gRPC calls; any later activation is ignored.
    pub(crate) fn activate(&self, state: RequestsServiceState) {
        self.state.get_or_init(|| state);
    }

    /// Returns the parts of the running agent if a call is for the service of the agent.
    ///
    /// A call for another service can arrive here because addresses get reused.
    fn state_for_service(&self, service: u32) -> Result<&RequestsServiceState, Status> {
        let state = self.state.get();
        let state = state.ok_or_else(|| Status::unavailable("the agent is not up yet"))?;
        if ServiceId::new(service) != state.service {
            return Err(Status::failed_precondition(
                "another service is served here",
            ));
        }
        Ok(state)
    }
}

#[tonic::async_trait]
impl Requests for RequestsService {
    type HandOffStream = HandOffReplies;

    async fn hand_off(
        &self,
        request: Request<HandOffRequest>,
    ) -> Result<Response<Self::HandOffStream>, Status> {
        let request = request.into_inner();
        let state = self.state_for_service(request.service)?;
        Ok(Response::new(state.offers.handle_offer(request).await))
    }

    async fn grant(&self, request: Request<GrantRequest>) -> Result<Response<GrantReply>, Status> {
        let request = request.into_inner();
        let state = self.state_for_service(request.service)?;
        let ask = convert::decode_grant_request(&request).ok_or_else(malformed_request)?;
        let verdict = state.coordinator.decide_as_owner(ask).await;
        Ok(Response::new(convert::encode_verdict(verdict)))
    }

    async fn fence(&self, request: Request<FenceRequest>) -> Result<Response<FenceReply>, Status> {
        let request = request.into_inner();
        let state = self.state_for_service(request.service)?;
        let fence = convert::decode_fence_request(&request).ok_or_else(malformed_request)?;
        let reply = state.coordinator.handle_fence(&fence);
        Ok(Response::new(convert::encode_fence_reply(&reply)))
    }

    async fn answer(
        &self,
        request: Request<AnswerRequest>,
    ) -> Result<Response<AnswerReply>, Status> {
        let request = request.into_inner();
        let state = self.state_for_service(request.service)?;
        let (agent, key) =
            convert::decode_answer_request(&request).ok_or_else(malformed_request)?;
        if agent != state.coordinator.local_agent() {
            return Ok(Response::new(AnswerReply::default()));
        }
        let wait = Duration::from_millis(request.wait_ms).min(RESPONSE_WAIT_MAX);
        let response = state.coordinator.wait_for_local_response(key, wait).await;
        Ok(Response::new(convert::encode_cached_response(response)))
    }

    async fn load(&self, request: Request<LoadRequest>) -> Result<Response<LoadReply>, Status> {
        let state = self.state_for_service(request.get_ref().service)?;
        let reply = convert::encode_load(state.coordinator.local_agent(), state.gate.load());
        Ok(Response::new(reply))
    }
}

fn malformed_request() -> Status {
    Status::invalid_argument("a field is missing or out of range; send the message whole")
}
