//! An agent's part in liveness: it answers probes and tells when it leaves.

use std::{fmt, net::SocketAddr, sync::Arc, time::Instant};

use arc_swap::ArcSwap;
use membership::{Output, Responder, decode, encode};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use units::{EndpointId, Incarnation, Millis, ServiceId};

use crate::peer_link::{PeerLink, PeerPacket, PeerSend, Waiting, pump, scope_of, service_of};

/// Which agent answers.
#[derive(Debug, Clone, Copy)]
pub struct ResponderConfig {
    /// Its endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceId,
    /// This run of the process.
    pub incarnation: Incarnation,
}

/// Starts to answer probes.
///
/// # Errors
///
/// The actor can't be spawned.
pub async fn start_responder<S: PeerSend>(
    config: ResponderConfig,
    link: PeerLink<S>,
) -> Result<ResponderHandle, ractor::SpawnErr> {
    let waiting = Waiting::default();
    let balancers = Arc::new(ArcSwap::default());
    let state = State {
        core: Responder::new(config.endpoint, config.service, config.incarnation),
        sender: link.sender,
        waiting: waiting.clone(),
        balancers: Arc::clone(&balancers),
        started: Instant::now(),
    };
    let (actor, _running) = Actor::spawn(None, Answering::new(), state).await?;
    pump(
        link.incoming,
        actor.clone(),
        waiting,
        ResponderMsg::Incoming,
    );
    Ok(ResponderHandle { actor, balancers })
}

/// What other parts of an agent see of the responder; clones are the same.
#[derive(Clone)]
pub struct ResponderHandle {
    actor: ActorRef<ResponderMsg>,
    balancers: Arc<ArcSwap<Vec<SocketAddr>>>,
}

impl ResponderHandle {
    /// Returns the balancers that lately probed this agent, the latest first.
    #[must_use]
    pub fn recent_balancers(&self) -> Arc<Vec<SocketAddr>> {
        self.balancers.load_full()
    }

    /// Tells balancers that this agent takes no new work from now on.
    pub fn leave(&self) {
        // The actor ends only with the process.
        drop(self.actor.cast(ResponderMsg::Leave));
    }
}

impl fmt::Debug for ResponderHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResponderHandle").finish_non_exhaustive()
    }
}

/// What the responder is told.
#[derive(Debug)]
pub(crate) enum ResponderMsg {
    /// A datagram arrived.
    Incoming(PeerPacket),
    /// The process is about to stop.
    Leave,
}

struct Answering<S>(std::marker::PhantomData<fn() -> S>);

impl<S> Answering<S> {
    const fn new() -> Self {
        Self(std::marker::PhantomData)
    }
}

struct State<S> {
    core: Responder,
    sender: S,
    waiting: Waiting,
    balancers: Arc<ArcSwap<Vec<SocketAddr>>>,
    started: Instant,
}

impl<S: PeerSend> Actor for Answering<S> {
    type Msg = ResponderMsg;
    type State = State<S>;
    type Arguments = State<S>;

    async fn pre_start(
        &self,
        _myself: ActorRef<ResponderMsg>,
        args: State<S>,
    ) -> Result<State<S>, ActorProcessingErr> {
        Ok(args)
    }

    async fn handle(
        &self,
        _myself: ActorRef<ResponderMsg>,
        message: ResponderMsg,
        state: &mut State<S>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ResponderMsg::Incoming(packet) => state.take(&packet),
            ResponderMsg::Leave => {
                for output in state.core.leave() {
                    state.send(&output);
                }
            }
        }
        Ok(())
    }
}

impl<S: PeerSend> State<S> {
    fn take(&mut self, packet: &PeerPacket) {
        self.waiting.taken();
        // What fails its check was signed with this service's own key: a bug or an older program.
        let Ok(message) = decode(scope_of(packet.scope), &packet.payload) else {
            log::debug!("datagram from {} is malformed", packet.from);
            return;
        };
        let now = Millis::from_duration(self.started.elapsed());
        if let Some(output) = self.core.handle_message(now, packet.from, &message) {
            self.send(&output);
        }
        let balancers: Vec<_> = self.core.recent_balancers(now).collect();
        if **self.balancers.load() != balancers {
            self.balancers.store(Arc::new(balancers));
        }
    }

    fn send(&self, output: &Output) {
        if let Output::Send { to, scope, message } = output {
            self.sender
                .send_peer(*to, service_of(*scope), &encode(message));
        }
    }
}
