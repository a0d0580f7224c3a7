//! How liveness messages travel: inside datagrams between processes on the tunnel sockets.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use flow::key::FLEET_SCOPE;
use membership::KeyScope;
use ractor::{ActorRef, Message};
use tokio::sync::mpsc;
use units::ServiceId;

/// Messages that may wait for the actor; more are dropped like lost datagrams.
const WAITING_MAX: usize = 4_096;

/// A checked datagram from another process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerPacket {
    /// Where it came from.
    pub from: SocketAddr,
    /// The service whose key signed it, `flow::key::FLEET_SCOPE` for the fleet's key.
    pub scope: ServiceId,
    /// What it says.
    pub payload: Bytes,
}

/// Sends datagrams to other processes.
pub trait PeerSend: Send + Sync + 'static {
    /// Sends a payload signed with the key of `scope`; a failure is as good as a loss.
    fn send_peer(&self, to: SocketAddr, scope: ServiceId, payload: &[u8]);
}

/// Both directions of the datagrams between processes.
#[derive(Debug)]
pub struct PeerLink<S> {
    /// What others sent.
    pub incoming: mpsc::Receiver<PeerPacket>,
    /// Sends to others.
    pub sender: S,
}

/// Counts the messages that wait for an actor.
#[derive(Debug, Clone, Default)]
pub(crate) struct Waiting(Arc<AtomicUsize>);

impl Waiting {
    /// Notes that the actor took one message.
    pub(crate) fn taken(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Passes what arrives on to an actor until either ends.
pub(crate) fn pump<M: Message>(
    mut incoming: mpsc::Receiver<PeerPacket>,
    actor: ActorRef<M>,
    waiting: Waiting,
    wrap: fn(PeerPacket) -> M,
) {
    tokio::spawn(async move {
        while let Some(packet) = incoming.recv().await {
            if waiting.0.load(Ordering::Relaxed) >= WAITING_MAX {
                continue;
            }
            waiting.0.fetch_add(1, Ordering::Relaxed);
            if actor.cast(wrap(packet)).is_err() {
                return;
            }
        }
    });
}

/// Converts the tunnel's notion of a key's scope.
pub(crate) fn scope_of(service: ServiceId) -> KeyScope {
    if service == FLEET_SCOPE {
        KeyScope::Fleet
    } else {
        KeyScope::Service(service)
    }
}

/// Converts to the tunnel's notion of a key's scope.
pub(crate) const fn service_of(scope: KeyScope) -> ServiceId {
    match scope {
        KeyScope::Fleet => FLEET_SCOPE,
        KeyScope::Service(id) => id,
    }
}
