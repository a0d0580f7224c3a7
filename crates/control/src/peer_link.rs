//! Transport of membership messages in datagrams between processes, over the tunnel sockets.

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

/// Maximum number of membership packets queued for an actor; further packets are dropped like lost
/// datagrams.
const QUEUE_MAX: usize = 4_096;

/// Authenticated datagram from another process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerPacket {
    /// Address of the sender.
    pub from: SocketAddr,
    /// The service whose key signed the datagram, `flow::key::FLEET_SCOPE` for the fleet's key.
    pub scope: ServiceId,
    /// Encoded membership message.
    pub payload: Bytes,
}

/// Sends datagrams to other processes.
pub trait PeerSend: Send + Sync + 'static {
    /// Sends a payload signed with the key of `scope`.
    ///
    /// A failure is not reported, since the membership protocol tolerates lost datagrams.
    fn send_peer(&self, to: SocketAddr, scope: ServiceId, payload: &[u8]);
}

/// Receiver and sender of the datagrams between processes.
#[derive(Debug)]
pub struct PeerLink<S> {
    /// Datagrams received from other processes.
    pub incoming: mpsc::Receiver<PeerPacket>,
    /// Sender of datagrams to other processes.
    pub sender: S,
}

/// Number of membership packets queued for an actor; clones share the count.
#[derive(Debug, Clone, Default)]
pub(crate) struct QueueDepth(Arc<AtomicUsize>);

impl QueueDepth {
    /// Records that the actor has taken a packet from its queue.
    pub(crate) fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Spawns a task that forwards packets to an actor until the channel closes or the actor ends.
pub(crate) fn forward_packets<M: Message>(
    mut incoming: mpsc::Receiver<PeerPacket>,
    actor: ActorRef<M>,
    queue_depth: QueueDepth,
    wrap: fn(PeerPacket) -> M,
) {
    tokio::spawn(async move {
        while let Some(packet) = incoming.recv().await {
            if queue_depth.0.load(Ordering::Relaxed) >= QUEUE_MAX {
                continue;
            }
            queue_depth.0.fetch_add(1, Ordering::Relaxed);
            if actor.cast(wrap(packet)).is_err() {
                return;
            }
        }
    });
}

/// Converts the service id of a tunnel key to the scope of that key.
pub(crate) fn key_scope(service: ServiceId) -> KeyScope {
    if service == FLEET_SCOPE {
        KeyScope::Fleet
    } else {
        KeyScope::Service(service)
    }
}

/// Converts the scope of a tunnel key to the service id that stands for it in datagrams.
pub(crate) const fn scope_service_id(scope: KeyScope) -> ServiceId {
    match scope {
        KeyScope::Fleet => FLEET_SCOPE,
        KeyScope::Service(id) => id,
    }
}
