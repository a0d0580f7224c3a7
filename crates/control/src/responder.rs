//! The agent's side of the membership protocol: answers probes and announces when it leaves.

use std::{fmt, net::SocketAddr, sync::Arc, time::Instant};

use arc_swap::ArcSwap;
use membership::{Output, Responder, decode, encode};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use units::{EndpointId, Incarnation, Millis, ServiceId};

use crate::peer_link::{
    PeerLink, PeerPacket, PeerSend, QueueDepth, forward_packets, key_scope, scope_service_id,
};

/// Identity of the agent that answers probes.
#[derive(Debug, Clone, Copy)]
pub struct ResponderConfig {
    /// Endpoint of the agent.
    pub endpoint: EndpointId,
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Starts the actor that answers probes.
///
/// # Errors
///
/// Returns an error if the actor cannot be spawned.
pub async fn start_responder<S: PeerSend>(
    config: ResponderConfig,
    link: PeerLink<S>,
) -> Result<ResponderHandle, ractor::SpawnErr> {
    let queue_depth = QueueDepth::default();
    let balancers = Arc::new(ArcSwap::default());
    let state = ResponderState {
        core: Responder::new(config.endpoint, config.service, config.incarnation),
        sender: link.sender,
        queue_depth: queue_depth.clone(),
        balancers: Arc::clone(&balancers),
        started: Instant::now(),
    };
    let (actor, _running) = Actor::spawn(None, ResponderActor::new(), state).await?;
    forward_packets(
        link.incoming,
        actor.clone(),
        queue_depth,
        ResponderMsg::Incoming,
    );
    Ok(ResponderHandle { actor, balancers })
}

/// Handle to the running responder; clones refer to the same responder.
#[derive(Clone)]
pub struct ResponderHandle {
    actor: ActorRef<ResponderMsg>,
    balancers: Arc<ArcSwap<Vec<SocketAddr>>>,
}

impl ResponderHandle {
    /// Returns the balancers that recently sent a datagram to this agent, most recent first.
    #[must_use]
    pub fn recent_balancers(&self) -> Arc<Vec<SocketAddr>> {
        self.balancers.load_full()
    }

    /// Announces to balancers that this agent accepts no new work.
    pub fn announce_leaving(&self) {
        // The actor stops only with the process, so a failed send needs no handling.
        drop(self.actor.cast(ResponderMsg::Leave));
    }
}

impl fmt::Debug for ResponderHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResponderHandle").finish_non_exhaustive()
    }
}

/// Message to the responder.
#[derive(Debug)]
pub(crate) enum ResponderMsg {
    /// A membership datagram arrived.
    Incoming(PeerPacket),
    /// Announces that this agent is about to stop.
    Leave,
}

struct ResponderActor<S>(std::marker::PhantomData<fn() -> S>);

impl<S> ResponderActor<S> {
    const fn new() -> Self {
        Self(std::marker::PhantomData)
    }
}

struct ResponderState<S> {
    core: Responder,
    sender: S,
    queue_depth: QueueDepth,
    balancers: Arc<ArcSwap<Vec<SocketAddr>>>,
    started: Instant,
}

impl<S: PeerSend> Actor for ResponderActor<S> {
    type Msg = ResponderMsg;
    type State = ResponderState<S>;
    type Arguments = ResponderState<S>;

    async fn pre_start(
        &self,
        _myself: ActorRef<ResponderMsg>,
        args: ResponderState<S>,
    ) -> Result<ResponderState<S>, ActorProcessingErr> {
        Ok(args)
    }

    async fn handle(
        &self,
        _myself: ActorRef<ResponderMsg>,
        message: ResponderMsg,
        state: &mut ResponderState<S>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ResponderMsg::Incoming(packet) => state.handle_packet(&packet),
            ResponderMsg::Leave => {
                for output in state.core.announce_leaving() {
                    state.send_output(&output);
                }
            }
        }
        Ok(())
    }
}

impl<S: PeerSend> ResponderState<S> {
    fn handle_packet(&mut self, packet: &PeerPacket) {
        self.queue_depth.decrement();
        // The datagram was signed with this service's key, so a malformed datagram comes from a bug
        // or from an older version of the program.
        let Ok(message) = decode(key_scope(packet.scope), &packet.payload) else {
            log::debug!(
                "ignored a malformed membership datagram from {}",
                packet.from
            );
            return;
        };
        let now = Millis::from_duration(self.started.elapsed());
        if let Some(output) = self.core.handle_message(now, packet.from, &message) {
            self.send_output(&output);
        }
        let balancers: Vec<_> = self.core.recent_balancers(now).collect();
        if **self.balancers.load() != balancers {
            self.balancers.store(Arc::new(balancers));
        }
    }

    fn send_output(&self, output: &Output) {
        if let Output::Send { to, scope, message } = output {
            self.sender
                .send_peer(*to, scope_service_id(*scope), &encode(message));
        }
    }
}
